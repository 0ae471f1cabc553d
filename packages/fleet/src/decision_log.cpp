#include "plantaindoor/fleet/decision_log.hpp"

#include <fmt/format.h>

#include <vector>

namespace plantaindoor::fleet {

namespace {

std::string describe(const std::vector<job::task_crash>& crashes)
{
    std::string text;
    for (const job::task_crash& each : crashes) {
        text += fmt::format("{}{}{}{}", text.empty() ? "" : ", ", each.worker.str(),
                            each.on_start ? " on its start" : "", each.alone ? " alone" : "");
    }
    return text;
}

std::string describe_workers(const job::placement_obstacles& obstacles)
{
    return fmt::format("of {} of its service, {} can't be used, {} lack its label, {} have as many "
                       "tasks of the step as may be, {} lack capacity{}{}",
                       obstacles.workers, obstacles.unusable, obstacles.lacking_label,
                       obstacles.at_limit, obstacles.lacking_capacity,
                       obstacles.workspace_at_cap ? "; its workspace is at its cap" : "",
                       obstacles.in_doubt ? "; a predecessor may still run it" : "");
}

std::string describe_omitted(const job::job_wait_place& place)
{
    return place.omitted == 0 ? std::string()
                              : fmt::format("; {} lines of other waits left out", place.omitted);
}

std::string describe_kind(const job::decision& made)
{
    switch (made.kind) {
    case job::decision_kind::first_start:
        return fmt::format("first start on {}", made.worker.str());
    case job::decision_kind::run_ended:
        return fmt::format("{} attempt {} on {} ended as {}", to_string(made.run.task),
                           made.run.attempt, made.worker.str(), name_of(made.end_reason));
    case job::decision_kind::run_lost:
        return fmt::format("{} attempt {} lost with worker {}: {}, {} ms after its start",
                           to_string(made.run.task), made.run.attempt, made.worker.str(),
                           name_of(made.worker_end_cause), made.run_age.count());
    case job::decision_kind::job_ended:
        return made.failure == job::failure_reason::none
                   ? std::string(name_of(made.state))
                   : fmt::format("{}, {}", name_of(made.state), name_of(made.failure));
    case job::decision_kind::crash_noted:
        return fmt::format("{} attempt {} may have crashed its worker: {}",
                           to_string(made.run.task), made.run.attempt, describe(made.crashes));
    case job::decision_kind::isolation_awaited:
        return fmt::format("suspected of a crash, has waited {} ms to start isolated, position {} "
                           "of {}: {}",
                           made.isolation.waited.count(), made.isolation.position,
                           made.isolation.count, name_of(made.isolation.reason));
    case job::decision_kind::task_waits:
        return fmt::format("{} has waited {} ms for a worker; {}", to_string(made.run.task),
                           made.waited.count(), describe_workers(made.obstacles));
    case job::decision_kind::task_restarted:
        return fmt::format("{} attempt {} started again on {} after {} ms",
                           to_string(made.run.task), made.run.attempt, made.worker.str(),
                           made.waited.count());
    case job::decision_kind::task_adopted:
        return fmt::format("{} attempt {} found running on {}", to_string(made.run.task),
                           made.run.attempt, made.worker.str());
    case job::decision_kind::job_waits:
        return fmt::format("nothing has run for {} ms: step {}.{} waits in pool {}, shard {}, with "
                           "{} tasks of {}/{}/{} (thousandths of a core/MB/accelerators); {}{}",
                           made.waited.count(), made.run.task.occurrence, made.run.task.step,
                           made.place.pool.str(), made.place.shard, made.place.tasks,
                           made.place.need.cpu_millis, made.place.need.memory_mb,
                           made.place.need.accelerators, describe_workers(made.obstacles),
                           describe_omitted(made.place));
    case job::decision_kind::job_wait_ended:
        return fmt::format("runs after {} ms without a run in pool {}, shard {}{}{}",
                           made.waited.count(), made.place.pool.str(), made.place.shard,
                           made.worker.empty()
                               ? std::string()
                               : fmt::format(": {} attempt {} on {}", to_string(made.run.task),
                                             made.run.attempt, made.worker.str()),
                           describe_omitted(made.place));
    case job::decision_kind::worker_slow:
    case job::decision_kind::interference:
        break; // These concern no job.
    }
    return std::string(name_of(made.kind));
}

} // namespace

std::string describe_job_decision(const job::decision& made)
{
    return fmt::format("job {} at {} ms of {}: {}", made.job.str(), made.age.count(),
                       made.objective.count(), describe_kind(made));
}

} // namespace plantaindoor::fleet
