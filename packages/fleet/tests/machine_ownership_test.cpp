#include "plantaindoor/fleet/machine_ownership.hpp"

#include "plantaindoor/fleet/leader_tracker.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

constexpr row_version claim_version = 40;
const rack_id own_rack{"r0"};
const rack_id other_rack{"r1"};

std::shared_ptr<const shard_layout> two_shards()
{
    return std::make_shared<const shard_layout>(
        *parse_shard_layout(R"({"shards":2,"racks":{"r0":0,"r1":1},"queues":{}})"));
}

machine_ownership ownership_of_shard_0()
{
    return {0, claim_version, two_shards()};
}

stored_row grant_row(const std::string& machine, row_version version)
{
    return {.at = machine_transfer_address(0, machine),
            .value = to_text(machine_grant{.receiver = 1}),
            .version = version};
}

stored_row receipt_row(const std::string& machine, row_version claim, row_version version)
{
    return {.at = machine_transfer_address(0, machine),
            .value = to_text(machine_receipt{.giver = 1, .claim = claim}),
            .version = version};
}

} // namespace

TEST_CASE("machine transfer rows keep their fields")
{
    const machine_grant grant{.receiver = 3};
    CHECK(parse_machine_grant(to_text(grant)) == grant);
    CHECK_FALSE(parse_machine_receipt(to_text(grant)));
    const machine_receipt receipt{.giver = 2, .claim = 1'234'567'890'123};
    CHECK(parse_machine_receipt(to_text(receipt)) == receipt);
    CHECK_FALSE(parse_machine_grant(to_text(receipt)));
    const machine_request request{.giver = 1,
                                  .required = {{service_id("p"), 2}, {service_id("q"), 0}},
                                  .wanted = {{service_id("p"), 1}}};
    CHECK(parse_machine_request(to_text(request)) == request);
    for (const char* const malformed :
         {"", R"({"giver":1,"required":{}})", R"({"giver":1,"required":{},"wanted":[]})",
          R"({"giver":1,"required":{"p":-1},"wanted":{}})", "[]", "{}", R"({"receiver":-1})",
          R"({"receiver":"1"})", R"({"receiver":4294967296})", R"({"giver":1})", R"({"claim":7})",
          R"({"giver":1,"claim":0})"}) {
        CHECK_FALSE(parse_machine_grant(malformed));
        CHECK_FALSE(parse_machine_receipt(malformed));
        CHECK_FALSE(parse_machine_request(malformed));
    }
    CHECK(transferred_machine(machine_transfer_address(1, "m1")) == "m1");
    CHECK_FALSE(transferred_machine(machine_request_address(1)));
}

TEST_CASE("a transfer is written once, under the writer's claim")
{
    const row_condition claim{leader_claim_address(0), claim_version};
    for (const row_transaction& each : {grant_transaction(claim, 0, "m1", {.receiver = 1}),
                                        receipt_transaction(claim, 0, "m1", 1)}) {
        REQUIRE(each.conditions.size() == 2);
        CHECK(each.conditions[0].at == claim.at);
        CHECK(each.conditions[0].version == claim_version);
        CHECK(each.conditions[1].at == machine_transfer_address(0, "m1"));
        CHECK(each.conditions[1].version == absent);
        REQUIRE(each.writes.size() == 1);
        CHECK(each.writes[0].at == machine_transfer_address(0, "m1"));
        CHECK(each.writes[0].at.partition == claim.at.partition);
    }
}

TEST_CASE("a leader owns nothing before it has read its shard's rows")
{
    machine_ownership ownership = ownership_of_shard_0();
    CHECK_FALSE(ownership.owns("m1", own_rack));
    // Its predecessor may have given a machine away after this.
    CHECK_FALSE(ownership.restore({}, claim_version - 1));
    CHECK_FALSE(ownership.owns("m1", own_rack));
    CHECK(ownership.restore({}, claim_version));
    CHECK(ownership.token("m1", own_rack) == claim_version);
    CHECK_FALSE(ownership.owns("m1", other_rack));
}

TEST_CASE("a machine that was given away isn't owned")
{
    machine_ownership ownership = ownership_of_shard_0();
    REQUIRE(ownership.restore({grant_row("m1", 30)}, claim_version));
    CHECK_FALSE(ownership.owns("m1", own_rack));
    CHECK(ownership.may_give("m2", own_rack));
    ownership.note_grant("m2");
    CHECK_FALSE(ownership.owns("m2", own_rack));
    CHECK(ownership.owns("m3", own_rack));
}

TEST_CASE("a received machine has a token above the giver's and above earlier receivers'")
{
    machine_ownership ownership = ownership_of_shard_0();
    REQUIRE(ownership.restore({receipt_row("m1", 20, 30)}, claim_version));
    CHECK(ownership.token("m1", other_rack) == claim_version);
    CHECK_FALSE(ownership.may_give("m1", other_rack));
    ownership.note_row(receipt_row("m2", claim_version, 50));
    CHECK(ownership.token("m2", other_rack) == 50);
    CHECK(ownership.has_received("m2"));
}

TEST_CASE("a machine that a successor has received isn't owned")
{
    machine_ownership ownership = ownership_of_shard_0();
    REQUIRE(ownership.restore({}, claim_version));
    ownership.note_row(receipt_row("m1", claim_version + 5, 50));
    CHECK_FALSE(ownership.owns("m1", other_rack));
}

TEST_CASE("a machine with a malformed row gets no orders")
{
    machine_ownership ownership = ownership_of_shard_0();
    stored_row row = grant_row("m1", 30);
    row.value = "?";
    REQUIRE(ownership.restore({row}, claim_version));
    CHECK_FALSE(ownership.owns("m1", own_rack));
    CHECK(ownership.owns("m2", own_rack));
}

TEST_CASE("rows of other shards don't change what is owned")
{
    machine_ownership ownership = ownership_of_shard_0();
    REQUIRE(ownership.restore({}, claim_version));
    stored_row row = grant_row("m1", 50);
    row.at = machine_transfer_address(1, "m1");
    ownership.note_row(row);
    CHECK(ownership.owns("m1", own_rack));
}
