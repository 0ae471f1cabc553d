// Decides which jobs a workspace has submitted beyond its rate, and which workspaces use more than
// their share of a service.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace plantaindoor::policy {

/// Measures the jobs that each workspace submits, of which a shard sees only a part: a job of a
/// queue whose jobs a hash distributes over n shards stands for n jobs of the workspace. State is
/// not persisted; a new leader starts with an empty one. Not thread-safe.
class submission_rates {
public:
    /// Records a job and returns whether it lies beyond the workspace's rate; only a job within it
    /// is counted. Without a rate, which is one of 0 or less, none does. `shards`: over how many
    /// shards the jobs of its queue are distributed, at least 1. Calls must be in order of `at`.
    bool note_submission(const workspace_id& workspace, double jobs_per_second,
                         std::uint32_t shards, time_point at);
    /// Whether the next job would lie beyond the workspace's rate.
    [[nodiscard]] bool is_beyond(const workspace_id& workspace, double jobs_per_second,
                                 std::uint32_t shards, time_point at) const;
    /// Number of workspaces with submissions on record.
    [[nodiscard]] std::size_t size() const noexcept { return m_counted.size(); }
    /// Forgets workspaces without a job for so long that their counts have decayed.
    void remove_idle(time_point now);

private:
    /// Jobs counted and not yet balanced by the rate, over all shards.
    struct count {
        double jobs = 0;
        time_point at{};
    };

    std::map<workspace_id, count> m_counted;
};

/// The weighted dominant shares of the workspaces that compete for one service. Not thread-safe.
class workspace_shares {
public:
    /// Adds a worker's capacity.
    void add_capacity(const resources& capacity) noexcept { m_capacity += capacity; }
    /// Adds what a competing workspace uses; a negative weight counts as 0.
    void add_use(const workspace_id& workspace, double weight, const resources& used);
    /// Whether the workspace uses its share or more: the part of its weight in the weights of all
    /// that compete. False for a workspace that doesn't compete.
    [[nodiscard]] bool is_above(const workspace_id& workspace) const;
    /// The largest part of any resource that the workspace uses; 0 for one that doesn't compete.
    [[nodiscard]] double dominant_share(const workspace_id& workspace) const;

private:
    struct competitor {
        double weight = 0;
        resources used;
    };
    [[nodiscard]] double dominant_share(const resources& used) const noexcept;

    resources m_capacity;
    double m_total_weight = 0;
    std::map<workspace_id, competitor> m_competitors;
};

} // namespace plantaindoor::policy
