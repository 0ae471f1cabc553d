#include "plantaindoor/policy/quota_division.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

const workspace_id alpha{"alpha"};
constexpr time_point start{seconds(100)};
constexpr wall_time wall_start{milliseconds(1'000'000)};
constexpr resources cap{.cpu_millis = 1000};
constexpr std::int64_t half = quota_units / 2;

/// The first of two shards, with the other's row.
struct division_fixture {
    quota_division subject{{.shard = 0, .shards = 2}};

    division_fixture() { subject.restore({}); }

    void other_requests(std::int64_t units, std::int64_t since, time_point at = start)
    {
        quota_row row;
        row.requests[alpha] = {.next = {.cpu = units}, .all = {.cpu = units}, .since = since};
        subject.note_row(1, row, at);
    }

    bool update(const resources& running, const resources& next, bool may_give = true,
                time_point now = start)
    {
        return subject.update({{alpha,
                                {.cap = cap,
                                 .share = subject.share(alpha),
                                 .running = running,
                                 .next = next,
                                 .wanted = next}}},
                              may_give, now, wall_start);
    }
};

} // namespace

TEST_CASE("A shard gives what it doesn't use, and counts it as gone at once")
{
    division_fixture fixture;
    fixture.other_requests(quota_units, 1);
    CHECK(fixture.update({.cpu_millis = 200}, {}));
    CHECK(fixture.subject.share(alpha).cpu == quota_units / 5);
    CHECK_FALSE(fixture.update({.cpu_millis = 200}, {}));
}

// Guards against a transfer of what a predecessor's runs use, and to a shard without a leader.
TEST_CASE("Nothing is given while a predecessor is in doubt, or by an old request")
{
    division_fixture fixture;
    fixture.other_requests(half, 1);
    CHECK_FALSE(fixture.update({}, {}, false));
    CHECK_FALSE(fixture.update({}, {}, true, start + seconds(4)));
    CHECK(fixture.subject.share(alpha).cpu == half);
}

TEST_CASE("Before its row is read, a shard has no share")
{
    const quota_division unread({.shard = 0, .shards = 2});
    CHECK(unread.share(alpha) == quota_share{});
}

TEST_CASE("Of two shards that wait, the later one gives for the other's first task")
{
    division_fixture earlier;
    earlier.other_requests(half, 2'000'000);
    CHECK(earlier.update({}, {.cpu_millis = 800}));
    CHECK(earlier.subject.share(alpha).cpu == half);
    division_fixture later;
    later.other_requests(quota_units / 4, 1);
    CHECK(later.update({}, {.cpu_millis = 800}));
    CHECK(later.subject.share(alpha).cpu == quota_units / 4);
}

// Guards against a busy shard that keeps for good what an idle one gave it.
TEST_CASE("A shard above its base share keeps free what another one lacks, and gives it")
{
    division_fixture fixture;
    quota_row row;
    row.given[alpha][0] = {.cpu = half};
    row.requests[alpha] = {.next = {.cpu = half}, .all = {.cpu = half}, .since = 1};
    fixture.subject.note_row(1, row, start);
    CHECK(fixture.subject.share(alpha).cpu == quota_units);
    CHECK(fixture.subject.usable_share(alpha, start).cpu == half);
    CHECK(fixture.subject.usable_share(alpha, start + seconds(4)).cpu == quota_units);
    CHECK(fixture.update({.cpu_millis = 800}, {.cpu_millis = 100}));
    CHECK(fixture.subject.share(alpha).cpu == quota_units - quota_units / 5);
}
