#include "simulated_workers.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

/// Long enough that leases which a predecessor may have extended have expired.
constexpr milliseconds settle{20000};
constexpr std::size_t worker_count = 6;

step_spec step_of(std::uint32_t count, const std::string& image)
{
    return {.count = count,
            .need = {.cpu_millis = 1000, .memory_mb = 1},
            .estimate = milliseconds(800),
            .image = image};
}

step_spec server_step(std::uint32_t count)
{
    return {.count = count,
            .need = {.cpu_millis = 1000, .memory_mb = 1},
            .max_per_worker = 1,
            .long_running = true,
            .image = "server"};
}

/// Submits a job of each image every 250 ms.
void run_load(simulated_workers& world, milliseconds time, std::uint32_t tasks,
              const std::vector<std::string>& images, const std::string& queue = "later")
{
    for (milliseconds passed{0}; passed < time; passed += milliseconds(250)) {
        for (const std::string& image : images) {
            world.submit(step_of(tasks, image), queue);
        }
        world.advance(milliseconds(250));
    }
}

/// Starts of an image on the workers that have, or haven't, a run of the server.
std::size_t starts_beside_server(simulated_workers& world, const std::string& image, bool beside)
{
    std::size_t total = 0;
    for (const auto& [id, worker] : world.subject.workers()) {
        total += (worker.long_running_runs > 0) == beside ? world.starts_on(id, image) : 0;
    }
    return total;
}

/// Servers on half of the workers that slow "resize" down, until that is known.
simulated_workers world_with_servers(double slow_down, const std::string& queue)
{
    simulated_workers world(worker_count, {});
    world.slow_downs[{"resize", "server"}] = slow_down;
    world.advance(settle);
    world.submit(server_step(worker_count / 2), queue);
    for (int round = 0; round < 120 && world.subject.learned().interfering_pairs == 0; ++round) {
        run_load(world, milliseconds(250), 4, {"resize"}, queue);
    }
    REQUIRE(world.subject.learned().interfering_pairs == 1);
    world.advance(milliseconds(3000));
    return world;
}

/// Whether tasks of a light load are placed beside the servers, as packing on few workers demands.
bool packs_beside_servers(simulated_workers& world, const std::string& queue)
{
    world.starts.clear();
    run_load(world, milliseconds(3000), 1, {"resize"}, queue);
    const std::size_t beside = starts_beside_server(world, "resize", true);
    const std::size_t apart = starts_beside_server(world, "resize", false);
    CHECK(beside + apart == 12);
    CHECK((beside == 0 || apart == 0));
    return apart == 0;
}

} // namespace

// Guards against machines that are kept for the sake of a small slow-down: workers with
// long-running runs can't be moved out of the pool anyway, so they are used first.
TEST_CASE("a weak slow-down by long-running runs doesn't undo packing beside them")
{
    simulated_workers world = world_with_servers(1.3, "later");
    CHECK(packs_beside_servers(world, "later"));
}

// Guards against tasks that take several times as long for the sake of packing.
TEST_CASE("a strong slow-down by long-running runs goes before packing beside them")
{
    simulated_workers world = world_with_servers(3, "later");
    CHECK_FALSE(packs_beside_servers(world, "later"));
    CHECK(world.subject.learned().placements_changed > 0);
}

// Guards against urgent tasks that are treated as any other.
TEST_CASE("a slow-down that is weak for others is strong for urgent tasks")
{
    simulated_workers world = world_with_servers(1.4, "urgent");
    CHECK_FALSE(packs_beside_servers(world, "urgent"));
}

// Guards against tasks that wait for a worker without harmful neighbours.
TEST_CASE("a task starts beside a harmful neighbour where no other worker has room")
{
    simulated_workers world = world_with_servers(4, "later");
    world.submit(step_of(40, "resize"));
    world.advance(milliseconds(100));
    for (const auto& [id, worker] : world.subject.workers()) {
        CHECK(worker.free_capacity().cpu_millis == 0);
    }
}

// Guards against knowledge that doesn't reach placement, and against a switch that doesn't switch.
TEST_CASE("kinds that slow each other are kept apart, and the runs are slowed less")
{
    const double factor = GENERATE(2.0, 4.0);
    const bool learn_speed = GENERATE(false, true);
    const auto mean_slow_down = [&](bool learn) {
        simulated_workers world(12,
                                {.learn_worker_speed = learn_speed, .learn_interference = learn});
        world.slow_downs[{"resize", "train"}] = factor;
        world.slow_downs[{"train", "resize"}] = factor;
        world.advance(settle);
        run_load(world, milliseconds(15000), 2, {"resize", "train", "index"});
        (void)world.take_mean_slow_down();
        run_load(world, milliseconds(30000), 2, {"resize", "train", "index"});
        CHECK((learn || learn_speed) == (world.subject.learned().placements_changed > 0));
        const bool logged =
            std::any_of(world.decisions.begin(), world.decisions.end(), [](const decision& each) {
                return each.kind == decision_kind::interference && each.slowed == "resize" &&
                       each.slowing == "train" && each.pair.known;
            });
        CHECK(learn == logged);
        return world.take_mean_slow_down();
    };
    const double before = mean_slow_down(false);
    const double after = mean_slow_down(true);
    WARN(factor << " times, worker speed " << learn_speed << ": mean slow-down without knowledge "
                << before << ", with it " << after);
    CHECK(after - 1 < (before - 1) / 2);
}

namespace {

step_spec best_effort_step(std::uint32_t count, const std::string& image)
{
    return {.count = count,
            .need = {.cpu_millis = 500, .memory_mb = 1},
            .max_per_worker = 1,
            .long_running = true,
            .image = image,
            .best_effort = true};
}

/// Serving runs on all workers, "index" beside each, and "crunch" beside half, which harms.
simulated_workers world_with_best_effort(bool learn)
{
    simulated_workers world(worker_count, {.learn_interference = learn});
    world.slow_downs[{"server", "crunch"}] = 3;
    world.advance(settle);
    step_spec server = server_step(worker_count);
    server.tail_target = milliseconds(100);
    world.submit(server);
    world.submit(best_effort_step(worker_count, "index"));
    world.advance(milliseconds(3000));
    world.submit(best_effort_step(worker_count / 2, "crunch"));
    world.advance(milliseconds(10000));
    world.throttles.clear();
    return world;
}

std::string image_of(const simulated_workers& world, const throttle_order& order)
{
    for (const simulated_workers::run& each : world.workers.at(order.worker).runs) {
        if (each.name == order.run) {
            return each.step.image;
        }
    }
    return "";
}

} // namespace

// Guards against harmless best-effort runs that are slowed although the harmful ones suffice.
TEST_CASE("of best-effort runs those known to harm are throttled first and released last")
{
    simulated_workers world = world_with_best_effort(true);
    REQUIRE(world.subject.learned().interfering_pairs == 1);
    world.slow_downs[{"server", "crunch"}] = 6;
    world.advance(milliseconds(2000));
    REQUIRE_FALSE(world.throttles.empty());
    for (const throttle_order& each : world.throttles) {
        CHECK(image_of(world, each) == "crunch");
    }
    // Once the harmful run has no share left, the others are slowed too.
    world.throttles.clear();
    world.slow_downs[{"server", "index"}] = 30;
    world.advance(milliseconds(3000));
    CHECK(
        std::any_of(world.throttles.begin(), world.throttles.end(),
                    [&](const throttle_order& each) { return image_of(world, each) == "index"; }));
}

// Guards against best-effort runs that aren't slowed because nothing is known of them.
TEST_CASE("without knowledge all best-effort runs beside a slowed serving run are throttled")
{
    simulated_workers world = world_with_best_effort(false);
    world.slow_downs[{"server", "crunch"}] = 6;
    world.advance(milliseconds(600));
    std::size_t crunch = 0;
    std::size_t index = 0;
    for (const throttle_order& each : world.throttles) {
        crunch += image_of(world, each) == "crunch" ? 1 : 0;
        index += image_of(world, each) == "index" ? 1 : 0;
    }
    CHECK(crunch > 0);
    CHECK(crunch == index);
}
