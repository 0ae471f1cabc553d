#include "plantaindoor/version/log_follower.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

/// A random change that fits any fleet with these pools.
change random_change(unsigned kind, unsigned number)
{
    const instance_id worker(fmt::format("w{}", number % 6));
    const pool_id pool(fmt::format("p{}", number % 2));
    switch (kind % 5) {
    case 0:
        return put_instance{{.id = worker, .pool = pool}};
    case 1:
        return set_instance_state{.id = worker, .state = instance_state::draining};
    case 2:
        return set_instance_state{.id = worker, .state = instance_state::admitted};
    case 3:
        return move_instance{.id = worker, .pool = pool};
    default:
        return put_team{{.id = team_id(fmt::format("t{}", number))}};
    }
}

std::vector<log_record> random_log()
{
    const auto length = *rc::gen::inRange<version_number>(1, 30);
    std::vector<log_record> log;
    log.push_back(
        {"first",
         {.version = 1,
          .changes = {put_pool{{.id = pool_id("p0")}}, put_pool{{.id = pool_id("p1")}}}}});
    for (unsigned worker = 0; worker < 6; ++worker) {
        log.front().step.changes.push_back(random_change(0, worker));
    }
    for (version_number version = 2; version <= length; ++version) {
        log_record next{fmt::format("a{}", version), {.version = version}};
        for (int changes = *rc::gen::inRange(1, 4); changes > 0; --changes) {
            next.step.changes.push_back(
                random_change(*rc::gen::inRange(0U, 5U), *rc::gen::inRange(0U, 6U)));
        }
        log.push_back(std::move(next));
    }
    return log;
}

fleet rebuilt(const std::vector<log_record>& log, version_number version)
{
    fleet whole;
    for (const log_record& each : log) {
        if (each.step.version <= version) {
            apply(whole, each.step);
        }
    }
    return whole;
}

} // namespace

TEST_CASE("records in any order, doubled and stale, lead to the same versions as a full rebuild",
          "[log_follower]")
{
    REQUIRE(rc::check([] {
        const std::vector<log_record> log = random_log();
        log_follower follower;
        for (int deliveries = *rc::gen::inRange(1, 60); deliveries > 0; --deliveries) {
            const auto at = *rc::gen::inRange<std::size_t>(0, log.size());
            const auto count = *rc::gen::inRange<std::size_t>(1, 4);
            const version_number before = follower.current()->version;
            std::vector<log_record> some(
                log.begin() + static_cast<std::ptrdiff_t>(at),
                log.begin() + static_cast<std::ptrdiff_t>(std::min(log.size(), at + count)));
            if (*rc::gen::inRange(0, 2) == 1) {
                std::ranges::reverse(some);
            }
            const bool stepped = follower.on_records(some);
            RC_ASSERT(follower.current()->version >= before);
            RC_ASSERT(stepped == (follower.current()->version > before));
            RC_ASSERT(*follower.current() == rebuilt(log, follower.current()->version));
        }
        follower.on_head({.version = log.size()});
        while (const auto fetch = follower.wanted()) {
            RC_ASSERT(fetch->first == follower.current()->version + 1);
            follower.on_records({log.at(fetch->first - 1)});
        }
        RC_ASSERT(*follower.current() == rebuilt(log, log.size()));
    }));
}

TEST_CASE("a follower behind the trimmed records asks for the snapshot and goes on from there",
          "[log_follower]")
{
    log_follower follower;
    follower.on_head({.version = 12, .snapshot = 10, .oldest = 8});
    REQUIRE(follower.wanted() == log_fetch{.snapshot = 10});
    CHECK(follower.on_snapshot(fleet{.version = 10}));
    CHECK_FALSE(follower.on_snapshot(fleet{.version = 9}));
    CHECK(follower.wanted() == log_fetch{.first = 11, .last = 12});
    CHECK(follower.on_records({{"b", {.version = 12}}, {"a", {.version = 11}}}));
    CHECK(follower.current()->version == 12);
    CHECK(follower.records_after(10, 100).size() == 2);
    CHECK(follower.records_after(9, 100).empty());
}

TEST_CASE("a record that doesn't fit stops the follower where it is", "[log_follower]")
{
    log_follower follower;
    follower.on_records({{"a", {.version = 1, .changes = {remove_pool{pool_id("none")}}}}});
    CHECK(follower.stalled());
    CHECK(follower.current()->version == 0);
    CHECK_FALSE(follower.wanted());
}
