#include "plantaindoor/connection/exchange_policy.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <utility>

using namespace plantaindoor;
using namespace plantaindoor::connection;

namespace {

constexpr time_point start{std::chrono::hours(1)};

std::vector<endpoint> peers(std::uint16_t count)
{
    std::vector<endpoint> all;
    for (std::uint16_t each = 1; each <= count; ++each) {
        all.push_back({"10.0.0.1", each});
    }
    return all;
}

} // namespace

TEST_CASE("a new version is pushed at once, and no more once enough peers had it", "[exchange]")
{
    exchange_policy policy({.seed = 1, .fan_out = 3, .push_fan_out = 4, .enough_informed = 2});
    policy.set_peers(peers(50));
    CHECK(policy.begin_due(start).size() == 3);
    policy.on_version(7);
    auto pushes = policy.begin_due(start);
    REQUIRE(pushes.size() == 4);
    CHECK(policy.begin_due(start).empty());
    policy.on_reply(pushes[0], 6, 7);
    CHECK(policy.known_version(pushes[0]) == 7U);
    CHECK(policy.begin_due(start).size() == 1);
    policy.on_reply(pushes[1], 7, 7);
    policy.on_reply(pushes[2], 7, 7);
    CHECK(policy.begin_due(start).empty());
}

TEST_CASE("a peer is known to be behind only by what it said of the newest version", "[exchange]")
{
    exchange_policy policy({.seed = 1});
    policy.set_peers(peers(1));
    const endpoint peer = peers(1).front();
    const auto exchanged = [&](version::version_number after) {
        REQUIRE_FALSE(policy.begin_due(start + seconds(after)).empty());
        policy.on_reply(peer, after, after);
    };
    CHECK_FALSE(policy.known_behind(peer));
    policy.on_version(7);
    exchanged(6);
    CHECK(policy.known_behind(peer));
    policy.on_version(8);
    CHECK_FALSE(policy.known_behind(peer));
    exchanged(7);
    CHECK(policy.known_behind(peer));
    // It has surely heard of it meanwhile.
    REQUIRE_FALSE(policy.begin_due(start + seconds(60)).empty());
    CHECK_FALSE(policy.known_behind(peer));
}

TEST_CASE("a peer that stays behind is pushed to again only in the next round", "[exchange]")
{
    exchange_policy policy({.seed = 1, .period = milliseconds(1000)});
    policy.set_peers(peers(1));
    policy.on_version(7);
    std::size_t pushes = 0;
    for (auto now = start; now < start + seconds(10); now += milliseconds(10)) {
        for (const endpoint& each : policy.begin_due(now)) {
            ++pushes;
            policy.on_reply(each, 6, 6);
        }
    }
    CHECK(pushes >= 10);
    CHECK(pushes <= 20);
}

TEST_CASE("a failing peer is left alone for longer and longer, and tried again", "[exchange]")
{
    exchange_policy policy({.seed = 1,
                            .period = milliseconds(100),
                            .first_back_off = milliseconds(500),
                            .longest_back_off = milliseconds(4000)});
    policy.set_peers(peers(1));
    int tries = 0;
    for (time_point now = start; now < start + seconds(60); now += milliseconds(100)) {
        for (const endpoint& each : policy.begin_due(now)) {
            ++tries;
            policy.on_failure(each, now);
        }
    }
    CHECK(tries >= 15);
    CHECK(tries <= 35);
}

TEST_CASE("one exchange at a time with each peer, and its reply after removal changes nothing",
          "[exchange]")
{
    exchange_policy policy({.seed = 1, .period = milliseconds(0)});
    policy.set_peers(peers(2));
    policy.on_version(1);
    CHECK(policy.begin_due(start).size() == 2);
    CHECK(policy.begin_due(start + seconds(1)).empty());
    policy.set_peers({{"10.0.0.1", 1}});
    policy.on_reply({"10.0.0.1", 2}, 0, 1);
    policy.on_failure({"10.0.0.1", 2}, start);
    CHECK_FALSE(policy.known_version({"10.0.0.1", 2}));
    CHECK(policy.begin_due(start + seconds(2)).empty());
}
