#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plantaindoor::job {

namespace {

/// How long after the end of a worker its successor explains that end as a crash.
constexpr milliseconds successor_wait{15000};
/// One in this many workers of a service, and at least one, is kept for isolated tasks.
constexpr std::size_t isolation_divisor = 4;
/// The same while other tasks of the service wait for room.
constexpr std::size_t overload_isolation_divisor = 10;

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
            if (job_record* const job = find_job(name.task.job);
                job != nullptr && job->clear_crashes(name.task)) {
                mark_dirty(job->id());
            }
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

void scheduler::note_crash(const std::vector<crash_suspect>& suspects)
{
    for (const crash_suspect& each : suspects) {
        const task_name& name = each.run.task;
        job_record* const job = find_job(name.job);
        if (job == nullptr || is_terminal(job->state()) || !job->note_crash(name, each.crash)) {
            continue;
        }
        mark_dirty(name.job);
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
        if (task != nullptr && is_to_blame(task->crashes)) {
            fail_crashing_task(*job, each.run.task);
        }
    }
}

void scheduler::fail_crashing_task(job_record& job, const task_name& name)
{
    const std::vector<task_crash> crashes = job.find(name)->crashes;
    end_job(job, job_state::failed, failure_reason::crashed_workers);
    for (const job_id& id : m_suspect_jobs) {
        job_record& other = *m_open.at(id);
        for (const task_crash& crash : crashes) {
            if (other.clear_crash_of(crash.worker)) {
                mark_dirty(id);
            }
        }
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

void scheduler::place_isolated(const std::vector<candidate>& ranked, time_point now)
{
    m_reserved.clear();
    m_crashes_examined.clear();
    if (m_suspect_jobs.empty()) {
        return;
    }
    for (const auto& [id, worker] : m_workers) {
        if (worker.isolated_runs == 0) {
            continue;
        }
        for (const auto& [name, run] : worker.runs) {
            if (run.is_isolated()) {
                note_isolated_start(name.task);
            }
        }
    }
    for (const candidate& each : ranked) {
        job_record& job = *each.job;
        if (!m_suspect_jobs.contains(job.id())) {
            continue;
        }
        for (auto& [number, occurrence] : job.occurrences()) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (occurrence.steps[step].waiting > 0 && !job.spec().steps[step].gang &&
                    job.is_unblocked(occurrence, step)) {
                    place_isolated_step(job, number, step, now);
                }
            }
        }
    }
}

void scheduler::note_isolated_start(const task_name& name)
{
    job_record* const job = find_job(name.job);
    const task_record* const task = job == nullptr ? nullptr : job->find(name);
    if (task != nullptr && !task->crashes.empty()) {
        m_crashes_examined.emplace(task->crashes.back().worker, name.job);
    }
}

bool scheduler::awaits_other_suspect(const job_record& job, const task_record& task) const
{
    const auto examined = m_crashes_examined.find(task.crashes.back().worker);
    return m_overloaded.contains(job.queue().service) && examined != m_crashes_examined.end() &&
           examined->second != job.id();
}

void scheduler::place_isolated_step(job_record& job, std::uint32_t occurrence, std::uint32_t step,
                                    time_point now)
{
    occurrence_record& current = job.occurrences().at(occurrence);
    auto& tasks = current.steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        task_record& task = tasks[index];
        // A successor must know of earlier crashes before the task can cause a further one.
        const bool may_start = task.crashes.size() < 2 || is_durable(job.id());
        if (!task.is_waiting() || !needs_isolation(task.crashes) || !may_start ||
            awaits_other_suspect(job, task)) {
            continue;
        }
        worker_record* const worker = choose_isolated_worker(job, current, step);
        if (worker == nullptr) {
            return;
        }
        m_reserved.emplace(worker->listing.id, job.id());
        note_isolated_start({job.id(), occurrence, step, index});
        if (!worker->is_free_for_isolated(job.id()) ||
            !worker->free_capacity().can_fit(job.spec().steps[step].footprint())) {
            continue; // The worker is kept from other tasks until it is free.
        }
        worker_run* const run =
            order_start(job, {job.id(), occurrence, step, index}, *worker, next_attempt(task), now);
        if (run != nullptr) {
            run->isolation = isolation_after(task.crashes);
            ++worker->isolated_runs;
        }
    }
}

worker_record* scheduler::choose_isolated_worker(const job_record& job,
                                                 const occurrence_record& occurrence,
                                                 std::uint32_t step)
{
    const auto candidates = m_candidates.find(job.queue().service);
    if (candidates == m_candidates.end()) {
        return nullptr;
    }
    const step_spec& spec = job.spec().steps[step];
    const auto is_kept = [this](const worker_record* each) {
        return each->isolated_runs > 0 || m_reserved.contains(each->listing.id);
    };
    const auto kept = static_cast<std::size_t>(
        std::count_if(candidates->second.begin(), candidates->second.end(), is_kept));
    const std::size_t divisor =
        m_overloaded.contains(job.queue().service) ? overload_isolation_divisor : isolation_divisor;
    const bool may_keep_more = kept < std::max<std::size_t>(candidates->second.size() / divisor, 1);
    const auto belongs_to_job = [&](const worker_record* each) {
        const auto reserved = m_reserved.find(each->listing.id);
        return reserved != m_reserved.end() ? reserved->second == job.id()
                                            : each->is_free_for_isolated(job.id());
    };
    const auto siblings_on = [&](const worker_record* each) {
        const auto& tasks = occurrence.steps[step].tasks;
        return std::count_if(tasks.begin(), tasks.end(), [&](const task_record& task) {
            return std::any_of(task.runs.begin(), task.runs.end(),
                               [&](const task_run& run) { return run.worker == each->listing.id; });
        });
    };
    const auto suits = [&](const worker_record* each) {
        return (is_kept(each) ? belongs_to_job(each) : may_keep_more) &&
               each->capacity_beside_long_running().can_fit(spec.footprint()) &&
               (spec.required_label.empty() || each->listing.has_label(spec.required_label)) &&
               (spec.max_per_worker == 0 || siblings_on(each) < spec.max_per_worker);
    };
    const auto cost_of = [&](const worker_record* each) {
        const bool far = !spec.rack.empty() && each->listing.rack.str() != spec.rack;
        return std::tuple(!is_kept(each), each->long_running_runs > 0,
                          each->runs.size() - each->long_running_runs, far);
    };
    worker_record* best = nullptr;
    for (worker_record* const each : candidates->second) {
        if (suits(each) && (best == nullptr || cost_of(each) < cost_of(best))) {
            best = each;
        }
    }
    return best;
}

} // namespace plantaindoor::job
