#include "plantaindoor/policy/interference.hpp"

#include "plantaindoor/policy/worker_speed.hpp"
#include "simulated_pool.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

constexpr kind_key slowed = 1;
constexpr kind_key slowing = 2;
constexpr double load = 0.7;

/// A pool in which interference and slow workers are learned; keeps the workers about 70% full.
struct learning_pool {
    simulated_pool pool;
    peer_pace peers;
    worker_speed speeds;
    interference learned;
    /// Whether tasks are kept from harmful neighbours and slow workers where there is room.
    bool avoid = false;
    std::size_t kinds = 10;
    std::size_t tasks_per_step = 8;
    std::size_t runs_beside = 0;
    std::vector<interference_change> changes;
    std::size_t slow_begins = 0;

    explicit learning_pool(std::uint64_t seed, std::size_t workers = 40) : pool(workers, seed) {}

    simulated_worker* choose(kind_key kind)
    {
        if (!avoid) {
            return pool.any_with_room();
        }
        simulated_worker* best = nullptr;
        double least = 0;
        for (int attempt = 0; attempt < 8; ++attempt) {
            simulated_worker* const each = pool.any_with_room();
            if (each == nullptr) {
                continue;
            }
            double cost = speeds.is_slow(each->key) ? 2 : 0;
            for (const simulated_run& other : each->runs) {
                cost += learned.slow_down(kind, other.kind) + learned.slow_down(other.kind, kind);
            }
            if (best == nullptr || cost < least) {
                best = each;
                least = cost;
            }
        }
        return best;
    }

    void advance(milliseconds time)
    {
        for (const time_point until = pool.now + time; pool.now < until;) {
            std::size_t running = 0;
            for (const simulated_worker& each : pool.workers) {
                running += each.runs.size();
            }
            const auto wanted = std::size_t(double(pool.workers.size() * pool.slots) * load);
            for (; running < wanted; running += tasks_per_step) {
                pool.start_step(1 + pool.random() % kinds, tasks_per_step,
                                [this](kind_key kind) { return choose(kind); });
            }
            pool.advance([this](const simulated_worker& worker, const simulated_run& run,
                                const pace_sample& sample, const std::vector<neighbour>& beside) {
                learn(worker, run, sample, beside);
            });
            speeds.refresh(pool.now);
            learned.refresh(pool.now);
            for (const interference_change& each : learned.take_changes()) {
                changes.push_back(each);
            }
            for (const worker_speed_change& each : speeds.take_changes()) {
                slow_begins += each.slow ? 1 : 0;
            }
        }
    }

    void learn(const simulated_worker& worker, const simulated_run& run, pace_sample sample,
               const std::vector<neighbour>& beside)
    {
        const double known = learned.slow_down(sample.kind, beside);
        if (auto compared = peers.compare(sample)) {
            learned.note(sample.kind, worker.key, *compared, beside, pool.now);
            compared->deviation -= known;
            speeds.note(worker.key, *compared, pool.now);
        }
        sample.log_time -= known;
        peers.add(sample);
        runs_beside += run.done >= 1 && run.kind == slowed &&
                               std::any_of(beside.begin(), beside.end(),
                                           [](const neighbour& each) {
                                               return each.kind == slowing && each.share >= 0.5;
                                           })
                           ? 1
                           : 0;
    }

    /// Number of runs of the slowed kind beside the slowing one until the pair is known, or 5,000.
    std::size_t runs_until_known()
    {
        runs_beside = 0;
        while (learned.slow_down(slowed, slowing) == 0 && runs_beside < 5000) {
            advance(milliseconds(100));
        }
        return runs_beside;
    }

    std::size_t begins_of_other_pairs() const
    {
        return static_cast<std::size_t>(
            std::count_if(changes.begin(), changes.end(), [this](const interference_change& each) {
                return each.known && !pool.slow_downs.contains({each.slowed, each.slowing});
            }));
    }
};

void add_mutual(simulated_pool& pool, double factor)
{
    pool.slow_downs[{slowed, slowing}] = factor;
    pool.slow_downs[{slowing, slowed}] = factor;
}

} // namespace

// Guards against interference that goes unnoticed, or is noticed only after many slowed runs.
TEST_CASE("Two kinds that slow each other are detected within a number of runs")
{
    struct expectation {
        double factor = 1;
        std::size_t runs = 0;
    };
    const auto expected = GENERATE(expectation{1.3, 100}, expectation{2, 25}, expectation{4, 15});
    std::vector<std::size_t> needed;
    std::size_t others = 0;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        learning_pool world(seed);
        world.advance(seconds(10));
        add_mutual(world.pool, expected.factor);
        needed.push_back(world.runs_until_known());
        others += world.begins_of_other_pairs();
    }
    std::sort(needed.begin(), needed.end());
    WARN(expected.factor << " times: median " << needed[7] << " runs, most " << needed.back()
                         << ", other pairs accused " << others);
    CHECK(needed[7] <= expected.runs);
    CHECK(needed.back() <= 2 * expected.runs);
    CHECK(others == 0);
}

// Guards against knowledge that doesn't help: runs must be slowed less with it than without it.
TEST_CASE("The mean slow-down falls once interfering kinds are kept apart")
{
    struct expectation {
        double factor = 1;
        /// Of the excess over 1. Weak pairs are forgotten and learned again more often.
        double part_left = 1;
    };
    const auto expected =
        GENERATE(expectation{1.3, 0.65}, expectation{2, 0.25}, expectation{4, 0.15});
    const double factor = expected.factor;
    double before = 0;
    double after = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        learning_pool world(seed);
        add_mutual(world.pool, factor);
        world.pool.slow_downs[{5, 6}] = factor;
        world.advance(seconds(20));
        (void)world.pool.take_mean_slow_down();
        world.advance(seconds(40));
        before += world.pool.take_mean_slow_down() / 3;
        world.avoid = true;
        world.advance(seconds(20));
        (void)world.pool.take_mean_slow_down();
        world.advance(seconds(40));
        after += world.pool.take_mean_slow_down() / 3;
    }
    WARN(factor << " times: mean slow-down before " << before << ", after " << after);
    CHECK(after - 1 < (before - 1) * expected.part_left);
}

// Guards against innocent kinds that are kept apart because estimates are wrong and tasks differ.
TEST_CASE("No pair is accused with estimates off by 0.9, tasks uneven by 0.3, no interference")
{
    const std::size_t tasks = GENERATE(1, 8);
    std::size_t accused = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        learning_pool world(seed);
        world.tasks_per_step = tasks;
        world.advance(seconds(100));
        accused += world.changes.size();
    }
    WARN("steps of " << tasks << ": pairs accused in 1,000 s of 100 pairs: " << accused);
    CHECK(accused == 0);
}

// Guards against pairs that are accused because a worker was slow, and against workers that are
// accused because their tasks interfere.
TEST_CASE("A slow worker and an interfering neighbour aren't mistaken for each other")
{
    std::size_t pairs = 0;
    std::size_t slow = 0;
    std::size_t slow_phases = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        learning_pool world(seed);
        for (int phase = 0; phase < 20; ++phase) {
            simulated_worker& worker = world.pool.workers[world.pool.random() % 40];
            worker.slow_down = 5 + double(world.pool.random() % 5);
            world.advance(seconds(4));
            worker.slow_down = 1;
            world.advance(seconds(1));
            ++slow_phases;
        }
        pairs += world.changes.size();
        slow += world.slow_begins;
    }
    WARN("slow phases " << slow_phases << ", detected " << slow << ", pairs accused " << pairs);
    CHECK(pairs == 0);
    CHECK(slow >= slow_phases * 9 / 10);

    std::size_t accused = 0;
    std::size_t known = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        learning_pool world(seed);
        add_mutual(world.pool, 4);
        world.advance(seconds(10));
        known += world.learned.slow_down(slowed, slowing) > 0 ? 1 : 0;
        world.slow_begins = 0;
        world.advance(seconds(90));
        accused += world.slow_begins;
    }
    WARN("workers accused by a pair that interferes fourfold, in 18,000 worker seconds: "
         << accused);
    CHECK(known == 5);
    CHECK(accused == 0);
}

// Guards against kinds that are kept apart for ever after they have changed.
TEST_CASE("A pair that no longer interferes is forgotten")
{
    const bool avoid = GENERATE(false, true);
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        learning_pool world(seed);
        world.avoid = avoid;
        add_mutual(world.pool, 3);
        REQUIRE(world.runs_until_known() < 5000);
        world.pool.slow_downs.clear();
        const time_point changed = world.pool.now;
        while (world.learned.slow_down(slowed, slowing) > 0 &&
               world.pool.now - changed < seconds(60)) {
            world.advance(milliseconds(100));
        }
        INFO("seed " << seed << ", avoided " << avoid);
        CHECK(world.pool.now - changed <= seconds(25));
    }
}

// Guards against memory and time that grow with the number of kinds, and against strong pairs that
// are lost among many kinds.
TEST_CASE("10,000 kinds stay within the bound, and a strong pair is still found")
{
    learning_pool world(3, 100);
    world.kinds = 10000;
    world.advance(seconds(20));
    CHECK(world.learned.pair_count() <= interference::max_pairs);
    CHECK(world.learned.known_count() <= interference::max_known);
    CHECK(world.learned.known_count() == 0);
    add_mutual(world.pool, 4);
    for (int round = 0; round < 100; ++round) {
        for (const kind_key kind : {slowed, slowing}) {
            world.pool.start_step(kind, 16, [&](kind_key) { return world.pool.any_with_room(); });
        }
        world.advance(milliseconds(300));
    }
    CHECK(world.learned.slow_down(slowed, slowing) > std::log(2.0));
    CHECK(world.learned.pair_count() <= interference::max_pairs);
    CHECK(world.begins_of_other_pairs() == 0);
}

// Guards against more pairs that count than the bound, and against weak ones that keep strong ones
// out.
TEST_CASE("Of more interfering pairs than the bound the strongest count")
{
    interference learned;
    time_point now{seconds(100)};
    const auto teach = [&](kind_key kind, double slow_down) {
        for (std::uint64_t sample = 0; sample < 24; ++sample) {
            const std::vector<neighbour> other{{kind + 100000, 1}};
            now += milliseconds(4);
            learned.note(kind, sample % 6,
                         {.deviation = slow_down, .variance = 0.04, .source = 2 * sample}, other,
                         now);
            learned.note(kind, sample % 5,
                         {.deviation = 0, .variance = 0.04, .source = 2 * sample + 1}, {}, now);
            learned.refresh(now);
        }
    };
    for (kind_key kind = 1; kind <= 40; ++kind) {
        teach(kind, 0.5);
    }
    for (kind_key kind = 41; kind <= 200; ++kind) {
        teach(kind, 1.2 + double(kind) / 1000);
        REQUIRE(learned.known_count() <= interference::max_known);
        REQUIRE(learned.pair_count() <= interference::max_pairs);
    }
    CHECK(learned.strongest() > 3);
    CHECK(learned.slow_down(200, 100200) > 1);
}

// Guards against pairs that are accused on the evidence of one worker, which may be slow by itself.
TEST_CASE("A pair is known only once several workers show it")
{
    interference learned;
    time_point now{seconds(100)};
    std::uint64_t source = 0;
    const auto beside = [&](worker_key worker, int samples, double deviation) {
        const std::vector<neighbour> other{{.kind = slowing}};
        for (int sample = 0; sample < samples; ++sample) {
            now += milliseconds(50);
            ++source;
            learned.note(slowed, worker,
                         {.deviation = deviation, .variance = 0.04, .source = source}, other, now);
            for (worker_key elsewhere = 2; elsewhere <= 5; ++elsewhere) {
                ++source;
                learned.note(slowed, elsewhere,
                             {.deviation = 0, .variance = 0.04, .source = source}, {}, now);
            }
        }
        now += milliseconds(300);
        learned.refresh(now);
    };
    beside(1, 40, 1.9);
    CHECK(learned.known_count() == 0);
    beside(2, 4, 0);
    beside(3, 4, 0);
    CHECK(learned.take_changes().empty());
    for (worker_key worker = 2; worker <= 5; ++worker) {
        beside(worker, 12, 1.9);
    }
    CHECK(learned.slow_down(slowed, slowing) > 1);
}
