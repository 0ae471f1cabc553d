#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::job {

void scheduler::charge_run(worker_run& run, const job_record& job, std::uint32_t step)
{
    // Best-effort steps count with the processor time that they may use, unlike in footprint().
    run.workspace = job.workspace();
    run.need = job.spec().steps[step].need;
    run.counts_as_starting = run.confirmed == time_point{};
    m_quota.add_run(run.workspace, run.need, run.counts_as_starting);
}

void scheduler::note_run_arrived(worker_run& run)
{
    if (std::exchange(run.counts_as_starting, false)) {
        m_quota.note_arrived(run.workspace);
    }
}

void scheduler::count_possible_runs(time_point now)
{
    m_quota.begin_round();
    m_waiting_at_cap.clear();
    m_room_at_cap.clear();
    if (!m_quota.has_caps() || !m_doubt.exists(now)) {
        return;
    }
    for (const job_id& id : m_inherited) {
        const job_record* const job = find(id);
        if (job == nullptr || job->state() == job_state::completed ||
            m_quota.find(job->workspace()) == nullptr || !in_doubt(*job, now)) {
            continue;
        }
        // A cancelled or failed job may have runs that the predecessor hasn't stopped yet, and a
        // step may have been started whose dependencies aren't known to be complete.
        for (const auto& [number, occurrence] : job->occurrences()) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                m_quota.add_possible(job->workspace(), job->spec().steps[step].need,
                                     occurrence.steps[step].waiting);
            }
        }
    }
}

bool scheduler::cap_allows(const job_record& job, std::uint32_t occurrence, std::uint32_t step,
                           std::uint32_t width)
{
    const resources& need = job.spec().steps[step].need;
    const auto verdict = m_quota.check(job.workspace(), need, width);
    if (verdict == policy::quota_verdict::allowed) {
        return true;
    }
    if (m_waiting_at_cap.insert({job.id(), occurrence, step, 0}).second) {
        m_quota.add_waiting(
            job.workspace(), verdict, need, job.occurrences().at(occurrence).steps[step].waiting,
            width, verdict == policy::quota_verdict::part_in_use && has_room_for(job, step));
    }
    return false;
}

bool scheduler::has_room_for(const job_record& job, std::uint32_t step)
{
    const auto candidates = m_candidates.find(job.queue().service);
    if (candidates == m_candidates.end()) {
        return false;
    }
    // Both results are kept for the round, so that it doesn't try each worker for each job. Room
    // that is taken later in the round is noticed in the next one.
    room_results& known = m_room_at_cap[job.queue().service];
    const resources footprint = job.spec().steps[step].footprint();
    if (std::any_of(known.placeable.begin(), known.placeable.end(),
                    [&](const resources& met) { return met.can_fit(footprint); })) {
        return true;
    }
    if (std::any_of(known.unplaceable.begin(), known.unplaceable.end(),
                    [&](const resources& unmet) { return footprint.can_fit(unmet); })) {
        return false;
    }
    const bool has_room = std::any_of(
        candidates->second.begin(), candidates->second.end(),
        [&](const worker_record* each) { return each->free_capacity().can_fit(footprint); });
    (has_room ? known.placeable : known.unplaceable).push_back(footprint);
    return has_room;
}

bool scheduler::waits_at_cap(const job_id& id) const
{
    const auto first = m_waiting_at_cap.lower_bound({id, 0, 0, 0});
    return first != m_waiting_at_cap.end() && first->job == id;
}

} // namespace plantaindoor::job
