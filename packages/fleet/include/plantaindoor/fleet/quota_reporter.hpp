// Shows operators how workspaces use their caps: log lines and metrics of one shard.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/policy/workspace_quota.hpp"

#include <array>
#include <cstddef>
#include <map>

namespace plantaindoor::fleet {

/// Workspaces of which metrics are shown, the first ones that have a cap; bounds the number of time
/// series.
inline constexpr std::size_t max_reported_workspaces = 64;

/// Loop thread only.
class quota_reporter {
public:
    /// The registry must outlive the reporter.
    quota_reporter(metrics_registry& metrics, shard_number shard)
        : m_metrics(metrics), m_shard(shard)
    {
    }
    quota_reporter(const quota_reporter&) = delete;
    quota_reporter& operator=(const quota_reporter&) = delete;
    /// The shard's figures are zero until another session leads it.
    ~quota_reporter();

    /// Logs which workspaces started or stopped to wait since the last call.
    void log_events(policy::workspace_quota& quota) const;
    /// Sets the metrics, at most once a second.
    void refresh(const policy::workspace_quota& quota, time_point now);

private:
    /// Of the three amounts of `resources`.
    using amount_gauges = std::array<metric_gauge*, 3>;
    struct workspace_gauges {
        amount_gauges running;
        amount_gauges part;
        amount_gauges waiting;
    };

    /// Sets all metrics to zero, also those of workspaces that have no cap any more.
    void clear();
    workspace_gauges& gauges_of(const workspace_id& workspace);

    metrics_registry& m_metrics;
    shard_number m_shard;
    std::map<workspace_id, workspace_gauges> m_gauges;
    time_point m_refreshed{};
};

} // namespace plantaindoor::fleet
