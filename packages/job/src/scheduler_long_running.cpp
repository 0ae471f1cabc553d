#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace plantaindoor::job {

namespace {

policy::short_run short_run_of(const worker_run& run, const worker_record& worker,
                               const step_spec* spec, time_point now)
{
    const auto since_start = [&](time_point until) {
        return std::chrono::duration_cast<milliseconds>(until - run.ordered);
    };
    policy::short_run result{.footprint = run.footprint,
                             .use = run.need,
                             .age = since_start(now),
                             // The progress of an adopted run began at an unknown time.
                             .percent = run.adopted ? 0 : run.percent,
                             .progress_age = since_start(worker.clock_read_at),
                             .stopping = run.phase == run_phase::stopping};
    if (spec != nullptr) {
        result.estimate = spec->estimate;
        result.checkpointing = spec->checkpointing;
        result.gang_width = spec->gang ? spec->count : 1;
    }
    return result;
}

} // namespace

std::map<run_name, policy::short_run> scheduler::short_runs(const instance_id& id,
                                                            time_point now) const
{
    std::map<run_name, policy::short_run> found;
    const auto worker = m_workers.find(id);
    if (worker == m_workers.end()) {
        return found;
    }
    for (const auto& [name, run] : worker->second.runs) {
        if (!run.long_running) {
            const job_record* const job = this->find(name.task.job);
            found.emplace(
                name, short_run_of(run, worker->second,
                                   job == nullptr ? nullptr : &job->spec().steps.at(name.task.step),
                                   now));
        }
    }
    return found;
}

void scheduler::stop_short_runs(const instance_id& id, const std::vector<run_name>& runs)
{
    const auto worker = m_workers.find(id);
    if (worker == m_workers.end()) {
        return;
    }
    for (const run_name& name : runs) {
        const auto run = worker->second.runs.find(name);
        if (run == worker->second.runs.end() || run->second.long_running) {
            continue;
        }
        job_record* const job = find_job(name.task.job);
        if (job == nullptr || !job->spec().steps[name.task.step].gang ||
            job->find(name.task) == nullptr) {
            request_stop(worker->second, name);
            continue;
        }
        // The others would wait for this member in vain.
        task_name member = name.task;
        const auto& tasks = job->step_of(name.task).tasks;
        for (member.index = 0; member.index < tasks.size(); ++member.index) {
            for (const task_run& each : tasks[member.index].runs) {
                const auto other = m_workers.find(each.worker);
                if (each.attempt == name.attempt && other != m_workers.end()) {
                    request_stop(other->second, {member, each.attempt});
                }
            }
        }
    }
}

/// What the waiting tasks of a round share.
struct scheduler::reservation_round {
    struct step_state {
        /// The round has no worker for a further task.
        bool exhausted = false;
        /// The cap of the workspace allows no further task to start.
        bool at_cap = false;
        std::uint32_t reserved = 0;
        /// Those of the reserved that run on cordoned workers.
        std::uint32_t evicted = 0;
        /// Tasks of the step by worker, with those for which it is reserved.
        std::map<instance_id, std::uint32_t> siblings;
    };
    struct pool_view {
        std::vector<policy::reservable_worker> workers;
        std::vector<worker_record*> records;
        /// As in reservable_worker::runs.
        std::vector<std::vector<run_name>> runs;
    };

    step_state& step_of(const task_name& name) { return steps[name.first_of_step()]; }

    pool_view& pool_of(const scheduler& subject, const service_id& service, time_point now)
    {
        const auto [known, is_new] = pools.try_emplace(service);
        pool_view& pool = known->second;
        if (!is_new) {
            return pool;
        }
        for (worker_record* const worker : subject.m_candidates.at(service)) {
            policy::reservable_worker view{.worker = worker->listing.id, .is_slow = worker->slow};
            std::vector<run_name> names;
            for (const auto& [name, run] : worker->runs) {
                if (!run.long_running || run.phase == run_phase::stopping) {
                    const job_record* const job = subject.find(name.task.job);
                    view.runs.push_back(short_run_of(
                        run, *worker,
                        job == nullptr ? nullptr : &job->spec().steps.at(name.task.step), now));
                    names.push_back(name);
                }
            }
            pool.workers.push_back(std::move(view));
            pool.records.push_back(worker);
            pool.runs.push_back(std::move(names));
        }
        return pool;
    }

    /// The workers on which the task may run once there is room.
    static std::vector<const policy::reservable_worker*>
    eligible_workers(pool_view& pool, const step_state& state, const step_spec& spec,
                     const std::vector<instance_id>& avoided)
    {
        std::vector<const policy::reservable_worker*> eligible;
        for (std::size_t at = 0; at < pool.records.size(); ++at) {
            const worker_listing& listing = pool.records[at]->listing;
            const auto siblings = state.siblings.find(listing.id);
            const bool has_too_many = spec.max_per_worker > 0 && siblings != state.siblings.end() &&
                                      siblings->second >= spec.max_per_worker;
            const bool is_avoided =
                std::find(avoided.begin(), avoided.end(), listing.id) != avoided.end();
            if (!has_too_many && !is_avoided &&
                (spec.required_label.empty() || listing.has_label(spec.required_label))) {
                pool.workers[at].free = pool.records[at]->free_capacity();
                eligible.push_back(&pool.workers[at]);
            }
        }
        return eligible;
    }

    /// Of a run that is only planned.
    static constexpr std::uint32_t no_attempt = 0;

    /// By the first task.
    std::map<task_name, step_state> steps;
    /// Tasks that move, and where room is kept for them.
    std::vector<std::pair<task_record*, instance_id>> handed_over;
    std::map<service_id, pool_view> pools;
};

struct scheduler::unplaced_task {
    /// Decides the order. What has had to leave keeps its place before what came later.
    time_point rank{};
    time_point since{};
    job_record* job = nullptr;
    task_name name;
    /// Where it runs, and is to be stopped once it has another place; nullptr if it waits.
    worker_record* leaving = nullptr;
    std::uint32_t attempt = 0;

    /// Requires that it doesn't wait.
    [[nodiscard]] const worker_run& run() const { return leaving->runs.at({name, attempt}); }
    /// Whether only planned work would stop it.
    [[nodiscard]] bool is_evicted() const
    {
        return leaving != nullptr && !leaving->is_leaving() && run().phase != run_phase::stopping;
    }
};

std::vector<scheduler::unplaced_task>
scheduler::unplaced_long_running(const std::vector<candidate>& ranked, time_point now)
{
    std::vector<unplaced_task> unplaced;
    for (const candidate& each : ranked) {
        if (!each.long_running_first || !m_candidates.contains(each.job->queue().service)) {
            continue;
        }
        for (const task_name& name : each.job->waiting_tasks()) {
            const task_record& task = *each.job->find(name);
            const bool may_run_elsewhere = each.in_doubt && !task.run_known;
            if (!each.job->spec().steps[name.step].gang && !task.must_be_isolated() &&
                !may_run_elsewhere && !awaits_durable_crash(*each.job, task)) {
                const time_point since = *task.waiting_since;
                unplaced.push_back({.rank = std::min(since, task.displaced_since.value_or(since)),
                                    .since = since,
                                    .job = each.job,
                                    .name = name});
            }
        }
    }
    add_departing(ranked, unplaced, now);
    std::stable_sort(unplaced.begin(), unplaced.end(),
                     [](const auto& left, const auto& right) { return left.rank < right.rank; });
    return unplaced;
}

void scheduler::add_departing(const std::vector<candidate>& ranked,
                              std::vector<unplaced_task>& unplaced, time_point now)
{
    std::map<job_id, job_record*> jobs;
    for (auto& [id, worker] : m_workers) {
        const auto displaced_since = worker.displaces_since();
        if (!displaced_since || worker.long_running_runs == 0) {
            continue;
        }
        if (jobs.empty()) {
            for (const candidate& each : ranked) {
                if (each.long_running_first && m_candidates.contains(each.job->queue().service)) {
                    jobs.emplace(each.job->id(), each.job);
                }
            }
        }
        for (const auto& [name, run] : worker.runs) {
            const auto job = jobs.find(name.task.job);
            if (!run.long_running || job == jobs.end()) {
                continue;
            }
            if (!job->second->find(name.task)->must_be_isolated() &&
                !job->second->spec().steps[name.task.step].gang) {
                // A task that can run on for any time doesn't take room from those that wait.
                const bool may_run_on = !worker.is_leaving() && run.phase != run_phase::stopping;
                unplaced.push_back({.rank = may_run_on ? now : *displaced_since,
                                    .since = now,
                                    .job = job->second,
                                    .name = name.task,
                                    .leaving = &worker,
                                    .attempt = name.attempt});
            }
        }
    }
}

std::map<task_name, std::uint32_t> scheduler::displaced_tasks() const
{
    std::map<task_name, std::uint32_t> displaced;
    std::map<task_name, std::uint32_t> evicted;
    for (const auto& [id, worker] : m_workers) {
        const bool all_displaced = worker.is_leaving() || worker.is_silent(m_now);
        if ((!all_displaced && !worker.cordoned) || worker.long_running_runs == 0) {
            continue;
        }
        for (const auto& [name, run] : worker.runs) {
            if (!run.long_running) {
                continue;
            }
            const task_name step = name.task.first_of_step();
            if (all_displaced || run.phase == run_phase::stopping) {
                ++displaced[step];
            }
            else if (may_evict(name, run, evicted[step])) {
                ++displaced[step];
                ++evicted[step];
            }
        }
    }
    return displaced;
}

void scheduler::place_long_running(const std::vector<candidate>& ranked, time_point now)
{
    reservation_round round;
    m_reservations.begin_round(now);
    for (const unplaced_task& each : unplaced_long_running(ranked, now)) {
        const task_name& name = each.name;
        auto& step = round.step_of(name);
        if (each.leaving != nullptr && !may_move(each, step.evicted)) {
            continue;
        }
        if (step.exhausted || (step.at_cap && each.leaving == nullptr)) {
            continue;
        }
        // What runs is counted against the cap already; see may_move().
        if (each.leaving == nullptr &&
            !cap_allows(*each.job, name.occurrence, name.step, step.reserved + 1)) {
            step.at_cap = true;
            continue;
        }
        task_record& task = *each.job->find(name);
        // Equal tasks find no room either.
        worker_record* worker =
            step.reserved > 0
                ? nullptr
                : choose_worker(*each.job, each.job->occurrences().at(name.occurrence), name.step,
                                task, now);
        if (each.leaving != nullptr && worker != nullptr && worker->cordoned) {
            worker = nullptr;
        }
        if (worker == nullptr) {
            step.exhausted = !reserve_worker(round, each, now);
            step.evicted += each.is_evicted() && !step.exhausted ? 1 : 0;
        }
        else if (each.leaving != nullptr) {
            hand_over(each, *worker, round);
        }
        else {
            order_start(*each.job, name, *worker, next_attempt(task), now);
        }
    }
    for (const auto& [task, destination] : round.handed_over) {
        task->remove_run(destination, reservation_round::no_attempt);
    }
    m_reservations.end_round();
}

bool scheduler::may_move(const unplaced_task& moving, std::uint32_t evicted) const
{
    const bool may_restart =
        m_quota.check(moving.job->workspace(), moving.job->spec().steps[moving.name.step].need, 1,
                      1) == policy::quota_verdict::allowed;
    return may_restart && (!moving.is_evicted() ||
                           may_evict({moving.name, moving.attempt}, moving.run(), evicted));
}

void scheduler::hand_over(const unplaced_task& leaving, worker_record& destination,
                          reservation_round& round)
{
    request_stop(*leaving.leaving, {leaving.name, leaving.attempt});
    const resources need = leaving.job->spec().steps[leaving.name.step].footprint();
    destination.used += need;
    m_reserved_room.emplace_back(&destination, need);
    m_reservations.keep(to_string(leaving.name), destination.listing.id);
    // Counts as a sibling of the others that are placed in this round.
    task_record& task = *leaving.job->find(leaving.name);
    task.runs.push_back({destination.listing.id, reservation_round::no_attempt});
    round.handed_over.emplace_back(&task, destination.listing.id);
}

bool scheduler::reserve_worker(reservation_round& round, const unplaced_task& unplaced,
                               time_point now)
{
    const job_record& job = *unplaced.job;
    const task_name& name = unplaced.name;
    const step_record& record = job.occurrences().at(name.occurrence).steps[name.step];
    const step_spec& spec = job.spec().steps[name.step];
    const task_record& task = record.tasks[name.index];
    auto& step = round.step_of(name);
    if (step.reserved == 0) {
        step.siblings = record.runs_by_worker();
    }
    auto& pool = round.pool_of(*this, job.queue().service, now);
    const policy::waiting_long_running waiting{
        .task = to_string(name), .need = spec.footprint(), .since = unplaced.since};
    auto reservation = m_reservations.reserve(
        waiting, reservation_round::eligible_workers(pool, step, spec, task.avoided));
    if (!reservation && !task.avoided.empty()) {
        reservation = m_reservations.reserve(
            waiting, reservation_round::eligible_workers(pool, step, spec, {}));
    }
    if (!reservation) {
        return false;
    }
    const auto chosen =
        std::find_if(pool.workers.begin(), pool.workers.end(),
                     [&](const auto& each) { return each.worker == reservation->worker; });
    const auto at = static_cast<std::size_t>(chosen - pool.workers.begin());
    for (const std::size_t stop : reservation->stops) {
        request_stop(*pool.records[at], pool.runs[at][stop]);
        chosen->runs[stop].stopping = true;
    }
    ++step.reserved;
    ++step.siblings[reservation->worker];
    pool.records[at]->used += waiting.need;
    m_reserved_room.emplace_back(pool.records[at], waiting.need);
    return true;
}

} // namespace plantaindoor::job
