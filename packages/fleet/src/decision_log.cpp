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
        return fmt::format("{} has waited {} ms for a worker; of {} of its service, {} can't be "
                           "used, {} lack its label, {} have as many tasks of the step as may be, "
                           "{} lack capacity{}",
                           to_string(made.run.task), made.waited.count(), made.obstacles.workers,
                           made.obstacles.unusable, made.obstacles.lacking_label,
                           made.obstacles.at_limit, made.obstacles.lacking_capacity,
                           made.obstacles.in_doubt ? "; a predecessor may still run it" : "");
    case job::decision_kind::task_restarted:
        return fmt::format("{} attempt {} started again on {} after {} ms",
                           to_string(made.run.task), made.run.attempt, made.worker.str(),
                           made.waited.count());
    case job::decision_kind::task_adopted:
        return fmt::format("{} attempt {} found running on {}", to_string(made.run.task),
                           made.run.attempt, made.worker.str());
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
