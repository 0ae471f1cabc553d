// Tracks which entry is the leader of a shard: its rows in the store, and when another entry may
// claim leadership.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::fleet {

/// The row that names the leader. The leader's writes in its partition are conditioned on the
/// row's version, which is also the fencing token.
struct leader_claim {
    std::string entry;
    /// Address at which other entries reach the leader: "10.0.0.1:7000".
    std::string peer_address;
    /// Distinguishes two runs of the entry's process.
    std::string incarnation;
    /// Incremented by each new leader.
    std::uint32_t generation = 0;
    /// The leader has resigned voluntarily.
    bool released = false;
    /// Versions of the latest claims before this one, oldest first; a released claim adds its own.
    std::vector<row_version> earlier;

    friend bool operator==(const leader_claim&, const leader_claim&) = default;
};

/// The `earlier` of the claim that follows this one, or that releases it, if the row with this
/// claim has this version.
[[nodiscard]] std::vector<row_version> claims_until(const leader_claim& claim, row_version version);
/// How many leaders there had been when this claim was written, since the store had this version.
/// Not more than are known by their claims.
[[nodiscard]] std::uint32_t predecessors_since(const leader_claim& claim, row_version claim_version,
                                               row_version since);

[[nodiscard]] std::string to_text(const leader_claim& claim);
/// No value for text that isn't a valid claim.
[[nodiscard]] std::optional<leader_claim> parse_leader_claim(std::string_view text);

inline constexpr std::string_view leader_table = "duty";

/// The partition of everything that a shard's leader writes under its claim.
[[nodiscard]] std::string control_partition(shard_number shard);
[[nodiscard]] std::vector<std::string> all_control_partitions(shard_number count);

[[nodiscard]] row_address leader_claim_address(shard_number shard);
/// Whether this is the address of some shard's claim.
[[nodiscard]] bool is_leader_claim(const row_address& at);
[[nodiscard]] row_address leader_renewal_address(shard_number shard);
/// Row that orders the leader's transactions; in a table that no entry watches.
[[nodiscard]] row_address leader_sequence_address(shard_number shard);

struct leader_tracker_options {
    /// A leader that hasn't renewed for this long may be replaced.
    milliseconds lease{2500};
    /// Minimum time that a leader has left to renew once the store is reachable again.
    milliseconds store_recovery_grace{900};
    /// Delays a claim. Differs between entries, so that they don't claim at the same time.
    milliseconds delay{0};
};

/// An entry's view of the leader's lease. Deterministic; reads no clock. Not thread-safe.
class leader_tracker {
public:
    leader_tracker(leader_tracker_options options, std::string incarnation);

    /// The claim row in the store; no value if there is none.
    void note_claim(std::optional<leader_claim> claim, row_version version, time_point now);
    /// The leader has renewed its lease.
    void note_renewal(time_point now);
    /// The store has responded.
    void note_store_reachable(time_point now);
    /// The store doesn't respond.
    void note_store_unreachable();
    /// The process of this incarnation has ended.
    void note_leader_ended(const std::string& incarnation, time_point now);

    /// Whether the claim row has been read, whether or not it exists.
    [[nodiscard]] bool is_claim_known() const noexcept { return m_claim_known; }
    [[nodiscard]] const std::optional<leader_claim>& claim() const noexcept { return m_claim; }
    [[nodiscard]] row_version version() const noexcept { return m_version; }
    /// Whether the claim names this process and is not released.
    [[nodiscard]] bool is_leader() const;
    /// Whether to try to claim leadership now, if this attempt is delayed further by `extra_delay`.
    [[nodiscard]] bool may_claim(time_point now, milliseconds extra_delay) const;

private:
    leader_tracker_options m_options;
    std::string m_incarnation;
    bool m_claim_known = false;
    bool m_store_reachable = false;
    std::optional<leader_claim> m_claim;
    row_version m_version = absent;
    time_point m_renewed_at{};
    /// When leadership was found vacant: no claim, a released one, or the leader's process ended.
    std::optional<time_point> m_vacant_since;
};

} // namespace plantaindoor::fleet
