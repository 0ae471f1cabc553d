// Carries out what the machine planner decides while the duty is held, and keeps how far each wave
// is.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/fleet/machine_planner.hpp"
#include "plantaindoor/fleet/platform_codec.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace plantaindoor::fleet {

struct machine_session_options {
    machine_authority authority;
    row_condition claim;
    machine_planner_options planning;
    /// Bounds how long a worker's end goes unnoticed.
    milliseconds list_period{400};
    milliseconds commit_timeout{1500};
    /// Between orders of two holders about one machine; beyond the platform's lease of 3 s.
    milliseconds handover_delay{3300};
};

/// Loop thread only.
class machine_session {
public:
    /// Everything passed must outlive the session.
    machine_session(event_loop& loop, row_store& store, machine_gateway& machines,
                    const platform_codec& codec, job::scheduler& scheduler,
                    metrics_registry& metrics, machine_session_options options);
    machine_session(const machine_session&) = delete;
    machine_session& operator=(const machine_session&) = delete;
    ~machine_session();

    void set_pools(const std::vector<pool_settings>& pools) { m_planner.set_pools(pools); }
    void note_worker(const job::worker_listing& listing) { m_planner.note_worker(listing); }
    /// `seen` is when the request was first read.
    void add_wave(const wave_request& request, time_point first_seen);
    /// Decides and orders. Call every 100 ms or so while orders may be given.
    void tick(time_point now);

private:
    void read_waves();
    void read_list(time_point now);
    void handle_machine_list(const std::vector<machine_info>& machines, time_point asked);
    /// Keeps which machines are ordered about, so that a successor leaves them alone for a while,
    /// and then gives the orders.
    void announce(const std::vector<machine_order>& orders, time_point now);
    void carry_out(const machine_order& order);
    void handle_answer(const machine_order& order, machine_answer answer);
    void persist_waves();
    void persist_begun(std::uint64_t wave, const std::set<std::string>& begun);
    void write_wave_status(std::uint64_t wave, bool completed);

    event_loop& m_loop;
    row_store& m_store;
    machine_gateway& m_machines;
    const platform_codec& m_codec;
    job::scheduler& m_scheduler;
    machine_session_options m_options;
    machine_planner m_planner;
    std::shared_ptr<bool> m_alive;
    std::unique_ptr<table_watcher> m_wave_rows;
    std::map<std::uint64_t, std::set<std::string>> m_persisted_begun;
    std::map<std::uint64_t, bool> m_written_completed;
    std::set<std::uint64_t> m_writing_status;
    /// Machines that were ordered about lately, and when.
    std::map<std::string, time_point> m_ordered;
    bool m_waves_read = false;
    bool m_listing = false;
    bool m_persisting = false;
    time_point m_next_list{};
    metric_counter& m_ended_workers;
    metric_counter& m_moves;
    metric_counter& m_maintenance_orders;
};

} // namespace plantaindoor::fleet
