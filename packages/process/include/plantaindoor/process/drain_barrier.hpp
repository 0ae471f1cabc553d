// Decides when an instance may be stopped: not before every entry that could have a request in
// progress there has confirmed that it has none and will start none. See
// docs/design/drain-barrier.md.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/version/planned_changes.hpp"
#include "plantaindoor/version/registration_set.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace plantaindoor::process {

/// One reading of who may serve. The list must have been asked for after the scan was answered.
struct membership_reading {
    std::vector<version::registration_row> rows;
    std::vector<listed_instance> listed;
};

/// An entry as this holder has seen it: one incarnation, or a listed one without a row.
struct confirmation_member {
    entry_id entry;
    /// Nothing for an entry that is listed and has no row.
    std::optional<std::uint64_t> incarnation;
    /// The newest row seen.
    version::registration row;
    row_version version = absent_row;
    /// Whether the newest reading has the row.
    bool present = false;
    /// Writes of the row that readings have shown, the first included.
    std::uint64_t writes = 0;
    time_point first_seen{};
    /// Since when the platform's list lacks the entry while its row isn't written.
    std::optional<time_point> unlisted_since;
    /// Since when another process is known to have taken the entry's place.
    std::optional<time_point> replaced_since;
    /// Writes of other incarnations' rows since this one's last write.
    std::map<std::uint64_t, std::uint32_t> rival_writes;
};

/// Every entry that could have a request in progress, gathered by one holder from its own readings.
/// A new holder starts with a new object. Value type; not synchronised.
class confirmation_set {
public:
    struct options {
        /// An instance that lives longer than this is in the platform's list.
        milliseconds list_lag_bound{30000};
        /// A longer pause between readings starts the set anew.
        milliseconds longest_gap{10000};
        /// A member that is gone for this long, its row too, is forgotten. Longer than any request.
        milliseconds forget_after{std::chrono::hours(1)};
    };

    explicit confirmation_set(const options& how) : m_options(how) {}

    /// Takes in a reading. `now` is the holder's own monotonic clock.
    void observe(const membership_reading& reading, time_point now);

    [[nodiscard]] const std::vector<confirmation_member>& members() const { return m_members; }

    /// Whether the member is dead and its last requests have ended too.
    [[nodiscard]] bool has_left(const confirmation_member& subject, milliseconds longest_request,
                                time_point now) const;
    /// When the set was last started from nothing.
    [[nodiscard]] std::optional<time_point> started() const { return m_started; }
    /// Whether this holder has watched for long enough to have outlived unseen entries' requests.
    [[nodiscard]] bool has_settled(milliseconds longest_request, time_point now) const;

private:
    void restart_after_gap(time_point now);
    void observe_row(const version::registration_row& seen, time_point now);
    void observe_unregistered(const entry_id& entry, time_point now);
    void count_rivals(const std::set<std::pair<entry_id, std::uint64_t>>& written, time_point now);
    void observe_list(const std::set<entry_id>& listed, const std::set<entry_id>& unregistered,
                      time_point now);
    void forget_long_gone(time_point now);
    [[nodiscard]] confirmation_member* find(const entry_id& entry,
                                            std::optional<std::uint64_t> incarnation);

    options m_options;
    std::vector<confirmation_member> m_members;
    std::optional<time_point> m_started;
    time_point m_last{};
};

/// Why an entry holds a stop back.
enum class awaited_reason {
    not_confirmed,  ///< its row is older than the drain, or lists requests in progress
    not_registered, ///< the platform lists it, and it has no row
    not_renewed,    ///< it has confirmed, and not yet shown that it still runs
    may_still_run,  ///< it is gone or replaced; a target may still run what it sent
    recently_seen,  ///< an unseen process before it may have sent requests
};

/// An entry that a drain waits for.
struct awaited_entry {
    entry_id entry;
    awaited_reason reason = awaited_reason::not_confirmed;

    friend bool operator==(const awaited_entry&, const awaited_entry&) = default;
};

/// Gathers the confirmations of one drain. Value type; not synchronised.
class drain_barrier {
public:
    struct options {
        /// The drain; a later drain of the same instance is another barrier.
        version::outage drain;
        /// The longest request of any service on the instance.
        milliseconds longest_request{30000};
    };

    explicit drain_barrier(options how) : m_options(std::move(how)) {}

    /// Judges the set's newest reading.
    void observe(const confirmation_set& entries, time_point now);

    /// Whether the newest reading allows the stop.
    [[nodiscard]] bool passed() const noexcept { return m_passed; }
    /// The entries waited for at the newest reading.
    [[nodiscard]] const std::vector<awaited_entry>& awaited() const noexcept { return m_awaited; }
    [[nodiscard]] const version::outage& drain() const noexcept { return m_options.drain; }
    /// Writes of the incarnation's row since every entry had confirmed; nothing before that.
    [[nodiscard]] std::optional<std::uint64_t> renewals(const confirmation_member& subject) const;

private:
    using member_key = std::pair<entry_id, std::uint64_t>;

    void note_confirmations(const std::vector<const confirmation_member*>& members);
    [[nodiscard]] bool confirmed(const confirmation_member& subject) const;
    [[nodiscard]] std::optional<awaited_reason> reason_to_wait(const confirmation_member& subject,
                                                               time_point now) const;

    options m_options;
    /// Each incarnation's writes at the reading from which on all had confirmed.
    std::map<member_key, std::uint64_t> m_writes_at_confirmation;
    std::optional<time_point> m_set_started;
    std::vector<awaited_entry> m_awaited;
    bool m_passed = false;
};

} // namespace plantaindoor::process

namespace plantaindoor {

template<>
struct enum_names<process::awaited_reason> {
    static constexpr std::array<enum_name<process::awaited_reason>, 5> table{{
        {process::awaited_reason::not_confirmed, "not-confirmed"},
        {process::awaited_reason::not_registered, "not-registered"},
        {process::awaited_reason::not_renewed, "not-renewed"},
        {process::awaited_reason::may_still_run, "may-still-run"},
        {process::awaited_reason::recently_seen, "recently-seen"},
    }};
};

} // namespace plantaindoor
