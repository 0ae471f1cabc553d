#include "plantaindoor/request/claim_batcher.hpp"

#include "claim_world.hpp"
#include "naive_claims.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;
using namespace plantaindoor::request;
using fakes::table_fault;

namespace {

claim_options quick()
{
    return {
        .transactions_per_second = 1e6, .rows_per_second = 1e6, .record_delay = milliseconds(0)};
}

/// What must hold whatever happened: at most one run of each key, one verdict for each request, and
/// nobody told not-run whose request was sent.
std::string violation(const claim_world& world)
{
    for (const auto& [key, runs] : world.runs) {
        if (runs > 1) {
            return key + " ran twice";
        }
    }
    for (const keyed_request& each : world.requests) {
        if (each.verdicts.size() > 1) {
            return each.key + " has several verdicts";
        }
        if (each.verdicts.empty()) {
            continue;
        }
        const claim_verdict& verdict = each.verdicts.front();
        const bool ran = world.runs.contains(each.key);
        if (verdict.why && verdict.why->told() == outcome::not_run && each.sent) {
            return each.key + " was told not-run and sent";
        }
        if (verdict.decision == claim_decision::replay && !ran) {
            return each.key + " was replayed and never ran";
        }
    }
    return {};
}

std::string numbered(char letter, int number)
{
    return std::string(1, letter).append(std::to_string(number));
}

std::string type_of(const keyed_request& request)
{
    REQUIRE(request.verdicts.size() == 1);
    return naive::answer_of(request.verdicts.front()).what;
}

} // namespace

TEST_CASE("no crash, fault or repeat runs a key twice", "[claims]")
{
    constexpr std::size_t points = 9;
    constexpr std::array faults{table_fault::none, table_fault::down, table_fault::lose_reply,
                                table_fault::lose_call};
    std::size_t worlds = 0;
    for (const table_fault fault : faults) {
        for (std::size_t fault_from = 0; fault_from < points; ++fault_from) {
            for (std::size_t fault_until = fault_from + 1; fault_until <= points; ++fault_until) {
                for (std::size_t kill_at = 0; kill_at <= points; ++kill_at) {
                    for (std::size_t repeat_at = 0; repeat_at < points; ++repeat_at) {
                        claim_world world(2, quick());
                        for (std::size_t point = 0; point < points; ++point) {
                            const bool faulty = point >= fault_from && point < fault_until;
                            world.table.fault = faulty ? fault : table_fault::none;
                            if (point == 0) {
                                world.add({.entry = 0, .key = "k"});
                            }
                            if (point == repeat_at) {
                                world.add({.entry = 1, .key = "k"});
                            }
                            if (point == kill_at) {
                                world.kill(0);
                            }
                            world.advance();
                            world.pass(milliseconds(20));
                        }
                        world.table.fault = table_fault::none;
                        world.settle_all(milliseconds(500));
                        INFO("fault " << static_cast<int>(fault) << " from " << fault_from
                                      << " until " << fault_until << ", kill at " << kill_at
                                      << ", repeat at " << repeat_at);
                        REQUIRE(violation(world).empty());
                        ++worlds;
                        // A third try meets what is recorded, or the truth that nobody knows.
                        world.pass(seconds(10));
                        const auto third = world.add({.entry = 1, .key = "k"});
                        world.settle_all(milliseconds(500));
                        REQUIRE(violation(world).empty());
                        REQUIRE(type_of(world.requests[third]) != "key-in-progress");
                        if (kill_at == points) {
                            // Nobody died, so every end was recorded.
                            REQUIRE(type_of(world.requests[third]) != "key-outcome-unknown");
                        }
                        if (fault == table_fault::none && kill_at == points) {
                            REQUIRE(type_of(world.requests[third]) == "replay");
                        }
                    }
                }
            }
        }
    }
    CHECK(worlds == faults.size() * 45 * 10 * 9);
}

TEST_CASE("grouped claims answer as the naive ones do", "[claims]")
{
    REQUIRE(rc::check("one entry, groups of any size, table without faults", [] {
        auto options = quick();
        options.max_in_flight = 1;
        options.max_group = *rc::gen::inRange<std::size_t>(1, 8);
        claim_world world(1, options);
        naive::claims naive;
        std::vector<naive::claim_answer> expected;
        const auto requests = *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
            rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 8), rc::gen::inRange(0, 3),
                           rc::gen::arbitrary<bool>()));
        constexpr std::array ends{claim_state::answered, claim_state::unknown,
                                  claim_state::released};
        std::vector<std::size_t> unsettled;
        const auto settle = [&] {
            world.settle_all(milliseconds(400));
            for (const std::size_t index : unsettled) {
                const keyed_request& each = world.requests[index];
                if (expected[index].what == "granted") {
                    naive.finish(each.key, each.end, "answer to " + each.key);
                }
            }
            unsettled.clear();
        };
        for (const auto& [key, hash, end, settle_first] : requests) {
            if (settle_first) {
                settle();
            }
            keyed_request request{.key = std::to_string(key),
                                  .hash = hash == 0 ? "other" : "h",
                                  .end = ends.at(static_cast<std::size_t>(end))};
            const bool undecided = std::ranges::any_of(unsettled, [&](std::size_t earlier) {
                return world.requests[earlier].key == request.key;
            });
            expected.push_back(undecided ? naive::claim_answer{.what = "key-in-progress"}
                                         : naive.claim(request.key, request.hash));
            unsettled.push_back(world.add(std::move(request)));
        }
        settle();
        for (std::size_t index = 0; index < expected.size(); ++index) {
            const keyed_request& each = world.requests[index];
            RC_ASSERT(each.verdicts.size() == 1U);
            RC_ASSERT(naive::answer_of(each.verdicts.front()) == expected[index]);
        }
        RC_ASSERT(world.batcher(0).unsettled() == 0U);
    }));
}

TEST_CASE("entries that race over keys under faults and kills keep every promise", "[claims]")
{
    REQUIRE(rc::check("at most one run, no false not-run, one verdict each", [] {
        auto options = quick();
        options.max_group = *rc::gen::inRange<std::size_t>(1, 6);
        options.max_in_flight = *rc::gen::inRange<std::size_t>(1, 4);
        claim_world world(3, options);
        world.lost_calls_land_late = true;
        const auto script =
            *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 20), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3)));
        for (const auto& [what, key, entry] : script) {
            if (what < 6) {
                world.add({.entry = static_cast<std::size_t>(entry),
                           .key = std::to_string(key),
                           .time = milliseconds(50 + (400 * entry)),
                           .end = what == 0   ? claim_state::released
                                  : what == 1 ? claim_state::unknown
                                              : claim_state::answered});
            }
            else if (what == 6) {
                world.land_one();
            }
            else if (what < 12) {
                world.advance();
            }
            else if (what < 16) {
                world.pass(milliseconds(30));
            }
            else if (what < 19) {
                world.table.fault = static_cast<table_fault>(key);
            }
            else if (entry == 2) {
                world.kill(2);
            }
        }
        world.table.fault = table_fault::none;
        world.settle_all();
        RC_ASSERT(violation(world) == "");
        for (const keyed_request& each : world.requests) {
            RC_ASSERT(each.entry == 2 || each.verdicts.size() == 1U);
        }
        RC_ASSERT(world.batcher(0).unsettled() == 0U);
        RC_ASSERT(world.batcher(1).unsettled() == 0U);
    }));
}

TEST_CASE("a conflict on one row does not fail the other claims of its group", "[claims]")
{
    auto options = quick();
    options.max_in_flight = 1;
    claim_world world(2, options);
    world.add({.entry = 1, .key = "taken"});
    world.settle_all(milliseconds(50));
    world.add({.entry = 0, .key = "first"});
    world.add({.entry = 0, .key = "taken"});
    world.add({.entry = 0, .key = "free"});
    const std::size_t before = world.table.transactions;
    world.settle_all(milliseconds(20));
    CHECK(type_of(world.requests[2]) == "replay");
    CHECK(type_of(world.requests[3]) == "granted");
    CHECK(world.table.transactions - before >= 2);
}

TEST_CASE("while the table is down a claim is refused at once, truthfully", "[claims]")
{
    claim_world world(1, quick());
    world.table.fault = table_fault::down;
    world.add({.key = "a"});
    world.settle_all(milliseconds(100));
    CHECK(type_of(world.requests[0]) == "claims-unavailable");
    const auto next = world.add({.key = "b"});
    REQUIRE(world.requests[next].verdicts.size() == 1);
    const refusal& why = *world.requests[next].verdicts.front().why;
    CHECK(why.told() == outcome::not_run);
    CHECK(why.retry_after() > milliseconds(0));

    world.table.fault = table_fault::none;
    world.pass(seconds(3));
    const auto again = world.add({.key = "a"});
    world.settle_all(milliseconds(20));
    CHECK(type_of(world.requests[again]) == "granted");
}

TEST_CASE("a claim that was never sent is released for the next repeat", "[claims]")
{
    claim_world world(2, quick());
    world.table.fault = table_fault::lose_reply;
    world.add({.entry = 0, .key = "k", .time = milliseconds(30)});
    world.settle_all(milliseconds(60));
    CHECK(type_of(world.requests[0]) == "claims-unavailable");
    CHECK(world.requests[0].verdicts.front().why->fields().back().value == "pending");

    world.table.fault = table_fault::none;
    world.add({.entry = 1, .key = "k"});
    world.table.run_all();
    CHECK(type_of(world.requests[1]) == "key-in-progress");
    world.settle_all();
    const auto third = world.add({.entry = 1, .key = "k"});
    world.settle_all(milliseconds(100));
    CHECK(type_of(world.requests[third]) == "granted");
    CHECK(world.runs.at("k") == 1);
}

TEST_CASE("above the write rate urgent claims go first and the rest is told when to come back",
          "[claims]")
{
    auto options = quick();
    options.transactions_per_second = 10;
    options.rows_per_second = 100;
    options.max_group = 10;
    options.max_in_flight = 1;
    options.max_waiting = 30;
    claim_world world(1, options);
    for (int number = 0; number < 60; ++number) {
        world.add({.key = numbered('b', number),
                   .time = milliseconds(2000),
                   .priority = version::priority::background});
    }
    for (int number = 0; number < 10; ++number) {
        world.add({.key = numbered('u', number),
                   .time = milliseconds(500),
                   .priority = version::priority::urgent});
    }
    world.settle_all();
    std::map<std::string, int> urgent;
    std::map<std::string, int> background;
    for (const keyed_request& each : world.requests) {
        auto& counts = each.priority == version::priority::urgent ? urgent : background;
        ++counts[type_of(each)];
        if (type_of(each) == "claims-unavailable") {
            CHECK(each.verdicts.front().why->retry_after() > milliseconds(0));
        }
    }
    CHECK(urgent == std::map<std::string, int>{{"granted", 10}});
    CHECK(background["granted"] > 0);
    CHECK(background["claims-unavailable"] > 0);
    CHECK(violation(world).empty());
}

TEST_CASE("a recorded answer comes back byte for byte, a long one as its status", "[claims]")
{
    claim_record record{.state = claim_state::answered,
                        .owner = "e1@7/1",
                        .request_hash = request_hash("POST", "/s/orders", "stop"),
                        .ends_by = wall_time(seconds(9)),
                        .written = wall_time(seconds(8)),
                        .answer = {.status = 201, .kept = true, .headers = {{"A", "b\xff"}}}};
    for (int byte = 0; byte < 256; ++byte) {
        record.answer.body += static_cast<char>(byte);
    }
    CHECK(decode_claim(encode(record)) == record);
    CHECK_THROWS_AS(decode_claim("{}"), claim_decode_error);
    CHECK(claim_key(service_id("s"), "a/b%") == "claim/s/a%2Fb%25");
    CHECK_FALSE(is_idempotency_key("a b"));
    CHECK_FALSE(is_idempotency_key(std::string(max_idempotency_key_bytes + 1, 'k')));

    auto options = quick();
    options.max_answer_bytes = 4;
    claim_world world(1, options);
    world.add({.key = "long"});
    world.settle_all(milliseconds(50));
    const auto again = world.add({.key = "long"});
    world.settle_all(milliseconds(50));
    CHECK(type_of(world.requests[again]) == "key-already-answered");
}

TEST_CASE("a spoilt row refuses its key and leaves the group's others alone", "[claims]")
{
    claim_world world(1, quick());
    world.table.rows.transact(
        {.writes = {{.key = claim_key(service_id("s"), "k"), .value = "not a claim"}}});
    world.add({.key = "k"});
    world.add({.key = "other"});
    world.settle_all(milliseconds(50));
    CHECK(type_of(world.requests[0]) == "key-outcome-unknown");
    CHECK(type_of(world.requests[1]) == "granted");
}

TEST_CASE("a late record of an end does not overwrite the next owner's claim", "[claims]")
{
    claim_world world(2, quick());
    world.add({.entry = 0, .key = "k", .end = claim_state::released});
    world.table.run_all();
    REQUIRE(world.send_one());
    world.table.fault = table_fault::lose_reply;
    REQUIRE(world.end_one());
    world.table.fault = table_fault::none;
    // The release is in the table, and entry 0 has not read it back when entry 1 takes the key.
    world.add({.entry = 1, .key = "k"});
    world.table.run_all();
    REQUIRE(type_of(world.requests[1]) == "granted");
    REQUIRE(world.send_one());
    world.pass(milliseconds(100));
    world.table.run_all();
    world.pass(milliseconds(100));
    world.table.run_all();
    const auto third = world.add({.entry = 0, .key = "k"});
    world.settle_all();
    CHECK(type_of(world.requests[third]) == "key-in-progress");
    CHECK(violation(world).empty());
}

TEST_CASE("all entries together keep to the rate that they share", "[claims]")
{
    constexpr std::size_t entries = 60;
    constexpr int run_seconds = 10;
    claim_batcher batcher({});
    batcher.share_rate(entries);
    std::size_t transactions = 0;
    for (int number = 0; number < run_seconds * 100; ++number) {
        const moment now{.steady = time_point(milliseconds(10 * number)),
                         .wall = wall_time(milliseconds(10 * number))};
        batcher.add({.row_key = numbered('k', number),
                     .give_up_at = now.steady + seconds(1),
                     .ends_by = now.wall + seconds(2)},
                    now);
        for (const claim_transaction& each : batcher.step(now).transactions) {
            ++transactions;
            batcher.transacted(each.id, {.outcome = transact_outcome::applied}, now);
        }
    }
    const claim_options options;
    const double shared = options.shared_transactions_per_second * run_seconds;
    CHECK(static_cast<double>(transactions * entries) <=
          shared + options.transaction_burst * static_cast<double>(entries));
    CHECK(transactions > 0);
}
