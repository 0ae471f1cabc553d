// Services that contend for machines: bursts overlap, and all together want more than there is.
#include "burst_traffic.hpp"
#include "contended_fleet_checks.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

/// Every service has a burst. They begin one after the other, in random order, and end together:
/// each but the first finds the spare machines taken.
void run_overlapping_bursts(contended_fleet& fleet)
{
    constexpr milliseconds traffic_end{16000};
    burst_traffic traffic(fleet);
    milliseconds begin{2000};
    for (const std::size_t each : random_order(fleet)) {
        traffic.add({.service = each, .end = traffic_end, .load = 2});
        traffic.add({.service = each, .begin = begin, .end = traffic_end, .load = 16});
        begin += milliseconds(1500);
    }
    traffic.run_until(traffic_end + finish_time);
}

/// One service gives up its many machines when the bursts of all others have just begun.
void run_bursts_after_another(contended_fleet& fleet)
{
    constexpr milliseconds first_end{7500};
    constexpr milliseconds traffic_end{16000};
    burst_traffic traffic(fleet);
    const std::vector<std::size_t> order = random_order(fleet);
    for (const std::size_t each : order) {
        const bool is_first = each == order.front();
        traffic.add({.service = each, .end = traffic_end, .load = 1});
        traffic.add({.service = each,
                     .begin = milliseconds(is_first ? 2000 : 4000),
                     .end = is_first ? first_end : traffic_end,
                     .load = is_first ? 30.0 : 14.0});
    }
    traffic.run_until(traffic_end + finish_time);
}

void check_seeds(void (*run)(contended_fleet&))
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        contended_fleet fleet({.seed = seed});
        INFO("seed " << seed);
        run(fleet);
        INFO(waits_of(fleet) << "moves " << fleet.machines().moves());
        REQUIRE(fleet.accepted() > 0);
        check_pools(fleet);
        check_served(fleet);
        CHECK(fleet.jobs().open_jobs() == 0);
    }
}

} // namespace

// Guards against a pool that has a single machine for as long as the others want all that they
// have.
TEST_CASE("a pool whose burst begins last gets its share of the machines")
{
    check_seeds(run_overlapping_bursts);
}

// Guards against machines that all go to the pool whose name sorts first.
TEST_CASE("all pools in need get a share of the machines that one gives up",
          "[.][contending_pools]")
{
    check_seeds(run_bursts_after_another);
}
