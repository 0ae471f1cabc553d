// Which restarts of a worker under its id count as crashes of its tasks.
#include "incarnation_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;
using namespace plantaindoor::job::testing;

// Guards against a task of which every crash after the first goes unnoticed, and that is started
// for ever, since its workers crash under the same id.
TEST_CASE("a task that crashes the incarnations of one worker is given up")
{
    incarnation_fixture fixture;
    const job_id id = fixture.submit("j");
    wall_time incarnation = first_start;
    std::uint32_t starts = 0;
    for (std::uint32_t round = 0; round < 10; ++round) {
        for (const start_order& each : fixture.start_tasks()) {
            ++starts;
            CHECK(each.worker == w1);
        }
        fixture.subject.note_missed_poll(w1, fixture.now + milliseconds(20));
        fixture.persist();
        incarnation += seconds(3);
        fixture.now += seconds(3);
        fixture.report(w1, report_of(incarnation, milliseconds(50)));
        fixture.persist();
    }
    CHECK(fixture.subject.find(id)->state() == job_state::failed);
    CHECK(starts < max_crashes);
}

TEST_CASE("an incarnation that ended before its successor answered has crashed")
{
    incarnation_fixture fixture;
    static_cast<void>(fixture.submit("j"));
    REQUIRE(fixture.start_tasks().size() == 1);
    fixture.now += milliseconds(20);
    fixture.subject.note_missed_poll(w1, fixture.now);
    static_cast<void>(fixture.subject.take_decisions());

    SECTION("its lease expired")
    {
        fixture.now += seconds(6);
        static_cast<void>(fixture.plan());
        REQUIRE(fixture.worker().runs.empty());
        fixture.report(w1, report_of(second_start, milliseconds(50)));
        const auto decisions = fixture.subject.take_decisions();
        CHECK(decisions.back().kind == decision_kind::crash_noted);
    }
    SECTION("its lease expired, but it answers again: it hasn't crashed")
    {
        fixture.now += seconds(6);
        static_cast<void>(fixture.plan());
        REQUIRE(fixture.worker().runs.empty());
        fixture.report(w1, report_of(first_start, seconds(107)));
        for (const decision& each : fixture.subject.take_decisions()) {
            CHECK(each.kind != decision_kind::crash_noted);
        }
    }
    SECTION("it was drained, moved or maintained: it hasn't crashed")
    {
        auto row = incarnation_fixture::listing(w1, first_start);
        SECTION("drained")
        {
            row.draining = true;
            fixture.subject.note_worker_listed(row, fixture.now);
            fixture.list(w1, second_start);
        }
        SECTION("moved")
        {
            row.started_at = second_start;
            row.service = service_id("other");
            fixture.subject.note_worker_listed(row, fixture.now);
        }
        SECTION("maintained")
        {
            fixture.subject.expect_planned_end(row.machine, fixture.now + seconds(13));
        }
        fixture.report(w1, report_of(second_start, milliseconds(50)));
        CHECK(fixture.worker().runs.empty());
        for (const decision& each : fixture.subject.take_decisions()) {
            CHECK(each.kind != decision_kind::crash_noted);
        }
    }
}
