#include "plantaindoor/version/rule_facts.hpp"

#include "fakes/uniform_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::version;

TEST_CASE("losses, shares and the hour are read off the fleet and the list", "[rule_facts]")
{
    const auto whole =
        fakes::uniform_fleet({.instances_per_pool = 6, .zones = 3, .instances_per_rack = 1});
    whole->waves[wave_id("w")] = {.id = wave_id("w")};
    const auto id = [](int number) { return instance_id("p0-w0" + std::to_string(number)); };
    whole->instances.at(id(0)).state = instance_state::failed;
    whole->instances.at(id(1)).state = instance_state::stopped;
    const lost_instances lost{id(1), id(3), id(4)};
    const wall_time now{std::chrono::hours(24 * 400 + 17) + std::chrono::minutes(59)};
    const rule_facts facts = gather_facts(
        {.whole = *whole, .lost = lost, .demand = demand_facts{.jobs_waiting = 7}, .now = now});
    const rule_facts expected{
        {{rule_fact::waves_running, ""}, 1},
        {{rule_fact::lost_zones, ""}, 2},
        {{rule_fact::lost_racks, ""}, 3},
        {{rule_fact::jobs_waiting, ""}, 7},
        {{rule_fact::urgent_demand, ""}, 0},
        {{rule_fact::table_down, ""}, 0},
        {{rule_fact::hour, ""}, 17},
        {{rule_fact::service_healthy, "s0"}, 100.0 * 2 / 6},
        {{rule_fact::pool_healthy, "p0"}, 100.0 * 2 / 6},
    };
    CHECK(facts == expected);
    // A wave that has begun to drain what is lost anyway doesn't hide the loss; its reboots do.
    whole->instances.at(id(0)).state = instance_state::draining;
    whole->instances.at(id(3)).state = instance_state::draining;
    const lost_instances zone{id(0), id(3)};
    CHECK(gather_facts({.whole = *whole, .lost = zone}).at({rule_fact::lost_zones, ""}) == 1);
    whole->instances.at(id(0)).state = instance_state::stopped;
    CHECK(gather_facts({.whole = *whole, .lost = zone}).at({rule_fact::lost_zones, ""}) == 1);
    whole->instances.at(id(3)).state = instance_state::stopped;
    CHECK(gather_facts({.whole = *whole, .lost = zone}).at({rule_fact::lost_zones, ""}) == 0);
    const rule_facts blind = gather_facts({.whole = *whole, .table_down = true, .now = now});
    CHECK(!blind.contains({rule_fact::lost_zones, ""}));
    CHECK(blind.at({rule_fact::table_down, ""}) == 1);
}
