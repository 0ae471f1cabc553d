// Moves parts of the workspaces' caps between shards, without a round trip at each start.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/quota_share.hpp"
#include "plantaindoor/policy/workspace_quota.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace plantaindoor::policy {

/// What a shard lacks to run the tasks that wait at a workspace's cap.
struct quota_request {
    /// For the first task, and for all.
    quota_share next;
    quota_share all;
    /// Unix time in ms since which the shard has waited without a start. Earlier requests go
    /// first. Only the order of transfers depends on it, so that clocks may differ.
    std::int64_t since = 0;

    friend bool operator==(const quota_request&, const quota_request&) = default;
};

/// What one shard publishes. Only its leader writes it, and it is complete: a later one
/// replaces an earlier one.
struct quota_row {
    /// All that the shard ever gave, by workspace and recipient. Never decreases.
    std::map<workspace_id, std::map<std::uint32_t, quota_share>> given;
    std::map<workspace_id, quota_request> requests;
    /// What the shard uses beyond its share since the cap was lowered or first set.
    std::map<workspace_id, quota_share> excess;
    /// The next write follows after this time if the row has requests; zero if unknown.
    milliseconds interval{0};

    friend bool operator==(const quota_row&, const quota_row&) = default;
};

struct quota_division_options {
    std::uint32_t shard = 0;
    std::uint32_t shards = 1;
    /// A request whose row hasn't changed for this long, and for two of its intervals, is
    /// ignored: its shard has no leader, and nobody there could use a transfer.
    milliseconds max_request_age{3000};
};

/// One leader's view of how the caps are divided. A shard's share is its base share, and what
/// the others gave it, without what it gave. The shares in use never add up to more than the
/// cap if:
/// - the donor counts a transfer from the moment it decides, whatever becomes of the write;
/// - it gives only what it neither uses nor may be using, and nothing while a predecessor's
/// runs are
///   in doubt;
/// - the recipient counts only what it has read from the store;
/// - a new leader calls restore() with its shard's row as read after its claim was applied;
/// - a write of the row is conditioned on the leader's claim and on the row's last known
/// version. Deterministic; reads no clock. Not thread-safe.
class quota_division {
public:
    explicit quota_division(quota_division_options options) noexcept : m_options(options) {}

    /// The shard's own row, empty if there is none. Must be called once, before the shard's
    /// shares are used.
    void restore(quota_row own);
    [[nodiscard]] bool is_restored() const noexcept { return m_restored; }
    /// The committed row of another shard, of unknown age. Its requests don't count.
    void note_old_row(std::uint32_t shard, quota_row row);
    /// The committed row of another shard, which has just been written.
    void note_row(std::uint32_t shard, quota_row row, time_point now);

    /// The shard's share; empty before restore().
    [[nodiscard]] quota_share share(const workspace_id& workspace) const;
    /// The part of it that new tasks may use: what exceeds the shard's base share is kept for
    /// shards that ask for their base share, and goes to them as runs end. What the others last
    /// published as their excess is left out, whatever its age, as runs may outlast their
    /// leader.
    [[nodiscard]] quota_share usable_share(const workspace_id& workspace, time_point now) const;

    /// Gives at most `wanted` of what is free; returns what was given, which counts at once.
    quota_share give(const workspace_id& workspace, std::uint32_t recipient,
                     const quota_share& wanted, const quota_share& free);
    /// Decides on transfers and requests by the use of the caps. Returns whether row() has
    /// changed, and must be written. Requires restore(). `may_give`: no predecessor is in
    /// doubt.
    bool update(const std::map<workspace_id, quota_usage>& usages, bool may_give, time_point now,
                wall_time wall_now);
    /// What is to be written for this shard.
    [[nodiscard]] const quota_row& row() const noexcept { return m_own; }

private:
    struct known_row {
        quota_row row;
        /// No value while the row's age is unknown.
        std::optional<time_point> changed;
        /// Requests for which something was given; the next row may ask for more.
        std::set<workspace_id> answered;
    };
    struct requester {
        std::uint32_t shard = 0;
        quota_request request;
    };

    /// By the rows read so far.
    [[nodiscard]] quota_share share_of(std::uint32_t shard, const workspace_id& workspace) const;
    /// The other shards that ask for a part now, in the order in which they get it.
    [[nodiscard]] std::vector<requester> requesters(const workspace_id& workspace,
                                                    time_point now) const;
    /// Whether the other's request goes before this shard's, which may have none.
    [[nodiscard]] bool goes_first(const requester& other, const workspace_id& workspace) const;
    /// What the shard has above its base share and a requester that goes first lacks below its
    /// own.
    [[nodiscard]] quota_share owed_to(const requester& to, const workspace_id& workspace) const;
    void refresh_request(const workspace_id& workspace, const quota_usage& usage,
                         wall_time wall_now);
    void refresh_excess(const workspace_id& workspace, const quota_usage& usage, bool in_doubt);
    void give_to_requesters(const workspace_id& workspace, const quota_usage& usage,
                            time_point now);

    quota_division_options m_options;
    bool m_restored = false;
    quota_row m_own;
    std::map<std::uint32_t, known_row> m_others;
    /// What was in use when the requests were last refreshed.
    std::map<workspace_id, resources> m_used_before;
};

} // namespace plantaindoor::policy
