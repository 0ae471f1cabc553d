#include "plantaindoor/request/echo_record.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::request;

namespace {

const instance_id first("w1");
const instance_id second("w2");
const instance_id third("w3");

} // namespace

TEST_CASE("a target is relied on once it named a request, and as long as it always does",
          "[answers]")
{
    echo_record record;
    CHECK(record.naming_of(first) == answer_naming::unseen);
    CHECK_FALSE(record.reusable(first));
    record.answered(first, true);
    CHECK(record.naming_of(first) == answer_naming::always);
    CHECK(record.reusable(first));
    CHECK_FALSE(record.reusable(second));
    for (const bool echoed : {false, true, true}) {
        record.answered(first, echoed);
        CHECK(record.naming_of(first) == answer_naming::mixed);
        CHECK_FALSE(record.reusable(first));
    }
}

TEST_CASE("a target that names no request is never relied on", "[answers]")
{
    echo_record record;
    for (int answer = 0; answer < 3; ++answer) {
        record.answered(first, false);
        CHECK(record.naming_of(first) == answer_naming::never);
        CHECK_FALSE(record.reusable(first));
    }
    record.answered(first, true);
    CHECK(record.naming_of(first) == answer_naming::mixed);
}

TEST_CASE("a break under a request costs a target its used connections for a while", "[answers]")
{
    echo_record record({.answers_after_break = 3});
    record.answered(first, true);
    record.broke(first);
    for (int answer = 0; answer < 3; ++answer) {
        CHECK_FALSE(record.reusable(first));
        record.answered(first, true);
    }
    CHECK(record.reusable(first));
    record.broke(second);
    record.answered(second, true);
    CHECK_FALSE(record.reusable(second));
}

TEST_CASE("a full record relies on nobody until he answers again", "[answers]")
{
    echo_record record({.most_targets = 2});
    record.answered(first, true);
    record.answered(second, true);
    record.answered(first, true);
    CHECK(record.reusable(second));
    record.answered(third, true);
    CHECK_FALSE(record.reusable(first));
    CHECK(record.reusable(third));
}
