// Decides which machines change their pool, and when each machine of a wave has its upkeep.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

struct machine_planner_options {
    /// How long a machine is away for a move, and for its upkeep.
    milliseconds move_time{1500};
    milliseconds maintenance_time{2000};
    /// Arrivals are counted over the time of this many jobs, within these bounds.
    std::uint64_t arrival_jobs = 6;
    milliseconds min_arrival_window{500};
    milliseconds max_arrival_window{2500};
    /// The waiting work should be under way within this time.
    milliseconds backlog_time{1000};
    /// Share of a pool's capacity that its load may take, in percent.
    std::uint32_t full_percent = 92;
    /// Machines that a pool keeps beyond what it wants.
    std::uint32_t spare_machines = 1;
    /// Reserve for the drains of a wave that can't wait for idle machines.
    milliseconds wave_reserve{6000};
};

enum class machine_action { move, maintain };

struct machine_order {
    std::string machine;
    machine_action action = machine_action::move;
    /// Of a move.
    service_id pool;
    /// Of an upkeep.
    std::uint64_t wave = 0;
    /// The worker whose life the order ends; empty where none runs.
    instance_id worker;
};

/// A worker to cordon before its machine is ordered about, or to uncordon.
struct cordon_change {
    instance_id worker;
    bool cordoned = true;
};

struct machine_orders {
    std::vector<cordon_change> cordons;
    std::vector<machine_order> orders;
};

/// How far a wave is.
struct wave_progress {
    wave_request request;
    time_point first_seen{};
    /// Machines whose upkeep has begun, or that are gone.
    std::set<std::string> begun;

    [[nodiscard]] bool completed() const { return begun.size() >= request.machines.size(); }
};

/// Deterministic; reads no clock. Not synchronised.
class machine_planner {
public:
    explicit machine_planner(machine_planner_options options) : m_options(options) {}

    void set_pools(const std::vector<pool_settings>& pools);
    /// Takes in a whole list that was asked for at `asked`.
    void note_machine_list(const std::vector<machine_info>& machines, time_point asked);
    /// An earlier holder has ordered a machine about just before: it is left alone until then.
    void block(const std::string& machine, time_point until) { m_blocked[machine] = until; }
    /// A worker has been listed.
    void note_worker(const job::worker_listing& listing);
    void note_wave(const wave_request& request, time_point first_seen,
                   const std::set<std::string>& begun);
    void note_answer(const machine_order& order, machine_answer answer, time_point now);

    [[nodiscard]] machine_orders plan(time_point now, const job::scheduler& scheduler);

    [[nodiscard]] const std::map<std::uint64_t, wave_progress>& waves() const { return m_waves; }

private:
    struct machine_record {
        service_id pool;
        machine_state state = machine_state::up;
        instance_id worker;
        /// The life that the last order ended; its entry may still be listed for a while.
        instance_id ended_worker;
        rack_id rack;
        /// What it is being emptied for, or has been ordered to do.
        std::optional<machine_order> purpose;
        bool ordered = false;
        /// The order hasn't been answered yet.
        bool on_its_way = false;
        time_point changed{};
        /// Thousandths of a core that run there.
        std::int64_t used = 0;
        bool idle = false;
        /// Tasks that last run there.
        bool long_running = false;
    };
    struct pool_state {
        std::uint32_t wanted = 0;
        /// Machines that serve it, or will.
        std::uint32_t present = 0;
    };
    struct arrival_sample {
        time_point at{};
        double work = 0;
        std::uint64_t jobs = 0;
    };

    [[nodiscard]] bool is_standby(const service_id& pool) const;
    /// Nothing is meant for it, and it may be ordered about.
    [[nodiscard]] bool is_free(const std::string& name, const machine_record& machine,
                               time_point now) const;
    void refresh_use(const job::scheduler& scheduler);
    void plan_waves(time_point now, const std::map<service_id, job::service_load>& loads,
                    machine_orders& out);
    void reserve_for_wave(wave_progress& wave, time_point now,
                          const std::map<service_id, job::service_load>& loads,
                          machine_orders& out);
    /// Whether the steps that last keep enough machines without one of the pool's.
    [[nodiscard]] bool can_spare(const service_id& pool,
                                 const std::map<service_id, job::service_load>& loads) const;
    [[nodiscard]] std::uint32_t under_maintenance(const service_id& pool) const;
    void plan_pools(time_point now, const job::scheduler& scheduler,
                    const std::map<service_id, job::service_load>& loads, machine_orders& out);
    [[nodiscard]] std::map<service_id, pool_state>
    pool_states(time_point now, const job::scheduler& scheduler,
                const std::map<service_id, job::service_load>& loads);
    /// Machines that serve a pool, or will.
    [[nodiscard]] std::uint32_t present_of(const service_id& pool) const;
    [[nodiscard]] double arrival_rate(const service_id& pool, const job::service_load& load,
                                      time_point now);
    [[nodiscard]] double needed_by(const service_id& pool, const job::service_load& load,
                                   double each, time_point now);
    void order_emptied(time_point now, machine_orders& out);
    void cordon(machine_record& machine, machine_order purpose, machine_orders& out);
    /// The machine that can leave a pool soonest; empty where none may.
    [[nodiscard]] std::string leaver_of(const service_id& pool, time_point now) const;
    void move_machines(time_point now, std::map<service_id, pool_state>& states,
                       machine_orders& out);

    machine_planner_options m_options;
    std::map<service_id, pool_settings> m_pools;
    std::map<std::string, machine_record> m_machines;
    std::map<std::string, time_point> m_blocked;
    std::map<std::uint64_t, wave_progress> m_waves;
    std::map<service_id, std::deque<arrival_sample>> m_arrivals;
    /// Workers whose machines stay after all.
    std::vector<cordon_change> m_uncordoned;
    /// Machines that were to move before this round decides again.
    std::set<std::string> m_moving_before;
    bool m_listed = false;
};

/// Workers that the scheduler still knows although a list that was asked for at `asked` shows their
/// machines as down, away or with another life: nothing runs there any more. Thread-safe.
[[nodiscard]] std::vector<instance_id> ended_workers(const std::vector<machine_info>& machines,
                                                     time_point asked,
                                                     const job::scheduler& scheduler);

} // namespace plantaindoor::fleet
