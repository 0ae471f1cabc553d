// What a successor does with the reports of workers until it knows the jobs of its predecessor.
#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

constexpr milliseconds step{1};

model_job parallel_job(std::uint32_t width, milliseconds run_time)
{
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back(
        {.count = width, .need = {.cpu_millis = 500, .memory_mb = 100}, .estimate = run_time});
    return {.spec = std::move(spec), .run_time = run_time};
}

void set_store_fault(fleet_simulation& world, store_fault fault)
{
    for (std::size_t each = 0; each < fleet_simulation::entry_count; ++each) {
        world.entry(each).store().set_fault(fault);
    }
}

/// Kills the leader, lets the others notice it, and runs until one of them has begun its session.
void replace_leader(fleet_simulation& world)
{
    world.kill(world.leader().value());
    for (std::size_t each = 0; each < fleet_simulation::entry_count; ++each) {
        if (world.entry(each).alive()) {
            world.entry(each).note_leader_ended();
        }
    }
    while (!world.leader()) {
        world.run_for(step);
    }
}

} // namespace

// Guards against TWICE: a leader whose lease expired while it read the jobs polled the workers once
// the lease was renewed, acknowledged the ends of tasks that it couldn't assign yet, and started
// these tasks again.
TEST_CASE("a leader whose lease expires before it has read the jobs loses no ends of their tasks")
{
    constexpr milliseconds run_time{2500};
    constexpr milliseconds shortest_outage{3000};
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        fleet_simulation world(seed);
        world.run_for(seconds(2));
        for (int each = 0; each < 3; ++each) {
            static_cast<void>(world.submit(parallel_job(8, run_time)));
        }
        world.run_for(milliseconds(100));
        const std::size_t started = world.workers().starts();
        REQUIRE(started > 0);

        replace_leader(world);
        set_store_fault(world, store_fault::refusing);
        world.run_for(shortest_outage + milliseconds(world.random_below(1000)));
        set_store_fault(world, store_fault::refusing_part);
        world.run_for(milliseconds(2500));
        set_store_fault(world, store_fault::none);
        world.run_for(seconds(20));

        for (const std::string& each : world.workers().violations()) {
            FAIL_CHECK(each);
        }
        CHECK(world.accepted().size() == 3);
        for (const job_id& id : world.accepted()) {
            CHECK(world.stored_state(id) == "completed");
        }
    }
}

// Guards against TWICE: a report that arrived before the successor's first round named an
// occurrence that the successor had not started yet; its run was stopped, and the task started
// elsewhere.
TEST_CASE("an occurrence that was started just before its leader was killed runs once")
{
    constexpr milliseconds interval{400};
    constexpr std::uint32_t occurrences = 20;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        fleet_simulation world(seed);
        world.run_for(seconds(2));
        model_job job = parallel_job(1, milliseconds(1500));
        auto spec = std::make_shared<job::job_spec>(*job.spec);
        spec->repeats = job::repetition{.first = wall_time(std::chrono::hours(1)) + seconds(4),
                                        .interval = interval,
                                        .count = occurrences};
        job.spec = std::move(spec);
        const job_id id = world.submit(std::move(job));
        world.run_for(seconds(3) + interval * world.random_below(10));
        const std::size_t before = world.workers().starts();
        while (world.workers().starts() == before) {
            world.run_for(step);
        }

        replace_leader(world);
        world.run_for(seconds(30));

        for (const std::string& each : world.workers().violations()) {
            FAIL_CHECK(each);
        }
        CHECK(world.workers().starts() == occurrences);
        CHECK(world.stored_state(id) == "completed");
    }
}
