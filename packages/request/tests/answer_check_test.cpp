#include "plantaindoor/request/answer_check.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::request;

namespace {

constexpr time_point begin{seconds(100)};

answer_check check_of(answer_limits limits = {})
{
    return answer_check({.request_id = "r1", .deadline = begin + seconds(10), .limits = limits});
}

} // namespace

TEST_CASE("an answer that must name its request passes only with the id", "[answers]")
{
    auto check = check_of();
    check.require_echo();
    const auto [id, verdict] =
        GENERATE(table<std::string, answer_verdict>({{"r1", answer_verdict::incomplete},
                                                     {"", answer_verdict::foreign},
                                                     {"r2", answer_verdict::foreign}}));
    CHECK(check.head({.status = 200, .length = 4, .request_id = id}, begin) == verdict);
}

TEST_CASE("only a whole answer passes", "[answers]")
{
    auto check = check_of();
    CHECK(check.head({.status = 200, .length = 4}, begin) == answer_verdict::incomplete);
    CHECK(check.body(3, begin) == answer_verdict::incomplete);
    SECTION("whole")
    {
        check.body(1, begin);
        CHECK(check.end(true, begin) == answer_verdict::whole);
    }
    SECTION("short of its length, although the transport calls it clean")
    {
        CHECK(check.end(true, begin) == answer_verdict::truncated);
    }
    SECTION("reset")
    {
        check.body(1, begin);
        CHECK(check.end(false, begin) == answer_verdict::truncated);
    }
    SECTION("longer than its length")
    {
        CHECK(check.body(2, begin) == answer_verdict::over_long);
        CHECK(check.end(true, begin) == answer_verdict::over_long);
    }
}

TEST_CASE("an answer's head must delimit its body", "[answers]")
{
    CHECK(check_of().head({.status = 200}, begin) == answer_verdict::undelimited);
    CHECK(check_of().head({.status = 200, .length = 1, .chunked = true}, begin) ==
          answer_verdict::malformed);
    CHECK(check_of().head({.status = 99, .length = 1}, begin) == answer_verdict::malformed);
    CHECK(check_of({.max_bytes = 10}).head({.status = 200, .length = 11}, begin) ==
          answer_verdict::over_long);
    auto empty = check_of();
    CHECK(empty.head({.status = 204}, begin) == answer_verdict::incomplete);
    CHECK(empty.end(true, begin) == answer_verdict::whole);
}

TEST_CASE("another request's answer is never passed on", "[answers]")
{
    CHECK(check_of().head({.status = 200, .length = 1, .request_id = "r2"}, begin) ==
          answer_verdict::foreign);
    CHECK(check_of().head({.status = 200, .length = 1, .request_id = "r1"}, begin) ==
          answer_verdict::incomplete);
}

TEST_CASE("an answer that never ends meets its limit", "[answers]")
{
    auto check = check_of({.max_bytes = 1000});
    check.head({.status = 200, .chunked = true}, begin);
    CHECK(check.body(1000, begin) == answer_verdict::incomplete);
    CHECK(check.body(1, begin) == answer_verdict::over_long);
}

TEST_CASE("a trickling answer is too slow before its deadline", "[answers]")
{
    auto check = check_of({.min_bytes_per_second = 10, .rate_grace = milliseconds(2000)});
    check.head({.status = 200, .length = 1000}, begin);
    CHECK(check.body(1, begin + milliseconds(2000)) == answer_verdict::incomplete);
    CHECK(check.tick(begin + milliseconds(2001)) == answer_verdict::too_slow);

    auto steady = check_of({.min_bytes_per_second = 10, .rate_grace = milliseconds(2000)});
    steady.head({.status = 200, .length = 1000}, begin);
    CHECK(steady.body(50, begin + milliseconds(4000)) == answer_verdict::incomplete);
    CHECK(steady.tick(begin + seconds(6)) == answer_verdict::too_slow);
}

TEST_CASE("an answer after the deadline is late, even a whole one", "[answers]")
{
    auto check = check_of();
    check.head({.status = 200, .length = 0}, begin);
    CHECK(check.end(true, begin + seconds(10)) == answer_verdict::late);
    CHECK(check.tick(begin) == answer_verdict::late);
}
