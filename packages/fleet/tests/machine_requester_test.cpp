#include "plantaindoor/fleet/machine_requester.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

const service_id checks{"checks"};

struct requester_fixture {
    time_point now{seconds(100)};
    machine_requester subject{{.shard = 1, .shards = 3}};
    std::map<service_id, pool_figures> pools{{checks, {.wanted = 2, .present = 2}}};
    std::map<service_id, job::service_load> loads{{checks, {}}};
    bool has_workers = true;
    std::uint32_t arriving = 0;

    std::optional<machine_request> update()
    {
        return subject.update(
            {.pools = pools, .loads = loads, .has_workers = has_workers, .arriving = arriving},
            now);
    }

    /// The first request within the time.
    std::optional<machine_request> update_for(milliseconds time)
    {
        constexpr milliseconds period{100};
        for (milliseconds passed{0}; passed < time; passed += period) {
            now += period;
            if (auto request = update()) {
                return request;
            }
        }
        return std::nullopt;
    }
};

} // namespace

TEST_CASE("a shard that has all the machines that it wants asks for none")
{
    requester_fixture fixture;
    fixture.loads[checks].ordinary.ready = 1000;
    CHECK_FALSE(fixture.update_for(seconds(10)));
}

TEST_CASE("a shard asks the other shards in turn for machines for its long-running tasks")
{
    requester_fixture fixture;
    fixture.pools[checks] = {.wanted = 4, .present = 2, .required = 3};
    const auto first = fixture.update();
    REQUIRE(first);
    CHECK(first->required == machine_request::counts{{checks, 1}});
    CHECK(first->wanted.empty());
    CHECK(first->giver == 2);
    CHECK_FALSE(fixture.update());
    const auto second = fixture.update_for(milliseconds(1100));
    REQUIRE(second);
    CHECK(second->giver == 0);
    fixture.arriving = 1;
    CHECK_FALSE(fixture.update_for(seconds(3)));
}

// Guards against an accepted job that waits for ever in a shard without room.
TEST_CASE("a shard asks for machines for tasks that have waited for a while")
{
    requester_fixture fixture;
    fixture.pools[checks] = {.wanted = 12, .present = 2};
    CHECK_FALSE(fixture.update_for(seconds(3)));
    fixture.loads[checks].ordinary.ready = 1000;
    CHECK_FALSE(fixture.update_for(milliseconds(1500)));
    const auto request = fixture.update_for(milliseconds(200));
    REQUIRE(request);
    CHECK(request->wanted == machine_request::counts{{checks, 4}});
    CHECK(request->required.empty());
}

// Guards against tasks that wait for ever in a shard that has lost all of its workers: it knows no
// worker's capacity.
TEST_CASE("a shard without workers asks for a machine")
{
    requester_fixture fixture;
    fixture.pools.clear();
    fixture.has_workers = false;
    CHECK_FALSE(fixture.update_for(seconds(3)));
    SECTION("for a long-running task")
    {
        fixture.loads[checks].long_running = 500;
    }
    SECTION("for a task that is ready")
    {
        fixture.loads[checks].ordinary.ready = 500;
    }
    const auto request = fixture.update();
    REQUIRE(request);
    CHECK(request->required == machine_request::counts{{checks, 1}});
}
