#include "plantaindoor/policy/worker_speed.hpp"

#include "simulated_pool.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

/// A pool whose workers' speeds are learned; keeps it about two thirds full.
struct observed_pool {
    simulated_pool pool;
    peer_pace peers;
    worker_speed speeds;
    std::vector<worker_speed_change> changes;

    observed_pool(std::size_t workers, std::uint64_t seed) : pool(workers, seed) {}

    void advance()
    {
        std::size_t running = 0;
        for (const simulated_worker& each : pool.workers) {
            running += each.runs.size();
        }
        for (; running < pool.workers.size() * pool.slots * 2 / 3; running += 8) {
            pool.start_step(1 + pool.random() % 20, 8,
                            [this](kind_key) { return pool.any_with_room(); });
        }
        pool.advance([this](const simulated_worker& worker, const simulated_run&,
                            const pace_sample& sample, const std::vector<neighbour>&) {
            if (const auto compared = peers.compare(sample)) {
                speeds.note(worker.key, *compared, pool.now);
            }
            peers.add(sample);
        });
        speeds.refresh(pool.now);
        for (const worker_speed_change& each : speeds.take_changes()) {
            changes.push_back(each);
        }
    }

    /// Advances until the worker counts as slow, or as fast; returns the time that it took.
    milliseconds time_until(worker_key worker, bool slow)
    {
        const time_point from = pool.now;
        while (speeds.is_slow(worker) != slow && pool.now - from < seconds(60)) {
            advance();
        }
        return std::chrono::duration_cast<milliseconds>(pool.now - from);
    }
};

} // namespace

// Guards against workers that go on slowing whatever is placed there, and against ones that are
// avoided for long after they are fast again.
TEST_CASE("A worker that becomes several times slower is detected, and that it is fast again")
{
    std::vector<milliseconds> detected;
    std::vector<milliseconds> recovered;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        observed_pool world(40, seed);
        for (int tick = 0; tick < 100; ++tick) {
            world.advance();
        }
        simulated_worker& worker = world.pool.workers[seed];
        worker.slow_down = 5 + double(seed % 5);
        detected.push_back(world.time_until(worker.key, true));
        worker.slow_down = 1;
        recovered.push_back(world.time_until(worker.key, false));
    }
    std::sort(detected.begin(), detected.end());
    std::sort(recovered.begin(), recovered.end());
    WARN("detected: median " << detected[10].count() << " ms, worst " << detected.back().count()
                             << " ms; fast again: median " << recovered[10].count() << " ms, worst "
                             << recovered.back().count() << " ms");
    CHECK(detected[10] <= seconds(2));
    CHECK(detected.back() <= seconds(4));
    CHECK(recovered[10] <= seconds(2));
    CHECK(recovered.back() <= seconds(4));
}

// Guards against sound workers that are avoided because estimates are wrong and tasks differ.
TEST_CASE("No worker counts as slow where only estimates are off by 0.9 and tasks uneven by 0.3")
{
    std::size_t accused = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        observed_pool world(40, seed);
        for (int tick = 0; tick < 600; ++tick) {
            world.advance();
        }
        accused += world.changes.size();
    }
    WARN("workers accused in 144,000 worker seconds: " << accused);
    CHECK(accused == 0);
}

// Guards against a worker that is avoided for ever because nothing runs there any more to show that
// it is fast again.
TEST_CASE("What is known of a worker without runs fades within seconds")
{
    worker_speed speeds;
    time_point now{seconds(100)};
    for (std::uint64_t run = 0; run < 30; ++run) {
        now += milliseconds(50);
        speeds.note(7, {.deviation = std::log(9.0), .variance = 0.05, .source = run}, now);
    }
    REQUIRE(speeds.is_slow(7));
    CHECK(speeds.slow_count() == 1);
    const time_point last = now;
    while (speeds.is_slow(7) && now < last + seconds(60)) {
        now += milliseconds(100);
        speeds.refresh(now);
    }
    CHECK(now - last >= seconds(2));
    CHECK(now - last <= seconds(8));
    const auto changes = speeds.take_changes();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].slow);
    CHECK(changes[0].slow_down == Approx(9));
    CHECK_FALSE(changes[1].slow);
    CHECK(speeds.slow_count() == 0);
}

// Guards against a worker that counts as slow for the sake of one straggling task.
TEST_CASE("A run that is slow beside others at their usual pace doesn't make its worker slow")
{
    worker_speed speeds;
    time_point now{seconds(100)};
    for (int round = 0; round < 40; ++round) {
        now += milliseconds(100);
        speeds.note(7, {.deviation = std::log(8.0), .variance = 0.05, .source = 1}, now);
        speeds.note(7, {.deviation = 0, .variance = 0.05, .source = 2}, now);
    }
    CHECK_FALSE(speeds.is_slow(7));
    CHECK(speeds.take_changes().empty());
}
