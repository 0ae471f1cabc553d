#include "plantaindoor/process/membership.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

constexpr time_point start{std::chrono::hours(1)};

std::set<entry_id> entries(int count)
{
    std::set<entry_id> all;
    for (int each = 0; each < count; ++each) {
        all.insert(entry_id(std::to_string(each)));
    }
    return all;
}

/// Entry 0 of seven, registered and current at `start`.
membership registered()
{
    membership self({.self = entry_id("0")}, start);
    self.on_registered(entries(7), start);
    self.on_head_applied(start);
    (void)self.begin_write(start, {}, {});
    self.on_written(registration_outcome::written);
    return self;
}

peer_status from(int peer, time_point asked)
{
    return {.entry = entry_id(std::to_string(peer)), .serving = true, .asked = asked};
}

} // namespace

TEST_CASE("an entry cut off from table and peers stops on its own clock", "[membership]")
{
    const membership self = registered();
    CHECK(self.may_serve(start + seconds(3)) == serving_state::serving);
    CHECK(self.may_serve(start + seconds(3) + milliseconds(1)) == serving_state::cut_off);
}

TEST_CASE("a thawed entry takes no work until it has checked that it is current", "[membership]")
{
    membership self = registered();
    const time_point thawed = start + std::chrono::hours(1);
    CHECK(self.may_serve(thawed) == serving_state::cut_off);
    // Answers to what it asked before the freeze say nothing of the time since.
    for (int peer = 1; peer < 7; ++peer) {
        self.on_peer(from(peer, start));
    }
    self.on_head_applied(start);
    CHECK(self.may_serve(thawed) == serving_state::cut_off);
    self.on_head_applied(thawed);
    CHECK(self.may_serve(thawed) == serving_state::serving);
}

TEST_CASE("with the table out of reach an entry serves while it hears more than half of the others",
          "[membership]")
{
    membership self = registered();
    const time_point later = start + std::chrono::hours(2);
    for (int peer = 1; peer <= 3; ++peer) {
        self.on_peer(from(peer, later));
    }
    CHECK(self.may_serve(later) == serving_state::cut_off);
    peer_status last = from(1, later);
    last.heard = {{entry_id("5"), milliseconds(500)}};
    self.on_peer(last);
    CHECK(self.may_serve(later) == serving_state::serving);
    CHECK(self.may_serve(later + milliseconds(2600)) == serving_state::cut_off);
}

TEST_CASE("a peer's reading of the head counts once its version is applied", "[membership]")
{
    membership self = registered();
    const time_point later = start + seconds(20);
    peer_status ahead = from(1, later);
    ahead.version = 5;
    ahead.head_age = milliseconds(1000);
    self.on_peer(ahead);
    CHECK(self.may_serve(later) == serving_state::cut_off);
    self.on_applied(5, true);
    CHECK(self.may_serve(later + seconds(2)) == serving_state::serving);
    CHECK(self.may_serve(later + milliseconds(2001)) == serving_state::cut_off);
}

TEST_CASE("machines that the list has dropped don't count among the others", "[membership]")
{
    membership self = registered();
    const time_point later = start + seconds(60);
    self.on_peer(from(1, later));
    CHECK(self.may_serve(later) == serving_state::cut_off);
    self.on_listed({entry_id("0"), entry_id("1")}, later);
    CHECK(self.may_serve(later) == serving_state::serving);
}

TEST_CASE("the row is written at once for a drain and otherwise at a bounded rate", "[membership]")
{
    membership self = registered();
    CHECK_FALSE(self.write_due(start + seconds(2)));
    self.on_applied(1, false);
    CHECK_FALSE(self.write_due(start + seconds(2)));
    self.on_applied(2, true);
    CHECK_FALSE(self.write_due(start + milliseconds(199)));
    REQUIRE(self.write_due(start + milliseconds(200)));
    const auto write = self.begin_write(start + seconds(1), {}, {instance_id("w1")});
    CHECK(write.row.applied == 2);
    CHECK_FALSE(write.first);
    self.on_written(registration_outcome::written);
    CHECK_FALSE(self.write_due(start + seconds(2)));
    self.on_busy({});
    CHECK(self.write_due(start + seconds(2)));
}

TEST_CASE("an entry whose row was deleted takes no work until it is registered again",
          "[membership]")
{
    membership self = registered();
    (void)self.begin_write(start + seconds(3), {}, {});
    self.on_written(registration_outcome::row_missing);
    self.on_head_applied(start + seconds(3));
    CHECK(self.may_serve(start + seconds(3)) == serving_state::registration_lost);
    CHECK(self.begin_write(start + seconds(4), {}, {}).first);
    self.on_written(registration_outcome::written);
    CHECK(self.may_serve(start + seconds(4)) == serving_state::serving);
}
