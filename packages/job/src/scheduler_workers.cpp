#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::job {

namespace {

/// A worker's clock may be 2% slow, and an answer takes time; measured from the platform's pages.
constexpr double slowest_clock = 1.03;
constexpr milliseconds lease_slack{300};
constexpr milliseconds busy_wait{1000};
constexpr milliseconds idle_wait{2000};
constexpr milliseconds full_pause{200};
constexpr milliseconds unhealthy_pause{2000};

milliseconds stretched(milliseconds time)
{
    return milliseconds(static_cast<std::int64_t>(double(time.count()) * slowest_clock)) +
           lease_slack;
}

} // namespace

void scheduler::note_worker_listed(worker_listing listing, time_point now)
{
    m_now = now;
    for (auto& [id, other] : m_workers) {
        // An address has one instance at a time, so the earlier one's life is over.
        if (id != listing.id && other.listing.address == listing.address) {
            lose_all_runs(other);
            other.listed = false;
        }
    }
    const instance_id id = listing.id;
    worker_record& worker = m_workers[id];
    if (worker.listing.id.empty()) {
        // An earlier holder of the duty may have let tasks run there.
        worker.lease_bound = m_started + m_options.predecessor_grace + stretched(m_options.lease);
        worker.last_answer = now;
    }
    worker.listing = std::move(listing);
    worker.listed = true;
}

void scheduler::note_worker_unlisted(const instance_id& id, time_point /*now*/)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    found->second.listed = false;
    if (found->second.runs.empty()) {
        m_workers.erase(found);
    }
}

void scheduler::note_worker_ended(const instance_id& id, time_point now)
{
    m_now = now;
    const auto found = m_workers.find(id);
    if (found != m_workers.end()) {
        lose_all_runs(found->second);
        m_workers.erase(found);
    }
}

void scheduler::cordon_worker(const instance_id& id, bool cordoned)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end()) {
        found->second.cordoned = cordoned;
    }
}

bool scheduler::needs_polling(const instance_id& id) const
{
    return m_workers.contains(id);
}

std::optional<milliseconds> scheduler::grant(worker_record& worker, time_point now)
{
    if (!worker.clock || worker.missed_polls > 0) {
        return std::nullopt;
    }
    worker.lease_bound = std::max(worker.lease_bound, now + stretched(m_options.lease));
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
    poll_order poll{.acknowledged = worker.committed_sequence};
    if (worker.token_acknowledged && worker.missed_polls == 0) {
        poll.wait = worker.runs.empty() ? idle_wait : busy_wait;
    }
    if (!worker.runs.empty()) {
        poll.deadline = grant(worker, now);
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
    worker.clock = report.worker_clock;
    worker.clock_read_at = now;
    worker.last_answer = now;
    worker.missed_polls = 0;
    worker.token_acknowledged = true;
    note_token_acknowledged(id);
    ++worker.reports;
    worker.has_new_loads = true;
    for (const ended_run& end : report.ended) {
        if (end.sequence > worker.applied_sequence) {
            apply_end(worker, end, now);
            worker.applied_sequence = end.sequence;
        }
    }
    for (const reported_run& entry : report.running) {
        apply_running(worker, entry, now);
    }
    drop_unreported(worker, sent);
}

void scheduler::apply_running(worker_record& worker, const reported_run& entry, time_point now)
{
    auto known = worker.runs.find(entry.run);
    if (known == worker.runs.end()) {
        job_record* const job = find_job(entry.run.task.job);
        task_record* const task = job == nullptr ? nullptr : job->find(entry.run.task);
        if (task == nullptr || is_terminal(job->state()) || task->done || !task->runs.empty()) {
            stop_unknown(worker, entry.run, now);
        }
        else {
            adopt(worker, entry, *job, *task, now);
        }
        known = worker.runs.find(entry.run);
    }
    worker_run& run = known->second;
    run.last_report = worker.reports;
    if (run.phase == run_phase::ordered || run.phase == run_phase::unconfirmed) {
        run.phase = run_phase::running;
        run.confirmed = now;
    }
    run.checkpoint = entry.checkpoint;
    run.percent = entry.percent;
    run.load = entry.load;
    constexpr std::uint32_t whole = 100;
    if (entry.percent >= whole && !run.working_since) {
        run.working_since = now;
    }
}

void scheduler::adopt(worker_record& worker, const reported_run& entry, job_record& job,
                      task_record& task, time_point now)
{
    worker_run run{.phase = run_phase::running,
                   .long_running = job.spec().steps[entry.run.task.step].long_running,
                   .footprint = job.spec().steps[entry.run.task.step].footprint(),
                   .ordered = now,
                   .confirmed = now};
    worker.used += run.footprint;
    worker.long_running_runs += run.long_running ? 1 : 0;
    worker.runs.emplace(entry.run, std::move(run));
    task.last_attempt = std::max(task.last_attempt, entry.run.attempt);
    job.note_started(entry.run.task, {worker.listing.id, entry.run.attempt});
    // The adopted run must outlive this process's silence as its own do.
    worker.lease_bound = std::max(worker.lease_bound, now + stretched(m_options.lease));
}

void scheduler::stop_unknown(worker_record& worker, const run_name& run, time_point now)
{
    worker_run unknown{.phase = run_phase::stopping, .ordered = now, .confirmed = now};
    if (const job_record* const job = find(run.task.job);
        job != nullptr && run.task.step < job->spec().steps.size()) {
        unknown.footprint = job->spec().steps[run.task.step].footprint();
    }
    m_stopping.insert(worker.listing.id);
    worker.used += unknown.footprint;
    worker.runs.emplace(run, std::move(unknown));
}

void scheduler::drop_unreported(worker_record& worker, time_point sent)
{
    std::vector<run_name> absent;
    for (auto& [name, run] : worker.runs) {
        if (run.last_report == worker.reports) {
            continue;
        }
        const bool ended_unseen = run.phase == run_phase::running && run.confirmed < sent;
        const bool never_there =
            run.phase == run_phase::stopping && run.stop_answered && *run.stop_answered < sent;
        if (ended_unseen || never_there) {
            absent.push_back(name);
        }
        else if (run.phase == run_phase::unconfirmed) {
            // It may still arrive; a stop makes the worker refuse it then.
            run.phase = run_phase::stopping;
            m_stopping.insert(worker.listing.id);
        }
    }
    for (const run_name& name : absent) {
        release(worker, name);
    }
}

void scheduler::note_missed_poll(const instance_id& id, time_point /*now*/)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end()) {
        ++found->second.missed_polls;
    }
}

void scheduler::note_start(const instance_id& id, const run_name& run, order_answer answer,
                           time_point now)
{
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
        break;
    case order_answer::unanswered:
        if (known->second.phase == run_phase::ordered) {
            known->second.phase = run_phase::unconfirmed;
        }
        break;
    case order_answer::other_instance:
        note_worker_ended(id, now);
        break;
    case order_answer::no_capacity:
        worker.full_until = now + full_pause;
        release(worker, run);
        break;
    case order_answer::unhealthy:
    case order_answer::unreachable:
    case order_answer::malformed:
        worker.quarantined_until = now + unhealthy_pause;
        release(worker, run);
        break;
    case order_answer::stale_token:
    case order_answer::stale_run:
    case order_answer::lease_expired:
    case order_answer::no_ticket:
        release(worker, run);
        break;
    }
}

void scheduler::note_stop(const instance_id& id, const run_name& run, order_answer answer,
                          time_point now)
{
    if (answer == order_answer::other_instance) {
        note_worker_ended(id, now);
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

void scheduler::reap_silent(time_point now)
{
    for (auto at = m_workers.begin(); at != m_workers.end();) {
        worker_record& worker = at->second;
        const bool silent = worker.missed_polls > 0 || !worker.listed;
        if (silent && now > worker.lease_bound && !worker.runs.empty()) {
            lose_all_runs(worker);
        }
        const bool gone = !worker.listed && worker.runs.empty();
        at = gone ? m_workers.erase(at) : std::next(at);
    }
}

void scheduler::note_live_workers(const std::map<instance_id, service_id>& live_workers,
                                  time_point now)
{
    if (!m_unanswering || now < m_started + m_options.predecessor_detection) {
        m_unanswering = live_workers;
        for (const auto& [id, worker] : m_workers) {
            if (worker.listed) {
                m_unanswering->emplace(id, worker.listing.service);
            }
        }
    }
    std::erase_if(*m_unanswering, [&](const auto& each) {
        const auto worker = m_workers.find(each.first);
        const bool known = worker != m_workers.end();
        return (known && worker->second.token_acknowledged) ||
               (!known && !live_workers.contains(each.first));
    });
    refresh_services_in_doubt();
}

void scheduler::note_token_acknowledged(const instance_id& id)
{
    if (m_unanswering && m_unanswering->erase(id) != 0) {
        refresh_services_in_doubt();
    }
}

void scheduler::refresh_services_in_doubt()
{
    m_services_in_doubt.clear();
    for (const auto& [id, service] : *m_unanswering) {
        m_services_in_doubt.insert(service);
    }
}

bool scheduler::in_doubt(const job_record& job, time_point now) const
{
    const time_point bound = m_started + m_options.predecessor_grace + stretched(m_options.lease);
    if (now >= bound || !m_inherited.contains(job.id())) {
        return false;
    }
    if (!m_unanswering || !m_options.former_services_known) {
        return !m_unanswering || !m_unanswering->empty();
    }
    const queue_policy& queue = job.queue();
    return m_services_in_doubt.contains(queue.service) ||
           std::any_of(queue.former_services.begin(), queue.former_services.end(),
                       [this](const auto& each) { return m_services_in_doubt.contains(each); });
}

} // namespace plantaindoor::job
