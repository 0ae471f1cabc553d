#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace plantaindoor::job {

namespace {

constexpr std::uint32_t failures_before_quarantine = 3;
constexpr milliseconds quarantine_time{5000};
/// By which the wall clocks of two entries differ at most.
constexpr milliseconds max_clock_difference{60000};

bool has_best_effort(const job_spec& spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(),
                       [](const step_spec& step) { return step.best_effort; });
}

} // namespace

scheduler::scheduler(scheduler_options options, time_point now)
    : m_options(options),
      m_started(now),
      m_quota({.shard = options.shard, .shards = options.shard_count}),
      m_reservations(options.stop_time),
      m_worker_holds(options.stop_time),
      m_doubt({.detected = now + options.predecessor_detection,
               .lease_bound = now + options.predecessor_grace + with_clock_margins(options.lease),
               .former_services_known = options.former_services_known}),
      m_learner(
          {.worker_speed = options.learn_worker_speed, .interference = options.learn_interference})
{
}

void scheduler::set_queues(const std::vector<queue_policy>& queues)
{
    m_queues.clear();
    for (const queue_policy& queue : queues) {
        m_queues.emplace(queue.name, queue);
    }
    for (auto& [id, job] : m_jobs) {
        apply_queue(job);
    }
}

void scheduler::apply_queue(job_record& job)
{
    const auto queue = m_queues.find(job.queue().name);
    if (queue != m_queues.end() && job.set_queue(queue->second) && !is_terminal(job.state())) {
        mark_dirty(job.id());
    }
}

job_record* scheduler::find_job(const job_id& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const job_record* scheduler::find(const job_id& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

bool scheduler::is_durable(const job_id& id) const
{
    return !m_dirty.contains(id) && !m_persisting.contains(id);
}

void scheduler::set_workspaces(const std::vector<policy::workspace_policy>& workspaces)
{
    m_workspaces.clear();
    for (const policy::workspace_policy& each : workspaces) {
        m_workspaces.emplace(each.id, each);
    }
    m_quota.set_workspaces(workspaces);
}

void scheduler::submit(const job_id& id, submission submitted)
{
    if (m_jobs.contains(id)) {
        return;
    }
    queue_policy policy{.name = submitted.queue};
    if (submitted.policy) {
        policy = std::move(*submitted.policy);
    }
    else if (const auto known = m_queues.find(submitted.queue); known != m_queues.end()) {
        policy = known->second;
    }
    else {
        // No limit that isn't known may fail the job.
        policy.max_attempts = std::numeric_limits<std::uint32_t>::max();
    }
    double work = 0;
    for (const step_spec& step : submitted.spec->steps) {
        work += step.long_running ? 0 : step.work_of(step.count);
    }
    m_specs.emplace(id, submitted.spec);
    m_open_with_best_effort += has_best_effort(*submitted.spec) ? 1 : 0;
    const auto added = m_jobs.emplace(
        id, job_record(id, std::move(policy), std::move(submitted.spec), submitted.at));
    if (!submitted.workspace.str().empty()) {
        m_unjudged.push_back({.submitted = submitted.at,
                              .id = id,
                              .workspace = submitted.workspace,
                              .queue_shards = submitted.queue_shards == 0
                                                  ? m_options.shard_count
                                                  : submitted.queue_shards});
    }
    job_record& job = added.first->second;
    apply_queue(job);
    submission_count& counted = m_submitted[job.queue().service];
    counted.work += work;
    ++counted.jobs;
    job.set_workspace(std::move(submitted.workspace));
    m_open.emplace(id, &job);
    if (submitted.inherited) {
        job.note_predecessors(std::max<std::uint32_t>(submitted.predecessors, 1));
        m_inherited.insert(id);
    }
    if (m_cancelled_early.erase(id) != 0) {
        end_job(job, job_state::cancelled);
    }
}

void scheduler::restore(const job_id& id, std::string_view progress)
{
    job_record* const job = find_job(id);
    if (job == nullptr) {
        return;
    }
    const bool cancelled = job->state() == job_state::cancelled;
    job->restore(progress);
    apply_queue(*job);
    if (cancelled) {
        job->set_state(job_state::cancelled);
    }
    if (is_terminal(job->state())) {
        close_job(id);
        m_specs.erase(id);
        note_culprit(*job);
    }
    else if (job->has_crashes()) {
        m_suspect_jobs.insert(id);
        // Its predecessor may have ended before it persisted what the culprit explains.
        clear_explained_crashes(*job);
    }
}

void scheduler::cancel(const job_id& id, time_point now)
{
    m_now = now;
    job_record* const job = find_job(id);
    if (job == nullptr) {
        m_cancelled_early.insert(id);
        return;
    }
    if (!is_terminal(job->state())) {
        end_job(*job, job_state::cancelled);
    }
}

void scheduler::remove_job(const job_id& id)
{
    close_job(id);
    m_isolation.forget(id);
    m_jobs.erase(id);
    m_specs.erase(id);
    m_inherited.erase(id);
}

void scheduler::close_job(const job_id& id)
{
    const auto open = m_open.find(id);
    if (open != m_open.end()) {
        m_open_with_best_effort -= has_best_effort(open->second->spec()) ? 1 : 0;
        m_open.erase(open);
    }
    m_suspect_jobs.erase(id);
}

void scheduler::end_job(job_record& job, job_state state, failure_reason reason)
{
    job.set_state(state);
    job.set_failure(reason);
    note_decision(job, {.kind = decision_kind::job_ended, .state = state, .failure = reason});
    close_job(job.id());
    mark_dirty(job.id());
    for (auto& [number, occurrence] : job.occurrences()) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                for (const task_run& run : tasks[index].runs) {
                    const auto worker = m_workers.find(run.worker);
                    if (worker != m_workers.end()) {
                        request_stop(worker->second,
                                     {{job.id(), number, step, index}, run.attempt});
                    }
                }
            }
        }
    }
}

void scheduler::note_decision(const job_record& job, decision recorded)
{
    recorded.job = job.id();
    recorded.age = std::chrono::duration_cast<milliseconds>(m_now - job.submitted());
    recorded.objective =
        std::chrono::duration_cast<milliseconds>(job.objective() - job.submitted());
    m_decisions.push_back(std::move(recorded));
}

std::vector<decision> scheduler::take_decisions()
{
    return std::exchange(m_decisions, {});
}

void scheduler::request_stop(worker_record& worker, const run_name& run)
{
    const auto found = worker.runs.find(run);
    if (found != worker.runs.end() && found->second.phase != run_phase::stopping) {
        found->second.phase = run_phase::stopping;
        m_stopping.insert(worker.listing.id);
        found->second.stop_sent.reset();
        found->second.stop_answered.reset();
    }
}

task_record* scheduler::find_reported(job_record& job, const task_name& name)
{
    // A predecessor whose clock was ahead has started the occurrence earlier than this process
    // would.
    if (job.start_reported(name.occurrence, m_wall_now + max_clock_difference)) {
        mark_dirty(job.id());
    }
    return job.find(name);
}

void scheduler::apply_end(worker_record& worker, const ended_run& end, time_point now)
{
    job_record* const job = find_job(end.run.task.job);
    task_record* const task = job == nullptr ? nullptr : find_reported(*job, end.run.task);
    if (task == nullptr) {
        release_run(worker, end.run);
        return;
    }
    task->last_attempt = std::max(task->last_attempt, end.run.attempt);
    if (!end.checkpoint.empty()) {
        task->checkpoint = end.checkpoint;
    }
    if (end.end_reason == run_end_reason::done) {
        m_learner.note_done(worker, end.run, now);
    }
    release_run(worker, end.run);
    if (is_terminal(job->state())) {
        return;
    }
    const step_spec& step = job->spec().steps[end.run.task.step];
    if (end.end_reason != run_end_reason::done) {
        note_decision(*job, {.kind = decision_kind::run_ended,
                             .run = end.run,
                             .worker = worker.listing.id,
                             .end_reason = end.end_reason});
    }
    if (end.end_reason == run_end_reason::failed) {
        fail_task(*job, end.run.task, end.run.attempt, worker);
        if (++worker.consecutive_failures >= failures_before_quarantine) {
            worker.quarantined_until = now + quarantine_time;
            worker.consecutive_failures = 0;
        }
    }
    else if (end.end_reason == run_end_reason::done) {
        worker.consecutive_failures = 0;
        if (!step.long_running) {
            complete_task(*job, end.run.task);
        }
    }
}

void scheduler::complete_task(job_record& job, const task_name& name)
{
    if (job.spec().steps[name.step].gang) {
        complete_gang(job, name);
    }
    else if (!job.note_done(name)) {
        return;
    }
    mark_dirty(job.id());
    if (task_record* const task = job.find(name); task != nullptr) {
        for (const task_run& copy : task->runs) {
            if (const auto worker = m_workers.find(copy.worker); worker != m_workers.end()) {
                request_stop(worker->second, {name, copy.attempt});
            }
        }
    }
    if (job.remove_complete_occurrences()) {
        end_job(job, job_state::completed);
    }
}

void scheduler::complete_gang(job_record& job, const task_name& name)
{
    // All tasks of a gang end together, so the end of one completes all.
    task_name member = name;
    const auto width = static_cast<std::uint32_t>(job.step_of(name).tasks.size());
    for (member.index = 0; member.index < width; ++member.index) {
        job.note_done(member);
    }
}

void scheduler::fail_task(job_record& job, const task_name& name, std::uint32_t attempt,
                          worker_record& worker)
{
    if (!job.note_failed(name, attempt, worker.listing.id)) {
        return;
    }
    mark_dirty(job.id());
    if (job.find(name)->failed_attempts.size() >= job.queue().max_attempts) {
        end_job(job, job_state::failed, failure_reason::attempts_exhausted);
    }
}

void scheduler::release_run(worker_record& worker, const run_name& run)
{
    time_point waiting_since = m_now;
    const auto found = worker.runs.find(run);
    if (found != worker.runs.end()) {
        if (found->second.confirmed == time_point{}) {
            // The task hasn't run since.
            waiting_since = found->second.waited_since.value_or(m_now);
        }
        else if (worker.missed_polls > 0 && worker.unresponsive_since) {
            waiting_since = *worker.unresponsive_since;
        }
        speed_learner::note_left(worker, found->second, m_now);
        worker.used -= found->second.footprint;
        worker.long_running_runs -= found->second.long_running ? 1 : 0;
        worker.isolated_runs -= found->second.is_isolated() ? 1 : 0;
        m_quota.remove_run(found->second.workspace, found->second.need,
                           found->second.counts_as_starting);
        worker.runs.erase(found);
    }
    if (job_record* const job = find_job(run.task.job)) {
        job->note_not_running(run.task, {worker.listing.id, run.attempt}, waiting_since);
        task_record* const task = job->find(run.task);
        if (task != nullptr && task->is_waiting()) {
            task->displaced_since = worker.displaces_since();
        }
    }
}

void scheduler::mark_runs_lost(worker_record& worker, worker_end cause)
{
    std::vector<crash_suspect> suspects;
    if (!is_planned_end(worker) && cause != worker_end::order &&
        cause != worker_end::machine_moved) {
        suspects = crash_suspects(worker);
    }
    remove_lost_runs(worker, cause);
    if (cause == worker_end::machine_down || cause == worker_end::successor) {
        note_crash(suspects);
    }
    else if (!suspects.empty() && !worker.listing.machine.empty()) {
        m_unexplained_ends[worker.listing.machine] = {.service = worker.listing.service,
                                                      .worker = worker.incarnation(),
                                                      .suspects = std::move(suspects),
                                                      .at = m_now};
    }
}

void scheduler::remove_lost_runs(worker_record& worker, worker_end cause)
{
    const time_point last_alive = worker.unresponsive_since.value_or(m_now);
    while (!worker.runs.empty()) {
        const auto first = worker.runs.begin();
        const run_name run = first->first;
        if (job_record* const job = find_job(run.task.job)) {
            task_record* const task = job->find(run.task);
            if (!is_terminal(job->state())) {
                note_decision(*job, {.kind = decision_kind::run_lost,
                                     .run = run,
                                     .worker = worker.listing.id,
                                     .worker_end_cause = cause,
                                     .run_age = std::chrono::duration_cast<milliseconds>(
                                         last_alive - first->second.ordered)});
            }
            if (task != nullptr && !first->second.checkpoint.empty()) {
                task->checkpoint = first->second.checkpoint;
            }
        }
        release_run(worker, run);
    }
}

std::vector<job_id> scheduler::begin_persist()
{
    m_persisting.swap(m_dirty);
    m_persisting_crashes.swap(m_new_crashes);
    m_persisting_sequences.clear();
    for (const auto& [id, worker] : m_workers) {
        if (worker.committed_sequence < worker.applied_sequence) {
            m_persisting_sequences.emplace(id, worker.applied_sequence);
        }
    }
    return {m_persisting.begin(), m_persisting.end()};
}

void scheduler::note_persisted()
{
    m_persisting.clear();
    m_persisting_crashes.clear();
    for (const auto& [id, sequence] : m_persisting_sequences) {
        if (const auto worker = m_workers.find(id); worker != m_workers.end()) {
            worker->second.committed_sequence =
                std::max(worker->second.committed_sequence, sequence);
        }
    }
}

void scheduler::note_persist_failed()
{
    m_dirty.merge(m_persisting);
    m_persisting.clear();
    m_new_crashes.merge(m_persisting_crashes);
    m_persisting_crashes.clear();
}

std::size_t scheduler::pending(const std::string& queue) const
{
    std::size_t count = 0;
    for (const auto& [id, job] : m_open) {
        if (job->state() == job_state::queued && job->queue().name == queue) {
            ++count;
        }
    }
    return count;
}

} // namespace plantaindoor::job
