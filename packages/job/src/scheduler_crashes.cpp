#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::job {

namespace {

/// How long after the end of a worker its successor explains that end as a crash.
constexpr milliseconds successor_wait{15000};

} // namespace

void scheduler::expect_planned_end(const std::string& machine, time_point until)
{
    m_planned_ends[machine] = until;
}

bool scheduler::is_planned_end(const worker_record& worker) const
{
    const auto planned = m_planned_ends.find(worker.listing.machine);
    return worker.listing.draining || worker.planned_restart ||
           (planned != m_planned_ends.end() && m_now < planned->second);
}

std::vector<scheduler::crash_suspect> scheduler::crash_suspects(worker_record& worker)
{
    const time_point failed = worker.unresponsive_since.value_or(m_now);
    time_point last_arrived{};
    for (const auto& [name, run] : worker.runs) {
        const bool arrived = run.confirmed != time_point{} && !run.adopted;
        last_arrived = std::max(last_arrived, arrived ? run.ordered : time_point{});
    }
    std::vector<crash_suspect> suspects;
    for (const auto& [name, run] : worker.runs) {
        if (worker.last_contact - run.ordered >= crash_suspicion_time) {
            clear_suspicion(name.task);
            continue;
        }
        const bool on_start = !run.adopted && failed - run.ordered <= crash_on_start_time &&
                              last_arrived - run.ordered <= crash_batch_time;
        suspects.push_back({name, {.worker = worker.incarnation(), .on_start = on_start}});
    }
    const bool alone = std::all_of(suspects.begin(), suspects.end(), [&](const auto& each) {
        return each.run.task.job == suspects.front().run.task.job;
    });
    for (crash_suspect& each : suspects) {
        each.crash.alone = alone;
    }
    return suspects;
}

void scheduler::clear_suspicion(const task_name& name)
{
    const auto job = m_open.find(name.job);
    if (job != m_open.end() && job->second->clear_crashes(name)) {
        mark_dirty(name.job);
    }
}

void scheduler::note_crash(const std::vector<crash_suspect>& suspects)
{
    for (const crash_suspect& each : suspects) {
        const task_name& name = each.run.task;
        job_record* const job = find_job(name.job);
        if (job == nullptr || is_terminal(job->state())) {
            continue;
        }
        if (m_isolation.is_explained(each.crash.worker)) {
            if (job->note_explained_crash(name)) {
                mark_dirty(name.job);
                m_new_crashes.insert(name.job);
                m_suspect_jobs.insert(name.job);
            }
            continue;
        }
        if (!job->note_crash(name, each.crash)) {
            continue;
        }
        mark_dirty(name.job);
        m_new_crashes.insert(name.job);
        const std::vector<task_crash>& crashes = job->find(name)->crashes;
        note_decision(*job, {.kind = decision_kind::crash_noted,
                             .run = each.run,
                             .worker = each.crash.worker,
                             .crashes = crashes});
        m_suspect_jobs.insert(name.job);
    }
    for (const crash_suspect& each : suspects) {
        job_record* const job = find_job(each.run.task.job);
        if (job == nullptr || is_terminal(job->state())) {
            continue;
        }
        const task_record* const task = job->find(each.run.task);
        if (task != nullptr && task->is_blamed()) {
            fail_crashing_task(*job, each.run.task);
        }
    }
}

void scheduler::fail_crashing_task(job_record& job, const task_name& name)
{
    std::vector<instance_id> crashes;
    for (const task_crash& each : job.find(name)->crashes) {
        crashes.push_back(each.worker);
    }
    // The end of a worker that is found to be a crash only later is explained as well.
    for (const auto& [machine, end] : m_unexplained_ends) {
        if (std::any_of(end.suspects.begin(), end.suspects.end(),
                        [&](const crash_suspect& each) { return each.run.task == name; })) {
            crashes.push_back(end.worker);
        }
    }
    job.set_culprit_of(crashes);
    end_job(job, job_state::failed, failure_reason::crashed_workers);
    note_culprit(job);
}

void scheduler::fail_blamed_jobs(time_point now)
{
    for (auto at = m_suspect_jobs.begin(); at != m_suspect_jobs.end();) {
        job_record& job = *m_open.at(*at++);
        if (in_doubt(job, now)) {
            continue;
        }
        if (const auto blamed = job.find_blamed_waiting()) {
            fail_crashing_task(job, *blamed);
        }
    }
}

void scheduler::note_culprit(const job_record& job)
{
    m_isolation.note_culprit(job.id(), job.culprit_of());
    for (const job_id& id : m_suspect_jobs) {
        clear_explained_crashes(*m_open.at(id));
    }
}

void scheduler::clear_explained_crashes(job_record& job)
{
    if (job.clear_crashes_if(
            [&](const task_crash& crash) { return m_isolation.is_explained(crash.worker); })) {
        mark_dirty(job.id());
    }
}

void scheduler::forget_refuted_end(const worker_record& worker, time_point sent)
{
    const auto end = m_unexplained_ends.find(worker.listing.machine);
    if (end != m_unexplained_ends.end() && end->second.worker == worker.incarnation() &&
        sent > end->second.at) {
        m_unexplained_ends.erase(end);
    }
}

void scheduler::note_successor(const worker_record& successor)
{
    const auto end = m_unexplained_ends.find(successor.listing.machine);
    if (end != m_unexplained_ends.end() && end->second.worker != successor.incarnation()) {
        const unexplained_end explained = std::move(end->second);
        m_unexplained_ends.erase(end);
        if (explained.service == successor.listing.service &&
            m_now - explained.at < successor_wait) {
            note_crash(explained.suspects);
        }
    }
    // A planned end of the machine's previous worker has happened.
    m_planned_ends.erase(successor.listing.machine);
}

void scheduler::refresh_overloaded_services()
{
    m_overloaded.clear();
    for (const auto& [service, needs] : m_unplaceable) {
        const auto candidates = m_candidates.find(service);
        // A need that fits on no worker of the service doesn't show that its pool is full.
        if (candidates != m_candidates.end() &&
            std::any_of(needs.begin(), needs.end(), [&](const resources& need) {
                return std::any_of(candidates->second.begin(), candidates->second.end(),
                                   [&](const worker_record* each) {
                                       return each->capacity_beside_long_running().can_fit(need);
                                   });
            })) {
            m_overloaded.insert(service);
        }
    }
}

void scheduler::place_isolated(const std::vector<candidate>& ranked, time_point now)
{
    for (const policy::waiting_suspect& each :
         m_isolation.begin_round(waiting_suspects(ranked), now)) {
        job_record& job = *find_job(each.job);
        for (auto& [number, occurrence] : job.occurrences()) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (may_place_isolated(job, occurrence, step)) {
                    place_isolated_step(job, each, number, step, now);
                }
            }
        }
    }
    for (const policy::suspect_position& each : m_isolation.end_round()) {
        decision awaited;
        awaited.kind = decision_kind::isolation_awaited;
        awaited.isolation = each;
        note_decision(*find_job(each.job), std::move(awaited));
    }
}

std::vector<policy::waiting_suspect>
scheduler::waiting_suspects(const std::vector<candidate>& ranked)
{
    std::vector<policy::waiting_suspect> waiting;
    if (m_suspect_jobs.empty()) {
        return waiting;
    }
    for (const candidate& each : ranked) {
        const job_record& job = *each.job;
        if (each.in_doubt || !m_suspect_jobs.contains(job.id())) {
            continue;
        }
        if (has_waiting_suspect(job)) {
            waiting.push_back({.job = job.id(), .service = job.queue().service});
        }
    }
    return waiting;
}

bool scheduler::has_waiting_suspect(const job_record& job)
{
    for (const auto& [number, occurrence] : job.occurrences()) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            if (may_place_isolated(job, occurrence, step) &&
                std::any_of(tasks.begin(), tasks.end(), [](const task_record& task) {
                    return task.is_waiting() && task.must_be_isolated();
                })) {
                return true;
            }
        }
    }
    return false;
}

bool scheduler::may_place_isolated(const job_record& job, const occurrence_record& occurrence,
                                   std::uint32_t step)
{
    return occurrence.steps[step].waiting > 0 && !job.spec().steps[step].gang &&
           job.is_unblocked(occurrence, step);
}

void scheduler::place_isolated_step(job_record& job, const policy::waiting_suspect& suspect,
                                    std::uint32_t occurrence, std::uint32_t step, time_point now)
{
    occurrence_record& current = job.occurrences().at(occurrence);
    auto& tasks = current.steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        task_record& task = tasks[index];
        if (!task.is_waiting() || !task.must_be_isolated()) {
            continue;
        }
        if (!cap_allows(job, occurrence, step, 1)) {
            return;
        }
        if (awaits_durable_crash(job, task)) {
            m_isolation.note_not_durable(suspect);
            continue;
        }
        const policy::isolation_choice choice =
            m_isolation.choose(suspect, isolation_pool_of(job, current, step, now));
        if (!choice.worker) {
            return;
        }
        if (!choice.start) {
            continue;
        }
        worker_record& worker = m_workers.at(*choice.worker);
        worker_run* const run =
            order_start(job, {job.id(), occurrence, step, index}, worker, next_attempt(task), now);
        if (run != nullptr) {
            run->last_start = task.is_on_last_start();
            run->isolation = run->last_start ? crash_suspicion_time : isolation_after(task.crashes);
            ++worker.isolated_runs;
            m_isolation.note_started(suspect, worker.listing.id);
        }
    }
}

policy::isolation_pool scheduler::isolation_pool_of(const job_record& job,
                                                    const occurrence_record& occurrence,
                                                    std::uint32_t step, time_point now) const
{
    policy::isolation_pool pool{.others_wait = m_overloaded.contains(job.queue().service)};
    const auto candidates = m_candidates.find(job.queue().service);
    if (candidates == m_candidates.end()) {
        return pool;
    }
    const step_spec& spec = job.spec().steps[step];
    const auto siblings_on = [&](const worker_record* each) {
        const auto& tasks = occurrence.steps[step].tasks;
        return std::count_if(tasks.begin(), tasks.end(), [&](const task_record& task) {
            return std::any_of(task.runs.begin(), task.runs.end(),
                               [&](const task_run& run) { return run.worker == each->listing.id; });
        });
    };
    pool.workers = candidates->second.size();
    std::int64_t room = 0;
    for (const worker_record* const each : candidates->second) {
        const bool is_kept = each->isolated_runs > 0 || m_isolation.is_reserved(each->listing.id);
        pool.kept += is_kept ? 1 : 0;
        // A suspect would keep the room of a long-running task for longer than that task may wait.
        if (m_reservations.is_reserved(each->listing.id) ||
            (!spec.required_label.empty() && !each->listing.has_label(spec.required_label))) {
            continue;
        }
        const auto siblings = spec.max_per_worker == 0 ? 0 : siblings_on(each);
        const auto left = spec.max_per_worker == 0 ? std::int64_t(spec.count) * 2
                                                   : std::int64_t(spec.max_per_worker) - siblings;
        room += std::min(left, each->free_capacity().count_fitting(spec.footprint()));
        if (left > 0 && each->capacity_beside_long_running().can_fit(spec.footprint())) {
            pool.hosts.push_back(isolation_host_of(*each, job, spec, now));
        }
    }
    pool.full = room < 2 * std::int64_t(occurrence.steps[step].waiting);
    return pool;
}

policy::isolation_host scheduler::isolation_host_of(const worker_record& worker,
                                                    const job_record& job, const step_spec& spec,
                                                    time_point now)
{
    policy::isolation_host host{.worker = worker.listing.id,
                                .has_room = worker.free_capacity().can_fit(spec.footprint()),
                                .has_long_running = worker.long_running_runs > 0,
                                .far =
                                    !spec.rack.empty() && worker.listing.rack.str() != spec.rack};
    for (const auto& [name, run] : worker.runs) {
        if (name.task.job == job.id()) {
            host.has_own = host.has_own || run.is_isolated();
            continue;
        }
        if (run.is_isolated() ? run.ordered == now : run.long_running) {
            continue;
        }
        const auto age = std::chrono::duration_cast<milliseconds>(now - run.ordered);
        host.youngest_age = host.other_runs == 0 ? age : std::min(host.youngest_age, age);
        ++host.other_runs;
        host.has_isolated = host.has_isolated || run.is_isolated();
        host.has_last_start = host.has_last_start || (run.is_isolated() && run.last_start);
    }
    return host;
}

} // namespace plantaindoor::job
