#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::job {

namespace {

constexpr milliseconds wait_report_delay{2000};
/// Most tasks start sooner, so that nothing has to be persisted for them.
constexpr milliseconds wait_persist_delay{500};

milliseconds waited_by(time_point since, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - since);
}

} // namespace

void scheduler::report_long_waits(time_point now)
{
    m_waits = {};
    const bool sampled = m_job_waits.begin_round(now);
    for (const auto& [id, job] : m_open) {
        if (!job->is_long_running()) {
            if (sampled) {
                m_job_waits.follow(*job, m_workers, now);
            }
            continue;
        }
        const bool doubtful = in_doubt(*job, now);
        for (const task_name& name : job->waiting_tasks()) {
            task_record& task = *job->find(name);
            const milliseconds waited = waited_by(*task.waiting_since, now);
            ++m_waits.tasks;
            m_waits.longest = std::max(m_waits.longest, waited);
            // A task in doubt may run.
            if (waited >= wait_persist_delay && !task.durable_wait &&
                (task.run_known || !doubtful)) {
                task.durable_wait = m_wall_now - waited;
                mark_dirty(id);
            }
            if (waited >= wait_report_delay && !task.wait_reported) {
                task.wait_reported = true;
                note_decision(*job, {.kind = decision_kind::task_waits,
                                     .run = {name, task.last_attempt},
                                     .waited = waited,
                                     .obstacles = obstacles_of(*job, name, now)});
            }
        }
    }
    if (sampled) {
        for (const wait_event& each : m_job_waits.end_round()) {
            note_wait_event(each, now);
        }
    }
}

void scheduler::note_wait_event(const wait_event& event, time_point now)
{
    const job_record& job = *event.job;
    decision made{.kind = event.ended ? decision_kind::job_wait_ended : decision_kind::job_waits,
                  .waited = event.waited};
    if (event.run) {
        made.run = event.run->first;
        made.worker = event.run->second;
    }
    else if (const auto waiting = job.find_waiting(); waiting && !event.ended) {
        made.run.task = *waiting;
        made.obstacles = obstacles_of(job, *waiting, now);
        made.obstacles.workspace_at_cap = waits_at_cap(job.id());
        made.place.need = job.spec().steps[waiting->step].footprint();
        made.place.tasks = job.occurrences().at(waiting->occurrence).steps[waiting->step].waiting;
    }
    made.place.pool = job.queue().service;
    made.place.shard = m_options.shard;
    made.place.omitted = event.omitted;
    note_decision(job, std::move(made));
}

void scheduler::end_durable_wait(const task_name& name)
{
    if (job_record* const job = find_job(name.job); job != nullptr && job->end_durable_wait(name)) {
        mark_dirty(name.job);
    }
}

void scheduler::note_restart(const job_record& job, const run_name& run, const instance_id& worker,
                             time_point now)
{
    const auto& task =
        job.occurrences().at(run.task.occurrence).steps[run.task.step].tasks[run.task.index];
    const milliseconds waited = waited_by(task.waiting_since.value_or(now), now);
    if (task.last_attempt > 0 || waited >= wait_report_delay) {
        note_decision(job, {.kind = decision_kind::task_restarted,
                            .run = run,
                            .worker = worker,
                            .waited = waited});
    }
}

placement_obstacles scheduler::obstacles_of(const job_record& job, const task_name& name,
                                            time_point now) const
{
    const step_spec& spec = job.spec().steps[name.step];
    const auto siblings = job.occurrences().at(name.occurrence).steps[name.step].runs_by_worker();
    const auto is_at_limit = [&](const instance_id& worker) {
        const auto count = siblings.find(worker);
        return spec.max_per_worker > 0 && count != siblings.end() &&
               count->second >= spec.max_per_worker;
    };
    const auto& task = job.occurrences().at(name.occurrence).steps[name.step].tasks[name.index];
    placement_obstacles found{.in_doubt = !task.run_known && in_doubt(job, now)};
    for (const auto& [id, worker] : m_workers) {
        if (!worker.listed || worker.listing.service != job.queue().service) {
            continue;
        }
        ++found.workers;
        if (!worker.is_usable(now)) {
            ++found.unusable;
        }
        else if (!spec.required_label.empty() && !worker.listing.has_label(spec.required_label)) {
            ++found.lacking_label;
        }
        else if (is_at_limit(id)) {
            ++found.at_limit;
        }
        else if (!worker.free_capacity().can_fit(spec.footprint())) {
            ++found.lacking_capacity;
        }
    }
    return found;
}

} // namespace plantaindoor::job
