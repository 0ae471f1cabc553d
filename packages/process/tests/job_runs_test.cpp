#include "job_holders.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

/// Jobs that end, that outlast several leases, that fail on a worker, that are drained from one,
/// and that are called off waiting and running.
void play(job_holders& world)
{
    for (const char* const name : {"short", "long", "other"}) {
        world.submit(name, std::string(name) == "short" ? seconds(3) : seconds(40));
    }
    world.submit("cancelled-1", seconds(200));
    world.run_for(seconds(3));
    for (const char* const name : {"cancelled-2", "cancelled-3"}) {
        world.submit(name, seconds(200));
    }
    world.cancel("cancelled-1");
    world.cancel("cancelled-3");
    world.run_for(seconds(3));
    world.drain("w2");
    world.run_for(seconds(2));
    world.cancel("cancelled-2");
    world.run_for(seconds(400));
}

void check_all_ended(job_holders& world)
{
    for (const char* const name : {"short", "long", "other"}) {
        CAPTURE(name, world.row_of(name));
        CHECK(world.end_of(name) == job_state::finished);
        const auto states = world.tasks_of(name);
        CHECK(std::count(states.begin(), states.end(), task_state::finished) == 1);
    }
    for (const char* const name : {"cancelled-1", "cancelled-2", "cancelled-3"}) {
        CAPTURE(name);
        CHECK(world.end_of(name) == job_state::cancelled);
        const auto states = world.tasks_of(name);
        CHECK(std::count(states.begin(), states.end(), task_state::running) == 0);
    }
    CHECK(world.rows_left() == 0);
    CHECK(world.drained());
    CAPTURE(world.faults());
    CHECK(world.faults().empty());
}

} // namespace

TEST_CASE("runs of jobs begin and end once, undisturbed")
{
    job_holders world(disturbance::none, 0);
    play(world);
    check_all_ended(world);
}

TEST_CASE("a holder that lost the duty unseen writes nothing and starts nothing")
{
    job_holders world(disturbance::none, 0);
    world.run_for(seconds(2));
    world.take_duty_away();
    world.submit("late", seconds(1));
    world.run_for(seconds(30));
    CHECK(world.rows.scan({.prefix = std::string(job_live_prefix)}).empty());
    CHECK(world.rows.read({job_inbox_key(job_id("late"))}).size() == 1);
    CHECK(world.tasks_of("late").empty());
}

TEST_CASE("whatever becomes of a holder's call, no job has two live runs, is lost or runs again")
{
    const auto how =
        GENERATE(disturbance::killed_before, disturbance::killed_after, disturbance::paused,
                 disturbance::delayed, disturbance::lost_call, disturbance::lost_reply);
    std::size_t tried = 0;
    for (std::size_t at = 0;; ++at) {
        job_holders world(how, at);
        play(world);
        if (!world.disturbed()) {
            break;
        }
        ++tried;
        CAPTURE(int(how), at);
        check_all_ended(world);
    }
    // Less would mean that the play lost most of its steps.
    CHECK(tried >= 30);
}
