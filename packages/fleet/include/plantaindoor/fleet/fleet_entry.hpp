// One entry on a platform: follows the configuration and the duty, takes the duty when it is
// vacant, and answers callers and peers.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/fleet/control_session.hpp"
#include "plantaindoor/fleet/duty.hpp"
#include "plantaindoor/fleet/job_desk.hpp"
#include "plantaindoor/fleet/job_intake.hpp"
#include "plantaindoor/fleet/peer_calls.hpp"
#include "plantaindoor/fleet/platform_forms.hpp"
#include "plantaindoor/fleet/table_follower.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace plantaindoor::fleet {

struct fleet_entry_options {
    std::string name;
    /// Distinguishes two lives of one entry.
    std::string incarnation;
    connection::endpoint peers;
    duty_options duty;
    job::scheduler_options scheduling;
    machine_planner_options planning;
};

/// Loop thread only.
class fleet_entry {
public:
    using event = std::function<void()>;

    /// Everything in the context must outlive the entry.
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
    /// A wave, and when it was first read.
    struct seen_wave {
        wave_request request;
        time_point seen{};
    };

    void follow_operator();
    void follow_duty();
    void take_operator_row(const stored_row& row);
    void take_duty_row(const stored_row& row);
    void check_duty();
    void probe_holder();
    void take_duty();
    void confirm_duty(time_point sent);
    void begin_session(const duty_claim& claim, row_version claim_version, time_point sent);
    void end_session(std::string_view reason);
    void tick();

    session_context m_context;
    fleet_entry_options m_options;
    std::shared_ptr<bool> m_alive;
    std::shared_ptr<const fleet_config> m_config;
    std::vector<seen_wave> m_waves;
    duty_tracker m_duty;
    peer_calls m_peers;
    job_intake m_intake;
    job_desk m_desk;
    std::unique_ptr<connection::http_server> m_peer_server;
    std::unique_ptr<table_follower> m_operator_rows;
    std::unique_ptr<table_follower> m_duty_rows;
    std::unique_ptr<control_session> m_session;
    timer_id m_tick_timer = timer_id::none;
    time_point m_next_probe{};
    std::uint32_t m_refused_probes = 0;
    bool m_taking = false;
    bool m_retiring = false;
    bool m_store_answers = false;
    time_point m_store_answered{};
};

} // namespace plantaindoor::fleet
