#include "simulated_workers.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

/// Long enough that leases which a predecessor may have extended have expired.
constexpr milliseconds settle{20000};
const instance_id first("w00");

step_spec step_of(std::uint32_t count)
{
    return {.count = count,
            .need = {.cpu_millis = 1000, .memory_mb = 1},
            .estimate = milliseconds(800),
            .image = "resize"};
}

/// Submits a job of `tasks` tasks each 250 ms.
void run_load(simulated_workers& world, milliseconds time, std::uint32_t tasks)
{
    for (milliseconds passed{0}; passed < time; passed += milliseconds(250)) {
        world.submit(step_of(tasks));
        world.advance(milliseconds(250));
    }
}

std::size_t changes_of(const simulated_workers& world, bool slow)
{
    return static_cast<std::size_t>(
        std::count_if(world.decisions.begin(), world.decisions.end(), [&](const decision& each) {
            return each.kind == decision_kind::worker_slow && each.speed.slow == slow;
        }));
}

} // namespace

// Guards against tasks that are placed on a slow worker although others have room, and against a
// worker that isn't used again once it is fast.
TEST_CASE("a slow worker gets no task that others have room for, until it is fast again")
{
    simulated_workers world(6, {});
    world.advance(settle);
    run_load(world, milliseconds(5000), 3);
    REQUIRE(world.starts_on(first) > 0);
    world.workers[first].slow_down = 7;
    run_load(world, milliseconds(3000), 3);
    CHECK(world.subject.learned().slow_workers == 1);
    CHECK(world.subject.learned().placements_changed > 0);
    CHECK(changes_of(world, true) == 1);
    const std::size_t before = world.starts_on(first);
    run_load(world, milliseconds(2000), 3);
    CHECK(world.starts_on(first) == before);
    world.workers[first].slow_down = 1;
    run_load(world, milliseconds(12000), 3);
    CHECK(world.starts_on(first) > before);
    CHECK(world.subject.learned().slow_workers == 0);
    CHECK(changes_of(world, true) == changes_of(world, false));
}

// Guards against tasks that wait for a fast worker while a slow one has room.
TEST_CASE("a task starts on a slow worker where no other has room")
{
    simulated_workers world(3, {});
    world.advance(settle);
    run_load(world, milliseconds(4000), 2);
    world.workers[first].slow_down = 7;
    const auto is_slow_with_room = [&] {
        const worker_record& worker = world.subject.workers().at(first);
        return worker.slow && worker.free_capacity().cpu_millis >= 1000;
    };
    for (int round = 0; round < 60 && !is_slow_with_room(); ++round) {
        run_load(world, milliseconds(250), 2);
    }
    REQUIRE(is_slow_with_room());
    const std::size_t before = world.starts_on(first);
    const job_id wide = world.submit(step_of(40));
    world.advance(milliseconds(100));
    CHECK(world.starts_on(first) > before);
    const auto& tasks = world.subject.find(wide)->occurrences().at(0).steps[0].tasks;
    CHECK(std::any_of(tasks.begin(), tasks.end(),
                      [](const task_record& each) { return each.is_waiting(); }));
    for (const auto& [id, worker] : world.subject.workers()) {
        CHECK(worker.free_capacity().cpu_millis == 0);
    }
}

// Guards against a switch that doesn't switch: both ways must be comparable.
TEST_CASE("with learn_worker_speed off a slow worker is used as any other")
{
    simulated_workers world(6, {.learn_worker_speed = false});
    world.advance(settle);
    run_load(world, milliseconds(3000), 3);
    world.workers[first].slow_down = 7;
    run_load(world, milliseconds(6000), 3);
    const std::size_t before = world.starts_on(first);
    run_load(world, milliseconds(6000), 3);
    CHECK(world.starts_on(first) > before);
    CHECK(world.subject.learned().slow_workers == 0);
    CHECK(changes_of(world, true) == 0);
}
