// Shows operators what a leader has learned from the pace of runs.
#pragma once

#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <string>

namespace plantaindoor::fleet {

/// The log line of a decision that concerns no job, with its inputs. Thread-safe.
[[nodiscard]] std::string describe(const job::decision& learned);

/// Gauges of one shard's leader. Not thread-safe.
class learned_gauges {
public:
    learned_gauges(metrics_registry& metrics, shard_number shard);
    void set(const job::learned_figures& figures);

private:
    metric_gauge& m_slow_workers;
    metric_gauge& m_pairs;
    metric_gauge& m_strongest;
    metric_gauge& m_placements_changed;
};

} // namespace plantaindoor::fleet
