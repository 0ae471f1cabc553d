// Leader election: tracks the current leader, claims leadership when it is vacant, and runs a
// session while this entry leads.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/leader_session.hpp"
#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::fleet {

struct leader_elector_options {
    std::string name;
    /// Distinguishes two runs of the entry's process.
    std::string incarnation;
    /// Address at which other entries reach this one: "10.0.0.1:7000".
    std::string peer_address;
    leader_tracker_options tracking;
    job::scheduler_options scheduling;
    machine_planner_options planning;
    /// How long callers can query a job's state after its end.
    seconds state_retention{120};
};

/// Loop thread only.
class leader_elector {
public:
    using event = std::function<void()>;

    struct event_handlers {
        /// The session that has started, or null when it has ended.
        std::function<void(leader_session*)> on_session;
        /// The claim of another entry that leads; no value if there is no leader or this entry
        /// leads.
        std::function<void(const std::optional<leader_claim>&)> on_other_leader;
        /// The store has responded.
        event on_store;
    };

    /// Everything in the context must outlive the elector.
    leader_elector(const session_context& context, leader_elector_options options,
                   event_handlers handlers);
    leader_elector(const leader_elector&) = delete;
    leader_elector& operator=(const leader_elector&) = delete;
    ~leader_elector();

    /// Leadership is claimed only once there is a configuration.
    void apply(std::shared_ptr<const fleet_config> config);
    void add_wave(const wave_request& request, time_point first_seen);
    /// The process of this incarnation has ended.
    void note_incarnation_ended(const std::string& incarnation);
    /// Resigns leadership and never claims it again.
    void resign(event done);

    /// Null while this entry does not lead.
    [[nodiscard]] leader_session* session() noexcept { return m_session.get(); }
    [[nodiscard]] const leader_tracker& tracker() const noexcept { return m_leadership; }

private:
    /// A wave and the time at which it was first read.
    struct received_wave {
        wave_request request;
        time_point first_seen{};
    };

    void watch();
    void handle_row(const stored_row& row);
    void check_leadership();
    void try_claim();
    void confirm_claim(time_point sent);
    void handle_confirmation(time_point sent, const std::optional<row_page>& page);
    void begin_session(const leader_claim& claim, row_version claim_version, time_point sent);
    void end_session(std::string_view reason);
    void tick();

    session_context m_context;
    leader_elector_options m_options;
    event_handlers m_handlers;
    std::shared_ptr<bool> m_alive;
    std::shared_ptr<const fleet_config> m_config;
    /// When the first configuration was read.
    time_point m_first_config_at{};
    std::vector<received_wave> m_waves;
    leader_tracker m_leadership;
    std::unique_ptr<table_watcher> m_leader_rows;
    std::unique_ptr<leader_session> m_session;
    timer_id m_tick_timer = timer_id::none;
    bool m_claiming = false;
    bool m_resigning = false;
    bool m_store_reachable = false;
};

} // namespace plantaindoor::fleet
