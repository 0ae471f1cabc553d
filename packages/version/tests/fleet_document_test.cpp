#include "plantaindoor/version/fleet_document.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

constexpr const char* small_file = R"(
teams: [{id: exams}]
pools: [{id: checks}, {id: spare, lends: true}]
services:
  - {id: spell, team: exams, pools: [checks], budget: {minimum: "50%", survive: rack}}
instances:
  - {id: w1, pool: checks, zone: a, rack: r1, address: 127.0.0.1, port: 9001}
  - {id: w2, pool: checks, zone: b, rack: r2, address: 127.0.0.1, port: 9002}
rules:
  - {rule: hold-in-peak, when: {hour: {from: 17, to: 20}}, then: {hold: wave}}
)";

fleet match(const fleet& present, const fleet_document& wanted)
{
    const auto changes = changes_to_match(present, wanted);
    return *applied(present, {.version = present.version + 1, .changes = changes});
}

fleet small_fleet()
{
    return match({}, parse_fleet_document(small_file, "fleet.yaml"));
}

} // namespace

TEST_CASE("a fleet matches its document after one apply", "[fleet_document]")
{
    const fleet first = small_fleet();
    CHECK(first.services.at(service_id("spell")).budget.minimum == 50);
    CHECK(first.rules.size() == 1);
    CHECK(changes_to_match(first, parse_fleet_document(small_file, "f")).empty());
}

TEST_CASE("a printed fleet reads back without a difference", "[fleet_document]")
{
    const fleet first = small_fleet();
    const auto again = parse_fleet_document(to_fleet_document(first), "f");
    CHECK(again.edited == first.version);
    CHECK(changes_to_match(first, again).empty());
}

TEST_CASE("an apply keeps the planned state and refuses moves and removals", "[fleet_document]")
{
    fleet present = small_fleet();
    auto wanted = parse_fleet_document(small_file, "f");
    present.instances.at(instance_id("w1")).state = instance_state::draining;
    wanted.instances[0].port = 9100;
    const fleet next = match(present, wanted);
    CHECK(next.instances.at(instance_id("w1")).state == instance_state::draining);
    CHECK(next.instances.at(instance_id("w1")).port == 9100);

    wanted.instances[0].pool = pool_id("spare");
    CHECK_THROWS_AS(changes_to_match(present, wanted), pool_change_error);
    wanted.instances.erase(wanted.instances.begin());
    CHECK_THROWS_AS(changes_to_match(present, wanted), instance_in_use_error);
}

TEST_CASE("an edit of an older version is refused with the difference", "[fleet_document]")
{
    const fleet present = small_fleet();
    auto wanted = parse_fleet_document(small_file, "f");
    wanted.edited = 0;
    wanted.pools[0].reserve = 2;
    try {
        static_cast<void>(changes_to_match(present, wanted));
        FAIL("not refused");
    }
    catch (const stale_edit_error& refusal) {
        CHECK(refusal.fields().at(2).value == "put pool checks");
    }
}

TEST_CASE("a budget above the pool is refused", "[fleet_document]")
{
    auto wanted = parse_fleet_document(small_file, "f");
    wanted.services[0].budget = {.unit = budget_unit::count, .minimum = 3};
    CHECK_THROWS_AS(changes_to_match({}, wanted), budget_too_large_error);
}

TEST_CASE("every fault of a fleet file is listed", "[fleet_document]")
{
    try {
        static_cast<void>(parse_fleet_document(
            "pools: [{id: a/b}, {id: c}, {id: c}]\nservices: [{id: health, team: t}]\nextra: 1\n",
            "f"));
        FAIL("not refused");
    }
    catch (const document_error& refusal) {
        CHECK(refusal.faults().size() == 5);
    }
}

TEST_CASE("random text gives a document or a typed error", "[fleet_document]")
{
    REQUIRE(rc::check([](const std::string& noise) {
        try {
            static_cast<void>(parse_fleet_document(small_file + noise, "f"));
        }
        catch (const document_error&) {
        }
    }));
}
