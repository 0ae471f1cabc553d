#include "plantaindoor/connection/caller_headers.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;
using namespace plantaindoor::connection;

namespace {

version::fleet one_service()
{
    version::fleet fleet;
    fleet.services.emplace(
        service_id("spell"),
        version::service{.id = service_id("spell"), .team = team_id("exams"), .idempotent = true});
    return fleet;
}

request::caller_request read(http_headers headers, const std::string& target = "/spell/check?x=1")
{
    return read_caller_request({.method = "POST", .target = target, .headers = std::move(headers)},
                               one_service(), {.id = request_id("r1")});
}

} // namespace

TEST_CASE("a request without headers takes its service's defaults", "[caller_headers]")
{
    const auto got = read({});
    CHECK(got.service == service_id("spell"));
    CHECK(got.team == team_id("exams"));
    CHECK(got.idempotent);
    CHECK(got.deadline - got.arrived == milliseconds(2000));
    CHECK(read({}, "/spell").service == service_id("spell"));
    CHECK_THROWS_AS(read({}, "/spells/x"), request::unknown_service_refusal);
    CHECK_THROWS_AS(read({}, ""), request::unknown_service_refusal);
}

TEST_CASE("headers override the defaults, and malformed ones are refused", "[caller_headers]")
{
    const auto got = read({{"plantaindoor-deadline-ms", "150"},
                           {"Plantaindoor-Priority", "urgent"},
                           {"Plantaindoor-Idempotent", "no"},
                           {"Idempotency-Key", "order-7"}});
    CHECK(got.deadline - got.arrived == milliseconds(150));
    CHECK(got.priority == version::priority::urgent);
    CHECK_FALSE(got.idempotent);
    CHECK(got.idempotency_key == "order-7");
    for (const http_header& bad : http_headers{{"Plantaindoor-Deadline-Ms", "0"},
                                               {"Plantaindoor-Deadline-Ms", "1e3"},
                                               {"Plantaindoor-Deadline-Ms", "30001"},
                                               {"Plantaindoor-Priority", "Urgent"},
                                               {"Plantaindoor-Idempotent", "true"},
                                               {"Idempotency-Key", "a b"},
                                               {"Idempotency-Key", ""}}) {
        CHECK_THROWS_AS(read({bad}), request::malformed_header_refusal);
    }
}

TEST_CASE("any header value is read or refused with its type", "[caller_headers]")
{
    REQUIRE(rc::check([](const std::string& deadline, const std::string& key) {
        try {
            read({{"Plantaindoor-Deadline-Ms", deadline}, {"Idempotency-Key", key}});
        }
        catch (const request::malformed_header_refusal& why) {
            RC_ASSERT(refusal_answer(why, {}).status == 400);
        }
    }));
}

TEST_CASE("a target's own marks don't reach the caller", "[caller_headers]")
{
    const auto answer = marked_answer(
        {.status = 201,
         .headers = {{"plantaindoor-outcome", "not-run"}, {"Connection", "close"}, {"X-Kept", "1"}},
         .body = "whole"},
        {.id = request_id("r1"), .told = request::outcome::answered, .attempts = 2});
    CHECK(answer.headers == http_headers{{"X-Kept", "1"},
                                         {"Plantaindoor-Outcome", "answered"},
                                         {"Plantaindoor-Request-Id", "r1"},
                                         {"Plantaindoor-Attempts", "2"}});
}

TEST_CASE("a refusal says when to come back", "[caller_headers]")
{
    const auto answer =
        refusal_answer(request::no_target_refusal(service_id("spell"), milliseconds(1200)), {});
    CHECK(answer.status == 503);
    CHECK(*find_header(answer.headers, "Retry-After") == "2");
    CHECK(*find_header(answer.headers, "Plantaindoor-Outcome") == "not-run");
}
