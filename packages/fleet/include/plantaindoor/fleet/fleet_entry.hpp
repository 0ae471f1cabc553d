// An entry on a platform: watches the configuration, takes part in the leader election, and answers
// callers and peers.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/job_request_handler.hpp"
#include "plantaindoor/fleet/job_writer.hpp"
#include "plantaindoor/fleet/operator_watcher.hpp"
#include "plantaindoor/fleet/shard_set.hpp"
#include "plantaindoor/policy/key_freshness.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

struct fleet_entry_options {
    connection::endpoint peers;
    shard_set_options shards;
    /// How often the process of each leader is probed.
    milliseconds probe_interval{400};
    policy::key_freshness_options keys;
};

/// Connects the shards, the job request handler and the peer server of one process. Loop thread
/// only.
class fleet_entry {
public:
    using resign_callback = std::function<void()>;

    /// Everything in the context must outlive the entry. `random` returns evenly distributed
    /// numbers. Throws connection::listen_error.
    fleet_entry(const session_context& context, connection::http_client& client,
                fleet_entry_options options, const std::function<std::uint64_t()>& random);
    fleet_entry(const fleet_entry&) = delete;
    fleet_entry& operator=(const fleet_entry&) = delete;
    ~fleet_entry();

    /// Returns null until the first configuration has been read.
    [[nodiscard]] std::shared_ptr<const fleet_config> config() const noexcept
    {
        return m_operator_rows.config();
    }
    /// Whether the configuration is recent enough to admit its keys.
    [[nodiscard]] bool admits_keys() const { return m_key_freshness.is_fresh(m_context.clock()); }
    /// Age of the view of the configuration; nullopt before the first read.
    [[nodiscard]] std::optional<milliseconds> config_age() const
    {
        return m_key_freshness.age(m_context.clock());
    }
    [[nodiscard]] job_request_handler& jobs() noexcept { return m_jobs; }
    /// Whether the platform should send callers here.
    [[nodiscard]] bool is_ready() const;
    /// Resigns all leaderships; callers are still answered.
    void resign(const resign_callback& done);

private:
    void listen();
    void set_layout(const std::shared_ptr<const shard_layout>& layout);
    /// Sets the leader that is queried and probed; no value while there is none or it is this
    /// entry.
    void set_other_leader(shard_number shard, const std::optional<leader_claim>& claim);
    void probe_leader(shard_number shard);
    void tick();
    void record_delays(time_point now);

    session_context m_context;
    fleet_entry_options m_options;
    std::shared_ptr<bool> m_alive;
    job_writer m_writer;
    job_request_handler m_jobs;
    shard_set m_shards;
    std::unique_ptr<connection::http_server> m_peer_server;
    metric_summary& m_loop_delay;
    policy::key_freshness m_key_freshness;
    operator_watcher m_operator_rows;
    timer_id m_tick_timer = timer_id::none;
    time_point m_tick_due{};
    struct leader_probe {
        time_point next{};
        std::uint32_t refused = 0;
    };
    /// By shard.
    std::vector<leader_probe> m_probes;
    bool m_resigning = false;
    time_point m_last_store_response{};
};

} // namespace plantaindoor::fleet
