#include "plantaindoor/policy/workspace_shares.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const workspace_id shop("shop");
const workspace_id editors("editors");

time_point after(double elapsed)
{
    return start + std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(elapsed));
}

struct judged {
    int jobs = 0;
    int beyond = 0;
    [[nodiscard]] double part() const { return double(beyond) / double(jobs); }
};

/// Submits jobs at random times, `times` as many as the rate allows, of which one of `shards`
/// shards sees those that a random number assigns to it.
judged submit_at_random(double rate, double times, std::uint32_t shards, double duration,
                        std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(rate * times);
    std::uniform_int_distribution<std::uint32_t> shard(0, shards - 1);
    submission_rates rates;
    judged result;
    for (double at = gap(random); at < duration; at += gap(random)) {
        if (shard(random) == 0) {
            ++result.jobs;
            result.beyond += rates.note_submission(shop, rate, shards, after(at)) ? 1 : 0;
        }
    }
    return result;
}

} // namespace

// Guards against jobs that rank behind others although their workspace keeps its rate.
TEST_CASE("Few jobs of a workspace at its rate are marked by chance")
{
    for (const std::uint32_t shards : {1U, 2U, 5U}) {
        for (const double rate : {2.0, 10.0, 50.0}) {
            judged total;
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                const judged each = submit_at_random(rate, 1, shards, 60, seed);
                total.jobs += each.jobs;
                total.beyond += each.beyond;
            }
            INFO(rate << " jobs/s, " << shards << " shards: marked " << total.beyond << " of "
                      << total.jobs);
            // In the smallest case a shard sees 0.4 jobs a second.
            CHECK(total.part() < (rate / shards < 1 ? 0.05 : 0.02));
        }
    }
}

// Guards against an excess of some seconds that passes as chance.
TEST_CASE("Most of the excess at 7.5 times the rate for 6.5 s is marked")
{
    for (const std::uint32_t shards : {1U, 2U, 5U}) {
        for (const double rate : {10.0, 50.0}) {
            judged total;
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                const judged each = submit_at_random(rate, 7.5, shards, 6.5, seed);
                total.jobs += each.jobs;
                total.beyond += each.beyond;
            }
            const double excess = (1 - 1 / 7.5) * total.jobs;
            INFO(rate << " jobs/s, " << shards << " shards: marked " << total.beyond << " of "
                      << total.jobs << ", excess " << excess);
            CHECK(total.beyond > 0.7 * excess);
            CHECK(total.beyond < 1.02 * excess);
        }
    }
}

// Guards against a queue that one shard holds being judged as if all shards saw a part of it.
TEST_CASE("Jobs of a queue in one shard count once")
{
    submission_rates rates;
    int beyond = 0;
    for (int job = 0; job < 600; ++job) {
        beyond += rates.note_submission(shop, 10, 1, after(job * 0.1)) ? 1 : 0;
    }
    CHECK(beyond == 0);
}

// Guards against a workspace without a rate being refused, and against unbounded memory.
TEST_CASE("A workspace without a rate is never beyond it, and idle ones are forgotten")
{
    submission_rates rates;
    for (int job = 0; job < 100; ++job) {
        CHECK_FALSE(rates.note_submission(shop, 0, 1, start));
        CHECK_FALSE(rates.note_submission(editors, -1, 1, start));
    }
    CHECK(rates.size() == 2);
    rates.remove_idle(start + seconds(61));
    CHECK(rates.size() == 0);
}

// Guards against a share by one resource alone: the scarcest one that a workspace uses decides.
TEST_CASE("The dominant resource is compared with the workspace's part of the weights")
{
    workspace_shares shares;
    shares.add_capacity({.cpu_millis = 500, .memory_mb = 500});
    shares.add_capacity({.cpu_millis = 500, .memory_mb = 500});
    shares.add_use(shop, 3, {.cpu_millis = 100, .memory_mb = 740});
    shares.add_use(editors, 1, {.cpu_millis = 260, .memory_mb = 10});
    CHECK(shares.dominant_share(shop) == Approx(0.74));
    CHECK(shares.dominant_share(editors) == Approx(0.26));
    CHECK_FALSE(shares.is_above(shop));
    CHECK(shares.is_above(editors));
    shares.add_use(shop, 3, {.cpu_millis = 0, .memory_mb = 10});
    CHECK(shares.is_above(shop));
    CHECK_FALSE(shares.is_above(workspace_id("other")));
}

// Guards against a workspace that waits although no other wants the capacity.
TEST_CASE("A workspace that competes alone isn't above its share")
{
    workspace_shares shares;
    shares.add_capacity({.cpu_millis = 1000});
    shares.add_use(shop, 1, {.cpu_millis = 1000});
    CHECK_FALSE(shares.is_above(shop));
    shares.add_use(editors, 0, {});
    CHECK(shares.is_above(shop));
    CHECK(shares.is_above(editors));
}
