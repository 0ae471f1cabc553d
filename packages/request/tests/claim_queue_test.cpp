#include "plantaindoor/request/claim_queue.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::request;

namespace {

constexpr time_point begin{seconds(100)};

std::vector<claim_ticket> tickets(std::initializer_list<std::uint64_t> numbers)
{
    std::vector<claim_ticket> all;
    for (const std::uint64_t number : numbers) {
        all.push_back(claim_ticket{number});
    }
    return all;
}

} // namespace

TEST_CASE("claims go by priority, then by age, and ends get their half", "[claim_queue]")
{
    claim_queue queue;
    queue.add_claim(version::priority::background, claim_ticket{1});
    queue.add_claim(version::priority::interactive, claim_ticket{3});
    queue.add_claim(version::priority::interactive, claim_ticket{2});
    queue.add_claim(version::priority::urgent, claim_ticket{4});
    queue.add_end(claim_ticket{5}, begin);
    queue.add_end(claim_ticket{6}, begin);
    queue.add_end(claim_ticket{7}, begin);
    CHECK(queue.newest_below(version::priority::urgent) == claim_ticket{1});
    CHECK(queue.take(4, begin) == tickets({4, 2, 5, 6}));
    CHECK(queue.take(10, begin) == tickets({3, 1, 7}));
    CHECK_FALSE(queue.newest_below(version::priority::urgent));
}

TEST_CASE("room for one row goes to claims and ends in turn", "[claim_queue]")
{
    claim_queue queue;
    std::size_t ends = 0;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        queue.add_claim(version::priority::urgent, claim_ticket{number});
        queue.add_end(claim_ticket{100 + number}, begin);
    }
    for (int turn = 0; turn < 10; ++turn) {
        const auto taken = queue.take(1, begin);
        REQUIRE(taken.size() == 1);
        ends += taken.front() > claim_ticket{100} ? 1 : 0;
    }
    CHECK(ends == 5);
}
