// Builds fleets of equally sized pools for tests and benchmarks.
#pragma once

#include "plantaindoor/version/fleet.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace plantaindoor::fakes {

struct uniform_fleet_options {
    std::size_t pools = 1;
    std::size_t instances_per_pool = 10;
    std::size_t zones = 3;
    std::size_t instances_per_rack = 4;
    std::uint32_t slots = 8;
    version::availability_budget budget{.minimum = 1};
    /// The second service uses the first pool too.
    bool shared_pool = false;
};

/// Appends the number to the prefix, as in "p7".
inline std::string numbered(std::string_view prefix, std::size_t number)
{
    return fmt::format("{}{}", prefix, number);
}

/// Pools p0, p1, ... with instances p0-w00, ...; service s0 uses p0 and so on; one team "team".
inline std::shared_ptr<version::fleet> uniform_fleet(const uniform_fleet_options& options)
{
    auto fleet = std::make_shared<version::fleet>();
    fleet->version = 1;
    fleet->teams[team_id("team")] = {.id = team_id("team")};
    for (std::size_t p = 0; p < options.pools; ++p) {
        const pool_id pool(numbered("p", p));
        const service_id service(numbered("s", p));
        fleet->pools[pool] = {.id = pool};
        fleet->services[service] = {
            .id = service, .team = team_id("team"), .pools = {pool}, .budget = options.budget};
        for (std::size_t i = 0; i < options.instances_per_pool; ++i) {
            const instance_id id(fmt::format("{}-w{:02}", pool.str(), i));
            const rack_id rack(fmt::format("{}-r{}", pool.str(), i / options.instances_per_rack));
            fleet->instances[id] = {.id = id,
                                    .pool = pool,
                                    .zone = availability_zone_id(numbered("z", i % options.zones)),
                                    .rack = rack,
                                    .address = "127.0.0.1",
                                    .port = static_cast<std::uint16_t>(10000 + p * 100 + i),
                                    .slots = options.slots,
                                    .state_version = 1};
        }
    }
    if (options.shared_pool && options.pools > 1) {
        fleet->services[service_id("s1")].pools.insert(
            fleet->services[service_id("s1")].pools.begin(), pool_id("p0"));
    }
    return fleet;
}

} // namespace plantaindoor::fakes
