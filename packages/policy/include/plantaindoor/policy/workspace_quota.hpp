// Decides whether a task of a workspace may start under the workspace's cap.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/quota_share.hpp"
#include "plantaindoor/policy/resources.hpp"
#include "plantaindoor/policy/workspace.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace plantaindoor::policy {

enum class quota_verdict {
    allowed,
    part_in_use,     ///< the shard's part of the cap has no room for the task now
    larger_than_cap, ///< the task can't run under this cap
};

/// What a workspace uses of its cap in one shard, and what it waits for.
struct quota_usage {
    resources cap;
    /// The shard's share of the cap.
    quota_share share;
    /// The part of the share that new tasks may use.
    quota_share usable;
    /// Of all runs that are not known to have ended.
    resources running;
    /// Of runs that a former leader may have started.
    resources possible;
    /// Runs that may yet start, and have been counted.
    std::uint32_t starting = 0;
    /// In the last round: tasks that waited at the cap, and their amounts.
    std::uint32_t waiting_tasks = 0;
    resources waiting;
    /// Of the waiting tasks, those which would need a larger part: the first one in the order of
    /// placement, and together with it all others that the shard has room for.
    resources next;
    resources wanted;

    [[nodiscard]] bool has_cap() const noexcept { return cap != resources{}; }
    [[nodiscard]] resources used() const noexcept;
    /// What the shard neither uses nor may be using.
    [[nodiscard]] quota_share free_share() const noexcept;
};

/// A workspace starts to wait at its cap, or doesn't wait any more.
struct quota_event {
    workspace_id workspace;
    bool waits = false;
    quota_verdict reason = quota_verdict::part_in_use;
    quota_usage usage;
};

struct workspace_quota_options {
    std::uint32_t shard = 0;
    std::uint32_t shards = 1;
    /// A workspace whose tasks haven't waited for this long is reported not to wait any more.
    /// Freed room is taken by the next waiting task at once, so shorter times give many reports.
    milliseconds report_after{1000};
};

/// The use of each workspace's cap in one shard. Tasks without a workspace, and those of one that
/// isn't configured, are not limited. Deterministic; reads no clock. Not thread-safe.
class workspace_quota {
public:
    /// Each shard has its base share of every cap.
    explicit workspace_quota(workspace_quota_options options) noexcept : m_options(options) {}

    /// Replaces the workspaces. A cap that was lowered applies to new starts only.
    void set_workspaces(const std::vector<workspace_policy>& workspaces);
    /// Shares are given by set_share() from now on, and nothing starts under a cap before that.
    void await_shares();
    /// Sets the shard's share, and the part of it that new tasks may use.
    void set_share(const workspace_id& workspace, const quota_share& share,
                   const quota_share& usable);

    /// A run has been ordered or found. It counts until it is known to have ended. `starting`: it
    /// isn't known to run yet.
    void add_run(const workspace_id& workspace, const resources& need, bool starting);
    /// A starting run is known to run.
    void note_arrived(const workspace_id& workspace);
    void remove_run(const workspace_id& workspace, const resources& need, bool starting);

    /// Starts a round of placement: forgets possible runs and waiting tasks.
    void begin_round();
    /// A former leader may have started these tasks.
    void add_possible(const workspace_id& workspace, const resources& need, std::uint32_t tasks);
    /// Whether `tasks` tasks may start together once `ended` runs of the same need have ended.
    [[nodiscard]] quota_verdict check(const workspace_id& workspace, const resources& need,
                                      std::uint32_t tasks, std::uint32_t ended = 0) const;
    /// Tasks wait since check() refused them, in units of `width` that start together. `has_room`:
    /// the shard could run one.
    void add_waiting(const workspace_id& workspace, quota_verdict reason, const resources& need,
                     std::uint32_t tasks, std::uint32_t width, bool has_room);
    void end_round(time_point now);

    /// Whether any workspace has a cap.
    [[nodiscard]] bool has_caps() const noexcept { return m_has_caps; }
    /// Returns nullptr for a workspace without a cap.
    [[nodiscard]] const quota_usage* find(const workspace_id& workspace) const;
    /// The use of all workspaces with a cap.
    [[nodiscard]] std::map<workspace_id, quota_usage> usages() const;
    /// Returns the events since the last call, in order.
    [[nodiscard]] std::vector<quota_event> take_events();

private:
    struct entry {
        quota_usage usage;
        bool configured = false;
        quota_verdict reason = quota_verdict::part_in_use;
        bool reported = false;
        time_point last_waited{};
    };

    workspace_quota_options m_options;
    bool m_awaits_shares = false;
    bool m_has_caps = false;
    /// Workspaces that are configured or have runs.
    std::map<workspace_id, entry> m_entries;
    std::vector<quota_event> m_events;
};

} // namespace plantaindoor::policy

namespace plantaindoor {

template<>
struct enum_names<policy::quota_verdict> {
    static constexpr std::array<enum_name<policy::quota_verdict>, 3> table{{
        {policy::quota_verdict::allowed, "allowed"},
        {policy::quota_verdict::part_in_use, "part-in-use"},
        {policy::quota_verdict::larger_than_cap, "larger-than-cap"},
    }};
};

} // namespace plantaindoor
