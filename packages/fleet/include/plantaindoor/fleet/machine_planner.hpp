// Plans moves of machines between pools and the maintenance of the machines of a wave.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/job/scheduler.hpp"
#include "plantaindoor/policy/machine_division.hpp"
#include "plantaindoor/policy/worker_vacating.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::fleet {

struct machine_planner_options {
    /// Time that a machine is unavailable during a move.
    milliseconds move_time{1500};
    /// How long after a move the machine's new worker may take to answer.
    milliseconds arrival_margin{2000};
    /// How long a worker takes to stop a run.
    milliseconds stop_time{1000};
    /// Time that a machine is unavailable during its maintenance.
    milliseconds maintenance_time{2000};
    /// The arrival rate is measured over a window that contains this many jobs, within the bounds
    /// below.
    std::uint64_t arrival_jobs = 6;
    milliseconds min_arrival_window{500};
    milliseconds max_arrival_window{2500};
    /// Queued work should have started within this time.
    milliseconds backlog_time{1000};
    /// Maximum planned load of a pool, in percent of its capacity.
    std::uint32_t max_load_percent = 92;
    /// Machines that a pool retains when it gives machines away, even without any load.
    std::uint32_t min_machines = 1;
    /// Time before a wave's deadline reserved for draining machines that don't become idle.
    milliseconds wave_reserve{6000};
};

enum class machine_action { move, maintain };

struct machine_order {
    std::string machine;
    machine_action action = machine_action::move;
    /// Destination pool; for a move only.
    service_id pool;
    /// For maintenance only.
    std::uint64_t wave = 0;
    /// The worker that the order terminates; empty if the machine has none.
    instance_id worker;
};

/// A worker to cordon before its machine is moved or maintained, or to uncordon.
struct cordon_change {
    instance_id worker;
    bool cordoned = true;
};

/// Runs to stop on a worker whose machine is to be moved for long-running tasks; none of them is
/// long-running itself.
struct vacating_stops {
    instance_id worker;
    std::vector<job::run_name> runs;
};

struct machine_orders {
    std::vector<cordon_change> cordons;
    std::vector<vacating_stops> stops;
    std::vector<machine_order> orders;
};

/// An order of a previous leader that may still be carried out.
struct expected_order {
    /// Until then the machine gets no order of this leader.
    time_point blocked_until{};
    /// Until then the order may be carried out, unless a later order for the machine is answered
    /// first: the platform then refuses the earlier one.
    time_point possible_until{};
};

/// The machines of one pool in the last round.
struct pool_figures {
    /// Machines that the demand needs, and those that serve the pool or will after a planned move.
    std::uint32_t wanted = 0;
    std::uint32_t present = 0;
    /// The part of those wanted that the long-running tasks can't do without.
    std::uint32_t required = 0;
    /// The parts of those wanted that the pool needs for any work at all and for its waves, to
    /// complete in time what still can be, and for all that is worth something to its callers.
    std::uint32_t at_least = 0;
    std::uint32_t timely = 0;
    std::uint32_t valuable = 0;
    /// Further machines that the long-running tasks can't do without and that must have a label, by
    /// label.
    std::map<std::string, std::uint32_t> required_with_label;
    /// Machines whose worker has announced that it leaves; they aren't present.
    std::uint32_t leaving = 0;

    /// Machines that the pool needs and that no other pool could give.
    [[nodiscard]] std::uint32_t missing() const { return wanted > present ? wanted - present : 0; }
};

struct wave_progress {
    wave_request request;
    time_point first_seen{};
    /// Machines whose maintenance has started, or that are no longer listed.
    std::set<std::string> started;

    [[nodiscard]] bool completed() const { return started.size() >= request.machines.size(); }
};

/// A machine on which nothing runs and for which no order is planned.
struct idle_machine {
    std::string machine;
    service_id pool;
    /// Empty for a machine that is off.
    instance_id worker;
    rack_id rack;
};

/// Decides on machine orders. Deterministic; reads no clock. Not thread-safe.
class machine_planner {
public:
    explicit machine_planner(machine_planner_options options) : m_options(options) {}

    void set_pools(const std::vector<pool_settings>& pools);
    /// Applies a machine list that was requested at `requested_at`. Machines that a partial one
    /// lacks stay as they were.
    void note_machine_list(const std::vector<machine_info>& machines, time_point requested_at,
                           list_extent extent);
    /// Records that a previous leader may have given an order for the machine, which then counts as
    /// down for its waves, and is the first of those to be maintained.
    void expect_order(const std::string& machine, expected_order order)
    {
        m_expected_orders[machine] = order;
    }
    void note_worker(const job::worker_listing& listing);
    void note_wave(const wave_request& request, time_point first_seen,
                   const std::set<std::string>& started);
    void note_answer(const machine_order& order, machine_answer answer, time_point now);

    [[nodiscard]] machine_orders plan(time_point now, const job::scheduler& scheduler);

    [[nodiscard]] const std::map<std::uint64_t, wave_progress>& waves() const { return m_waves; }
    /// Machines that were given to this or another shard and that this one doesn't own: while they
    /// are listed, they get no orders and serve no pool.
    void set_unavailable(std::set<std::string> machines) { m_unavailable = std::move(machines); }
    /// The shard is about to own the machine, which counted as started as the shard didn't own it:
    /// its maintenance is still to come in each wave for which `was_started` returns false.
    void reopen_waves(const std::string& machine,
                      const std::function<bool(std::uint64_t wave)>& was_started);
    /// The free machines that no open wave names, as of the last plan().
    [[nodiscard]] std::vector<idle_machine> idle_machines(time_point now) const;
    /// The pools with demand or machines, as of the last plan().
    [[nodiscard]] const std::map<service_id, pool_figures>& pools() const { return m_pool_figures; }

private:
    struct machine_record {
        service_id pool;
        machine_state state = machine_state::up;
        instance_id worker;
        /// Latest known start of the worker, and the same when the last order was given.
        std::optional<wall_time> worker_start;
        std::optional<wall_time> ordered_start;
        /// The worker that the last order terminated, and its start; it may still be listed for a
        /// while. A worker that starts later under this id is another one.
        instance_id ended_worker;
        std::optional<wall_time> ended_start;
        rack_id rack;
        std::vector<std::string> labels;
        /// The order that the machine is being drained for or that has been given.
        std::optional<machine_order> planned_order;
        /// Whether planned_order has been given.
        bool ordered = false;
        /// Whether planned_order may have been carried out: it was sent, and not refused.
        bool may_be_done = false;
        /// Whether the answer to the order is pending.
        bool in_flight = false;
        /// When the last order was given or answered.
        time_point changed{};
        /// Processor time in use, in thousandths of a core.
        std::int64_t used = 0;
        bool idle = false;
        /// Whether the worker drains: it takes no new tasks and ends soon.
        bool leaving = false;
        /// Whether the worker has answered this process.
        bool answered = false;
        /// When the worker last had, or when it, the machine or the last order became known.
        std::optional<time_point> awaited_since;
        /// Whether a worker that hasn't answered is still expected to.
        bool expected = true;
        /// Whether long-running tasks run on the machine.
        bool long_running = false;
        /// Whether the worker is held for a wide task, which would have to wait for another one.
        bool held = false;
    };
    struct arrival_sample {
        time_point at{};
        double work = 0;
        std::uint64_t jobs = 0;
    };

    [[nodiscard]] bool is_standby(const service_id& pool) const;
    /// Whether an order of a previous leader may still take the machine down for the wave.
    [[nodiscard]] bool may_be_taken_down(const std::string& name, const wave_progress& wave,
                                         time_point now) const;
    /// Whether the machine is up, has no planned order, isn't blocked and its worker stays.
    [[nodiscard]] bool is_free(const std::string& name, const machine_record& machine,
                               time_point now) const;
    void refresh_usage(const job::scheduler& scheduler, time_point now);
    void plan_waves(time_point now, const std::map<service_id, job::service_load>& loads,
                    machine_orders& out);
    void reserve_for_wave(wave_progress& wave, time_point now,
                          const std::map<service_id, job::service_load>& loads,
                          machine_orders& out);
    /// Whether the long-running steps have enough machines if the pool loses one.
    [[nodiscard]] bool can_spare(const service_id& pool,
                                 const std::map<service_id, job::service_load>& loads) const;
    template<class Predicate>
    [[nodiscard]] std::uint32_t count_machines(Predicate counts) const;
    [[nodiscard]] std::uint32_t under_maintenance(const service_id& pool) const;
    void plan_pools(time_point now, const job::scheduler& scheduler,
                    const std::map<service_id, job::service_load>& loads, machine_orders& out);
    [[nodiscard]] std::map<service_id, pool_figures>
    pool_states(time_point now, const job::scheduler& scheduler,
                const std::map<service_id, job::service_load>& loads);
    /// Counts the machines that serve a pool, or will after a planned move, without those whose
    /// worker leaves or hasn't answered for so long that it can't be counted on.
    [[nodiscard]] std::uint32_t count_present(const service_id& pool) const;
    [[nodiscard]] std::uint32_t count_leaving(const service_id& pool) const;
    /// Counts the machines of the pool whose worker has answered and stays, without a planned
    /// order.
    [[nodiscard]] std::uint32_t count_settled(const service_id& pool) const;
    /// Counts the machines with the label that serve the pool soon, but not yet.
    [[nodiscard]] std::uint32_t count_arriving(const service_id& pool,
                                               const std::string& label) const;
    /// Whether the machine serves the pool, or will after a planned move.
    [[nodiscard]] static bool is_present(const machine_record& machine, const service_id& pool);
    [[nodiscard]] static bool is_settled(const machine_record& machine, const service_id& pool);
    [[nodiscard]] double arrival_rate(const service_id& pool, const job::service_load& load,
                                      time_point now);
    /// The capacity that `demand` needs, which arrives at a rate of `arrivals`, in a pool that has
    /// `present_capacity` for it.
    [[nodiscard]] double needed_capacity(const job::ordinary_load& demand, double arrivals,
                                         double present_capacity) const;
    void order_idle_machines(time_point now, machine_orders& out);
    void cordon(machine_record& machine, machine_order planned_order, machine_orders& out);
    /// In how many waves the machine is due that hasn't begun its maintenance there.
    [[nodiscard]] std::size_t count_open_waves(const std::string& machine) const;
    /// Whether the entry, of a list that was requested then, shows the machine as up after the time
    /// that the last order takes: one that was done before is accepted without any effect.
    [[nodiscard]] bool was_done_before(const machine_record& machine, const machine_info& entry,
                                       time_point requested_at) const;
    /// Forgets the order for a machine that is up, and uncordons its worker.
    void drop_planned_order(machine_record& machine);
    /// What the moves planned in one call share.
    struct move_round {
        time_point now{};
        const job::scheduler& scheduler;
        const std::map<service_id, job::service_load>& loads;
        std::map<service_id, pool_figures> states;
        machine_orders& out;
    };
    /// A machine that may be moved for long-running tasks.
    struct required_candidate;
    /// Whether another machine may leave the pool if it retains `kept`.
    [[nodiscard]] bool can_give(const service_id& pool, const pool_figures& state,
                                std::uint32_t pool_figures::*kept) const;
    [[nodiscard]] required_candidate
    required_candidate_of(const std::string& name, const machine_record& machine,
                          const policy::vacating_deadline& deadline, const move_round& round) const;
    /// The machines that may leave other pools than `pool`, the best of them first.
    [[nodiscard]] std::vector<required_candidate>
    required_candidates(const service_id& pool, const policy::vacating_deadline& deadline,
                        const move_round& round) const;
    /// Whether the pool requires a further machine with these labels; counts it as required.
    [[nodiscard]] static bool take_requirement(pool_figures& state,
                                               const std::vector<std::string>& labels);
    void move_machines(move_round& round);
    void plan_move(const std::string& machine, const service_id& destination, move_round& round);
    /// Whether a machine is needed where it is, in part at least.
    enum class machine_origin { needed, spare };
    /// Moves machines from pools that have more than their share, or spare ones, and from standby
    /// pools, to those that have less than their share.
    void move_wanted(move_round& round, machine_origin origin);
    struct divided_pool;
    using divided_pools = std::map<service_id, divided_pool>;
    /// The machines of each pool that may be moved, the best of them first.
    using move_candidates = std::map<service_id, std::deque<std::string>>;
    [[nodiscard]] move_candidates candidates_by_pool(time_point now) const;
    /// Whether the machine is free and no long-running task keeps it in its pool.
    [[nodiscard]] bool is_movable(const std::string& name, const machine_record& machine,
                                  time_point now) const;
    /// Divides the machines among the pools by what they want.
    [[nodiscard]] divided_pools divide_machines(const move_round& round);
    [[nodiscard]] policy::pool_need need_of(const service_id& pool, const pool_figures& state,
                                            time_point now);
    /// The pool that lacks the largest part of its share, where pools that lack what they require
    /// come first; nullopt if none may get a machine that others need, or one that they don't.
    [[nodiscard]] static std::optional<service_id>
    next_receiver(const move_round& round, const divided_pools& pools, machine_origin origin);
    /// The pool to take such a machine from; nullopt if there is none.
    [[nodiscard]] std::optional<service_id> next_source(const move_round& round,
                                                        const divided_pools& pools,
                                                        const move_candidates& candidates,
                                                        machine_origin origin) const;
    /// A pool that has fewer machines than its long-running tasks require.
    struct requiring_pool;
    /// Those pools, the one whose tasks have waited longest first, each with its candidates.
    [[nodiscard]] std::vector<requiring_pool> requiring_pools(const move_round& round) const;
    /// Moves machines to the pools that have fewer present than required, one for each in turn,
    /// from pools that have more than `kept`, and stops the short runs on them that would end too
    /// late.
    void move_required(move_round& round, std::uint32_t pool_figures::*kept);
    /// Moves the next suitable candidate to the pool; returns whether there was one.
    bool move_next_required(requiring_pool& pool, move_round& round,
                            std::uint32_t pool_figures::*kept);

    machine_planner_options m_options;
    policy::machine_division m_division;
    std::map<service_id, pool_settings> m_pools;
    /// The pools in the order in which they give machines away.
    std::vector<service_id> m_sources;
    std::map<std::string, machine_record> m_machines;
    /// By machine.
    std::map<std::string, expected_order> m_expected_orders;
    /// Machines that the platform wouldn't move, and until when none is tried again.
    std::map<std::string, time_point> m_blocked;
    std::map<std::uint64_t, wave_progress> m_waves;
    std::map<service_id, std::deque<arrival_sample>> m_arrivals;
    std::map<service_id, pool_figures> m_pool_figures;
    std::set<std::string> m_unavailable;
    /// Workers to uncordon as the order for their machine was dropped.
    std::vector<cordon_change> m_uncordoned;
    /// Machines whose planned move is reconsidered in the current plan() call, and where to.
    std::map<std::string, service_id> m_previous_moves;
    /// Since when pools have had less than they require.
    std::map<service_id, time_point> m_short_since;
    bool m_listed = false;
};

/// Workers in the scheduler that have ended according to a list requested at `requested_at`, and
/// how: their machine is not up and has no worker, or has a different worker, so nothing runs on
/// them any more. Thread-safe.
[[nodiscard]] std::map<instance_id, job::worker_end>
ended_workers(const std::vector<machine_info>& machines, time_point requested_at,
              const job::scheduler& scheduler);

} // namespace plantaindoor::fleet
