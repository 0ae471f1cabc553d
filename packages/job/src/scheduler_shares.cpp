#include "plantaindoor/job/scheduler.hpp"
#include "plantaindoor/job/task_limits.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plantaindoor::job {

namespace {

/// A job submitted longer ago than this is neither counted nor marked: its part of the present rate
/// is gone, and the submission times of older inherited jobs are inexact (they are clamped).
constexpr seconds max_judged_age{30};
/// After this time, or half of its time until the objective, a gang has workers held: smaller tasks
/// would take each one that gets free before there are enough.
constexpr milliseconds gang_patience{1000};

resources times(const resources& each, std::int64_t count)
{
    return {.cpu_millis = each.cpu_millis * count,
            .memory_mb = each.memory_mb * count,
            .accelerators = each.accelerators * count};
}

std::int64_t copies_in(const resources& room, const resources& need, std::int64_t most)
{
    const auto bound = [&](std::int64_t available, std::int64_t needed) {
        most = needed > 0 ? std::min(most, std::max<std::int64_t>(available, 0) / needed) : most;
    };
    bound(room.cpu_millis, need.cpu_millis);
    bound(room.memory_mb, need.memory_mb);
    bound(room.accelerators, need.accelerators);
    return most;
}

/// Of a job's tasks, by what they need.
struct job_demand {
    resources running;
    /// Needed by tasks that are ready to run.
    resources ready;
    bool any = false;
};

job_demand demand_of(const job_record& job)
{
    job_demand demand;
    for (const auto& [number, occurrence] : job.occurrences()) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const step_record& record = occurrence.steps[step];
            const resources footprint = job.spec().steps[step].footprint();
            const auto running = std::int64_t(record.tasks.size()) - record.done - record.waiting;
            demand.running += times(footprint, running);
            demand.any = demand.any || running > 0;
            if (record.waiting > 0 && job.is_unblocked(occurrence, step)) {
                demand.ready += times(footprint, record.waiting);
                demand.any = true;
            }
        }
    }
    return demand;
}

} // namespace

void scheduler::judge_submissions(time_point now)
{
    if (m_unjudged.empty()) {
        return;
    }
    // The rows of inherited jobs are read in no order.
    std::sort(m_unjudged.begin(), m_unjudged.end(), [](const auto& left, const auto& right) {
        return std::tie(left.submitted, left.id) < std::tie(right.submitted, right.id);
    });
    for (const unjudged_job& each : std::exchange(m_unjudged, {})) {
        const auto workspace = m_workspaces.find(each.workspace);
        if (workspace == m_workspaces.end() || now - each.submitted > max_judged_age) {
            continue;
        }
        if (m_submission_rates.note_submission(each.workspace, workspace->second.jobs_per_second,
                                               each.queue_shards, each.submitted)) {
            if (job_record* const job = find_job(each.id)) {
                job->set_beyond_rate();
            }
        }
    }
    m_submission_rates.remove_idle(now);
}

void scheduler::rank_by_share(std::vector<candidate>& ranked) const
{
    if (m_workspaces.empty() || m_overloaded.empty()) {
        return;
    }
    std::map<service_id, policy::workspace_shares> services;
    for (const service_id& service : m_overloaded) {
        policy::workspace_shares& shares = services[service];
        if (const auto workers = m_candidates.find(service); workers != m_candidates.end()) {
            for (const worker_record* const worker : workers->second) {
                shares.add_capacity(worker->capacity());
            }
        }
    }
    struct competing_job {
        candidate* job = nullptr;
        const policy::workspace_policy* workspace = nullptr;
        policy::workspace_shares* shares = nullptr;
        resources ready;
    };
    std::vector<competing_job> competing;
    for (candidate& each : ranked) {
        const auto shares = services.find(each.job->queue().service);
        const auto workspace = m_workspaces.find(each.job->workspace());
        if (shares == services.end() || workspace == m_workspaces.end()) {
            continue;
        }
        if (const job_demand demand = demand_of(*each.job); demand.any) {
            shares->second.add_use(workspace->first, workspace->second.jobs_per_second,
                                   demand.running);
            competing.push_back({&each, &workspace->second, &shares->second, demand.ready});
        }
    }
    for (const competing_job& each : competing) {
        // The job's own need doesn't count, or a step wider than the share would never be below it.
        each.job->above_share = each.shares->is_above(each.workspace->id);
        // What ranks before a job of the same workspace uses up the share first.
        each.shares->add_use(each.workspace->id, each.workspace->jobs_per_second, each.ready);
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        const auto rank = [](const candidate& each) {
            return std::tuple(each.tier, each.job->queue().priority, each.above_share);
        };
        return rank(left) < rank(right);
    });
}

void scheduler::hold_for_gang(const job_record& job, std::uint32_t step,
                              const std::vector<worker_record*>& chosen, time_point now)
{
    const service_id& service = job.queue().service;
    const auto budget = job.objective() - job.submitted();
    if (chosen.empty() || !m_workspaces.contains(job.workspace()) || job.is_beyond_rate() ||
        !m_overloaded.contains(service) || m_held.contains(service) ||
        now < job.submitted() + std::min<nanoseconds>(gang_patience, budget / 2)) {
        return;
    }
    const step_spec& spec = job.spec().steps[step];
    const std::int64_t per_worker = spec.max_per_worker == 0 ? spec.count : spec.max_per_worker;
    std::int64_t room = 0;
    for (const worker_record* const worker : m_candidates[service]) {
        if (spec.required_label.empty() || worker->listing.has_label(spec.required_label)) {
            room += copies_in(worker->capacity_beside_long_running(), spec.footprint(), per_worker);
        }
    }
    if (room < spec.count) {
        return;
    }
    for (worker_record* const worker : chosen) {
        worker->used += spec.footprint();
    }
    m_held.emplace(service, held_capacity{.footprint = spec.footprint(), .workers = chosen});
}

void scheduler::hold_for_wide_task(const job_record& job, const occurrence_record& occurrence,
                                   std::uint32_t step, const task_record& task, time_point now)
{
    const service_id& service = job.queue().service;
    const step_spec& spec = job.spec().steps[step];
    const resources need = spec.footprint();
    const auto since = job.wait().since;
    if (spec.long_running || !since || now - *since < policy::worker_holds::patience ||
        m_worker_holds.has_hold(service) || m_worker_holds.is_unfit(service, need) ||
        job.count_tasks().running > 0) {
        return;
    }
    const auto siblings = occurrence.steps[step].runs_by_worker();
    const auto& candidates = m_candidates[service];
    const task_limits limits(spec, task, siblings, candidates);
    const auto suits = [&](const worker_record& worker) {
        return worker.is_usable(now) && !m_reservations.is_reserved(worker.listing.id) &&
               worker.capacity_beside_long_running().can_fit(need) && limits.allow(worker);
    };
    const auto kept = m_worker_holds.held_for(job.id(), service);
    auto held = std::find_if(candidates.begin(), candidates.end(), [&](const auto* each) {
        return kept && each->listing.id == *kept && suits(*each);
    });
    if (held == candidates.end()) {
        if (!m_worker_holds.may_choose(service)) {
            return;
        }
        m_worker_holds.note_choice(service);
        std::vector<policy::reservable_worker> workers;
        for (const worker_record* const each : candidates) {
            if (!suits(*each)) {
                continue;
            }
            policy::reservable_worker view{
                .worker = each->listing.id, .free = each->free_capacity(), .is_slow = each->slow};
            for (auto& [name, run] : short_runs(each->listing.id, now)) {
                view.runs.push_back(run);
            }
            workers.push_back(std::move(view));
        }
        const auto chosen = m_worker_holds.choose(need, workers);
        held = std::find_if(candidates.begin(), candidates.end(), [&](const auto* each) {
            return chosen && each->listing.id == *chosen;
        });
    }
    if (held == candidates.end()) {
        if (spec.required_label.empty() && spec.max_per_worker == 0 && task.avoided.empty()) {
            m_worker_holds.note_unfit(service, need);
        }
        return;
    }
    m_worker_holds.hold(job.id(), service, (*held)->listing.id);
    (*held)->used += need;
    m_reserved_room.emplace_back(*held, need);
}

void scheduler::release_held()
{
    for (const auto& [service, held] : m_held) {
        for (worker_record* const worker : held.workers) {
            worker->used -= held.footprint;
        }
    }
    m_held.clear();
    for (const auto& [worker, need] : std::exchange(m_reserved_room, {})) {
        worker->used -= need;
    }
}

} // namespace plantaindoor::job
