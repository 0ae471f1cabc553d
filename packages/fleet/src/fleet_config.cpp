#include "plantaindoor/fleet/fleet_config.hpp"

#include <map>
#include <set>

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

void add_former_services(const fleet_config& before, fleet_config& config)
{
    std::map<std::string_view, const job::queue_policy*> earlier;
    for (const queue_route& route : before.routes) {
        earlier.emplace(route.queue.name, &route.queue);
    }
    for (queue_route& route : config.routes) {
        const auto found = earlier.find(route.queue.name);
        if (found == earlier.end()) {
            continue;
        }
        std::set<service_id>& former = route.queue.former_services;
        former = found->second->former_services;
        former.insert(found->second->service);
        former.erase(route.queue.service);
    }
}

} // namespace plantaindoor::fleet
