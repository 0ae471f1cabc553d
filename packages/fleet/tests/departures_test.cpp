// Services that contend for machines while machines leave one after the other, leaders are killed,
// a rack fails and orders to machines are late or lost.
#include "burst_traffic.hpp"
#include "contended_fleet_checks.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <memory>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

constexpr milliseconds drain_time{5000};
constexpr milliseconds traffic_end{20000};

model_job long_running_job()
{
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back(
        {.count = 2, .need = {.cpu_millis = 1000, .memory_mb = 500}, .long_running = true});
    return {.spec = std::move(spec), .workspace = {}};
}

/// A random machine leaves each second, a third of all in the end, while the bursts begin.
void run_departures(contended_fleet& fleet)
{
    constexpr std::uint32_t departures = 8;
    burst_traffic traffic(fleet);
    const auto services = static_cast<std::uint32_t>(fleet.options().services);
    for (std::size_t each = 0; each < services; ++each) {
        static_cast<void>(fleet.submit(each, long_running_job()));
        const milliseconds begin(3000 + fleet.random_below(6000));
        traffic.add({.service = each, .end = traffic_end, .load = 2, .has_wide_step = true});
        traffic.add({.service = each, .begin = begin, .end = traffic_end, .load = 12});
    }
    const std::uint32_t killed = 2 + fleet.random_below(departures - 2);
    const std::uint32_t faulty = 2 + fleet.random_below(departures - 2);
    constexpr std::array faults{machine_fault::unresponsive, machine_fault::lost_answer,
                                machine_fault::executed_late};
    for (std::uint32_t each = 0; each < departures; ++each) {
        traffic.run_until(milliseconds(3000) + each * seconds(1));
        fleet.retire_machine(fleet.random_below(services),
                             fleet.random_below(fleet.options().shards), drain_time);
        fleet.set_machine_fault(each == faulty ? faults[fleet.random_below(faults.size())]
                                               : machine_fault::none);
        if (each == killed) {
            fleet.kill_leader(fleet.random_below(fleet.options().shards), milliseconds(800));
        }
    }
    fleet.set_machine_fault(machine_fault::none);
    traffic.run_until(milliseconds(13000));
    fleet.remove_rack(0);
    traffic.run_until(traffic_end + finish_time);
}

void check_seeds(shard_number shards, void (*check)(contended_fleet&))
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        contended_fleet fleet({.seed = seed,
                               .shards = shards,
                               .racks_per_shard = 6 / shards,
                               .machines_per_service = 6 / shards});
        INFO("seed " << seed);
        run_departures(fleet);
        INFO(waits_of(fleet) << "moves " << fleet.machines().moves());
        REQUIRE(fleet.accepted() > 0);
        check(fleet);
    }
}

void check_completed(contended_fleet& fleet)
{
    // The long-running ones stay.
    CHECK(fleet.jobs().open_jobs() == fleet.options().services);
}

} // namespace

// Guards against jobs without a run, with room for them, on a day of departures.
TEST_CASE("no job is left without a run while machines leave and services contend")
{
    check_seeds(1, check_served);
}

// Guards against a pool that is left with a single machine on such a day, and works off its jobs
// long after the others.
TEST_CASE("every pool has its share of the machines while some of them leave")
{
    check_seeds(1, [](contended_fleet& fleet) {
        check_pools(fleet);
        check_completed(fleet);
    });
}

// Guards against jobs without a run where each of two leaders knows the room of its own shard only.
TEST_CASE("no job of two shards is left without a run while machines leave and services contend",
          "[.][two_shards_departures]")
{
    check_seeds(2, [](contended_fleet& fleet) {
        check_served(fleet);
        check_completed(fleet);
    });
}
