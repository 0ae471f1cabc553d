// Ordinary jobs of a shard that has lost machines, while another shard has room for them.
#include "burst_traffic.hpp"
#include "contended_fleet_checks.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

constexpr milliseconds drain_time{5000};
constexpr milliseconds traffic_end{16000};
/// Of each service in each shard at the start.
constexpr std::uint32_t machines_per_service = 3;

struct departure_day {
    /// Machines of each service that leave the second shard, one after the other.
    std::uint32_t departures = 0;
    /// Tasks of each service that run if none waits, divided between two shards. A machine has room
    /// for four.
    double load = 0;
};

void run_departures(contended_fleet& fleet, const departure_day& day)
{
    burst_traffic traffic(fleet);
    for (std::size_t each = 0; each < fleet.options().services; ++each) {
        traffic.add({.service = each, .end = traffic_end, .load = day.load});
    }
    milliseconds now{2000};
    for (std::uint32_t round = 0; round < day.departures; ++round) {
        for (const std::size_t service : random_order(fleet)) {
            traffic.run_until(now);
            fleet.retire_machine(service, 1, drain_time);
            now += milliseconds(300);
        }
    }
    traffic.run_until(traffic_end + finish_time);
}

void check_seeds(const departure_day& day)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        contended_fleet fleet(
            {.seed = seed, .shards = 2, .machines_per_service = machines_per_service});
        INFO("seed " << seed);
        run_departures(fleet, day);
        INFO(waits_of(fleet) << "moves " << fleet.machines().moves());
        REQUIRE(fleet.accepted() > 0);
        check_served(fleet);
        CHECK(fleet.jobs().open_jobs() == 0);
    }
}

} // namespace

// Guards against jobs that wait in a shard with a backlog while another shard has room for them.
TEST_CASE("a shard that has lost two of three machines gets through its backlog",
          "[.][two_shards_backlog]")
{
    check_seeds({.departures = machines_per_service - 1, .load = 14});
}

// Guards against jobs that wait for ever for a worker of a shard which has lost all of them.
TEST_CASE("jobs of a shard that has lost all machines are run by another one",
          "[.][two_shards_backlog]")
{
    check_seeds({.departures = machines_per_service, .load = 9});
}
