#include "plantaindoor/version/registration_set.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

constexpr time_point start{std::chrono::hours(1)};

registration_row row(const char* entry, std::uint64_t incarnation, row_version version)
{
    return {{.entry = entry_id(entry), .incarnation = incarnation, .applied = 5}, version};
}

} // namespace

TEST_CASE("a drain waits for rows that don't confirm and listed entries not renewed lately",
          "[registration]")
{
    std::vector<registration_row> rows{row("a", 1, 1), row("b", 2, 2), row("c", 3, 3)};
    rows[1].value.busy = {instance_id("w")};
    const std::set<entry_id> renewed{entry_id("a"), entry_id("b")};
    const std::set<entry_id> listed{entry_id("a"), entry_id("d")};
    CHECK(unconfirmed(rows, listed, renewed, instance_id("w"), 5) ==
          std::vector{entry_id("b"), entry_id("d")});
    CHECK(unconfirmed(rows, {}, renewed, instance_id("x"), 5).empty());
    CHECK(unconfirmed(rows, {}, renewed, instance_id("x"), 6).size() == 3);
}

TEST_CASE("a row counts as renewed for the window after the reading before its change",
          "[registration]")
{
    renewal_watch watch(seconds(10));
    const auto at = [&](int second, row_version version) {
        const auto time = start + seconds(second);
        return watch.on_reading(std::vector{row("a", 1, version)}, time, time + milliseconds(500));
    };
    CHECK(at(0, 1).empty());
    CHECK(at(3, 2).size() == 1);
    CHECK(at(9, 2).size() == 1);
    CHECK(at(10, 2).empty());
    CHECK(at(11, 3).size() == 1);
}

TEST_CASE("a row is deleted only long after its entry has left the list or was restarted",
          "[registration]")
{
    registration_retirement retirement({.list_lag = seconds(30), .longest_request = seconds(30)});
    const std::set<entry_id> listed{entry_id("a")};
    const auto at = [&](int second, const std::vector<registration_row>& rows,
                        const std::set<entry_id>& list) {
        return retirement.on_reading(rows, list, start + seconds(second));
    };
    SECTION("dropped from the list")
    {
        CHECK(at(0, {row("a", 1, 1)}, {}).empty());
        CHECK(at(59, {row("a", 1, 1)}, {}).empty());
        CHECK(at(60, {row("a", 1, 1)}, {}).size() == 1);
    }
    SECTION("listed again in between")
    {
        CHECK(at(0, {row("a", 1, 1)}, {}).empty());
        CHECK(at(30, {row("a", 1, 1)}, listed).empty());
        CHECK(at(60, {row("a", 1, 1)}, {}).empty());
    }
    SECTION("renewed in between")
    {
        CHECK(at(0, {row("a", 1, 1)}, {}).empty());
        CHECK(at(30, {row("a", 1, 2)}, {}).empty());
        CHECK(at(60, {row("a", 1, 2)}, {}).empty());
    }
    SECTION("restarted and renewed by the later process")
    {
        CHECK(at(0, {row("a", 1, 1), row("a", 2, 2)}, listed).empty());
        CHECK(at(60, {row("a", 1, 1), row("a", 2, 9)}, listed) == std::vector{row("a", 1, 1)});
    }
    SECTION("a late write of the dead process doesn't retire the frozen one")
    {
        CHECK(at(0, {row("a", 1, 1), row("a", 2, 2)}, listed).empty());
        CHECK(at(10, {row("a", 1, 3), row("a", 2, 2)}, listed).empty());
        CHECK(at(29, {row("a", 1, 3), row("a", 2, 2)}, listed).empty());
        CHECK(at(75, {row("a", 1, 3), row("a", 2, 2)}, listed).empty());
    }
}
