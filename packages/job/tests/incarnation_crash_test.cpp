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

// Guards against a culprit whose crashes are cleared by a start that the worker carries out late:
// the time before it counted as time that the task had outlived.
TEST_CASE("a start that is carried out late doesn't clear the crashes of its task")
{
    const bool is_being_stopped = GENERATE(true, false);
    incarnation_fixture fixture;
    const job_id id = fixture.submit("j");
    fixture.subject.restore(
        id, R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":".","crashes":{"0":[)"
            R"({"worker":"a","on_start":false,"alone":false}]}}]}})");
    const auto& task = fixture.subject.find(id)->occurrences().at(0).steps[0].tasks[0];
    REQUIRE(task.crashes.size() == 1);
    const auto starts = fixture.plan().starts;
    REQUIRE(starts.size() == 1);
    fixture.subject.note_start(w1, starts[0].run, order_answer::unanswered, fixture.now);
    if (is_being_stopped) {
        fixture.report(w1, report_of(first_start, seconds(101)));
    }
    fixture.now += seconds(5);
    fixture.report(w1, report_of(first_start, seconds(105), {starts[0].run}));
    CHECK(task.crashes.size() == 1);
    fixture.now += crash_suspicion_time;
    fixture.report(w1, report_of(first_start, seconds(108), {starts[0].run}));
    CHECK(task.crashes.empty());
}

// Guards against a frozen worker that counts as crashed: it answered again after its lease had
// expired, and a restart long after was taken for its end.
TEST_CASE("an expired lease is not a crash if the worker answers again and restarts later")
{
    incarnation_fixture fixture;
    static_cast<void>(fixture.submit("j"));
    REQUIRE(fixture.start_tasks().size() == 1);
    fixture.now += milliseconds(20);
    fixture.subject.note_missed_poll(w1, fixture.now);
    fixture.now += seconds(6);
    static_cast<void>(fixture.plan());
    REQUIRE(fixture.worker().runs.empty());
    fixture.report(w1, report_of(first_start, seconds(107)));
    fixture.now += seconds(2);
    fixture.report(w1, report_of(second_start, milliseconds(50)));
    for (const decision& each : fixture.subject.take_decisions()) {
        CHECK(each.kind != decision_kind::crash_noted);
    }
}
