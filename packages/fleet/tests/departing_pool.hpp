// A service whose workers leave one after another, in virtual time: the scheduler and the machine
// planner of one leader, with the platform's answers to their orders.
#pragma once

#include "plantaindoor/fleet/machine_planner.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

inline const service_id served_pool{"checks"};
inline const service_id other_pool{"orders"};

/// Not synchronised.
class departing_pool {
public:
    static constexpr job::resources worker_capacity{.cpu_millis = 1000, .memory_mb = 1000};

    /// Machines in served_pool, and in other_pool.
    departing_pool(int served, int other);

    /// Each run ends as done after `run_time`; without one it runs until it is stopped.
    job_id submit(const std::string& queue, const job::step_spec& step,
                  std::optional<milliseconds> run_time = std::nullopt);
    /// The worker announces that it leaves; it ends `drain_time` later, and its machine with it.
    void leave(const instance_id& worker);
    /// Workers tell from now on how long they stay when they leave.
    void announce_remaining() { m_announces_remaining = true; }
    /// A worker takes that long from now on to stop a run; until then none.
    void take_to_stop(milliseconds time) { m_stop_time = time; }
    /// From now on the worker that a machine gets by a move never answers.
    void lose_new_workers() { m_lose_new_workers = true; }
    /// The machine of this worker has a label, as have all its workers.
    void set_label(const instance_id& worker, const std::string& label);
    /// The platform refuses to move the machine of this worker from now on.
    void refuse_moves(const instance_id& worker) { machine_of(worker)->busy = true; }
    /// The workers of served_pool that run a task of the job, by its index.
    [[nodiscard]] std::vector<instance_id> workers_of(const job_id& job) const;
    /// Advances time by a tick of 100 ms: polls, machine lists, and the orders of one round.
    void tick();
    void run_for(milliseconds time);
    /// Longest time that any of the job's tasks has spent without a run so far.
    [[nodiscard]] milliseconds longest_wait(const job_id& job) const;

    time_point now{std::chrono::hours(1)};
    job::scheduler scheduler{{}, now};
    machine_planner planner{{}};
    /// All orders to machines so far.
    std::vector<machine_order> orders;
    /// Runs that were stopped before they had ended by themselves.
    std::size_t stopped_short_runs = 0;

private:
    struct active_run {
        time_point start{};
        /// When it ends by itself.
        time_point end{};
        job::run_end_reason end_reason = job::run_end_reason::done;

        [[nodiscard]] std::uint32_t percent(time_point at) const;
    };
    struct machine {
        service_id pool;
        std::vector<std::string> labels;
        /// Empty while the machine is moved.
        instance_id worker;
        bool listed = false;
        time_point ready{};
        /// Its worker never answers a poll.
        bool silent = false;
        /// The platform refuses to move it.
        bool busy = false;
        bool leaving = false;
        time_point ends{};
        std::map<job::run_name, active_run> running;
        std::vector<job::ended_run> ended;
        std::uint64_t sequence = 0;
    };

    void add_machine(const service_id& pool);
    machine* machine_of(const instance_id& worker);
    [[nodiscard]] job::worker_listing listing_of(const std::string& name, const machine& at) const;
    void poll();
    void list_machines();
    void end_departed();
    void end_runs(machine& at);
    void execute(const job::orders& given);
    void execute(const machine_orders& given);
    void stop_run(machine& at, const job::run_name& run);
    void count_waits();

    std::map<std::string, machine> m_machines;
    int m_next_machine = 0;
    int m_next_worker = 0;
    int m_ticks = 0;
    bool m_announces_remaining = false;
    bool m_lose_new_workers = false;
    milliseconds m_stop_time{0};
    std::map<job::task_name, time_point> m_waiting;
    std::map<job_id, milliseconds> m_longest;
    std::map<job_id, std::optional<milliseconds>> m_run_times;
};

} // namespace plantaindoor::fleet::testing
