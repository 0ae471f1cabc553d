// Executes the orders of a shard's machine planner while this entry is its leader, and persists the
// progress of the shard's part of each wave.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/fleet/leader_lease.hpp"
#include "plantaindoor/fleet/machine_exchange.hpp"
#include "plantaindoor/fleet/machine_planner.hpp"
#include "plantaindoor/fleet/machine_transfers.hpp"
#include "plantaindoor/fleet/platform_codec.hpp"
#include "plantaindoor/fleet/pool_reporter.hpp"
#include "plantaindoor/fleet/recent_orders.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

struct machine_session_options {
    row_condition claim;
    shard_number shard = 0;
    std::shared_ptr<const shard_layout> layout;
    machine_planner_options planning;
    /// Null where the layout alone determines what the shard owns.
    machine_exchange* exchange = nullptr;
    /// Whether an earlier leader of the shard may have sent orders.
    bool has_predecessor = true;
    /// Runs when the worker's machine has been given to another shard.
    std::function<void(const instance_id&)> on_given;
    /// Bounds the time until the end of a worker is detected.
    milliseconds list_interval{400};
    milliseconds commit_timeout{1500};
    /// Time for which an ordered machine stays in the persisted list for a successor; longer than
    /// the platform's lease of 3 s.
    milliseconds handover_delay{3300};
};

/// The part of a leader session that manages machines. Loop thread only.
class machine_session {
public:
    /// Everything passed must outlive the session.
    machine_session(event_loop& loop, row_store& store, machine_gateway& machines,
                    const platform_codec& codec, job::scheduler& scheduler,
                    const leader_lease& lease, metrics_registry& metrics,
                    machine_session_options options);
    machine_session(const machine_session&) = delete;
    machine_session& operator=(const machine_session&) = delete;
    ~machine_session();

    void set_pools(const std::vector<pool_settings>& pools) { m_planner.set_pools(pools); }
    void note_worker(const job::worker_listing& listing) { m_planner.note_worker(listing); }
    /// `first_seen` is the time at which the request was first read. Takes effect once the
    /// progress of the waves under previous leaders has been read.
    void add_wave(const wave_request& request, time_point first_seen);
    /// Plans and gives orders. To be called about every 100 ms while orders may be given.
    void tick(time_point now);

private:
    /// A wave that waits until shards with lower numbers have completed their parts.
    struct waiting_wave {
        wave_request request;
        time_point first_seen{};
        wave_share share;
        /// When those shards were seen to have completed theirs.
        std::optional<time_point> turn_began;
    };

    void read_waves();
    void note_wave_row(const stored_row& row);
    void begin_wave(const wave_request& request, time_point first_seen);
    /// Begins the waves whose turn has come.
    void check_waiting_waves(time_point now);
    /// Whether these shards have started maintenance of all their machines in the wave.
    [[nodiscard]] bool completed_by(const wave_request& request, shard_number first,
                                    shard_number end) const;
    [[nodiscard]] wave_rows known_waves() const;
    /// Whether the planner is to know the machine.
    [[nodiscard]] bool is_listed(const machine_info& machine) const;
    void read_list(time_point now);
    void handle_machine_list(machine_list list, time_point requested_at);
    /// Persists the affected machines, which a successor should leave alone for handover_delay, and
    /// then sends the orders.
    void persist_and_send(const std::vector<machine_order>& orders, time_point now);
    /// The order counts as refused if the lease has expired.
    void send_order(const machine_order& order);
    /// `start` is the start of the order's worker that was known when the order was sent.
    void handle_answer(const machine_order& order, const std::optional<wall_time>& start,
                       machine_answer answer);
    /// The platform has accepted the order, or had carried it out before.
    void note_accepted(const machine_order& order);
    void persist_waves();
    void persist_started(std::uint64_t wave, const std::set<std::string>& started);
    void write_wave_status(std::uint64_t wave, bool completed);

    event_loop& m_loop;
    row_store& m_store;
    machine_gateway& m_machines;
    const platform_codec& m_codec;
    job::scheduler& m_scheduler;
    const leader_lease& m_lease;
    machine_session_options m_options;
    machine_planner m_planner;
    recent_orders m_recent_orders;
    std::optional<machine_transfers> m_transfers;
    pool_reporter m_pool_reporter;
    std::shared_ptr<bool> m_alive;
    std::unique_ptr<table_watcher> m_wave_rows;
    started_machines m_persisted_started;
    /// Of the other shards.
    std::map<shard_number, started_machines> m_started_elsewhere;
    std::vector<waiting_wave> m_waiting_waves;
    std::map<std::uint64_t, bool> m_written_completed;
    std::set<std::uint64_t> m_writing_status;
    bool m_waves_read = false;
    bool m_list_pending = false;
    bool m_persisting = false;
    time_point m_next_list{};
    metric_counter& m_ended_workers;
    metric_counter& m_moves;
    metric_counter& m_maintenance_orders;
};

} // namespace plantaindoor::fleet
