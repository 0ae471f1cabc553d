#include "plantaindoor/version/codec.hpp"
#include "plantaindoor/version/delta.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

delta small_fleet()
{
    return {.version = 1,
            .author = "operator:test",
            .changes = {put_team{{.id = team_id("exams")}}, put_pool{{.id = pool_id("checks")}},
                        put_service{{.id = service_id("spell"),
                                     .team = team_id("exams"),
                                     .pools = {pool_id("checks")}}},
                        put_instance{{.id = instance_id("w1"), .pool = pool_id("checks")}}}};
}

} // namespace

TEST_CASE("a delta applies only to the version before it", "[delta]")
{
    const fleet empty;
    const auto first = applied(empty, small_fleet());
    CHECK(first->version == 1);
    CHECK(first->instances.at(instance_id("w1")).state_version == 1);
    CHECK_THROWS_AS(applied(*first, small_fleet()), version_gap_error);
}

TEST_CASE("a delta that leaves a dangling reference changes nothing", "[delta]")
{
    fleet target = *applied(fleet{}, small_fleet());
    const fleet before = target;
    CHECK_THROWS_AS(apply(target, {.version = 2, .changes = {remove_pool{pool_id("checks")}}}),
                    dangling_reference_error);
    CHECK(target == before);
}

TEST_CASE("a drain names its version and its wave", "[delta]")
{
    fleet target = *applied(fleet{}, small_fleet());
    apply(target, {.version = 2,
                   .changes = {set_instance_state{.id = instance_id("w1"),
                                                  .state = instance_state::draining,
                                                  .wave = wave_id("m1")}}});
    const instance& drained = target.instances.at(instance_id("w1"));
    CHECK(drained.state_version == 2);
    CHECK(drained.outage_wave == wave_id("m1"));
}

TEST_CASE("deltas and fleets decode to what was encoded", "[codec]")
{
    const delta step = small_fleet();
    CHECK(decode_delta(encode(step)) == step);
    const auto whole = applied(fleet{}, step);
    CHECK(decode_fleet(encode(*whole)) == *whole);
    CHECK_THROWS_AS(decode_delta("{"), decode_error);
    CHECK_THROWS_AS(decode_fleet("[]"), decode_error);
}
