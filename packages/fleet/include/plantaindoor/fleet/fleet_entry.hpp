// One entry on a platform: follows the configuration, takes part in the control duty, and answers
// callers and peers.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/job_request_handler.hpp"
#include "plantaindoor/fleet/job_writer.hpp"
#include "plantaindoor/fleet/leader_elector.hpp"
#include "plantaindoor/fleet/peer_client.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace plantaindoor::fleet {

struct fleet_entry_options {
    connection::endpoint peers;
    duty_holder_options duty;
};

/// Loop thread only.
class fleet_entry {
public:
    using event = std::function<void()>;

    /// Everything in the context must outlive the entry. Throws connection::listen_error.
    fleet_entry(const session_context& context, connection::http_client& client,
                fleet_entry_options options);
    fleet_entry(const fleet_entry&) = delete;
    fleet_entry& operator=(const fleet_entry&) = delete;
    ~fleet_entry();

    /// Null until the first configuration is read.
    [[nodiscard]] std::shared_ptr<const fleet_config> config() const noexcept { return m_config; }
    [[nodiscard]] job_desk& desk() noexcept { return m_desk; }
    /// Whether the platform should send callers here.
    [[nodiscard]] bool ready() const;
    /// Gives up the duty; callers are still answered.
    void retire(event done);

private:
    void listen();
    void follow_operator();
    void take_operator_row(const stored_row& row);
    void set_other_holder(const std::optional<duty_claim>& claim);
    void probe_holder();
    void tick();

    session_context m_context;
    fleet_entry_options m_options;
    std::shared_ptr<bool> m_alive;
    std::shared_ptr<const fleet_config> m_config;
    peer_calls m_peers;
    job_intake m_intake;
    job_desk m_desk;
    duty_holder m_duty;
    std::unique_ptr<connection::http_server> m_peer_server;
    std::unique_ptr<table_follower> m_operator_rows;
    timer_id m_tick_timer = timer_id::none;
    time_point m_next_probe{};
    std::uint32_t m_refused_probes = 0;
    bool m_retiring = false;
    time_point m_store_answered{};
};

} // namespace plantaindoor::fleet
