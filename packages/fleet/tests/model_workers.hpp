// A model of the platform's workers in virtual time. They run tasks under leases and fencing tokens
// and report ended runs until these are acknowledged. Every start is checked against the scheduling
// rules, such as one run of a task at a time.
#pragma once

#include "fakes/virtual_loop.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/job/spec.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

/// Fault injected into one entry's orders and polls to one worker.
enum class path_fault {
    none,
    unresponsive,  ///< the order is not delivered; it times out
    lost_answer,   ///< the order is executed; the answer is lost
    executed_late, ///< executed 2 to 12 s later, without an answer; polls are not delivered
};

/// How a job's tasks behave in the model, and when the job was cancelled.
struct model_job {
    std::shared_ptr<const job::job_spec> spec;
    /// Empty: none.
    workspace_id workspace;
    milliseconds run_time{1000};
    /// Indices of the tasks that fail in every run, in each step.
    std::set<std::uint32_t> failing_tasks;
    /// Indices of the tasks that crash each worker that starts them, in the first step.
    std::set<std::uint32_t> crashing_tasks;
    /// How long after their start these do so.
    milliseconds crash_delay{5};
    std::uint32_t max_attempts = 3;
    [[nodiscard]] bool crashes_worker(const job::task_name& task) const
    {
        return task.step == 0 && crashing_tasks.contains(task.index);
    }
    /// When the cancellation was acknowledged to the caller.
    std::optional<time_point> cancelled;
};

/// All workers, with the history of each task. Not synchronised.
class model_workers {
public:
    model_workers(fakes::virtual_loop& loop, std::mt19937_64& random)
        : m_loop(loop), m_random(random)
    {
    }

    /// Starts a worker instance.
    void start_worker(const job::worker_listing& listing);
    /// Whether the worker was started at this address.
    [[nodiscard]] bool has_address(const worker_address& to) const;
    /// Ends a worker instance and its runs without a report, as in a crash.
    void end_worker(const instance_id& id);
    /// The worker, which must be up, takes no new tasks from now on.
    void drain_worker(const instance_id& id) { m_instances.at(id).listing.draining = true; }
    /// Sets how a job behaves. Must be called before its first task is started.
    void add_job(const job_id& id, model_job model) { m_jobs[id] = std::move(model); }
    model_job& job(const job_id& id) { return m_jobs.at(id); }
    [[nodiscard]] const model_job& job(const job_id& id) const { return m_jobs.at(id); }
    /// How many workers have ended under the job's task under which most have.
    [[nodiscard]] std::uint32_t most_crashes(const job_id& id) const;
    /// Calls `handler` a moment after a worker has started a task that crashes it.
    void on_crashing_start(std::function<void(const instance_id&)> handler)
    {
        m_on_crashing_start = std::move(handler);
    }
    /// Calls `handler` for each start that a worker carries out.
    void
    on_start(std::function<void(const instance_id&, const job::run_name&, fencing_token)> handler)
    {
        m_on_start = std::move(handler);
    }
    void report_violation(const std::string& what, const job::run_name& run);
    /// Injects a fault between an entry and a worker.
    void set_fault(const std::string& entry, const instance_id& worker, path_fault fault)
    {
        m_path_faults[{entry, worker}] = fault;
    }
    /// Limits what the runs of a workspace use on all workers together.
    void set_cap(const workspace_id& workspace, const job::resources& cap)
    {
        m_caps[workspace] = cap;
    }
    /// What the workspace's runs use now, in thousandths of a core.
    [[nodiscard]] std::int64_t used_by(const workspace_id& workspace) const;
    void clear_path_faults() { m_path_faults.clear(); }

    /// Violated rules so far, each with the history of its task.
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    /// Runs on all workers.
    [[nodiscard]] std::size_t running() const;
    /// The worker that runs the task now; nullopt if none does.
    [[nodiscard]] std::optional<instance_id> worker_of(const job::task_name& task) const;
    struct task_status {
        bool running = false;
        /// A run has ended as done.
        bool done = false;
        /// Done, but that end may not have been reported: its worker has ended without an
        /// acknowledgement.
        bool discarded = false;
        /// As many runs have failed as the task may have attempts.
        bool exhausted = false;
    };
    [[nodiscard]] task_status status_of(const job::task_name& name) const
    {
        const auto found = m_tasks.find(name);
        if (found == m_tasks.end()) {
            return {};
        }
        const task_history& task = found->second;
        return {.running = task.running > 0,
                .done = task.ever_done,
                .discarded = task.ever_done && !task.done,
                .exhausted = task.acknowledged_failures.size() >= m_jobs.at(name.job).max_attempts};
    }
    struct worker_status {
        job::worker_listing listing;
        job::resources used;
        std::vector<job::task_name> tasks;
    };
    /// All workers that are up.
    [[nodiscard]] std::vector<worker_status> workers() const
    {
        std::vector<worker_status> up;
        for (const auto& [id, worker] : m_instances) {
            worker_status& added = up.emplace_back(
                worker_status{.listing = worker.listing, .used = worker.used, .tasks = {}});
            for (const auto& [run, active] : worker.running) {
                added.tasks.push_back(run.task);
            }
        }
        return up;
    }
    /// Runs started since the beginning.
    [[nodiscard]] std::size_t starts() const { return m_starts; }

    /// Whether an order is delivered at once or seconds after it was sent.
    enum class arrival { prompt, late };
    /// Executes an order that has been delivered.
    job::order_answer start(const job::start_order& order, fencing_token token, arrival when);
    job::order_answer stop(const job::stop_order& order, fencing_token token);
    /// Acknowledges ended runs, extends the lease and reports; doesn't wait for ended runs.
    poll_result poll(const instance_id& id, const job::poll_order& order, fencing_token token);
    /// Calls `done` once: when the worker has an ended run to report or is ended itself, or when
    /// `wait` has passed.
    void wait_for_end(const instance_id& id, nanoseconds wait, std::function<void()> done);

    [[nodiscard]] path_fault fault(const std::string& entry, const instance_id& worker) const;
    [[nodiscard]] fakes::virtual_loop& loop() { return m_loop; }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }

private:
    struct active_run {
        timer_id finish = timer_id::none;
        job::resources footprint;
    };
    struct worker_instance {
        job::worker_listing listing;
        /// Worker time per virtual time.
        double clock_rate = 1;
        time_point clock_start{};
        fencing_token token = 0;
        std::map<job::run_name, active_run> running;
        std::map<job::task_name, std::uint32_t> highest_ended_attempt;
        /// Ended runs that haven't been acknowledged.
        std::vector<job::ended_run> ended;
        std::uint64_t sequence = 0;
        /// When the lease expires, by the worker's clock.
        milliseconds lease{0};
        timer_id lease_timer = timer_id::none;
        std::vector<std::function<void()>> waiting;
        job::resources used;
    };
    struct task_history {
        std::uint32_t running = 0;
        std::set<std::uint32_t> acknowledged_failures;
        std::uint32_t crashed_workers = 0;
        std::uint32_t starts_after_crashes = 0;
        bool ever_done = false;
        /// A run has ended as done, and that end has been acknowledged or still may be.
        bool done = false;
        bool done_acknowledged = false;
    };

    /// The answer to an order for a worker that has ended: another instance gives it, if there is
    /// one at the address.
    [[nodiscard]] job::order_answer answer_without(const instance_id& id) const;
    [[nodiscard]] milliseconds clock_of(const worker_instance& worker) const;
    void extend_lease(worker_instance& worker, milliseconds deadline);
    void schedule_lease_expiry(worker_instance& worker);
    void end_run(worker_instance& worker, const job::run_name& name,
                 job::run_end_reason end_reason);
    /// Ended runs that weren't acknowledged before the worker's lease expired, or before the worker
    /// ended, no longer count as done: the scheduler may run their tasks again.
    void discard_unacknowledged_ends(const worker_instance& worker);
    void acknowledge_end(const worker_instance& worker, const job::ended_run& end);
    /// Reports a violation if the order breaks a rule.
    void check_start(const worker_instance& worker, const job::start_order& order, arrival when);
    /// Reports a violation if the run that was just started brings its workspace above its cap, a
    /// tenth of it, and one task more.
    void check_cap(const job::start_order& order);
    /// Records an event of a task, to be printed with a violation.
    void log_event(const job::run_name& run, const std::string& event);

    fakes::virtual_loop& m_loop;
    std::mt19937_64& m_random;
    std::map<instance_id, worker_instance> m_instances;
    /// Of all instances, including those that have ended.
    std::map<instance_id, std::string> m_addresses;
    std::map<job_id, model_job> m_jobs;
    std::map<workspace_id, job::resources> m_caps;
    std::map<job::task_name, task_history> m_tasks;
    std::map<std::pair<std::string, instance_id>, path_fault> m_path_faults;
    std::map<job::task_name, std::string> m_events;
    std::vector<std::string> m_violations;
    std::size_t m_starts = 0;
    std::function<void(const instance_id&)> m_on_crashing_start;
    std::function<void(const instance_id&, const job::run_name&, fencing_token)> m_on_start;
};

/// One entry's client of the workers, subject to the entry's path faults.
class entry_workers final : public worker_gateway {
public:
    entry_workers(model_workers& workers, event_loop& entry_loop, std::string entry)
        : m_workers(workers), m_entry_loop(entry_loop), m_entry(std::move(entry))
    {
    }

    void start(const worker_address& to, const job::start_order& order, fencing_token token,
               order_callback done) override;
    void stop(const worker_address& to, const job::stop_order& order, fencing_token token,
              order_callback done) override;
    void throttle(const worker_address& to, const job::throttle_order& order, fencing_token token,
                  order_callback done) override;
    void poll(const worker_address& to, const job::poll_order& order, fencing_token token,
              poll_callback done) override;

private:
    void deliver(const instance_id& worker,
                 std::function<job::order_answer(model_workers::arrival)> execute,
                 order_callback done);
    /// Calls `done` on the entry's loop after a delay.
    void answer_after(nanoseconds delay, order_callback done, job::order_answer response);

    model_workers& m_workers;
    event_loop& m_entry_loop;
    std::string m_entry;
};

} // namespace plantaindoor::fleet::testing
