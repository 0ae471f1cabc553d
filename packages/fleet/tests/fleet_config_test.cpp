#include "plantaindoor/fleet/fleet_config.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

fleet_config config_with(const std::string& queue, const service_id& service)
{
    fleet_config config;
    config.routes.push_back({.queue = {.name = queue, .service = service}});
    return config;
}

} // namespace

TEST_CASE("add_former_services adds the services that a queue had in earlier versions")
{
    const service_id first("first");
    const service_id second("second");
    const fleet_config oldest = config_with("q", first);
    fleet_config middle = config_with("q", second);
    add_former_services(oldest, middle);
    CHECK(middle.routes[0].queue.former_services == std::set{first});

    fleet_config newest = config_with("q", first);
    add_former_services(middle, newest);
    CHECK(newest.routes[0].queue.former_services == std::set{second});

    fleet_config other = config_with("another", first);
    add_former_services(newest, other);
    CHECK(other.routes[0].queue.former_services.empty());
}
