#include "plantaindoor/process/learned_sizes.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

job_spec spec_of(const std::string& kind)
{
    return {.team = team_id("t"),
            .kind = kind,
            .declared = {.processors = 4, .memory_mb = 1000, .run_time = seconds(100)}};
}

} // namespace

TEST_CASE("a kind is expected as declared until a run was seen", "[learned_sizes]")
{
    learned_sizes sizes;
    CHECK(sizes.expected(spec_of("a")) == spec_of("a").declared);
    sizes.on_run(spec_of("a"), {.processors = 1, .memory_mb = 500, .run_time = seconds(300)}, true);
    const job_size seen = sizes.expected(spec_of("a"));
    CHECK(seen.processors == Approx(1));
    CHECK(seen.memory_mb == 500);
    CHECK(seen.run_time == seconds(300));
    CHECK(sizes.expected(spec_of("b")) == spec_of("b").declared);
}

TEST_CASE("a run that didn't end teaches no time, and no smaller size", "[learned_sizes]")
{
    learned_sizes sizes;
    sizes.on_run(spec_of("a"), {.processors = 1, .memory_mb = 3000, .run_time = seconds(1)}, false);
    const job_size seen = sizes.expected(spec_of("a"));
    CHECK(seen.processors == Approx(4));
    CHECK(seen.memory_mb == 3000);
    CHECK(seen.run_time == seconds(100));
}

TEST_CASE("usage that has not arrived teaches nothing", "[learned_sizes]")
{
    learned_sizes sizes;
    sizes.on_run(spec_of("a"), {.processors = 0, .memory_mb = 0, .run_time = seconds(0)}, true);
    CHECK(sizes.expected(spec_of("a")) == spec_of("a").declared);
}

TEST_CASE("one absurd report stays within bounds", "[learned_sizes]")
{
    learned_sizes sizes;
    sizes.on_run(spec_of("a"),
                 {.processors = 1e9, .memory_mb = 1, .run_time = std::chrono::days(900)}, true);
    const job_size seen = sizes.expected(spec_of("a"));
    CHECK(seen.processors == Approx(32));
    CHECK(seen.memory_mb == 125);
    CHECK(seen.run_time == seconds(1600));
}

TEST_CASE("the number of kinds is bounded, and the well-known ones stay", "[learned_sizes]")
{
    learned_sizes sizes({.most_kinds = 3});
    const job_size used{.processors = 2, .memory_mb = 500, .run_time = seconds(10)};
    for (int run = 0; run < 3; ++run) {
        sizes.on_run(spec_of("known"), used, true);
    }
    for (int kind = 0; kind < 100; ++kind) {
        sizes.on_run(spec_of("passing" + std::to_string(kind)), used, true);
    }
    CHECK(sizes.expected(spec_of("known")).processors == Approx(2));
    int remembered = 0;
    for (int kind = 0; kind < 100; ++kind) {
        remembered += sizes.expected(spec_of("passing" + std::to_string(kind))).memory_mb == 500;
    }
    CHECK(remembered == 2);
}
