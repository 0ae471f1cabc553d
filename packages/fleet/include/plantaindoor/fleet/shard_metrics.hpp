// Metrics of the leader of one shard.
#pragma once

#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"

#include <string>

namespace plantaindoor::fleet {

/// Options of a gauge that each shard's leader has, labelled with the shard. Thread-safe.
[[nodiscard]] metric_options shard_gauge(std::string name, std::string help, shard_number shard);

} // namespace plantaindoor::fleet
