// Leader election of one shard: tracks the current leader, claims leadership when it is vacant, and
// runs a session while this entry leads.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/leader_session.hpp"
#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"

#include <cstdint>
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
    /// Whether machines are given to other shards and asked for. Equal in all entries.
    bool machine_transfers = false;
    /// The configuration was known from then on.
    time_point first_config_at{};
};

/// A wave and the time at which it was first read.
struct received_wave {
    wave_request request;
    time_point first_seen{};
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
    };

    /// Everything in the context must outlive the elector.
    leader_elector(const session_context& context, leader_elector_options options,
                   session_shard shard, std::shared_ptr<const fleet_config> config,
                   event_handlers handlers);
    leader_elector(const leader_elector&) = delete;
    leader_elector& operator=(const leader_elector&) = delete;
    ~leader_elector();

    void apply(std::shared_ptr<const fleet_config> config);
    void add_wave(const wave_request& request, time_point first_seen);
    /// The state of a row of the shard's partition in the table of leaders.
    void note_row(const stored_row& row);
    /// All rows of that table have been passed on.
    void note_rows_complete();
    void note_store_reachable();
    void note_store_unreachable();
    /// Claims leadership if it has been vacant for longer than the tracking's delay and
    /// `extra_delay`, but not before `earliest`. Call every 50 ms or so. Returns whether a claim
    /// was sent.
    bool check(milliseconds extra_delay, time_point earliest);
    /// The store has accepted a claim of some shard, so a failed one needn't wait any longer.
    void note_claim_accepted();
    /// The process of this incarnation has ended.
    void note_incarnation_ended(const std::string& incarnation);
    /// Resigns leadership and never claims it again.
    void resign(event done);

    /// Whether this entry leads the shard, or has tried to claim it and doesn't know yet who leads.
    [[nodiscard]] bool is_engaged() const noexcept
    {
        return m_session != nullptr || m_claiming || m_failed_claims > 0;
    }
    /// Null while this entry does not lead.
    [[nodiscard]] leader_session* session() noexcept { return m_session.get(); }
    [[nodiscard]] const leader_tracker& tracker() const noexcept { return m_leadership; }

private:
    void try_claim();
    /// Whether a session under the claim of this version has ended that may have been about to give
    /// a machine away: under that claim, the machine may still be given.
    [[nodiscard]] bool is_used_up(row_version claim) const
    {
        return m_options.machine_transfers && claim == m_session_claim;
    }
    void confirm_claim(time_point sent);
    /// Delays the next claim, for longer with each failure since the last known claim.
    void note_failed_claim();
    /// It is known again who leads.
    void clear_failed_claims();
    void handle_confirmation(time_point sent, const std::optional<row_page>& page);
    void begin_session(const leader_claim& claim, row_version claim_version, time_point sent);
    void end_session(std::string_view reason);

    session_context m_context;
    leader_elector_options m_options;
    session_shard m_shard;
    event_handlers m_handlers;
    std::shared_ptr<bool> m_alive;
    std::shared_ptr<const fleet_config> m_config;
    std::vector<received_wave> m_waves;
    leader_tracker m_leadership;
    std::unique_ptr<leader_session> m_session;
    /// The version of the claim under which the last session began.
    row_version m_session_claim = absent;
    bool m_claiming = false;
    /// Claims without a known outcome, or refused, since a claim was last read.
    std::uint32_t m_failed_claims = 0;
    /// No claim is sent before this time.
    time_point m_next_claim{};
    bool m_resigning = false;
};

} // namespace plantaindoor::fleet
