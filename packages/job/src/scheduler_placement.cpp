#include "plantaindoor/job/scheduler.hpp"
#include "plantaindoor/job/task_limits.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plantaindoor::job {

namespace {

/// Delay after which an unanswered stop is sent again.
constexpr milliseconds stop_resend{600};
/// Preference for a worker as the place of a task: not avoided, not slow, near, no strong
/// interference, has long-running runs, no mild interference, least free processor time. Compared
/// left to right; higher is better. A failed attempt costs more than a slow one, as slow phases
/// last seconds. Strong interference goes before packing on few workers, mild doesn't: a machine
/// costs more than runs that are a little slower.
using suitability = std::tuple<bool, bool, bool, int, bool, int, std::int64_t>;

} // namespace

orders scheduler::plan(time_point now, wall_time wall_now)
{
    m_orders = {};
    m_now = now;
    m_wall_now = wall_now;
    expire_unresponsive_workers(now);
    start_due_occurrences(wall_now);
    refresh_learned(now);
    evacuate(now);
    fail_blamed_jobs(now);
    place_all(now);
    report_long_waits(now);
    throttle_best_effort(now);
    send_stops(now);
    return std::exchange(m_orders, {});
}

orders scheduler::plan_stops(time_point now)
{
    m_orders = {};
    m_now = now;
    send_stops(now);
    return std::exchange(m_orders, {});
}

void scheduler::start_due_occurrences(wall_time wall_now)
{
    for (const auto& [id, job] : m_open) {
        if (job->start_due(wall_now)) {
            mark_dirty(id);
        }
    }
}

std::vector<scheduler::candidate> scheduler::ranked_jobs(time_point now)
{
    judge_submissions(now);
    std::vector<candidate> all;
    all.reserve(m_open.size());
    for (const auto& [id, unfinished] : m_open) {
        job_record& job = *unfinished;
        if (job.is_long_running()) {
            job.note_waiting(now, m_wall_now);
        }
        const bool doubtful = in_doubt(job, now);
        const job_tier tier = tier_of(job, now);
        const bool long_running = tier == job_tier::long_running;
        if (doubtful && !long_running) {
            continue;
        }
        all.push_back({.job = &job,
                       .tier = tier,
                       .objective = job.objective(),
                       .long_running_first = long_running,
                       .in_doubt = doubtful});
    }
    std::sort(all.begin(), all.end(), [](const candidate& left, const candidate& right) {
        const auto rank = [](const candidate& each) {
            return std::tuple(each.tier, each.job->queue().priority, each.objective);
        };
        const auto order = rank(left) <=> rank(right);
        return order != 0 ? order < 0 : left.job->id() < right.job->id();
    });
    rank_by_share(all);
    return all;
}

void scheduler::place_all(time_point now)
{
    m_candidates.clear();
    for (auto& [id, worker] : m_workers) {
        if (worker.is_usable(now)) {
            m_candidates[worker.listing.service].push_back(&worker);
        }
    }
    refresh_overloaded_services();
    m_unplaceable.clear();
    count_possible_runs(now);
    const std::vector<candidate> ranked = ranked_jobs(now);
    place_isolated(ranked, now);
    for (auto& [service, workers] : m_candidates) {
        std::erase_if(workers, [this](const worker_record* each) {
            return each->isolated_runs > 0 || m_isolation.is_reserved(each->listing.id);
        });
    }
    place_long_running(ranked, now);
    m_worker_holds.begin_round(now);
    for (const candidate& each : ranked) {
        place_job(each, now);
    }
    m_worker_holds.end_round();
    m_quota.end_round(now);
    release_held();
}

void scheduler::place_job(const candidate& ranked, time_point now)
{
    job_record& job = *ranked.job;
    if (ranked.in_doubt || !m_candidates.contains(job.queue().service)) {
        return;
    }
    for (auto& [number, occurrence] : job.occurrences()) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting == 0 || !job.is_unblocked(occurrence, step)) {
                continue;
            }
            const step_spec& spec = job.spec().steps[step];
            if (spec.gang) {
                place_gang(job, number, step, now);
            }
            else if (!spec.long_running || !ranked.long_running_first) {
                place_step(job, number, step, now);
            }
        }
    }
}

void scheduler::place_step(job_record& job, std::uint32_t occurrence, std::uint32_t step,
                           time_point now)
{
    auto& tasks = job.occurrences().at(occurrence).steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        task_record& task = tasks[index];
        if (!task.is_waiting() || task.must_be_isolated() || awaits_durable_crash(job, task)) {
            continue;
        }
        if (!cap_allows(job, occurrence, step, 1)) {
            return;
        }
        worker_record* const worker =
            choose_worker(job, job.occurrences().at(occurrence), step, task, now);
        if (worker == nullptr) {
            hold_for_wide_task(job, job.occurrences().at(occurrence), step, task, now);
            return;
        }
        order_start(job, {job.id(), occurrence, step, index}, *worker, next_attempt(task), now);
    }
}

std::uint32_t scheduler::next_attempt(const task_record& task) const
{
    return std::max(task.last_attempt, m_options.attempt_base) + 1;
}

void scheduler::place_gang(job_record& job, std::uint32_t occurrence, std::uint32_t step,
                           time_point now)
{
    occurrence_record& current = job.occurrences().at(occurrence);
    auto& tasks = current.steps[step].tasks;
    const bool all_waiting = std::all_of(tasks.begin(), tasks.end(), [&](const task_record& task) {
        return task.is_waiting() && !awaits_durable_crash(job, task);
    });
    if (!all_waiting ||
        !cap_allows(job, occurrence, step, static_cast<std::uint32_t>(tasks.size()))) {
        return;
    }
    std::uint32_t attempt = m_options.attempt_base;
    std::string checkpoint;
    for (const task_record& task : tasks) {
        attempt = std::max(attempt, task.last_attempt);
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    // A gang starts whole or not at all, so all its tasks are placed tentatively before any start
    // is ordered.
    auto& unplaceable = m_unplaceable[job.queue().service];
    const std::size_t unplaceable_before = unplaceable.size();
    std::vector<worker_record*> chosen;
    const resources footprint = job.spec().steps[step].footprint();
    for (task_record& task : tasks) {
        worker_record* const worker = choose_worker(job, current, step, task, now);
        if (worker == nullptr) {
            break;
        }
        worker->used += footprint;
        task.runs.push_back({worker->listing.id, 0});
        chosen.push_back(worker);
    }
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        chosen[index]->used -= footprint;
        tasks[index].runs.clear();
    }
    if (chosen.size() < tasks.size()) {
        // Needs recorded against the tentative placements may fit now that these are undone.
        unplaceable.resize(unplaceable_before);
        hold_for_gang(job, step, chosen, now);
        return;
    }
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        tasks[index].checkpoint = checkpoint;
        order_start(job, {job.id(), occurrence, step, index}, *chosen[index], attempt + 1, now);
    }
}

worker_record* scheduler::choose_worker(const job_record& job, const occurrence_record& occurrence,
                                        std::uint32_t step, const task_record& task, time_point now)
{
    const step_spec& spec = job.spec().steps[step];
    const resources need = spec.footprint();
    if (!spec.long_running && is_unplaceable(job.queue().service, need)) {
        return nullptr;
    }
    std::map<instance_id, std::uint32_t> siblings;
    std::set<rack_id> racks;
    if (spec.max_per_worker > 0 || spec.same_rack) {
        siblings = occurrence.steps[step].runs_by_worker();
        for (const auto& [id, count] : siblings) {
            if (const auto at = m_workers.find(id); at != m_workers.end()) {
                racks.insert(at->second.listing.rack);
            }
        }
    }
    const auto& candidates = m_candidates[job.queue().service];
    const task_limits limits(spec, task, siblings, candidates);
    const auto suits = [&](const worker_record& worker) {
        return worker.free_capacity().can_fit(need) && limits.allow(worker);
    };
    const auto* const partners = m_learner.partners_of(job, step);
    const bool sensitive = is_sensitive(job, step);
    const auto cost_of = [&](const worker_record& worker) {
        return partners == nullptr ? interference_cost{}
                                   : speed_learner::cost_of(*partners, sensitive, worker);
    };
    const auto suitability_of = [&](const worker_record& worker, bool learned) {
        const bool near = (spec.rack.empty() || worker.listing.rack.str() == spec.rack) &&
                          (!spec.same_rack || racks.empty() || racks.contains(worker.listing.rack));
        // Pack tasks on few workers, so that other machines can be moved out of the pool.
        const interference_cost cost = learned ? cost_of(worker) : interference_cost{};
        return suitability(!limits.is_avoided(worker), !learned || !worker.slow, near, -cost.strong,
                           worker.long_running_runs > 0, -cost.mild,
                           -worker.free_capacity().cpu_millis);
    };
    const auto find_best = [&](bool learned) {
        worker_record* chosen = nullptr;
        suitability of_chosen;
        for (worker_record* const worker : candidates) {
            if (!worker->is_usable(now) || !suits(*worker)) {
                continue;
            }
            const suitability of_worker = suitability_of(*worker, learned);
            if (chosen == nullptr || of_worker > of_chosen) {
                chosen = worker;
                of_chosen = of_worker;
            }
        }
        return chosen;
    };
    worker_record* best = find_best(false);
    const auto is_harmed = [&](const worker_record& worker) {
        const interference_cost cost = cost_of(worker);
        return worker.slow || cost.strong > 0 || cost.mild > 0;
    };
    // Without a cost, the best by the other terms is the best by all.
    if (best != nullptr && is_harmed(*best)) {
        worker_record* const preferred = find_best(true);
        m_placements_changed += preferred == best ? 0 : 1;
        best = preferred;
    }
    if (best == nullptr && spec.required_label.empty() && spec.max_per_worker == 0 &&
        !limits.exclude_avoided()) {
        m_unplaceable[job.queue().service].push_back(need);
    }
    if (best == nullptr && spec.long_running) {
        best = find_cordoned_worker(job.queue().service, suits);
    }
    return best;
}

bool scheduler::is_unplaceable(const service_id& service, const resources& need) const
{
    const auto needs = m_unplaceable.find(service);
    return needs != m_unplaceable.end() &&
           std::any_of(needs->second.begin(), needs->second.end(),
                       [&](const resources& unmet) { return need.can_fit(unmet); });
}

worker_record*
scheduler::find_cordoned_worker(const service_id& service,
                                const std::function<bool(const worker_record&)>& suits)
{
    for (auto& [id, worker] : m_workers) {
        // A cordoned worker keeps its long-running tasks until enough others are at full rate, and
        // the task to be placed may be one of those others.
        if (worker.listing.service == service && worker.cordoned && worker.listed &&
            worker.token_acknowledged && !worker.is_leaving() && worker.missed_polls == 0 &&
            worker.keeps_long_running() && suits(worker)) {
            return &worker;
        }
    }
    return nullptr;
}

worker_run* scheduler::order_start(job_record& job, const task_name& name, worker_record& worker,
                                   std::uint32_t attempt, time_point now)
{
    const auto deadline = extend_lease(worker, now);
    if (!deadline) {
        return nullptr;
    }
    const step_spec& step = job.spec().steps[name.step];
    const run_name run{name, attempt};
    if (job.state() == job_state::queued) {
        note_decision(
            job, {.kind = decision_kind::first_start, .run = run, .worker = worker.listing.id});
    }
    worker_run started{.footprint = step.footprint(), .ordered = now};
    worker.used += started.footprint;
    started.long_running = step.long_running;
    started.waited_since = job.find(name)->waiting_since;
    m_learner.begin(started, job, *job.find(name), name.step);
    worker.long_running_runs += step.long_running ? 1 : 0;
    if (step.long_running) {
        note_restart(job, run, worker.listing.id, now);
    }
    charge_run(started, job, name.step);
    const auto added = worker.runs.emplace(run, std::move(started)).first;
    job.note_started(name, {worker.listing.id, attempt});
    m_orders.starts.push_back({.worker = worker.listing.id,
                               .run = run,
                               .spec = m_specs.at(job.id()),
                               .checkpoint = job.find(name)->checkpoint,
                               .deadline = *deadline});
    return &added->second;
}

void scheduler::evacuate(time_point now)
{
    for (auto& [id, worker] : m_workers) {
        const bool evicted = worker.is_leaving()
                                 ? now >= worker.departure->last_stop(m_options.stop_time)
                                 : worker.cordoned && may_vacate(worker);
        if (!evicted) {
            continue;
        }
        for (const auto& [name, run] : worker.runs) {
            if (run.long_running && run.phase == run_phase::running) {
                request_stop(worker, name);
            }
        }
    }
}

bool scheduler::may_vacate(const worker_record& worker) const
{
    // By the first task of their step.
    std::map<task_name, std::uint32_t> evicted;
    return std::all_of(worker.runs.begin(), worker.runs.end(), [&](const auto& each) {
        const auto& [name, run] = each;
        if (!run.long_running || run.phase == run_phase::stopping) {
            return true;
        }
        std::uint32_t& of_step = evicted[name.task.first_of_step()];
        if (!may_evict(name, run, of_step)) {
            return false;
        }
        // A gang stops as a whole.
        of_step += find(name.task.job)->spec().steps[name.task.step].gang ? 0 : 1;
        return true;
    });
}

bool scheduler::may_evict(const run_name& run, const worker_run& running,
                          std::uint32_t evicted) const
{
    const task_name& name = run.task;
    const job_record* const job = find(name.job);
    // A task that a predecessor has just ordered to stop is still reported as running.
    if (running.phase != run_phase::running || job == nullptr ||
        m_now < m_started + 2 * m_options.stop_time) {
        return false;
    }
    const step_spec& spec = job->spec().steps[name.step];
    std::uint32_t unavailable = evicted;
    const auto& tasks = job->step_of(name).tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (index == name.index) {
            continue;
        }
        const bool is_working = std::any_of(
            tasks[index].runs.begin(), tasks[index].runs.end(), [&](const task_run& each) {
                const auto worker = m_workers.find(each.worker);
                // A task on a worker that leaves is about to be stopped.
                if (worker == m_workers.end() || worker->second.is_leaving()) {
                    return false;
                }
                const auto known = worker->second.runs.find(
                    {{name.job, name.occurrence, name.step, index}, each.attempt});
                return known != worker->second.runs.end() &&
                       known->second.phase == run_phase::running &&
                       known->second.working_since.has_value() && worker->second.missed_polls == 0;
            });
        unavailable += is_working ? 0 : 1;
    }
    return unavailable < std::max<std::uint32_t>(spec.max_unavailable, 1);
}

void scheduler::send_stops(time_point now)
{
    for (auto at = m_stopping.begin(); at != m_stopping.end();) {
        const auto found = m_workers.find(*at);
        bool any = false;
        if (found != m_workers.end()) {
            for (auto& [name, run] : found->second.runs) {
                any = any || run.phase == run_phase::stopping;
                const bool due = run.phase == run_phase::stopping && !run.stop_answered &&
                                 (!run.stop_sent || now - *run.stop_sent >= stop_resend);
                if (due && found->second.missed_polls == 0) {
                    run.stop_sent = now;
                    m_orders.stops.push_back({*at, name});
                }
            }
        }
        at = any ? std::next(at) : m_stopping.erase(at);
    }
}

} // namespace plantaindoor::job
