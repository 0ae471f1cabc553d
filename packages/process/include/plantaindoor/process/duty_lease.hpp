// Which entry runs which pool's duty. A duty row names its holder and changes only when the holder
// does, so that it guards every append; each entry renews all its duties by one row of its own.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::process {

/// Prefix of every lease row.
inline constexpr std::string_view lease_prefix = "lease/";
/// Prefix of the rows that name a duty's holder; the key ends with the pool.
inline constexpr std::string_view duty_prefix = "lease/duty/";
/// Prefix of the rows that entries renew; the key ends with the entry, '@', and the incarnation.
inline constexpr std::string_view holder_prefix = "lease/holder/";

/// Who holds a duty.
struct duty_row {
    /// Key of the holder's renewed row; empty for a duty that was given back.
    std::string holder;
    /// Grows by one with every change of holder.
    std::uint64_t epoch = 0;

    friend bool operator==(const duty_row&, const duty_row&) = default;
};

/// Thread-safe; decode gives nothing for bytes that are not a duty row.
[[nodiscard]] std::string encode(const duty_row& row);
[[nodiscard]] std::optional<duty_row> decode_duty_row(std::string_view bytes);

/// The leases of one entry, decided from its own scans of lease_prefix and its own clock. Another
/// holder's lease has lapsed when its renewed row has not changed for the term by this entry's
/// clock; an own one is given up a margin earlier, measured from before the renewal was sent. Pure;
/// not synchronised.
class duty_leases {
public:
    struct options {
        entry_id self;
        std::uint64_t incarnation = 0;
        milliseconds term{6000};
        milliseconds margin{1500};
        /// How much longer than the preferred entry each next one waits before it takes a free
        /// duty.
        milliseconds step_aside{700};
    };

    /// What to send, and for which pool; a renewal has none.
    struct request {
        std::optional<pool_id> pool;
        table_transaction transaction;
    };

    explicit duty_leases(options how);

    /// Takes in one scan of lease_prefix. `asked` is when it was asked for.
    void observe(const std::vector<table_row>& rows, const std::set<pool_id>& pools,
                 time_point asked, time_point now);
    /// The renewal, when it is due. At most one may be under way.
    [[nodiscard]] std::optional<request> renewal(time_point now) const;
    /// Duties to try to take now, and rows of long gone holders to delete; to be sent once after
    /// each scan.
    [[nodiscard]] std::vector<request> acquisitions(time_point now) const;
    /// Gives back every duty held.
    [[nodiscard]] std::vector<request> releases() const;
    /// Takes in a renewal's outcome. `sent` is when it was sent, `now` when it was answered.
    void on_renewed(transact_outcome outcome, time_point sent, time_point now);

    /// Whether this entry may act for the pool.
    [[nodiscard]] bool holds(const pool_id& pool, time_point now) const;
    /// The condition that every write for the pool must carry. Precondition: holds(pool, now).
    [[nodiscard]] row_condition guard(const pool_id& pool) const;
    /// Pools held, in order.
    [[nodiscard]] std::vector<pool_id> held(time_point now) const;
    /// Forgets a duty whose guard failed, until the next scan.
    void drop(const pool_id& pool);

    /// Place of an entry among others in taking a pool's duty: zero goes first. Thread-safe.
    [[nodiscard]] static std::size_t rank_of(const std::string& holder, const pool_id& pool,
                                             const std::set<std::string>& holders);

private:
    struct seen_duty {
        duty_row row;
        row_version version = absent_row;
        /// When the duty was first seen without a live holder.
        std::optional<time_point> free_since;
    };
    struct seen_holder {
        row_version version = absent_row;
        time_point since{};
    };

    void observe_holders(const std::vector<table_row>& rows, time_point now);
    void observe_duties(const std::vector<table_row>& rows, const std::set<pool_id>& pools,
                        time_point now);
    void add_clean_up(std::vector<request>& wanted, time_point now) const;
    [[nodiscard]] bool lapsed(const std::string& holder, time_point now) const;
    [[nodiscard]] std::set<std::string> live_holders(time_point now) const;
    [[nodiscard]] bool own_lease_valid(time_point now) const;

    options m_options;
    std::string m_own_key;
    std::map<std::string, seen_holder> m_holders;
    std::map<pool_id, seen_duty> m_duties;
    /// When the newest renewal that was applied was sent.
    std::optional<time_point> m_renewed;
    /// No duty counts as held until a scan asked for after this.
    time_point m_scan_needed{};
    bool m_scanned = false;
};

} // namespace plantaindoor::process
