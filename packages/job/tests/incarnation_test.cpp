// Workers that start again under their id, and what was sent to or heard from them before.
#include "incarnation_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::job;
using namespace plantaindoor::job::testing;

// Guards against a task that waits for ever since its run counts as running, and against runs that
// use up the capacity of a worker on which they no longer are.
TEST_CASE("a report of a later incarnation ends the runs of the earlier one")
{
    incarnation_fixture fixture;
    static_cast<void>(fixture.submit("j", {.count = 2, .need = {.cpu_millis = 1000}}));
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 2);
    fixture.report(w1, report_of(first_start, seconds(100), {starts[0].run, starts[1].run}));
    static_cast<void>(fixture.subject.take_decisions());

    fixture.report(w1, report_of(second_start, milliseconds(50)));

    CHECK(fixture.worker().runs.empty());
    CHECK(fixture.worker().used == resources{});
    const auto decisions = fixture.subject.take_decisions();
    CHECK(std::count_if(decisions.begin(), decisions.end(), [](const decision& each) {
              return each.kind == decision_kind::run_lost &&
                     each.worker_end_cause == worker_end::restarted;
          }) == 2);
    // The end of the earlier incarnation is a crash, of which its tasks are suspected.
    CHECK(std::count_if(decisions.begin(), decisions.end(), [](const decision& each) {
              return each.kind == decision_kind::crash_noted;
          }) == 2);
    fixture.persist();
    const auto again = fixture.start_tasks();
    REQUIRE(again.size() == 2);
    CHECK(again[0].run.attempt == 2);
    // By the clock of the later incarnation: 5 s after its report.
    CHECK(again[0].deadline == milliseconds(50) + milliseconds(10) + milliseconds(5000));
}

// Guards against ends of the later incarnation that are taken for ones applied before: its jobs
// would never complete, and its done tasks would be started again.
TEST_CASE("the ends of a later incarnation are applied, though they are numbered from 1 again")
{
    incarnation_fixture fixture;
    const job_id first = fixture.submit("j", {.count = 2, .need = {.cpu_millis = 1000}});
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 2);
    fixture.report(
        w1, report_of(first_start, seconds(100), {},
                      {{.sequence = 1, .run = starts[0].run, .end_reason = run_end_reason::done},
                       {.sequence = 2, .run = starts[1].run, .end_reason = run_end_reason::done}}));
    REQUIRE(fixture.subject.find(first)->state() == job_state::completed);
    const job_id second = fixture.submit("k");
    fixture.report(w1, report_of(second_start, milliseconds(50)));
    const auto later = fixture.start_tasks();
    REQUIRE(later.size() == 1);

    fixture.report(
        w1, report_of(second_start, milliseconds(60), {},
                      {{.sequence = 1, .run = later[0].run, .end_reason = run_end_reason::done}}));

    CHECK(fixture.subject.find(second)->state() == job_state::completed);
}

// Guards against the loss of a done task: the later incarnation would drop an end that it is told
// has been applied, before any report has listed it.
TEST_CASE("ends of a later incarnation are not acknowledged by the counts of the earlier one")
{
    incarnation_fixture fixture;
    static_cast<void>(fixture.submit("j"));
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 1);
    fixture.report(
        w1, report_of(first_start, seconds(100), {},
                      {{.sequence = 9, .run = starts[0].run, .end_reason = run_end_reason::done}}));

    SECTION("while the effects of earlier ends are being persisted")
    {
        static_cast<void>(fixture.subject.begin_persist());
        fixture.report(w1, report_of(second_start, milliseconds(50)));
        static_cast<void>(fixture.submit("k"));
        const auto later = fixture.start_tasks();
        REQUIRE(later.size() == 1);
        fixture.report(
            w1,
            report_of(second_start, milliseconds(60), {},
                      {{.sequence = 1, .run = later[0].run, .end_reason = run_end_reason::done}}));
        fixture.subject.note_persisted();
        CHECK(fixture.subject.next_poll(w1, fixture.now).acknowledged == 0);
    }
    SECTION("before the restart is known")
    {
        fixture.persist();
        REQUIRE(fixture.subject.next_poll(w1, fixture.now).acknowledged == 9);
        fixture.subject.note_missed_poll(w1, fixture.now);
        CHECK(fixture.subject.next_poll(w1, fixture.now).acknowledged == 0);
    }
    SECTION("when only its row shows the restart")
    {
        fixture.persist();
        fixture.list(w1, second_start);
        CHECK(fixture.subject.next_poll(w1, fixture.now).acknowledged == 0);
        fixture.report(w1, report_of(first_start, seconds(101)));
        CHECK(fixture.subject.next_poll(w1, fixture.now).acknowledged == 9);
    }
    SECTION("after the worker was removed and listed again")
    {
        static_cast<void>(fixture.subject.begin_persist());
        fixture.subject.note_worker_ended(w1, worker_end::machine_down, fixture.now);
        fixture.list(w1, second_start);
        fixture.subject.note_persisted();
        fixture.report(w1, report_of(second_start, milliseconds(50)));
        const job_id other = fixture.submit("k");
        const auto later = fixture.start_tasks();
        REQUIRE(later.size() == 1);
        fixture.report(
            w1,
            report_of(second_start, milliseconds(60), {},
                      {{.sequence = 1, .run = later[0].run, .end_reason = run_end_reason::done}}));
        CHECK(fixture.subject.find(other)->state() == job_state::completed);
        CHECK(fixture.subject.next_poll(w1, fixture.now).acknowledged == 0);
    }
}

// Guards against a second run of a task beside the first: a late report doesn't list the runs of
// the later incarnation, and its clock would extend leases far beyond their bound.
TEST_CASE("a late report of the earlier incarnation is ignored")
{
    incarnation_fixture fixture;
    fixture.report(w1, report_of(second_start, milliseconds(50)));
    const job_id id = fixture.submit("j");
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 1);
    fixture.report(w1, report_of(second_start, milliseconds(60), {starts[0].run}));

    fixture.report(
        w1,
        report_of(first_start, seconds(200), {{{id, 0, 0, 0}, 9}},
                  {{.sequence = 1, .run = starts[0].run, .end_reason = run_end_reason::failed}}));

    CHECK(fixture.worker().runs.size() == 1);
    CHECK(fixture.worker().runs.contains(starts[0].run));
    CHECK(fixture.subject.find(id)->state() == job_state::running);
    CHECK(fixture.plan().starts.empty());
    CHECK(fixture.plan().stops.empty());
    const auto deadline = fixture.subject.next_poll(w1, fixture.now).deadline;
    REQUIRE(deadline);
    CHECK(*deadline < seconds(6));
}

// Guards against orders under the old lease and to the old address after a late write.
TEST_CASE("a row of the earlier incarnation that is written late is ignored")
{
    incarnation_fixture fixture;
    auto moved = incarnation_fixture::listing(w1, second_start);
    moved.address = "elsewhere:80";

    SECTION("after the row of the later one")
    {
        fixture.subject.note_worker_listed(moved, fixture.now);
        fixture.list(w1, first_start);
        CHECK(fixture.worker().listing.address == "elsewhere:80");
    }
    SECTION("after a report of the later one")
    {
        fixture.subject.note_worker_listed(moved, fixture.now);
        fixture.report(w1, report_of(second_start, milliseconds(50)));
        fixture.list(w1, first_start);
        CHECK(fixture.worker().listing.address == "elsewhere:80");
    }
    SECTION("but a row of the same one is taken")
    {
        fixture.subject.note_worker_listed(moved, fixture.now);
        fixture.list(w1, second_start);
        CHECK(fixture.worker().listing.address == "w1:80");
    }
    CHECK(fixture.subject.is_outdated(incarnation_fixture::listing(w1, first_start)));
    CHECK_FALSE(fixture.subject.is_outdated(incarnation_fixture::listing(w1, std::nullopt)));
}

// Guards against starts whose deadline is by the clock of the earlier incarnation.
TEST_CASE("nothing is started on a later incarnation that has only been listed")
{
    incarnation_fixture fixture;
    static_cast<void>(fixture.submit("j"));
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 1);
    fixture.report(w1, report_of(first_start, seconds(100), {starts[0].run}));
    const time_point poll_sent = fixture.now;
    fixture.now += milliseconds(10);
    fixture.list(w1, second_start);
    static_cast<void>(fixture.submit("k"));

    CHECK(fixture.plan().starts.empty());
    CHECK_FALSE(fixture.subject.next_poll(w1, fixture.now).deadline);
    // Only the worker itself tells what still runs.
    CHECK(fixture.worker().runs.size() == 1);

    SECTION("a report that was requested before doesn't change that")
    {
        fixture.subject.note_report(w1, report_of(first_start, seconds(101), {starts[0].run}),
                                    poll_sent, fixture.now);
        CHECK(fixture.plan().starts.empty());
    }
    SECTION("its own report does")
    {
        fixture.report(w1, report_of(second_start, milliseconds(50)));
        CHECK_FALSE(fixture.plan().starts.empty());
    }
    SECTION("so does a later answer of the earlier one, whose row was wrong")
    {
        fixture.report(w1, report_of(first_start, seconds(101), {starts[0].run}));
        CHECK(fixture.worker().runs.size() == 1);
        CHECK(fixture.plan().starts.size() == 1);
    }
    SECTION("and so does a later answer without a start")
    {
        fixture.report(w1, report_of(std::nullopt, seconds(101), {starts[0].run}));
        CHECK(fixture.worker().runs.size() == 1);
        CHECK(fixture.plan().starts.size() == 1);
    }
}

// Guards against TWICE and against a lost completion where an order reaches the later incarnation
// before its first report does.
TEST_CASE("a start that may have reached the later incarnation is not taken for a lost run")
{
    incarnation_fixture fixture;
    fixture.add_worker();
    const job_id id = fixture.submit("j");
    const auto starts = fixture.plan().starts;
    REQUIRE(starts.size() == 1);
    const start_order& order = starts[0];
    const auto restart = [&](std::vector<run_name> running, std::vector<ended_run> ended) {
        fixture.report(order.worker, report_of(second_start, milliseconds(50), std::move(running),
                                               std::move(ended)));
        // A task whose worker has crashed starts again only once that is durable.
        fixture.persist();
    };

    SECTION("it is running there")
    {
        SECTION("without an answer to the order yet") {}
        SECTION("the order was answered before the report was requested")
        {
            fixture.subject.note_start(order.worker, order.run, order_answer::accepted,
                                       fixture.now);
        }
        static_cast<void>(fixture.subject.take_decisions());
        restart({order.run}, {});
        CHECK(fixture.subject.take_decisions().empty()); // Neither lost nor suspected of a crash.
        CHECK(fixture.worker(order.worker).runs.at(order.run).phase == run_phase::running);
        CHECK(fixture.plan().starts.empty());
        CHECK(fixture.plan().stops.empty());
    }
    SECTION("it has ended there")
    {
        restart({}, {{.sequence = 1, .run = order.run, .end_reason = run_end_reason::done}});
        CHECK(fixture.subject.find(id)->state() == job_state::completed);
    }
    SECTION("it was accepted after the report was requested, and the next report lists it")
    {
        fixture.subject.note_start(order.worker, order.run, order_answer::accepted,
                                   fixture.now + milliseconds(7));
        restart({}, {});
        CHECK(fixture.plan().starts.empty());
        fixture.report(order.worker, report_of(second_start, milliseconds(60), {order.run}));
        CHECK(fixture.plan().starts.empty());
        CHECK(fixture.plan().stops.empty());
    }
    SECTION("it was accepted after the report was requested, and the next report doesn't list it")
    {
        fixture.subject.note_start(order.worker, order.run, order_answer::accepted,
                                   fixture.now + milliseconds(7));
        restart({}, {});
        fixture.report(order.worker, report_of(second_start, milliseconds(60)));
        CHECK(fixture.plan().starts.size() == 1);
    }
    SECTION("it was accepted before the report was requested, so that it has ended")
    {
        fixture.subject.note_start(order.worker, order.run, order_answer::accepted, fixture.now);
        restart({}, {});
        CHECK(fixture.plan().starts.size() == 1);
    }
    SECTION("its start wasn't answered and may be carried out late: it is refused first")
    {
        fixture.subject.note_start(order.worker, order.run, order_answer::unanswered, fixture.now);
        restart({}, {});
        const orders next = fixture.plan();
        CHECK(next.starts.empty());
        REQUIRE(next.stops.size() == 1);
        CHECK(next.stops[0].run == order.run);
        fixture.subject.note_stop(order.worker, order.run, order_answer::accepted, fixture.now);
        fixture.report(order.worker, report_of(second_start, milliseconds(60)));
        const auto again = fixture.plan().starts;
        REQUIRE(again.size() == 1);
        CHECK(again[0].run.attempt == order.run.attempt + 1);
    }
    SECTION("a stop that the earlier one accepted isn't one that the later one has accepted")
    {
        fixture.subject.note_start(order.worker, order.run, order_answer::unanswered, fixture.now);
        fixture.report(order.worker, report_of(first_start, seconds(100)));
        REQUIRE(fixture.plan().stops.size() == 1);
        fixture.subject.note_stop(order.worker, order.run, order_answer::accepted, fixture.now);
        restart({}, {});
        const orders next = fixture.plan();
        CHECK(next.starts.empty());
        CHECK(next.stops.size() == 1);
    }
}

TEST_CASE("a task that was done under the earlier incarnation is not started again")
{
    incarnation_fixture fixture;
    const job_id id = fixture.submit("j", {.count = 2, .need = {.cpu_millis = 1000}});
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 2);
    fixture.report(
        w1, report_of(first_start, seconds(100), {starts[1].run},
                      {{.sequence = 1, .run = starts[0].run, .end_reason = run_end_reason::done}}));
    fixture.report(w1, report_of(second_start, milliseconds(50)));
    fixture.persist();
    const auto again = fixture.start_tasks();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.task == starts[1].run.task);
    fixture.report(
        w1, report_of(second_start, milliseconds(60), {},
                      {{.sequence = 1, .run = again[0].run, .end_reason = run_end_reason::done}}));
    CHECK(fixture.subject.find(id)->state() == job_state::completed);
}

// Guards against a lease that outlives its bound: a deadline by the earlier clock, which the later
// incarnation has received, extends its lease up to the platform's longest.
TEST_CASE("the runs of a later incarnation are not lost before its longest lease has expired")
{
    incarnation_fixture fixture;
    fixture.report(w1, report_of(second_start, milliseconds(50)));
    static_cast<void>(fixture.submit("j"));
    REQUIRE(fixture.start_tasks().size() == 1);
    fixture.add_worker();
    fixture.subject.note_missed_poll(w1, fixture.now);
    fixture.now += seconds(9);
    CHECK(fixture.plan().starts.empty());
    fixture.now += seconds(2);
    CHECK(fixture.plan().starts.size() == 1);
}

// Guards against ends that are never acknowledged, if another writer has added a start to a row.
TEST_CASE("ends are acknowledged to a worker whose row has a start and whose reports have none")
{
    incarnation_fixture fixture;
    fixture.subject.note_worker_ended(w1, worker_end::machine_down, fixture.now);
    fixture.list(w2, first_start);
    fixture.report(w2, report_of(std::nullopt, seconds(100)));
    static_cast<void>(fixture.submit("j"));
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 1);
    fixture.report(
        w2, report_of(std::nullopt, seconds(101), {},
                      {{.sequence = 5, .run = starts[0].run, .end_reason = run_end_reason::done}}));
    fixture.persist();
    CHECK(fixture.subject.next_poll(w2, fixture.now).acknowledged == 5);
}

TEST_CASE("without starts in rows and reports a worker is one incarnation, as before")
{
    incarnation_fixture fixture;
    fixture.list(w2, std::nullopt);
    fixture.report(w2, report_of(std::nullopt, seconds(100)));
    fixture.subject.note_worker_ended(w1, worker_end::machine_down, fixture.now);
    const job_id id = fixture.submit("j");
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 1);
    fixture.report(w2, report_of(std::nullopt, seconds(100), {starts[0].run}));
    fixture.list(w2, std::nullopt);
    fixture.subject.note_missed_poll(w2, fixture.now);
    fixture.report(w2, report_of(std::nullopt, seconds(100), {starts[0].run}));
    CHECK(fixture.worker(w2).runs.size() == 1);
    fixture.report(
        w2, report_of(std::nullopt, seconds(101), {},
                      {{.sequence = 5, .run = starts[0].run, .end_reason = run_end_reason::done}}));
    CHECK(fixture.subject.find(id)->state() == job_state::completed);
    fixture.persist();
    fixture.subject.note_missed_poll(w2, fixture.now);
    CHECK(fixture.subject.next_poll(w2, fixture.now).acknowledged == 5);
    fixture.subject.note_worker_ended(w2, worker_end::machine_down, fixture.now);
    CHECK_FALSE(fixture.subject.latest_start(w2));
}
