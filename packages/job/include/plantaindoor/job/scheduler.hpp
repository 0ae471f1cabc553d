// Assigns tasks to workers: processes events and reports, and issues orders to the workers.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/list_extent.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/decision.hpp"
#include "plantaindoor/job/job_tier.hpp"
#include "plantaindoor/job/job_waits.hpp"
#include "plantaindoor/job/predecessor_doubt.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/speed_learner.hpp"
#include "plantaindoor/job/task_name.hpp"
#include "plantaindoor/job/worker.hpp"
#include "plantaindoor/policy/crash_isolation.hpp"
#include "plantaindoor/policy/long_running_reservations.hpp"
#include "plantaindoor/policy/worker_holds.hpp"
#include "plantaindoor/policy/workspace.hpp"
#include "plantaindoor/policy/workspace_quota.hpp"
#include "plantaindoor/policy/workspace_shares.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantaindoor::job {

struct scheduler_options {
    /// How long a worker may run tasks without a lease extension by this process.
    milliseconds lease{5000};
    /// Longest lease that a worker grants, whatever the deadline in an order.
    milliseconds max_lease{10000};
    /// Longest time for which a predecessor may still have extended leases after this process
    /// became leader.
    milliseconds predecessor_grace{2500};
    /// Time within which a predecessor that is still alive detects with its next renewal that it
    /// was replaced. One that can't renew can't discover new workers either.
    milliseconds predecessor_detection{1000};
    /// How long a worker takes to stop a run.
    milliseconds stop_time{1000};
    /// A long-running task that is unavailable for this long counts against the limit on evictions
    /// for planned work.
    milliseconds unavailable_after{4500};
    /// New attempts are numbered above this, so that the numbers rise from one leader to the next.
    std::uint32_t attempt_base = 0;
    /// Whether queue_policy::former_services reaches back as far as a predecessor's runs can last.
    bool former_services_known = false;
    /// The shard whose jobs these are, and the number of shards that jobs and caps are divided
    /// over.
    std::uint32_t shard = 0;
    std::uint32_t shard_count = 1;
    /// Whether workers that prove slow are used only where no other suits.
    bool learn_worker_speed = true;
    /// Whether kinds of tasks that prove to slow each other down are kept apart where possible.
    bool learn_interference = true;
};

/// Starts a run on a worker.
struct start_order {
    instance_id worker;
    run_name run;
    std::shared_ptr<const job_spec> spec;
    std::string checkpoint;
    /// Issued by the queue's advice service; empty if none is required.
    std::string ticket;
    /// End of the lease, on the worker's clock.
    milliseconds deadline{0};
};

struct stop_order {
    instance_id worker;
    run_name run;
};

/// Limits a best-effort run to a share of its capacity.
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

/// Asks a worker for its report, acknowledges ended runs and extends the worker's leases.
struct poll_order {
    /// Sequence number of the last ended run that is acknowledged.
    std::uint64_t acknowledged = 0;
    /// End of the lease, on the worker's clock; nullopt if its clock is unknown or the lease must
    /// not be extended.
    std::optional<milliseconds> deadline;
    /// How long the worker may wait for a run to end before it answers.
    milliseconds wait{0};
};

/// State and effects of what is learned from the pace of runs.
struct learned_figures {
    std::size_t slow_workers = 0;
    std::size_t interfering_pairs = 0;
    double strongest_slow_down = 1;
    /// Placements for which another worker was chosen than without the knowledge.
    std::uint64_t placements_changed = 0;
};

/// Long-running tasks that wait for a worker.
struct long_running_waits {
    std::size_t tasks = 0;
    milliseconds longest{0};
};

/// Demand of tasks that aren't long-running, in thousandths of a core.
struct ordinary_load {
    double running = 0;
    /// Of tasks that are ready to run.
    double ready = 0;
    /// Estimated work of tasks that are ready to run, in thousandths of a core times seconds.
    double ready_work = 0;
};

/// Demand of a service's jobs on its workers, in thousandths of a core.
struct service_load {
    /// Of all long-running tasks.
    double long_running = 0;
    /// Of all other tasks, of those whose job can still be completed in time, and of those whose
    /// job is still worth something to its callers.
    ordinary_load ordinary;
    ordinary_load timely;
    ordinary_load valuable;
    /// Estimated work of all jobs submitted to this scheduler without their long-running steps, in
    /// thousandths of a core times seconds.
    double submitted_work = 0;
    std::uint64_t submitted_jobs = 0;
    /// Smallest number of workers on which each long-running step fits by its max_per_worker.
    std::uint32_t min_workers = 0;
    /// Further workers needed by ready tasks that fit beside the long-running tasks of no worker.
    std::uint32_t blocked_workers = 0;
    /// Further workers needed by long-running tasks that wait and fit beside those on no worker,
    /// and all workers that have, or could take, long-running tasks of the service.
    std::uint32_t missing_workers = 0;
    std::uint32_t long_running_workers = 0;
    /// Those of the missing workers that must have a label, by label.
    std::map<std::string, std::uint32_t> missing_with_label;
    /// Since when the first task of the steps that lack workers has been without a run; nullopt if
    /// all of these run, on workers that leave.
    std::optional<time_point> missing_since;
};

/// An accepted job.
struct submission {
    std::string queue;
    /// The queue's policy when the job was accepted, for a queue that the configuration no longer
    /// names; nullopt if it isn't known.
    std::optional<queue_policy> policy;
    /// Empty for a job of no workspace.
    workspace_id workspace;
    /// Must have passed check_spec().
    std::shared_ptr<const job_spec> spec;
    time_point at{};
    /// A predecessor may have started the job; as many may have, at least one if it is set.
    bool inherited = false;
    std::uint32_t predecessors = 0;
    /// Number of shards that the jobs of its queue are distributed over; 0: over all.
    std::uint32_t queue_shards = 0;
};

/// Places the tasks of all jobs on the workers of their services. Deterministic; reads no clock.
/// Not thread-safe.
class scheduler {
public:
    scheduler(scheduler_options options, time_point now);

    /// Replaces all queues; jobs of a removed queue keep its previous policy.
    void set_queues(const std::vector<queue_policy>& queues);
    /// Replaces the workspaces; jobs of a removed workspace keep running without its limits.
    void set_workspaces(const std::vector<policy::workspace_policy>& workspaces);

    /// Adds an accepted job; does nothing if the job was added before.
    void submit(const job_id& id, submission submitted);
    /// Applies the progress of a job that a predecessor persisted; does nothing for an unknown job.
    /// Throws spec_error where it doesn't fit the specification.
    void restore(const job_id& id, std::string_view progress);
    /// Cancels a job that is not terminal. A job that isn't known yet is cancelled when it is
    /// submitted.
    void cancel(const job_id& id, time_point now);
    /// Drops the record of a job, which must be terminal with a durable end, or not be loaded
    /// whole.
    void remove_job(const job_id& id);

    /// Whether the listing is of an earlier incarnation of the worker than the latest known one.
    [[nodiscard]] bool is_outdated(const worker_listing& listing) const;
    /// Start of the latest known incarnation of a worker; nullopt if it or its start is unknown. An
    /// answer to what was sent under an earlier start may be of the earlier incarnation.
    [[nodiscard]] std::optional<wall_time> latest_start(const instance_id& id) const;
    /// Records that the platform lists a worker, or that it no longer does. An outdated listing is
    /// ignored.
    void note_worker_listed(worker_listing listing, time_point now);
    void note_worker_unlisted(const instance_id& id, time_point now);
    /// Records that the worker has ended for certain: nothing runs there any more.
    void note_worker_ended(const instance_id& id, worker_end cause, time_point now);
    /// Records that a move or maintenance of the machine has been ordered: until then the end of
    /// its worker is not a crash.
    void expect_planned_end(const std::string& machine, time_point until);
    /// Records that the order was refused.
    void cancel_planned_end(const std::string& machine) { m_planned_ends.erase(machine); }
    /// Records all machines of the platform, as of a list that was requested then. A listed worker
    /// that hasn't answered and has none of them, by two lists in a row, doesn't exist.
    void note_machines(const std::set<std::string>& machines, list_extent extent,
                       time_point requested_at);
    /// Records which workers are alive, and their services, including workers that are not listed.
    /// Workers that start well after this process became leader can't run what a predecessor
    /// started.
    void note_live_workers(const std::map<instance_id, service_id>& live_workers,
                           list_extent extent, time_point now);
    /// Cordons a worker before planned work, or uncordons it. One that isn't listed yet is cordoned
    /// once it is.
    void cordon_worker(const instance_id& id, bool cordoned);
    /// The runs on a worker that aren't long-running; none for an unknown worker.
    [[nodiscard]] std::map<run_name, policy::short_run> short_runs(const instance_id& id,
                                                                   time_point now) const;
    /// Requests the stop of such runs, and with one of a gang that of all others.
    void stop_short_runs(const instance_id& id, const std::vector<run_name>& runs);

    /// Returns the poll to send to a worker now; extends the lease of a responsive worker with
    /// runs.
    [[nodiscard]] poll_order next_poll(const instance_id& id, time_point now);
    /// Applies the answer to a poll that was sent at `sent`. A report of an earlier incarnation
    /// than the latest known one is ignored; one of a later incarnation ends the runs of the
    /// earlier.
    void note_report(const instance_id& id, const worker_report& report, time_point sent,
                     time_point now);
    /// Records that a poll was not answered.
    void note_missed_poll(const instance_id& id, time_point now);
    /// Record the answers to start and stop orders.
    void note_start(const instance_id& id, const run_name& run, order_answer answer,
                    time_point now);
    void note_stop(const instance_id& id, const run_name& run, order_answer answer, time_point now);

    /// Returns all orders that are due. Call after events and at least every 100 ms.
    [[nodiscard]] orders plan(time_point now, wall_time wall_now);
    /// Returns only the stop orders that are due: these are right under any view of the jobs, also
    /// one that is too old to start tasks on.
    [[nodiscard]] orders plan_stops(time_point now);

    /// Returns the decisions since the last call, in order.
    [[nodiscard]] std::vector<decision> take_decisions();

    /// Jobs whose persisted progress is out of date; the caller persists them, then calls
    /// note_persisted().
    [[nodiscard]] const std::set<job_id>& dirty_jobs() const noexcept { return m_dirty; }
    /// Returns all dirty jobs, which the caller starts to persist.
    [[nodiscard]] std::vector<job_id> begin_persist();
    /// Records that what begin_persist() returned last is durable: ended runs that were applied
    /// before that call may be acknowledged.
    void note_persisted();
    /// Records that it could not be persisted; the jobs are dirty again.
    void note_persist_failed();

    [[nodiscard]] const job_record* find(const job_id& id) const;
    /// Whether the job's current state is durable.
    [[nodiscard]] bool is_durable(const job_id& id) const;
    /// The position of a job with a suspected task that waits to be started in isolation; nullopt
    /// for other jobs.
    [[nodiscard]] std::optional<policy::suspect_position> isolation_position(const job_id& id) const
    {
        return m_isolation.position_of(id);
    }
    /// Number of accepted jobs of a queue of which no task has started.
    [[nodiscard]] std::size_t pending(const std::string& queue) const;
    [[nodiscard]] const std::map<instance_id, worker_record>& workers() const noexcept
    {
        return m_workers;
    }
    /// Returns the current load of each service that has or had jobs.
    [[nodiscard]] std::map<service_id, service_load> loads() const;
    /// The use of the workspaces' caps.
    [[nodiscard]] policy::workspace_quota& quota() noexcept { return m_quota; }
    [[nodiscard]] const policy::workspace_quota& quota() const noexcept { return m_quota; }
    /// Whether a task of the job waits because of its workspace's cap.
    [[nodiscard]] bool waits_at_cap(const job_id& id) const;
    /// Whether some worker may run, or have done, tasks that a predecessor started and that aren't
    /// known to this process.
    [[nodiscard]] bool has_predecessor_doubt(time_point now) const { return m_doubt.exists(now); }
    /// Whether a worker is to be polled: it is listed, or tasks may run there. Until its leases
    /// must have expired, these may be a predecessor's on a worker that has never answered.
    [[nodiscard]] bool needs_polling(const instance_id& id) const;
    [[nodiscard]] std::size_t job_count() const noexcept { return m_jobs.size(); }
    /// The long-running tasks that wait for a worker, as of the last plan().
    [[nodiscard]] const long_running_waits& waits() const noexcept { return m_waits; }
    /// The other jobs that have nothing running though a task's turn has come.
    [[nodiscard]] const job_waits& waiting_jobs() const noexcept { return m_job_waits; }
    /// Whether room on the worker is kept for a long-running task, as of the last plan().
    [[nodiscard]] bool is_reserved(const instance_id& worker) const
    {
        return m_reservations.is_reserved(worker);
    }
    /// Whether the worker is kept for another task that finds no room, as of the last plan().
    [[nodiscard]] bool is_held(const instance_id& worker) const
    {
        return m_worker_holds.is_held(worker);
    }
    /// Number of jobs that are not terminal.
    [[nodiscard]] std::size_t open_count() const noexcept { return m_open.size(); }
    [[nodiscard]] learned_figures learned() const;

private:
    struct candidate {
        job_record* job = nullptr;
        job_tier tier = job_tier::on_time;
        time_point objective{};
        /// Belongs to a workspace that has its share of a service that is short of capacity.
        bool above_share = false;
        /// Its long-running tasks are placed before all others.
        bool long_running_first = false;
        /// A predecessor's runs of it may exist that aren't known to this process: only the
        /// long-running tasks are placed of which a run has been known.
        bool in_doubt = false;
    };

    job_record* find_job(const job_id& id);
    /// Applies the configured policy of the job's queue, if there is one.
    void apply_queue(job_record& job);
    void mark_dirty(const job_id& id) { m_dirty.insert(id); }
    void note_decision(const job_record& job, decision recorded);
    /// Counts the long-running tasks that wait, makes their waits durable, and records a decision
    /// on each that has waited for wait_report_delay. Follows the waits of the other jobs.
    void report_long_waits(time_point now);
    void note_wait_event(const wait_event& event, time_point now);
    /// Marks the end of the wait of a long-running task of which a run is confirmed.
    void end_durable_wait(const task_name& name);
    /// Records that a task is started that has run before or has waited for long.
    void note_restart(const job_record& job, const run_name& run, const instance_id& worker,
                      time_point now);
    [[nodiscard]] placement_obstacles obstacles_of(const job_record& job, const task_name& name,
                                                   time_point now) const;

    /// The task of a run that a worker has reported; nullptr if the job has none of this name.
    [[nodiscard]] task_record* find_reported(job_record& job, const task_name& name);
    void apply_end(worker_record& worker, const ended_run& end, time_point now);
    void apply_running(worker_record& worker, const reported_run& reported, time_point now);
    /// Whether an unlisted worker is no longer of interest: nothing runs there.
    [[nodiscard]] static bool is_removable(const worker_record& worker, time_point now);
    /// Whether the report is of an earlier incarnation of the worker than the latest known one.
    [[nodiscard]] static bool is_outdated(const worker_record& worker, const worker_report& report,
                                          time_point sent);
    /// Records that the worker's row is of a later incarnation: until that one has answered, its
    /// clock is unknown and this process's fencing token isn't acknowledged.
    static void note_listed_start(worker_record& worker, const worker_listing& listing,
                                  time_point now);
    /// Records which incarnation has sent the report.
    static void note_reported_start(worker_record& worker, const worker_report& report,
                                    time_point sent);
    /// Records that the worker has started again, as its report shows that was requested at `sent`.
    void begin_incarnation(worker_record& worker, const worker_report& report, time_point sent);
    /// Resolves runs that the latest report lists neither as running nor as ended; `sent` is when
    /// it was requested.
    void resolve_unreported_runs(worker_record& worker, list_extent ended, time_point sent);
    /// Records a reported run of a waiting task, such as one that a predecessor started.
    void adopt_run(worker_record& worker, const reported_run& reported, job_record& job,
                   task_record& task, time_point now);
    /// Records a reported run that must not continue, and requests its stop.
    void stop_unexpected_run(worker_record& worker, const run_name& run, time_point now);
    /// Removes a run from its worker and its task.
    void release_run(worker_record& worker, const run_name& run);
    /// Records that the worker has answered at its address a poll sent at `sent`: an earlier one at
    /// that address has ended. Rows don't show this, as a late write may bring back the row of a
    /// worker that has ended.
    void note_answer_at(const worker_record& worker, time_point sent);
    /// Records that an order or a poll was not answered.
    static void note_no_answer(worker_record& worker, time_point now);
    /// A run for which a crash of its worker may be to blame.
    struct crash_suspect {
        run_name run;
        task_crash crash;
    };
    /// The end of a worker that is a crash if a successor appears on its machine.
    struct unexplained_end {
        service_id service;
        instance_id worker;
        std::vector<crash_suspect> suspects;
        time_point at{};
    };
    [[nodiscard]] bool is_planned_end(const worker_record& worker) const;
    /// The runs that are not known to have outlived crash_suspicion_time. Clears the crashes of the
    /// tasks of the others.
    [[nodiscard]] std::vector<crash_suspect> crash_suspects(worker_record& worker);
    /// Records a crash for each suspect, and fails the jobs of tasks that are to blame.
    void note_crash(const std::vector<crash_suspect>& suspects);
    /// Whether a crash under the task isn't durable yet: a successor must know of it before the
    /// task can cause a further one. What else of its job isn't durable doesn't matter.
    [[nodiscard]] bool awaits_durable_crash(const job_record& job, const task_record& task) const
    {
        return task.crash_count() > 0 &&
               (m_new_crashes.contains(job.id()) || m_persisting_crashes.contains(job.id()));
    }
    /// Fails the job of a task that is to blame, and clears the other jobs of its crashes.
    void fail_crashing_task(job_record& job, const task_name& name);
    /// Fails the inherited jobs whose tasks had reached the limit on crashes when they were loaded.
    void fail_blamed_jobs(time_point now);
    /// Forgets the end of an incarnation that has answered a request sent after it.
    void forget_refuted_end(const worker_record& worker, time_point sent);
    /// Resolves the end of the machine's previous worker when a new one has answered.
    void note_successor(const worker_record& successor);
    /// Clears a task that has outlived crash_suspicion_time.
    void clear_suspicion(const task_name& name);
    /// Clears the other jobs of the crashes for which a task of this one is to blame.
    void note_culprit(const job_record& job);
    void clear_explained_crashes(job_record& job);
    /// Finds the services in which a task found no room in the last round.
    void refresh_overloaded_services();
    /// Places the waiting tasks that need isolation, or reserves workers for them.
    void place_isolated(const std::vector<candidate>& ranked, time_point now);
    [[nodiscard]] std::vector<policy::waiting_suspect>
    waiting_suspects(const std::vector<candidate>& ranked);
    /// Whether a task of the job waits to be started in isolation.
    [[nodiscard]] static bool has_waiting_suspect(const job_record& job);
    [[nodiscard]] static bool may_place_isolated(const job_record& job,
                                                 const occurrence_record& occurrence,
                                                 std::uint32_t step);
    void place_isolated_step(job_record& job, const policy::waiting_suspect& suspect,
                             std::uint32_t occurrence, std::uint32_t step, time_point now);
    /// The workers of the job's service on which a task of the step may be isolated.
    [[nodiscard]] policy::isolation_pool isolation_pool_of(const job_record& job,
                                                           const occurrence_record& occurrence,
                                                           std::uint32_t step,
                                                           time_point now) const;
    [[nodiscard]] static policy::isolation_host isolation_host_of(const worker_record& worker,
                                                                  const job_record& job,
                                                                  const step_spec& spec,
                                                                  time_point now);
    /// Removes all runs of a worker that has ended or whose lease has expired.
    void mark_runs_lost(worker_record& worker, worker_end cause);
    /// The same without suspecting any task.
    void remove_lost_runs(worker_record& worker, worker_end cause);
    void complete_task(job_record& job, const task_name& name);
    /// Fails the job once the task has failed max_attempts times; long-running tasks don't count.
    void fail_task(job_record& job, const task_name& name, std::uint32_t attempt,
                   worker_record& worker);
    void complete_gang(job_record& job, const task_name& name);
    void end_job(job_record& job, job_state state, failure_reason reason = failure_reason::none);
    /// Removes a job from the open ones, if it is one.
    void close_job(const job_id& id);
    void request_stop(worker_record& worker, const run_name& run);

    void expire_unresponsive_workers(time_point now);
    void start_due_occurrences(wall_time wall_now);
    /// The image of a kind, or its queue and step; a number if no open job has it.
    [[nodiscard]] std::string describe_kind(policy::kind_key kind) const;
    /// Lets knowledge fade and marks the workers that begin or cease to count as slow.
    void refresh_learned(time_point now);
    void place_all(time_point now);
    /// Returns the open jobs of which any task may be placed, in the order of their placement.
    [[nodiscard]] std::vector<candidate> ranked_jobs(time_point now);
    /// Marks the jobs that their workspaces submitted beyond their rates since the last call.
    void judge_submissions(time_point now);
    /// Ranks the jobs of workspaces that have their share behind others of the same tier and
    /// priority, where the service was short of capacity in the previous round.
    void rank_by_share(std::vector<candidate>& ranked) const;
    /// Keeps the workers tentatively chosen for some tasks of a gang from lower-ranked tasks for
    /// the rest of the round, if the gang would otherwise starve.
    void hold_for_gang(const job_record& job, std::uint32_t step,
                       const std::vector<worker_record*>& chosen, time_point now);
    /// Keeps a worker from lower-ranked tasks for the rest of the round, for a task that has found
    /// no room and whose job has had nothing running for worker_holds::patience.
    void hold_for_wide_task(const job_record& job, const occurrence_record& occurrence,
                            std::uint32_t step, const task_record& task, time_point now);
    void release_held();
    /// Places the waiting long-running tasks, those first that have waited longest.
    void place_long_running(const std::vector<candidate>& ranked, time_point now);
    struct reservation_round;
    /// A long-running task that waits, or has to move as its worker leaves.
    struct unplaced_task;
    [[nodiscard]] std::vector<unplaced_task>
    unplaced_long_running(const std::vector<candidate>& ranked, time_point now);
    /// Adds the tasks of the candidates that run on workers that leave or are cordoned.
    void add_departing(const std::vector<candidate>& ranked, std::vector<unplaced_task>& unplaced,
                       time_point now);
    /// Whether a task that runs may be stopped for another place, after `evicted` others of its
    /// step that planned work will stop.
    [[nodiscard]] bool may_move(const unplaced_task& moving, std::uint32_t evicted) const;
    /// Keeps room on another worker for a task that runs, and stops it where it runs.
    void hand_over(const unplaced_task& leaving, worker_record& destination,
                   reservation_round& round);
    /// The long-running tasks on workers that leave or that don't answer, and those that may leave
    /// cordoned workers, by the first task of their step.
    [[nodiscard]] std::map<task_name, std::uint32_t> displaced_tasks() const;
    /// Reserves a worker for the task; returns whether any suits.
    bool reserve_worker(reservation_round& round, const unplaced_task& unplaced, time_point now);
    void place_job(const candidate& ranked, time_point now);
    void place_step(job_record& job, std::uint32_t occurrence, std::uint32_t step, time_point now);
    void place_gang(job_record& job, std::uint32_t occurrence, std::uint32_t step, time_point now);
    /// Counts the run against the cap of the job's workspace until release_run().
    void charge_run(worker_run& run, const job_record& job, std::uint32_t step);
    void note_run_arrived(worker_run& run);
    /// Counts what a predecessor may have started.
    void count_possible_runs(time_point now);
    /// Whether the cap of the job's workspace allows `width` tasks of the step to start together;
    /// records that the step waits if not.
    [[nodiscard]] bool cap_allows(const job_record& job, std::uint32_t occurrence,
                                  std::uint32_t step, std::uint32_t width);
    /// Whether some worker has room for a task of the step, apart from the cap.
    [[nodiscard]] bool has_room_for(const job_record& job, std::uint32_t step);
    /// Whether an equal or smaller need found no worker of the service in this round.
    [[nodiscard]] bool is_unplaceable(const service_id& service, const resources& need) const;
    [[nodiscard]] worker_record* choose_worker(const job_record& job,
                                               const occurrence_record& occurrence,
                                               std::uint32_t step, const task_record& task,
                                               time_point now);
    /// Returns a cordoned worker that is still running long-running tasks, or nullptr if none
    /// suits.
    [[nodiscard]] worker_record*
    find_cordoned_worker(const service_id& service,
                         const std::function<bool(const worker_record&)>& suits);
    [[nodiscard]] std::uint32_t next_attempt(const task_record& task) const;
    /// Returns the started run, or nullptr if the worker's lease can't be extended.
    worker_run* order_start(job_record& job, const task_name& name, worker_record& worker,
                            std::uint32_t attempt, time_point now);
    /// Requests the stop of long-running tasks that can't run on until they have another place on
    /// workers that leave, and of those on cordoned workers that are vacated by it.
    void evacuate(time_point now);
    /// Whether all long-running tasks on the worker may be stopped together.
    [[nodiscard]] bool may_vacate(const worker_record& worker) const;
    /// Whether enough other tasks of the step run at full rate to stop this one, too, for planned
    /// work that will stop `evicted` of those.
    [[nodiscard]] bool may_evict(const run_name& run, const worker_run& running,
                                 std::uint32_t evicted) const;
    void send_stops(time_point now);
    void throttle_best_effort(time_point now);
    /// The waiting tasks of a long-running step that could start on further workers; `first`: its
    /// first task.
    [[nodiscard]] std::uint32_t startable_tasks(const job_record& job,
                                                const task_name& first) const;
    /// Of `displaced` tasks of a long-running step, those that the cap lets start again once these
    /// have ended.
    [[nodiscard]] std::uint32_t movable_tasks(const job_record& job, const task_name& first,
                                              std::uint32_t displaced) const;
    /// The capacity that long-running tasks leave on each usable worker, by service.
    [[nodiscard]] std::map<service_id, std::vector<resources>> lasting_room() const;
    /// The number of empty workers that `tasks` ready tasks of the step need since no worker of the
    /// service has room for one; 0 if one has, or if no worker at all is large enough. Requires
    /// that `tasks` is not 0.
    [[nodiscard]] std::uint32_t workers_for_blocked(const step_spec& step, std::uint32_t tasks,
                                                    const std::vector<resources>& rooms) const;
    /// Whether some worker may run, or have done, tasks of an inherited job that aren't known to
    /// this process.
    [[nodiscard]] bool in_doubt(const job_record& job, time_point now) const;
    /// Extends the worker's lease; returns its new end on the worker's clock, or nullopt if that
    /// clock is unknown or the worker has missed its last poll.
    [[nodiscard]] std::optional<milliseconds> extend_lease(worker_record& worker, time_point now);

    scheduler_options m_options;
    time_point m_started;
    struct submission_count {
        double work = 0;
        std::uint64_t jobs = 0;
    };
    std::map<service_id, submission_count> m_submitted;
    std::map<std::string, queue_policy> m_queues;
    std::map<workspace_id, policy::workspace_policy> m_workspaces;
    policy::workspace_quota m_quota;
    /// Steps that waited at a cap in the last round, by their first task.
    std::set<task_name> m_waiting_at_cap;
    /// Footprints of tasks that wait at a cap, for which a service's workers have room or not.
    struct room_results {
        std::vector<resources> placeable;
        std::vector<resources> unplaceable;
    };
    /// In this round.
    std::map<service_id, room_results> m_room_at_cap;
    policy::submission_rates m_submission_rates;
    struct unjudged_job {
        time_point submitted{};
        job_id id;
        workspace_id workspace;
        std::uint32_t queue_shards = 1;
    };
    /// Submitted since the last round.
    std::vector<unjudged_job> m_unjudged;
    /// What is held for gangs in this round, by service.
    struct held_capacity {
        resources footprint;
        std::vector<worker_record*> workers;
    };
    std::map<service_id, held_capacity> m_held;
    policy::long_running_reservations m_reservations;
    policy::worker_holds m_worker_holds;
    predecessor_doubt m_doubt;
    /// What is kept from other tasks in this round.
    std::vector<std::pair<worker_record*, resources>> m_reserved_room;
    std::map<job_id, job_record> m_jobs;
    std::map<job_id, std::shared_ptr<const job_spec>> m_specs;
    /// The open jobs, which are not terminal; the pointers refer to m_jobs.
    std::map<job_id, job_record*> m_open;
    /// Number of open jobs with best-effort steps.
    std::size_t m_open_with_best_effort = 0;
    /// Jobs that a predecessor may have started.
    std::set<job_id> m_inherited;
    /// Jobs that were cancelled before they were submitted.
    std::set<job_id> m_cancelled_early;
    /// Workers that were cordoned before they were listed.
    std::set<instance_id> m_cordoned_early;
    std::map<instance_id, worker_record> m_workers;
    /// The worker that has answered last at each address.
    std::unordered_map<std::string, instance_id> m_worker_at_address;
    std::map<service_id, std::vector<worker_record*>> m_candidates;
    /// Needs without other constraints that fitted on no worker of a service in this round.
    std::map<service_id, std::vector<resources>> m_unplaceable;
    /// Open jobs with tasks that may be to blame for crashes.
    std::set<job_id> m_suspect_jobs;
    policy::crash_isolation m_isolation;
    /// By machine.
    std::map<std::string, unexplained_end> m_unexplained_ends;
    std::map<std::string, time_point> m_planned_ends;
    /// Services without room for some task in the previous round.
    std::set<service_id> m_overloaded;
    /// Workers with runs to stop.
    std::set<instance_id> m_stopping;
    std::set<job_id> m_dirty;
    std::set<job_id> m_persisting;
    /// Jobs with crashes that were noted since begin_persist(), and those that it returned last.
    std::set<job_id> m_new_crashes;
    std::set<job_id> m_persisting_crashes;
    std::map<instance_id, std::uint64_t> m_persisting_sequences;
    orders m_orders;
    std::vector<decision> m_decisions;
    speed_learner m_learner;
    std::uint64_t m_placements_changed = 0;
    long_running_waits m_waits;
    job_waits m_job_waits;
    /// Time of the event that is being processed, and of the current round by the wall clock.
    time_point m_now{};
    wall_time m_wall_now{};
};

} // namespace plantaindoor::job
