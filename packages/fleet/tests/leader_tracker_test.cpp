#include "plantaindoor/fleet/leader_tracker.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

/// The claim that follows one whose row has this version.
leader_claim next_claim(const leader_claim& previous, row_version version)
{
    return {.generation = previous.generation + 1, .earlier = claims_until(previous, version)};
}

leader_claim released(leader_claim claim, row_version version)
{
    claim.earlier = claims_until(claim, version);
    claim.released = true;
    return claim;
}

} // namespace

TEST_CASE("a claim is read as it was written, and one without earlier claims too")
{
    const leader_claim claim{.entry = "e1",
                             .peer_address = "10.0.0.1:7000",
                             .incarnation = "e1-7",
                             .generation = 3,
                             .earlier = {11, 42}};
    CHECK(parse_leader_claim(to_text(claim)) == claim);
    const auto without = parse_leader_claim(
        R"({"entry":"e1","peer":"a:1","incarnation":"i","generation":3,"released":false})");
    REQUIRE(without);
    CHECK(without->earlier.empty());
    CHECK_FALSE(parse_leader_claim(
        R"({"entry":"e1","peer":"a:1","incarnation":"i","generation":3,"released":false,)"
        R"("earlier":"none"})"));
}

TEST_CASE("a leader knows how many leaders there have been since a row was written")
{
    // The claims have the versions 10, 20 and 30.
    const leader_claim first;
    const leader_claim second = next_claim(first, 10);
    const leader_claim third = next_claim(second, 20);
    CHECK(predecessors_since(first, 10, 5) == 1);
    CHECK(predecessors_since(third, 30, 15) == 2);
    CHECK(predecessors_since(third, 30, 25) == 1);
    CHECK(predecessors_since(third, 30, 35) == 0);
}

TEST_CASE("a released claim counts once")
{
    // The claims have the versions 10, 20 and 30; the second one is released at version 25.
    const leader_claim second = next_claim({}, 10);
    const leader_claim third = next_claim(released(second, 20), 25);
    CHECK(third.earlier == std::vector<row_version>{10, 20});
    CHECK(predecessors_since(third, 30, 15) == 2);
    CHECK(predecessors_since(third, 30, 22) == 1);
}

TEST_CASE("a claim names a bounded number of earlier ones, the latest of them")
{
    leader_claim claim;
    for (row_version version = 1; version <= 100; ++version) {
        claim = next_claim(claim, version);
    }
    CHECK(claim.earlier.size() == 8);
    CHECK(claim.earlier.back() == 100);
    CHECK(predecessors_since(claim, 101, 0) == 9);
}
