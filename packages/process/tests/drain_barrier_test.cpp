#include "plantaindoor/process/drain_barrier.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

constexpr milliseconds longest{1000};
constexpr milliseconds lag{3000};

/// One holder's readings of entries "a" and "b", 500 ms apart, with every row renewed in between.
class holder {
public:
    holder() { read(1); }

    void read(version::version_number applied)
    {
        now += milliseconds(500);
        membership_reading reading{.listed = listed};
        for (version::registration_row& each : rows) {
            each.version += 1;
            each.value.applied = applied;
        }
        reading.rows = rows;
        reading.rows.insert(reading.rows.end(), frozen.begin(), frozen.end());
        entries.observe(reading, now);
        barrier.observe(entries, now);
    }

    int readings_until_passed(version::version_number applied, int most)
    {
        for (int n = 1; n <= most; ++n) {
            read(applied);
            if (barrier.passed()) {
                return n;
            }
        }
        return most + 1;
    }

    std::vector<version::registration_row> rows{
        {.value = {.entry = entry_id("a"), .incarnation = 1}},
        {.value = {.entry = entry_id("b"), .incarnation = 2}}};
    std::vector<version::registration_row> frozen;
    std::vector<listed_instance> listed{{.id = "a", .role = listed_role::entry},
                                        {.id = "b", .role = listed_role::entry},
                                        {.id = "w1", .role = listed_role::target}};
    time_point now{};
    confirmation_set entries{{.list_lag_bound = lag, .longest_gap = milliseconds(5000)}};
    drain_barrier barrier{
        {.drain = {.id = instance_id("w1"), .state_version = 2}, .longest_request = longest}};
};

} // namespace

TEST_CASE("a drain waits for every confirmation and for two renewals after it", "[drain-barrier]")
{
    holder h;
    CHECK(h.readings_until_passed(1, 10) == 11);
    CHECK(h.barrier.awaited().size() == 2);
    h.rows.at(1).value.busy = {instance_id("w1")};
    CHECK(h.readings_until_passed(2, 10) == 11);
    CHECK(h.barrier.awaited() ==
          std::vector<awaited_entry>{{entry_id("b"), awaited_reason::not_confirmed}});
    h.rows.at(1).value.busy.clear();
    CHECK(h.readings_until_passed(2, 10) == 3);
}

TEST_CASE("a new incarnation makes every entry renew again", "[drain-barrier]")
{
    holder h;
    h.read(2);
    h.read(2);
    h.rows.push_back({.value = {.entry = entry_id("c"), .incarnation = 3}});
    h.listed.push_back({.id = "c", .role = listed_role::entry});
    h.read(2);
    for (const confirmation_member& each : h.entries.members()) {
        CHECK(h.barrier.renewals(each) == 0);
    }
}

TEST_CASE("a frozen entry is waited for until the platform drops it", "[drain-barrier]")
{
    holder h;
    h.frozen = {h.rows.at(1)};
    h.rows.pop_back();
    CHECK(h.readings_until_passed(2, 40) == 41);
    h.listed.erase(h.listed.begin() + 1);
    const int expected = static_cast<int>((lag + longest) / milliseconds(500));
    CHECK(h.readings_until_passed(2, 40) >= expected);
    CHECK(h.barrier.passed());
}

TEST_CASE("an entry that the list doesn't show yet is not taken for dead", "[drain-barrier]")
{
    holder h;
    h.listed.erase(h.listed.begin() + 1);
    h.frozen = {h.rows.at(1)};
    h.rows.pop_back();
    CHECK(h.readings_until_passed(2, 7) == 8);
    CHECK(h.barrier.awaited() ==
          std::vector<awaited_entry>{{entry_id("b"), awaited_reason::may_still_run}});
}

TEST_CASE("a restarted entry is waited for through its requests' time", "[drain-barrier]")
{
    holder h;
    h.read(1);
    h.frozen = {h.rows.at(1)};
    h.rows.at(1).value.incarnation = 3;
    h.read(2);
    CHECK_FALSE(h.barrier.passed());
    CHECK(h.readings_until_passed(2, 20) >= 2);
    CHECK(h.barrier.passed());
}

TEST_CASE("an entry without a row, and a pause of the holder, start the wait anew",
          "[drain-barrier]")
{
    holder h;
    CHECK(h.readings_until_passed(2, 10) <= 3);
    h.listed.push_back({.id = "c", .role = listed_role::entry});
    CHECK(h.readings_until_passed(2, 10) == 11);
    CHECK(h.barrier.awaited() ==
          std::vector<awaited_entry>{{entry_id("c"), awaited_reason::not_registered}});
    h.listed.pop_back();
    h.now += milliseconds(60000);
    h.read(2);
    CHECK_FALSE(h.barrier.passed());
    CHECK(h.readings_until_passed(2, 10) == 2);
}
