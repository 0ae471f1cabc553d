#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::job {

namespace {

/// How long a worker with runs, or without, may wait for a run to end before it answers a poll.
constexpr milliseconds busy_poll_wait{1000};
constexpr milliseconds idle_poll_wait{2000};
/// The same with isolated runs, whose isolation ends with a report.
constexpr milliseconds isolating_poll_wait{500};
/// How long a worker gets no starts after it had no capacity for one, or after one failed
/// otherwise.
constexpr milliseconds no_capacity_backoff{200};
constexpr milliseconds failed_start_backoff{2000};

/// A run that is still reported this many times the stop time after its accepted stop is sent
/// another one.
constexpr int stop_time_factor = 2;

void note_departure(worker_record& worker, std::optional<milliseconds> remaining, time_point now)
{
    if (!worker.departure) {
        worker.departure.emplace(now);
    }
    if (remaining) {
        worker.departure->note_remaining(*remaining, now);
    }
}

} // namespace

void scheduler::note_answer_at(const worker_record& worker, time_point sent)
{
    const std::string& address = worker.listing.address;
    instance_id& holder = m_worker_at_address[address];
    const auto earlier = m_workers.find(holder);
    const bool has_earlier = earlier != m_workers.end() && holder != worker.listing.id &&
                             earlier->second.listing.address == address;
    // An answer that was requested before the other's last one may be the older of the two.
    if (has_earlier && sent <= earlier->second.last_answer) {
        return;
    }
    holder = worker.listing.id;
    if (has_earlier) {
        mark_runs_lost(earlier->second, worker_end::other_address);
        earlier->second.listed = false;
    }
}

void scheduler::note_worker_listed(worker_listing listing, time_point now)
{
    m_now = now;
    const instance_id id = listing.id;
    worker_record& worker = m_workers[id];
    if (is_outdated(listing)) {
        return;
    }
    if (worker.listing.id.empty()) {
        // A predecessor may have started tasks there and extended their leases.
        worker.lease_bound = m_doubt.lease_bound();
        worker.last_answer = now;
        // What is being persisted is of another record of this id.
        m_persisting_sequences.erase(id);
        worker.cordoned = m_cordoned_early.erase(id) > 0;
        worker.cordoned_since = now;
    }
    note_listed_start(worker, listing, now);
    if (!listing.draining) {
        worker.departure.reset();
    }
    else {
        note_departure(worker, listing.remaining, now);
    }
    worker.listing = std::move(listing);
    worker.listed = true;
}

void scheduler::note_worker_unlisted(const instance_id& id, time_point now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    found->second.listed = false;
    if (is_removable(found->second, now)) {
        m_workers.erase(found);
    }
}

void scheduler::note_worker_ended(const instance_id& id, worker_end cause, time_point now)
{
    m_now = now;
    m_cordoned_early.erase(id);
    const auto found = m_workers.find(id);
    if (found != m_workers.end()) {
        mark_runs_lost(found->second, cause);
        m_workers.erase(found);
    }
}

void scheduler::cordon_worker(const instance_id& id, bool cordoned)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        if (cordoned) {
            m_cordoned_early.insert(id);
        }
        else {
            m_cordoned_early.erase(id);
        }
        return;
    }
    if (cordoned && !found->second.cordoned) {
        found->second.cordoned_since = m_now;
    }
    found->second.cordoned = cordoned;
}

bool scheduler::is_removable(const worker_record& worker, time_point now)
{
    // What a predecessor has started on a worker that hasn't answered yet isn't known; only the
    // worker's report tells which runs to stop.
    return !worker.listed && worker.runs.empty() &&
           (worker.predecessor_runs_known ||
            (now > worker.lease_bound && !worker.may_list_earlier_ends(now)));
}

bool scheduler::needs_polling(const instance_id& id) const
{
    return m_workers.contains(id);
}

std::optional<milliseconds> scheduler::extend_lease(worker_record& worker, time_point now)
{
    if (!worker.clock || worker.missed_polls > 0) {
        return std::nullopt;
    }
    worker.lease_bound = std::max(worker.lease_bound, now + with_clock_margins(m_options.lease));
    const auto passed = std::chrono::duration_cast<milliseconds>(now - worker.clock_read_at);
    return *worker.clock + passed + m_options.lease;
}

poll_order scheduler::next_poll(const instance_id& id, time_point now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return {};
    }
    worker_record& worker = found->second;
    if (m_dirty.empty() && m_persisting.empty()) {
        worker.committed_sequence = worker.applied_sequence;
    }
    // A worker that may have started again must not take acknowledgements of its earlier
    // incarnation's ends for ones of its own.
    const bool may_have_restarted =
        worker.latest_start() && (worker.missed_polls > 0 || worker.listed_start);
    poll_order poll{.acknowledged = may_have_restarted ? 0 : worker.committed_sequence};
    // The next part of a partial list is available as soon as this part is acknowledged.
    if (worker.token_acknowledged && worker.missed_polls == 0 && !worker.has_unlisted_ends) {
        poll.wait = worker.runs.empty()         ? idle_poll_wait
                    : worker.isolated_runs == 0 ? busy_poll_wait
                                                : isolating_poll_wait;
    }
    if (!worker.runs.empty()) {
        poll.deadline = extend_lease(worker, now);
    }
    return poll;
}

void scheduler::note_report(const instance_id& id, const worker_report& report, time_point sent,
                            time_point now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    m_now = now;
    worker_record& worker = found->second;
    if (is_outdated(worker, report, sent)) {
        return;
    }
    note_answer_at(worker, sent);
    if (worker.started_at && report.started_at && *report.started_at > *worker.started_at) {
        begin_incarnation(worker, report, sent);
        // Deadlines by the clock of the earlier incarnation may have extended the lease of this
        // one.
        worker.lease_bound = now + with_clock_margins(m_options.max_lease);
    }
    note_reported_start(worker, report, sent);
    forget_refuted_end(worker, sent);
    if (!worker.token_acknowledged) {
        note_successor(worker);
    }
    worker.clock = report.worker_clock;
    if (report.capacity) {
        worker.reported_capacity = report.capacity;
    }
    if (report.remaining) {
        note_departure(worker, report.remaining, now);
    }
    worker.clock_read_at = now;
    worker.last_answer = now;
    worker.missed_polls = 0;
    worker.last_contact = now;
    worker.unresponsive_since.reset();
    worker.token_acknowledged = true;
    ++worker.reports;
    worker.has_new_loads = true;
    worker.has_unlisted_ends = report.ended.extent == list_extent::partial;
    for (const ended_run& end : report.ended.runs) {
        if (end.sequence > worker.applied_sequence) {
            apply_end(worker, end, now);
            worker.applied_sequence = end.sequence;
        }
    }
    for (const reported_run& reported : report.running) {
        apply_running(worker, reported, now);
    }
    if (report.ended.extent == list_extent::complete) {
        worker.predecessor_runs_known = true;
        m_doubt.note_runs_known(id);
    }
    resolve_unreported_runs(worker, report.ended.extent, sent);
}

void scheduler::apply_running(worker_record& worker, const reported_run& reported, time_point now)
{
    auto known = worker.runs.find(reported.run);
    if (known == worker.runs.end()) {
        job_record* const job = find_job(reported.run.task.job);
        task_record* const task = job == nullptr ? nullptr : find_reported(*job, reported.run.task);
        if (task == nullptr || is_terminal(job->state()) || task->done || !task->runs.empty()) {
            stop_unexpected_run(worker, reported.run, now);
        }
        else {
            adopt_run(worker, reported, *job, *task, now);
        }
        known = worker.runs.find(reported.run);
    }
    worker_run& run = known->second;
    if (run.last_report == 0 && run.confirmed == time_point{} && run.phase != run_phase::ordered) {
        // The start had no answer and may have been carried out only now, seconds after the order.
        run.ordered = now;
        run.adopted = true;
    }
    run.last_report = worker.reports;
    note_run_arrived(run);
    if (run.long_running) {
        end_durable_wait(reported.run.task);
    }
    if (run.phase == run_phase::ordered || run.phase == run_phase::unconfirmed) {
        run.phase = run_phase::running;
        run.confirmed = now;
    }
    if (run.phase == run_phase::stopping && run.stop_answered &&
        now - *run.stop_answered > stop_time_factor * m_options.stop_time) {
        // The worker has started the run in spite of the stop, which came first.
        run.stop_answered.reset();
    }
    run.checkpoint = reported.checkpoint;
    run.percent = reported.percent;
    run.load = reported.load;
    m_learner.note_progress(worker, reported.run, run, now);
    constexpr std::uint32_t full_rate_percent = 100;
    if (reported.percent >= full_rate_percent && !run.working_since) {
        run.working_since = now;
    }
    if (run.is_isolated() && now - run.ordered >= run.isolation) {
        run.isolation = milliseconds(0);
        --worker.isolated_runs;
    }
    if (now - run.ordered >= crash_suspicion_time) {
        clear_suspicion(reported.run.task);
    }
}

void scheduler::adopt_run(worker_record& worker, const reported_run& reported, job_record& job,
                          task_record& task, time_point now)
{
    worker_run run{.phase = run_phase::running,
                   .long_running = job.spec().steps[reported.run.task.step].long_running,
                   .footprint = job.spec().steps[reported.run.task.step].footprint(),
                   .ordered = now,
                   .confirmed = now,
                   .adopted = true};
    m_learner.begin(run, job, task, reported.run.task.step);
    worker.used += run.footprint;
    worker.long_running_runs += run.long_running ? 1 : 0;
    charge_run(run, job, reported.run.task.step);
    worker.runs.emplace(reported.run, std::move(run));
    task.last_attempt = std::max(task.last_attempt, reported.run.attempt);
    job.note_started(reported.run.task, {worker.listing.id, reported.run.attempt});
    if (job.spec().steps[reported.run.task.step].long_running) {
        note_decision(job, {.kind = decision_kind::task_adopted,
                            .run = reported.run,
                            .worker = worker.listing.id});
    }
    // The bound must cover the adopted run's lease as it does those of runs started by this
    // process.
    worker.lease_bound = std::max(worker.lease_bound, now + with_clock_margins(m_options.lease));
}

void scheduler::stop_unexpected_run(worker_record& worker, const run_name& run, time_point now)
{
    worker_run unexpected{.phase = run_phase::stopping, .ordered = now, .confirmed = now};
    if (const job_record* const job = find(run.task.job);
        job != nullptr && run.task.step < job->spec().steps.size()) {
        unexpected.footprint = job->spec().steps[run.task.step].footprint();
        charge_run(unexpected, *job, run.task.step);
    }
    else {
        // Its size is unknown, so that nothing may start beside it.
        unexpected.footprint = worker.capacity();
    }
    m_stopping.insert(worker.listing.id);
    worker.used += unexpected.footprint;
    worker.runs.emplace(run, std::move(unexpected));
}

void scheduler::resolve_unreported_runs(worker_record& worker, list_extent ended, time_point sent)
{
    std::vector<run_name> absent;
    for (auto& [name, run] : worker.runs) {
        if (run.last_report == worker.reports) {
            continue;
        }
        const bool ended_unreported = run.phase == run_phase::running && run.confirmed < sent;
        const bool stop_confirmed =
            run.phase == run_phase::stopping && run.stop_answered && *run.stop_answered < sent;
        if (ended_unreported || stop_confirmed) {
            // How it ended may be in the part of a partial list that is still to come.
            if (ended == list_extent::partial) {
                continue;
            }
            absent.push_back(name);
        }
        else if (run.phase == run_phase::unconfirmed) {
            // The start may still arrive; a stop makes the worker reject it in that case.
            run.phase = run_phase::stopping;
            m_stopping.insert(worker.listing.id);
        }
    }
    for (const run_name& name : absent) {
        release_run(worker, name);
    }
}

void scheduler::note_missed_poll(const instance_id& id, time_point now)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end()) {
        ++found->second.missed_polls;
        note_no_answer(found->second, now);
    }
}

void scheduler::note_no_answer(worker_record& worker, time_point now)
{
    if (!worker.unresponsive_since) {
        worker.unresponsive_since = now;
    }
}

void scheduler::note_start(const instance_id& id, const run_name& run, order_answer answer,
                           time_point now)
{
    m_now = now;
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    worker_record& worker = found->second;
    const auto known = worker.runs.find(run);
    if (known == worker.runs.end()) {
        return;
    }
    switch (answer) {
    case order_answer::accepted:
        if (known->second.phase == run_phase::ordered) {
            known->second.phase = run_phase::running;
        }
        known->second.confirmed = now;
        note_run_arrived(known->second);
        if (known->second.long_running) {
            end_durable_wait(run.task);
        }
        worker.last_contact = now;
        break;
    case order_answer::unanswered:
        note_no_answer(worker, now);
        worker.unanswered_start = now;
        if (known->second.phase == run_phase::ordered) {
            known->second.phase = run_phase::unconfirmed;
            job_record* const job = find_job(run.task.job);
            if (known->second.long_running && job != nullptr) {
                // Another start there, left unanswered too, would cost as much time again.
                job->find(run.task)->avoided.push_back(id);
            }
        }
        break;
    case order_answer::other_instance:
        note_worker_ended(id, worker_end::other_address, now);
        break;
    case order_answer::no_capacity:
        worker.full_until = now + no_capacity_backoff;
        release_run(worker, run);
        break;
    case order_answer::unhealthy:
    case order_answer::unreachable:
    case order_answer::malformed:
        if (answer == order_answer::unreachable) {
            note_no_answer(worker, now);
        }
        worker.quarantined_until = now + failed_start_backoff;
        release_run(worker, run);
        break;
    case order_answer::stale_token:
    case order_answer::stale_run:
    case order_answer::lease_expired:
    case order_answer::no_ticket:
        release_run(worker, run);
        break;
    }
}

void scheduler::note_stop(const instance_id& id, const run_name& run, order_answer answer,
                          time_point now)
{
    if (answer == order_answer::other_instance) {
        note_worker_ended(id, worker_end::other_address, now);
        return;
    }
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    const auto known = found->second.runs.find(run);
    if (known != found->second.runs.end() && answer == order_answer::accepted) {
        known->second.stop_answered = now;
    }
}

void scheduler::expire_unresponsive_workers(time_point now)
{
    m_doubt.drop_lapsed(m_workers, now);
    for (auto at = m_workers.begin(); at != m_workers.end();) {
        worker_record& worker = at->second;
        const bool unresponsive = worker.missed_polls > 0 || !worker.listed;
        if (unresponsive && now > worker.lease_bound && !worker.runs.empty()) {
            mark_runs_lost(worker, worker_end::lease_expired);
        }
        at = is_removable(worker, now) ? m_workers.erase(at) : std::next(at);
    }
}

void scheduler::note_machines(const std::set<std::string>& machines, list_extent extent,
                              time_point requested_at)
{
    if (extent == list_extent::partial) {
        return;
    }
    for (auto& [id, worker] : m_workers) {
        const bool absent = !worker.token_acknowledged && worker.last_answer < requested_at &&
                            !machines.contains(worker.listing.machine);
        worker.lists_without_machine = absent ? worker.lists_without_machine + 1 : 0;
    }
}

void scheduler::note_live_workers(const std::map<instance_id, service_id>& live_workers,
                                  list_extent extent, time_point now)
{
    m_doubt.note_live_workers(live_workers, extent, m_workers, now);
}

bool scheduler::in_doubt(const job_record& job, time_point now) const
{
    return m_inherited.contains(job.id()) && m_doubt.concerns(job.queue(), now);
}

} // namespace plantaindoor::job
