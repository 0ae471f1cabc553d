// Whether this entry may take new work: its registration, how current it is, and whom it hears.
// Pure: events and times in, decisions out.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/version/registration.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace plantaindoor::process {

enum class serving_state {
    serving,
    starting,          ///< neither registered nor, in an outage, caught up from a serving peer
    cut_off,           ///< can't know whether its version is current
    registration_lost, ///< its row was deleted
    ending,            ///< asked to end
};

/// Rules that keep a drained instance's requests whole. Production has all of them; the proof
/// drops one at a time and has to find the run that breaks.
struct membership_rules {
    /// An unregistered entry catches up in an exchange begun once the platform's list must show it.
    bool sync_after_list = true;
    /// It catches up from a peer that is serving.
    bool sync_from_serving = true;

    friend auto operator<=>(const membership_rules&, const membership_rules&) = default;
};

struct membership_options {
    entry_id self;
    std::uint64_t incarnation = 0;
    availability_zone_id zone;
    std::string peer_address;
    std::uint16_t peer_port = 0;
    /// Longest time after which the platform's list shows a machine.
    milliseconds list_lag{30000};
    /// Age of the newest sign of being current from which the entry takes no new work.
    milliseconds currency_bound{3000};
    milliseconds lease{15000};
    /// Time from one renewal to the next; at many entries up to the longest, which has to stay
    /// within half of renewal_watch's window.
    milliseconds renew_period{3000};
    milliseconds longest_renew_period{5000};
    milliseconds shortest_write_gap{200};
    /// Most renewals a second by all entries together, and most writes that can't wait.
    std::size_t max_renewals_per_second = 10;
    std::size_t max_urgent_writes_per_second = 100;
    membership_rules rules;

    friend auto operator<=>(const membership_options&, const membership_options&) = default;
};

/// An entry that another has heard from, and how long ago.
struct heard_entry {
    entry_id entry;
    milliseconds age{0};

    friend bool operator==(const heard_entry&, const heard_entry&) = default;
};

/// What a peer's answer to an exchange says.
struct peer_status {
    entry_id entry;
    bool serving = false;
    version::version_number version = 0;
    /// When this entry began the exchange: what the peer says was true then or later.
    time_point asked{};
    /// Age of the newest reading of the log's head that the peer has wholly applied.
    std::optional<milliseconds> head_age;
    std::vector<heard_entry> heard;
};

/// A write of the registration row.
struct registration_write {
    version::registration row;
    /// The first one: the row must not exist, and the log's head must be at `row.applied`.
    bool first = false;
};

enum class registration_outcome {
    written,
    row_missing, ///< a renewal found no row: it was deleted
    failed,      ///< lost a race for the head, or the table did not answer
};

/// The decisions. Not synchronised.
class membership {
public:
    membership(membership_options options, time_point started);

    /// Where peers reach this entry, once its listener is open.
    void listen_at(std::string address, std::uint16_t port);

    /// The version in force here. `urgent` when it plans an instance out, so that the confirmation
    /// must not wait for the next renewal.
    void on_applied(version::version_number version, bool urgent);
    /// A reading of the log's head, asked for at that time, is wholly applied.
    void on_head_applied(time_point asked);
    void on_peer(const peer_status& status);
    /// The registered entries, of one reading.
    void on_registered(const std::set<entry_id>& entries, time_point now);
    /// The entries in the platform's list, live or leaving.
    void on_listed(const std::set<entry_id>& entries, time_point now);
    /// Instances that are planned out and still have requests in progress from here.
    void on_busy(const std::vector<instance_id>& busy);
    /// The process was asked to end: no new work from now on.
    void on_ending() { m_ending = true; }

    /// Whether the row is due to be written; false while a write is under way.
    [[nodiscard]] bool write_due(time_point now) const;
    /// Begins a write. Precondition: write_due(). `busy` must be taken at the version in force.
    [[nodiscard]] registration_write begin_write(time_point now, wall_time wall,
                                                 std::vector<instance_id> busy);
    void on_written(registration_outcome outcome);

    /// Whether a new request may be taken or sent on now, and if not, why.
    [[nodiscard]] serving_state may_serve(time_point now) const;
    [[nodiscard]] bool registered() const noexcept { return m_registered; }

    /// The newest time at which this entry's version is known to have been the log's newest.
    [[nodiscard]] std::optional<time_point> current_as_of() const noexcept { return m_head_as_of; }
    /// Entries heard lately and level with this one, newest first, at most `limit`.
    [[nodiscard]] std::vector<heard_entry> heard(time_point now, std::size_t limit) const;
    /// Other entries known.
    [[nodiscard]] std::size_t others() const noexcept { return m_others.size(); }

    friend auto operator<=>(const membership&, const membership&) = default;

private:
    /// A sign of life of another entry; counts once `version` is applied here.
    struct other {
        time_point first_known{};
        std::optional<time_point> heard;
        version::version_number version = 0;

        friend auto operator<=>(const other&, const other&) = default;
    };
    struct head_reading {
        time_point as_of{};
        version::version_number version = 0;

        friend auto operator<=>(const head_reading&, const head_reading&) = default;
    };

    void hear(const entry_id& entry, time_point as_of, version::version_number version);
    void take_head_reading(const head_reading& reading);
    void take_sync(const peer_status& status);
    void settle();
    [[nodiscard]] bool recent(const other& entry, time_point now) const;
    [[nodiscard]] bool current(time_point now) const;
    [[nodiscard]] bool hears_majority(time_point now) const;
    [[nodiscard]] nanoseconds renewal_gap() const;
    [[nodiscard]] nanoseconds urgent_gap() const;

    membership_options m_options;
    time_point m_started;
    version::version_number m_applied = 0;
    std::map<entry_id, other> m_others;
    std::optional<time_point> m_head_as_of;
    /// A peer's newer reading whose version isn't applied here yet.
    std::optional<head_reading> m_head_ahead;
    /// The version to reach for having caught up from a serving peer.
    std::optional<version::version_number> m_sync_version;
    bool m_synced = false;

    bool m_rows_read = false;
    bool m_registered = false;
    bool m_was_registered = false;
    bool m_ending = false;
    bool m_writing = false;
    bool m_urgent = false;
    std::optional<time_point> m_last_write;
    std::vector<instance_id> m_written_busy;
};

} // namespace plantaindoor::process

namespace plantaindoor {

template<>
struct enum_names<process::serving_state> {
    static constexpr std::array<enum_name<process::serving_state>, 5> table{{
        {process::serving_state::serving, "serving"},
        {process::serving_state::starting, "starting"},
        {process::serving_state::cut_off, "cut-off"},
        {process::serving_state::registration_lost, "registration-lost"},
        {process::serving_state::ending, "ending"},
    }};
};

} // namespace plantaindoor
