#include "plantaindoor/policy/quota_division.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

const workspace_id alpha{"alpha"};
constexpr time_point start{seconds(100)};
constexpr quota_share half{quota_units / 2, quota_units / 2, quota_units / 2};

quota_division restored_division(std::uint32_t shard, std::uint32_t shards = 2)
{
    quota_division division({.shard = shard, .shards = shards});
    division.restore({});
    return division;
}

std::map<workspace_id, quota_usage> usage_of(std::int64_t running, std::int64_t cap)
{
    return {{alpha, {.cap = {.cpu_millis = cap}, .running = {.cpu_millis = running}}}};
}

} // namespace

// Guards against starts in one shard while another's runs alone exceed a cap that was lowered.
TEST_CASE("What a shard uses beyond its share is left out of the others' usable shares")
{
    quota_division first = restored_division(0);
    quota_division second = restored_division(1);
    CHECK_FALSE(first.update(usage_of(4000, 8000), true, start, wall_time{}));
    CHECK(first.update(usage_of(4000, 2000), true, start, wall_time{}));
    second.note_row(0, first.row(), start);
    CHECK(second.share(alpha) == half);
    // A cap on the processor time alone.
    CHECK(second.usable_share(alpha, start) == quota_share{0, half.memory, half.accelerators});
    // The runs last, whether or not their leader does.
    CHECK(second.usable_share(alpha, start + seconds(3600)).cpu == 0);

    CHECK(first.update(usage_of(1500, 2000), true, start, wall_time{}));
    second.note_row(0, first.row(), start);
    CHECK(second.usable_share(alpha, start).cpu == quota_units / 4);
    CHECK(first.update(usage_of(1000, 2000), true, start, wall_time{}));
    second.note_row(0, first.row(), start);
    CHECK(second.usable_share(alpha, start) == half);
}

// Guards against requests in large rows, which are written less often, that no donor sees in time.
TEST_CASE("A request counts for 3 s, or for two intervals of its writer if these are longer")
{
    const auto given_after = [](milliseconds interval, milliseconds age) {
        quota_division donor = restored_division(0);
        quota_row row{.interval = interval};
        row.requests[alpha] = {.next = {.cpu = 100}, .all = {.cpu = 100}};
        donor.note_row(1, row, start);
        return donor.update(usage_of(0, 2000), true, start + age, wall_time{});
    };
    CHECK(given_after(milliseconds(0), milliseconds(3000)));
    CHECK_FALSE(given_after(milliseconds(0), milliseconds(3001)));
    CHECK(given_after(milliseconds(1100), milliseconds(3000)));
    CHECK_FALSE(given_after(milliseconds(1100), milliseconds(3001)));
    CHECK(given_after(milliseconds(4800), milliseconds(9600)));
    CHECK_FALSE(given_after(milliseconds(4800), milliseconds(9601)));
}

// Guards against a part that is given to a shard which may have had no leader for long.
TEST_CASE("A request in a row of unknown age counts once the row has been written again")
{
    quota_division donor = restored_division(0);
    quota_row row;
    row.given[alpha][0] = {.cpu = 50};
    row.requests[alpha] = {.next = {.cpu = 100}, .all = {.cpu = 100}};
    donor.note_old_row(1, row);
    CHECK(donor.share(alpha).cpu == half.cpu + 50);
    CHECK_FALSE(donor.update(usage_of(0, 2000), true, start, wall_time{}));
    donor.note_row(1, row, start);
    CHECK(donor.update(usage_of(0, 2000), true, start, wall_time{}));
    CHECK(donor.share(alpha).cpu == half.cpu - 50);
}

// Guards against a new leader that publishes no excess before the workers have reported the runs,
// and against one that stops all shards since it counts every open task as a possible run.
TEST_CASE("A new leader keeps the published excess while its predecessor is in doubt")
{
    quota_division first = restored_division(0);
    CHECK(first.update(usage_of(1500, 2000), true, start, wall_time{}));
    quota_division successor({.shard = 0, .shards = 2});
    successor.restore(first.row());
    auto usages = usage_of(0, 2000);
    usages[alpha].possible = {.cpu_millis = 9000};
    successor.update(usages, false, start, wall_time{});
    CHECK(successor.row().excess == first.row().excess);
    CHECK(successor.update(usage_of(1000, 2000), true, start, wall_time{}));
    CHECK(successor.row().excess.empty());
}
