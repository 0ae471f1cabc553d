// Shows operators how many machines a leader counts in each pool, and when a pool lacks some.
#pragma once

#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/machine_planner.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"

#include <map>

namespace plantaindoor::fleet {

/// Gauges and log lines of one shard's leader. Not thread-safe.
class pool_reporter {
public:
    static constexpr milliseconds report_interval{2000};

    /// `metrics` must outlive the reporter.
    pool_reporter(metrics_registry& metrics, shard_number shard)
        : m_metrics(metrics), m_shard(shard)
    {
    }
    pool_reporter(const pool_reporter&) = delete;
    pool_reporter& operator=(const pool_reporter&) = delete;
    /// Sets the gauges to zero: the shard's next leader counts from now on.
    ~pool_reporter();

    /// Sets the gauges, and logs the pools that begin or cease to lack machines. While a pool lacks
    /// some, its figures are logged again when one has changed by a quarter, and each
    /// report_interval.
    void report(const std::map<service_id, pool_figures>& pools, time_point now);

private:
    struct reported_pool {
        metric_gauge* wanted = nullptr;
        metric_gauge* present = nullptr;
        metric_gauge* leaving = nullptr;
        bool lacks = false;
        /// As logged last.
        pool_figures logged;
        time_point logged_at{};
    };

    reported_pool& reported(const service_id& pool);

    metrics_registry& m_metrics;
    shard_number m_shard;
    std::map<service_id, reported_pool> m_pools;
};

} // namespace plantaindoor::fleet
