#include "plantaindoor/fleet/fleet_config.hpp"

namespace plantaindoor::fleet {

const queue_route* fleet_config::find(std::string_view host, std::string_view path) const
{
    const queue_route* best = nullptr;
    for (const queue_route& route : routes) {
        if (route.host == host && path.starts_with(route.path_prefix) &&
            (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
            best = &route;
        }
    }
    return best;
}

} // namespace plantaindoor::fleet
