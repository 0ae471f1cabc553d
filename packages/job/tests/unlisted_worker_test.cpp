// Workers whose row has become unreadable or was removed while they run tasks.
#include "incarnation_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;
using namespace plantaindoor::job::testing;

// Guards against a second run of a task and against an overfull worker: another writer has made the
// row of a worker unreadable, which then counts as not listed, though the worker runs its tasks.
TEST_CASE("the runs of a worker that is no longer listed but answers polls stay counted")
{
    incarnation_fixture fixture;
    const job_id id = fixture.submit("j", {.count = 1, .need = {.cpu_millis = 3000}});
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 1);
    const auto report_running = [&] {
        fixture.report(w1, report_of(first_start, seconds(100), {starts[0].run}));
    };
    report_running();
    fixture.subject.note_worker_unlisted(w1, fixture.now);
    fixture.add_worker();
    for (int round = 0; round < 20; ++round) { // For longer than a lease lasts.
        fixture.now += milliseconds(500);
        REQUIRE(fixture.subject.needs_polling(w1));
        CHECK(fixture.subject.next_poll(w1, fixture.now).deadline);
        report_running();
        CHECK(fixture.plan().starts.empty());
    }
    CHECK(fixture.subject.workers().at(w1).used.cpu_millis == 3000);

    SECTION("its end is applied")
    {
        fixture.report(
            w1,
            report_of(first_start, seconds(101), {},
                      {{.sequence = 1, .run = starts[0].run, .end_reason = run_end_reason::done}}));
        CHECK(fixture.subject.find(id)->state() == job_state::completed);
        static_cast<void>(fixture.plan());
        CHECK_FALSE(fixture.subject.needs_polling(w1));
    }
    SECTION("nothing new is started there until it is listed again, and then only beside them")
    {
        static_cast<void>(fixture.submit("k", {.count = 3, .need = {.cpu_millis = 1000}}));
        static_cast<void>(fixture.submit("l", {.count = 3, .need = {.cpu_millis = 1000}}));
        for (const start_order& each : fixture.plan().starts) {
            CHECK(each.worker == w2);
        }
        fixture.list(w1, first_start);
        const auto further = fixture.plan().starts;
        REQUIRE(further.size() == 1);
        CHECK(further[0].worker == w1);
    }
    SECTION("it stops answering: its runs are lost once its lease must have expired")
    {
        fixture.subject.note_missed_poll(w1, fixture.now);
        fixture.now += seconds(6);
        const auto again = fixture.plan().starts;
        REQUIRE(again.size() == 1);
        CHECK(again[0].worker == w2);
    }
}

// Guards against TWICE: the list of machines shows a new worker before its row has been read. Tasks
// started on such a worker although its machine was about to be maintained.
TEST_CASE("a worker that is cordoned before it is listed gets no tasks")
{
    scheduler subject({.predecessor_grace = milliseconds(0)}, time_point{});
    time_point now = time_point{} + seconds(1);
    subject.set_queues({{.name = "q", .service = service_id("checks")}});
    auto spec = std::make_shared<job_spec>();
    spec->steps.push_back({.need = {.cpu_millis = 100}});
    subject.submit(job_id("j"), {.queue = "q", .spec = std::move(spec), .at = now});

    subject.cordon_worker(w1, true);
    subject.note_worker_listed({.id = w1,
                                .service = service_id("checks"),
                                .address = "w1:80",
                                .capacity = {.cpu_millis = 1000}},
                               now);
    subject.note_report(w1, {.worker_clock = milliseconds(1)}, now, now);
    CHECK(subject.plan(now, wall_time{}).starts.empty());
    subject.cordon_worker(w1, false);
    now += milliseconds(10);
    CHECK(subject.plan(now, wall_time{}).starts.size() == 1);
}
