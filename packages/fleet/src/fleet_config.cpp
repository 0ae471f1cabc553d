#include "plantaindoor/fleet/fleet_config.hpp"

#include <map>
#include <set>

namespace plantaindoor::fleet {

const queue_route* fleet_config::find(std::string_view host, std::string_view path) const
{
    const queue_route* longest_match = nullptr;
    for (const queue_route& route : routes) {
        if (route.host == host && path.starts_with(route.path_prefix) &&
            (longest_match == nullptr ||
             route.path_prefix.size() > longest_match->path_prefix.size())) {
            longest_match = &route;
        }
    }
    return longest_match;
}

void add_former_services(const fleet_config& before, fleet_config& config)
{
    std::map<std::string_view, const job::queue_policy*> former_policies;
    for (const queue_route& route : before.routes) {
        former_policies.emplace(route.queue.name, &route.queue);
    }
    for (queue_route& route : config.routes) {
        const auto found = former_policies.find(route.queue.name);
        if (found == former_policies.end()) {
            continue;
        }
        std::set<service_id>& former = route.queue.former_services;
        former = found->second->former_services;
        former.insert(found->second->service);
        former.erase(route.queue.service);
    }
}

} // namespace plantaindoor::fleet
