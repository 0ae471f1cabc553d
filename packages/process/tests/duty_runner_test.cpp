#include "duty_world.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace plantaindoor;
using namespace plantaindoor::process;
using namespace plantaindoor::process::testing;

namespace {

constexpr std::chrono::seconds longest_wave{240};
/// The sanitizers' build is slow and takes a sample; the release build takes every case.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t stride = 6;
#else
constexpr std::size_t stride = 1;
#endif

/// Runs the wave with one fault and judges it; gives the number of steps there were.
std::size_t run_with(step_fault fault, std::size_t at)
{
    world all({.faults = {{at, fault}}});
    const bool finished = all.run_wave(longest_wave);
    INFO("fault " << static_cast<int>(fault) << " at step " << at);
    CHECK(finished);
    CAPTURE(all.violations);
    CHECK(all.violations.empty());
    for (const auto& [id, each] : all.newest.instances) {
        CHECK(all.boots[id] == 1);
        CHECK(each.last_wave == wave_id("m"));
        CHECK(each.state == version::instance_state::admitted);
    }
    return all.steps;
}

} // namespace

constexpr std::array every_fault{step_fault::killed_before, step_fault::killed_after,
                                 step_fault::paused_before, step_fault::paused_after,
                                 step_fault::lost_call,     step_fault::lost_reply,
                                 step_fault::table_down};

TEST_CASE("a wave reboots every instance once, without harm to a request", "[duty-runner]")
{
    const std::size_t steps = run_with(step_fault::none, 0);
    CHECK(steps > 20);
    WARN("steps: " << steps);
}

TEST_CASE("a wave survives a fault at any step", "[duty-runner]")
{
    const std::size_t steps = run_with(step_fault::none, 0);
    for (const step_fault fault : every_fault) {
        for (std::size_t at = 1; at <= steps; at += stride) {
            run_with(fault, at);
        }
    }
}

TEST_CASE("racing operators and several faults break no budget and no request", "[duty-runner]")
{
    std::size_t finished = 0;
    for (std::uint64_t seed = 1; seed <= 150; seed += stride) {
        std::mt19937_64 random(seed);
        world_options how{.operator_interval = milliseconds(700 + random() % 3000), .seed = seed};
        for (std::size_t n = random() % 5; n > 0; --n) {
            how.faults[1 + random() % 120] = every_fault[random() % every_fault.size()];
        }
        world all(how);
        finished += all.run_wave(longest_wave) ? 1 : 0;
        INFO("seed " << seed);
        CAPTURE(all.violations);
        CHECK(all.violations.empty());
        for (const auto& [id, boots] : all.boots) {
            CHECK(boots <= 1);
        }
    }
    WARN("finished in spite of the operators: " << finished);
    CHECK(finished > 0);
}
