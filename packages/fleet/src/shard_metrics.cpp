#include "plantaindoor/fleet/shard_metrics.hpp"

#include <utility>

namespace plantaindoor::fleet {

metric_options shard_gauge(std::string name, std::string help, shard_number shard)
{
    return {.name = std::move(name),
            .help = std::move(help),
            .labels = {{"shard", std::to_string(shard)}}};
}

} // namespace plantaindoor::fleet
