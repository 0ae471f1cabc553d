#include "fleet_simulation.hpp"
#include "plantaindoor/fleet/job_rows.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

watched_job two_steps(std::uint32_t width, milliseconds run_time)
{
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back(
        {.count = width, .need = {.cpu_millis = 500, .memory_mb = 100}, .estimate = run_time});
    spec->steps.push_back({.count = 1,
                           .need = {.cpu_millis = 500, .memory_mb = 100},
                           .estimate = run_time,
                           .depends_on = {0}});
    return {.spec = std::move(spec), .run_time = run_time};
}

void check_unbroken(const model_workers& workers)
{
    for (const std::string& each : workers.broken()) {
        FAIL_CHECK(each);
    }
}

/// One day of jobs under random troubles; entries of living workers lapse where machines are
/// listed.
void play(std::uint64_t seed, std::uint32_t troubles,
          fleet_world::machine_list machines = fleet_world::machine_list::silent)
{
    INFO("seed " << seed);
    fleet_world world(seed, machines);
    world.run_for(seconds(2));
    std::set<job_id> cancelled;
    std::set<job_id> hopeless;
    for (std::uint32_t second = 0; second < 40; ++second) {
        for (std::uint32_t each = world.draw(3); each > 0; --each) {
            watched_job job = two_steps(1 + world.draw(5), milliseconds(200 + world.draw(2000)));
            const bool fails = world.draw(12) == 0;
            if (fails) {
                job.hopeless.insert(0);
            }
            const job_id id = world.submit(std::move(job));
            if (fails) {
                hopeless.insert(id);
            }
            else if (world.draw(10) == 0) {
                cancelled.insert(id);
            }
        }
        if (second < 30 && world.draw(30) < troubles) {
            world.make_trouble();
            if (machines == fleet_world::machine_list::answers) {
                world.lapse_listing(world.draw(fleet_world::worker_count),
                                    milliseconds(500 + world.draw(6000)));
            }
        }
        world.run_for(milliseconds(1000));
        for (const job_id& id : cancelled) {
            if (world.accepted().contains(id) && !world.workers().job(id).cancelled) {
                world.cancel(id);
            }
        }
    }
    world.end_troubles();
    world.run_for(seconds(60));
    check_unbroken(world.workers());
    CHECK(world.workers().running() == 0);
    for (const job_id& id : world.accepted()) {
        const std::string state = world.stored_state(id);
        INFO("job " << id);
        if (hopeless.contains(id)) {
            CHECK(state == "failed");
        }
        else if (world.workers().job(id).cancelled) {
            CHECK((state == "cancelled" || state == "completed"));
        }
        else {
            CHECK(state == "completed");
        }
    }
}

} // namespace

TEST_CASE("calm days: every job is completed, and nothing is broken")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        play(seed, 0);
    }
}

TEST_CASE("random troubles: accepted jobs are completed once, in order, within their attempts")
{
    for (std::uint64_t seed = 100; seed < 250; ++seed) {
        play(seed, 10);
    }
}

TEST_CASE("random troubles that once broke something")
{
    // A holder whose lease was renewed after a pause started tasks of jobs that had been cancelled
    // meanwhile, as its feed hadn't caught up yet.
    for (const std::uint64_t seed : {998, 1264}) {
        play(seed, 10);
    }
}

TEST_CASE("random troubles while the machines are listed and entries of living workers lapse")
{
    for (std::uint64_t seed = 5000; seed < 5150; ++seed) {
        play(seed, 12, fleet_world::machine_list::answers);
    }
}

TEST_CASE("random troubles, more seeds by hand", "[.][long]")
{
    for (std::uint64_t seed = 250; seed < 5000; ++seed) {
        play(seed, 12);
    }
    for (std::uint64_t seed = 5150; seed < 9000; ++seed) {
        play(seed, 12, fleet_world::machine_list::answers);
    }
}

TEST_CASE("a holder that is killed is succeeded within its lease, and what ran goes on")
{
    fleet_world world(7, fleet_world::machine_list::answers);
    world.run_for(seconds(2));
    const auto first = world.leader();
    REQUIRE(first);
    const job_id id = world.submit(two_steps(4, milliseconds(4000)));
    world.run_for(seconds(1));
    REQUIRE(world.workers().running() == 4);
    world.kill(*first);
    world.run_for(seconds(4));
    REQUIRE(world.leader());
    CHECK(*world.leader() != *first);
    world.run_for(seconds(6));
    CHECK(world.stored_state(id) == "completed");
    CHECK(world.workers().starts() == 5);
    check_unbroken(world.workers());
}

TEST_CASE("a new holder starts nothing again that runs on a worker whose entry has lapsed")
{
    fleet_world world(7, fleet_world::machine_list::answers);
    world.run_for(seconds(2));
    const job_id id = world.submit(two_steps(8, milliseconds(9000)));
    world.run_for(seconds(1));
    REQUIRE(world.accepted().contains(id));
    for (std::size_t worker = 0; worker < fleet_world::worker_count; ++worker) {
        world.lapse_listing(worker, milliseconds(1500));
    }
    world.kill(*world.leader());
    world.run_for(seconds(60));

    check_unbroken(world.workers());
    CHECK(world.stored_state(id) == "completed");
}

TEST_CASE("a late transaction of progress doesn't undo a later one")
{
    fleet_world world(8);
    world.run_for(seconds(2));
    const auto first = world.leader();
    REQUIRE(first);
    const job_id id = world.submit(two_steps(2, milliseconds(300)));
    world.run_for(milliseconds(400));
    // The ends of the first step are written seconds after the job's end was.
    world.entry(*first).store().set_trouble(store_trouble::late);
    world.run_for(milliseconds(200));
    world.entry(*first).store().set_trouble(store_trouble::none);
    world.run_for(seconds(10));
    CHECK(world.stored_state(id) == "completed");
    check_unbroken(world.workers());
}

TEST_CASE("a holder that the store turns away gives way to one that it serves")
{
    fleet_world world(9);
    world.run_for(seconds(2));
    const auto first = world.leader();
    REQUIRE(first);
    world.entry(*first).store().set_trouble(store_trouble::refusing);
    world.run_for(seconds(4));
    const job_id id = world.submit(two_steps(2, milliseconds(300)));
    world.run_for(seconds(8));
    REQUIRE(world.leader());
    CHECK(world.workers().broken().empty());
    if (world.accepted().contains(id)) {
        CHECK(world.stored_state(id) == "completed");
    }
}

TEST_CASE("rows of jobs that are over are removed after their time, also by a later holder")
{
    fleet_world world(10);
    world.run_for(seconds(2));
    const job_id first = world.submit(two_steps(2, milliseconds(300)));
    const job_id cancelled = world.submit(two_steps(2, milliseconds(3000)));
    world.run_for(seconds(1));
    world.cancel(cancelled);
    world.run_for(seconds(4));
    REQUIRE(world.stored_state(first) == "completed");
    REQUIRE(world.stored_state(cancelled) == "cancelled");
    world.run_for(fleet_world::state_retention_time / 2);
    REQUIRE(world.leader());
    world.kill(*world.leader());
    world.run_for(fleet_world::state_retention_time / 2 + seconds(4));
    CHECK(world.stored_state(first) == "completed"); // Counted anew by the new holder.
    const job_id open = world.submit(two_steps(1, fleet_world::state_retention_time));
    world.run_for(fleet_world::state_retention_time / 2 + seconds(2));
    for (const job_id& id : {first, cancelled}) {
        CHECK(world.stored_state(id) == "none");
        CHECK(world.rows().find(accepted_address(id)) == nullptr);
        CHECK(world.rows().find(cancelled_address(id)) == nullptr);
    }
    CHECK(world.rows().find(accepted_address(open)) != nullptr);
}
