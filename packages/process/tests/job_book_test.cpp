#include "fakes/memory_table.hpp"
#include "plantaindoor/process/job_book.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

const team_id team("t");

version::fleet two_pools()
{
    version::fleet whole;
    whole.pools[pool_id("p")] = {.id = pool_id("p")};
    whole.pools[pool_id("q")] = {.id = pool_id("q")};
    return whole;
}

/// A pool's book over a table, with one job of three processors in it.
struct pool_book {
    pool_book(fakes::memory_table& in, const char* pool)
        : rows(in), id(std::string("job-") + pool), book({.pool = pool_id(pool)})
    {
        const job fresh{
            .spec = {.id = id, .pool = pool_id(pool), .team = team, .declared = {.processors = 3}}};
        rows.transact({.writes = {{job_inbox_key(id), encode(fresh)}}});
        book.quotas().set_limited({team});
        book.on_inbox(rows.read({job_inbox_key(id)}));
    }

    void read_quotas()
    {
        book.quotas().observe(rows.scan({.prefix = std::string(job_quota_prefix)}));
    }

    void place()
    {
        book.on_decided({start_job{.job = id, .worker = instance_id("w")}}, wall_time{});
    }

    transact_outcome write()
    {
        const auto next = book.next_write();
        REQUIRE(next);
        const auto result = rows.transact(*next);
        book.on_written(result, time_point{});
        return result.outcome;
    }

    fakes::memory_table& rows;
    job_id id;
    job_book book;
};

} // namespace

TEST_CASE("what a team's runs need is told to the other pools, and taken back at their end")
{
    fakes::memory_table rows;
    pool_book p(rows, "p");
    pool_book q(rows, "q");
    p.place();
    REQUIRE(p.write() == transact_outcome::applied);
    q.read_quotas();
    CHECK(q.book.quotas().used_elsewhere(two_pools()).at(team).processors == 3);
    p.book.on_reports({{.job = p.id,
                        .state = task_state::finished,
                        .started_by = p.book.commands(time_point{}).at(0).guard.id}});
    REQUIRE(p.write() == transact_outcome::applied);
    q.read_quotas();
    CHECK(q.book.quotas().used_elsewhere(two_pools()).at(team).processors == 0);
    CHECK(rows.read({job_done_key(p.id)}).size() == 1);
}

TEST_CASE("of two pools that place for one team at once, one must decide again")
{
    fakes::memory_table rows;
    pool_book p(rows, "p");
    pool_book q(rows, "q");
    p.place();
    q.place();
    CHECK(p.write() == transact_outcome::applied);
    CHECK(q.write() == transact_outcome::conflict);
    CHECK(q.book.is_stale());
    CHECK(rows.read({job_live_key(q.id)}).empty());
    CHECK(q.book.commands(time_point{}).empty());
}

TEST_CASE("a job that ends while its row is being written is written as over by the next write")
{
    fakes::memory_table rows;
    pool_book p(rows, "p");
    p.place();
    REQUIRE(p.write() == transact_outcome::applied);
    const auto start = p.book.commands(time_point{}).at(0).guard.id;
    p.book.on_decided({set_job_pace{.job = p.id, .pace = job_pace::throttled}}, wall_time{});
    const auto throttled = p.book.next_write();
    REQUIRE(throttled);
    p.book.on_reports({{.job = p.id, .state = task_state::finished, .started_by = start}});
    p.book.on_written(rows.transact(*throttled), time_point{});
    REQUIRE(p.write() == transact_outcome::applied);
    CHECK(rows.read({job_live_key(p.id)}).empty());
    CHECK(decode_job(rows.read({job_done_key(p.id)}).at(0).value)->state == job_state::finished);
}

TEST_CASE(
    "a run whose worker doesn't answer is over a lease after its stop was accepted, not before")
{
    fakes::memory_table rows;
    pool_book p(rows, "p");
    p.place();
    REQUIRE(p.write() == transact_outcome::applied);
    const auto state = [&] { return p.book.jobs().at(p.id).state; };
    time_point now{};
    for (; now < time_point(seconds(60)); now += seconds(1)) {
        for (const job_command& each : p.book.commands(now)) {
            p.book.on_command(each, operation_outcome::unknown, now);
        }
        if (const auto next = p.book.next_write()) {
            p.book.on_written(rows.transact(*next), now);
        }
        REQUIRE(state() ==
                (now < time_point(seconds(17)) ? job_state::placed : job_state::stopping));
    }
    const auto stop = p.book.commands(now);
    REQUIRE(stop.size() == 1);
    REQUIRE(stop[0].what.action == task_action::stop);
    p.book.on_command(stop[0], operation_outcome::accepted, now);
    CHECK(p.book.commands(now + milliseconds(16999)).empty());
    CHECK(state() == job_state::stopping);
    CHECK(p.book.commands(now + seconds(17)).empty());
    CHECK(state() == job_state::waiting);
}

TEST_CASE("a request to cancel stays until the last of its jobs is written")
{
    fakes::memory_table rows;
    job_book book({.pool = pool_id("p"), .group = 2});
    for (const char* const name : {"a", "b", "c"}) {
        const job fresh{.spec = {.id = job_id(name), .pool = pool_id("p")}};
        rows.transact({.writes = {{job_inbox_key(fresh.spec.id), encode(fresh)}}});
    }
    const std::string key = std::string(job_cancel_prefix) + "p/1";
    rows.transact({.writes = {{key, encode(job_cancel{.pool = pool_id("p")})}}});
    book.on_inbox(rows.scan({.prefix = std::string(job_inbox_prefix)}));
    for (const std::size_t left : {1U, 0U}) {
        const auto next = book.next_write();
        REQUIRE(next);
        book.on_written(rows.transact(*next), time_point{});
        CHECK(rows.read({key}).size() == left);
    }
    CHECK(rows.scan({.prefix = std::string(job_done_prefix)}).size() == 3);
    CHECK(!book.next_write());
}
