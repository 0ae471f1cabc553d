// Decides which task runs where: takes in what is known, gives out orders to workers.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/task_name.hpp"
#include "plantaindoor/job/worker.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantaindoor::job {

struct scheduler_options {
    /// How long a worker may run tasks without hearing of this process.
    milliseconds lease{5000};
    /// Longest time in which a predecessor may still have extended leases after this process took
    /// the duty over.
    milliseconds predecessor_grace{2500};
    /// A predecessor that still lives hears of the takeover with its next renewal, or can't hear of
    /// new workers either.
    milliseconds predecessor_detection{1000};
    /// How long a worker takes to stop a run.
    milliseconds stop_time{1000};
    /// A lasting task that is away for so long counts against what planned work may take.
    milliseconds unavailable_after{4500};
    /// Added to attempts, so that they rise from one holder of the duty to the next.
    std::uint32_t attempt_base = 0;
    /// Whether the queues' former services are known for as long as an earlier holder's runs last.
    bool former_services_known = false;
};

/// Starts a run on a worker.
struct start_order {
    instance_id worker;
    run_name run;
    std::shared_ptr<const job_spec> spec;
    std::string checkpoint;
    /// Of the queue's advice service; empty where none is needed.
    std::string ticket;
    /// On the worker's clock.
    milliseconds deadline{0};
};

struct stop_order {
    instance_id worker;
    run_name run;
};

/// Lets a filler work at a share of its capacity.
struct throttle_order {
    instance_id worker;
    run_name run;
    std::uint32_t percent = 100;
};

struct orders {
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<throttle_order> throttles;
};

/// Asks a worker for its report, acknowledges ends and extends its leases.
struct poll_order {
    std::uint64_t acknowledged = 0;
    /// On the worker's clock; nothing where its clock isn't known or the lease must not grow.
    std::optional<milliseconds> deadline;
    /// How long the worker may wait for an end before it answers.
    milliseconds wait{0};
};

enum class decision_kind {
    first_start, ///< the first task of a job has been ordered
    run_ended,   ///< a run has ended otherwise than done
    run_lost,    ///< a run's worker is gone, or silent past its lease
    job_ended,   ///< the job has reached a state that it keeps
};

/// What an operator needs to see of a decision about one job.
struct decision {
    decision_kind kind = decision_kind::job_ended;
    job_id job;
    run_name run;
    instance_id worker;
    run_end_reason end_reason = run_end_reason::stopped;
    job_state state = job_state::queued;
    /// Since the job was submitted, and what its objective allows.
    milliseconds age{0};
    milliseconds objective{0};
};

/// What a service's jobs ask of its workers, in thousandths of a core.
struct service_load {
    /// Of all tasks that last.
    double long_running = 0;
    /// Of the other tasks that run.
    double running = 0;
    /// Of tasks that could run now.
    double ready = 0;
    /// Work of tasks that could run now, times seconds.
    double ready_work = 0;
    /// Work of all jobs ever submitted, times seconds.
    double submitted_work = 0;
    std::uint64_t submitted_jobs = 0;
    /// Fewest workers that the steps which last can be spread over.
    std::uint32_t min_workers = 0;
};

/// Places the tasks of all jobs on the workers of their services. Deterministic; reads no clock.
/// Not synchronised.
class scheduler {
public:
    scheduler(scheduler_options options, time_point now);

    /// Replaces all queues; jobs of a queue that is gone keep what they had.
    void set_queues(const std::vector<queue_policy>& queues);

    /// Takes in an accepted job; does nothing for one that is known. Requires a checked spec.
    /// `inherited` for a job that an earlier holder of the duty may have started.
    void submit(job_id id, const std::string& queue, std::shared_ptr<const job_spec> spec,
                time_point submitted, bool inherited);
    /// Applies what an earlier holder kept of a job. Throws spec_error.
    void restore(const job_id& id, std::string_view progress);
    /// Cancels a job that is not over; remembers it for a job that isn't known yet.
    void cancel(const job_id& id, time_point now);
    /// Forgets a job that is over and whose end was kept.
    void remove_job(const job_id& id);

    /// Takes in a worker's listing, or its end.
    void note_worker_listed(worker_listing listing, time_point now);
    void note_worker_unlisted(const instance_id& id, time_point now);
    /// The worker's life is over for certain: nothing runs there.
    void note_worker_ended(const instance_id& id, time_point now);
    /// Takes in which workers live, and their services, also those whose entries are missing. Those
    /// that begin well after the takeover can't run what an earlier holder began.
    void note_live_workers(const std::map<instance_id, service_id>& live_workers, time_point now);
    /// Cordons a worker for planned work, or uncordons it.
    void cordon_worker(const instance_id& id, bool cordoned);

    /// What to ask a worker now.
    [[nodiscard]] poll_order next_poll(const instance_id& id, time_point now);
    /// Takes in the answer to a look that was sent at `sent`.
    void note_report(const instance_id& id, const worker_report& report, time_point sent,
                     time_point now);
    void note_missed_poll(const instance_id& id, time_point now);
    void note_start(const instance_id& id, const run_name& run, order_answer answer,
                    time_point now);
    void note_stop(const instance_id& id, const run_name& run, order_answer answer, time_point now);

    /// All orders that are due. Call after events and at least every 100 ms.
    [[nodiscard]] orders plan(time_point now, wall_time wall_now);

    /// The decisions since the last call, in order.
    [[nodiscard]] std::vector<decision> take_decisions();

    /// Jobs whose persisted progress is out of date; the caller persists them, then calls
    /// note_persisted().
    [[nodiscard]] const std::set<job_id>& dirty_jobs() const noexcept { return m_dirty; }
    /// Begins to persist all dirty jobs, and returns them.
    [[nodiscard]] std::vector<job_id> begin_persist();
    /// What begin_persist() returned last is durable: ends that were applied before may be
    /// acknowledged.
    void note_persisted();
    /// It is not; the jobs are dirty again.
    void note_persist_failed();

    [[nodiscard]] const job_record* find(const job_id& id) const;
    /// Whether the job's present state is durable.
    [[nodiscard]] bool is_durable(const job_id& id) const;
    /// Accepted jobs of a queue without a task that has started.
    [[nodiscard]] std::size_t pending(const std::string& queue) const;
    [[nodiscard]] const std::map<instance_id, worker_record>& workers() const noexcept
    {
        return m_workers;
    }
    /// The present load of each service that has jobs.
    [[nodiscard]] std::map<service_id, service_load> loads() const;
    /// Whether a worker should be looked at: it is listed, or something may run there.
    [[nodiscard]] bool needs_polling(const instance_id& id) const;
    [[nodiscard]] std::size_t job_count() const noexcept { return m_jobs.size(); }
    /// Jobs that are not over.
    [[nodiscard]] std::size_t open_count() const noexcept { return m_open.size(); }

private:
    struct candidate {
        job_record* job = nullptr;
        std::uint32_t tier = 0;
        time_point objective{};
    };

    job_record* find_job(const job_id& id);
    void mark_dirty(const job_id& id) { m_dirty.insert(id); }
    void note_decision(const job_record& job, decision made);

    void apply_end(worker_record& worker, const ended_run& end, time_point now);
    void apply_running(worker_record& worker, const reported_run& entry, time_point now);
    /// Settles runs that the newest report doesn't list; it was asked for at `sent`.
    void drop_unreported(worker_record& worker, time_point sent);
    void adopt(worker_record& worker, const reported_run& entry, job_record& job, task_record& task,
               time_point now);
    void stop_unknown(worker_record& worker, const run_name& run, time_point now);
    /// Takes a run off its worker and its task.
    void release(worker_record& worker, const run_name& run);
    void lose_all_runs(worker_record& worker);
    void complete_task(job_record& job, const task_name& name);
    void fail_task(job_record& job, const task_name& name, std::uint32_t attempt,
                   worker_record& worker);
    void complete_gang(job_record& job, const task_name& name);
    void end_job(job_record& job, job_state state);
    /// Takes a job out of those that are not over, if it is one.
    void close_job(const job_id& id);
    void want_stop(worker_record& worker, const run_name& run);

    void reap_silent(time_point now);
    void begin_due_occurrences(wall_time wall_now);
    void place_all(time_point now);
    [[nodiscard]] std::vector<candidate> ranked(time_point now);
    void place_job(job_record& job, time_point now);
    void place_step(job_record& job, std::uint32_t occurrence, std::uint32_t step, time_point now);
    void place_gang(job_record& job, std::uint32_t occurrence, std::uint32_t step, time_point now);
    /// Whether no worker of the service has had room for as little in this round.
    [[nodiscard]] bool known_full(const service_id& service, const resources& need) const;
    [[nodiscard]] worker_record* choose(const job_record& job, const occurrence_record& occurrence,
                                        std::uint32_t step, const task_record& task,
                                        time_point now);
    /// A worker that is being emptied and waits for lasting tasks elsewhere; nullptr if none suits.
    [[nodiscard]] worker_record*
    cordoned_worker(const service_id& service,
                    const std::function<bool(const worker_record&)>& suits);
    void order_start(job_record& job, const task_name& name, worker_record& worker,
                     std::uint32_t attempt, time_point now);
    void evacuate(time_point now);
    [[nodiscard]] bool may_evict(job_record& job, const task_name& name, time_point now);
    void send_stops(time_point now);
    void throttle_best_effort(time_point now);
    void note_token_acknowledged(const instance_id& id);
    void refresh_services_in_doubt();
    /// Whether a worker that hasn't answered this process may run tasks of an inherited job.
    [[nodiscard]] bool in_doubt(const job_record& job, time_point now) const;
    [[nodiscard]] std::optional<milliseconds> grant(worker_record& worker, time_point now);

    scheduler_options m_options;
    time_point m_started;
    struct submission_count {
        double work = 0;
        std::uint64_t jobs = 0;
    };
    std::map<service_id, submission_count> m_submitted;
    std::map<std::string, queue_policy> m_queues;
    std::map<job_id, job_record> m_jobs;
    std::map<job_id, std::shared_ptr<const job_spec>> m_specs;
    /// The jobs that are not over; each lives in m_jobs.
    std::map<job_id, job_record*> m_open;
    /// How many of them have steps that take unused processor time.
    std::size_t m_open_with_best_effort = 0;
    std::set<job_id> m_inherited;
    std::set<job_id> m_cancelled_early;
    std::map<instance_id, worker_record> m_workers;
    /// Workers that lived when this process took over and haven't answered it; nothing until the
    /// platform has told.
    std::optional<std::map<instance_id, service_id>> m_unanswering;
    /// The services of these.
    std::set<service_id> m_services_in_doubt;
    std::map<service_id, std::vector<worker_record*>> m_candidates;
    /// Needs that no worker of a service had room for in this round.
    std::map<service_id, std::vector<resources>> m_full_for;
    /// Workers on which some run is to be stopped.
    std::set<instance_id> m_stopping;
    std::set<job_id> m_dirty;
    std::set<job_id> m_persisting;
    std::map<instance_id, std::uint64_t> m_persisting_sequences;
    orders m_orders;
    std::vector<decision> m_decisions;
    /// Of the event that is being taken in.
    time_point m_now{};
};

} // namespace plantaindoor::job

namespace plantaindoor {

template<>
struct enum_names<job::decision_kind> {
    static constexpr std::array<enum_name<job::decision_kind>, 4> table{{
        {job::decision_kind::first_start, "first-start"},
        {job::decision_kind::run_ended, "run-ended"},
        {job::decision_kind::run_lost, "run-lost"},
        {job::decision_kind::job_ended, "over"},
    }};
};

} // namespace plantaindoor
