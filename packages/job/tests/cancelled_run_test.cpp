// Runs of cancelled jobs that were started late, or by a leader that is no longer there.
#include "plantaindoor/job/scheduler.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds stop_time{400};
const service_id checks{"checks"};
const instance_id w1{"w1"};

/// A scheduler with one worker, which is listed and hasn't answered yet.
struct cancelled_fixture {
    scheduler subject{{.lease = milliseconds(5000), .stop_time = stop_time}, start};
    time_point now = start;

    cancelled_fixture()
    {
        subject.set_queues({{.name = "q", .service = checks, .max_attempts = 2, .stretch = 2}});
        subject.note_worker_listed({.id = w1,
                                    .service = checks,
                                    .address = "w1:80",
                                    .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                   now);
    }

    job_id submit(const std::string& id, bool inherited = false)
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back({.count = 1, .need = {.cpu_millis = 100, .memory_mb = 1}});
        subject.submit(job_id(id),
                       {.queue = "q", .spec = std::move(spec), .at = now, .inherited = inherited});
        return job_id(id);
    }

    /// Applies a report that was requested a moment before.
    void report(const std::vector<run_name>& running = {})
    {
        worker_report result{.worker_clock = milliseconds(1000)};
        for (const run_name& each : running) {
            result.running.push_back({.run = each, .percent = 100});
        }
        now += milliseconds(10);
        subject.note_report(w1, result, now - milliseconds(5), now);
    }

    orders plan(milliseconds after = milliseconds(10))
    {
        now += after;
        return subject.plan(now, wall_time{});
    }

    void accept(const stop_order& order)
    {
        subject.note_stop(order.worker, order.run, order_answer::accepted, now);
    }

    /// Starts the job's task with an order that isn't answered, and cancels the job.
    run_name start_and_cancel()
    {
        report();
        const job_id id = submit("j");
        const auto starts = plan().starts;
        REQUIRE(starts.size() == 1);
        subject.note_start(w1, starts[0].run, order_answer::unanswered, now);
        subject.cancel(id, now);
        return starts[0].run;
    }
};

} // namespace

// Guards against a task that runs on after its job's cancellation: the worker carries out the start
// seconds after the stop.
TEST_CASE("a run that a worker starts late is stopped though its job's stop was sent before")
{
    cancelled_fixture fixture;
    const run_name run = fixture.start_and_cancel();
    const auto first = fixture.plan().stops;
    REQUIRE(first.size() == 1);
    CHECK(first[0].run == run);

    SECTION("the stop was not answered: it is repeated until it is")
    {
        fixture.report();
        CHECK(fixture.plan(seconds(1)).stops.size() == 1);
        fixture.report({run});
        CHECK(fixture.plan(seconds(1)).stops.size() == 1);
    }
    SECTION("the stop was accepted, and the run is reported seconds later")
    {
        fixture.accept(first[0]);
        fixture.now += milliseconds(10);
        fixture.report();
        REQUIRE(fixture.subject.workers().at(w1).runs.empty());
        fixture.now += seconds(5);
        fixture.report({run});
        const auto again = fixture.plan().stops;
        REQUIRE(again.size() == 1);
        CHECK(again[0].run == run);
        CHECK(fixture.plan().starts.empty());
    }
    SECTION("the stop was accepted and the next report lists the run: it is stopped in time")
    {
        fixture.accept(first[0]);
        fixture.now += milliseconds(10);
        fixture.report({run});
        CHECK(fixture.plan().stops.empty()); // A worker takes a while to stop a run.
        std::size_t repeated = 0;
        for (int round = 0; round < 10; ++round) {
            fixture.report({run});
            const auto again = fixture.plan(milliseconds(200)).stops;
            repeated += again.size();
        }
        CHECK(repeated > 0);
    }
    SECTION("the job's rows were removed in the meantime")
    {
        fixture.accept(first[0]);
        fixture.now += milliseconds(10);
        fixture.report();
        fixture.subject.remove_job(run.task.job);
        fixture.now += seconds(5);
        fixture.report({run});
        CHECK(fixture.plan().stops.size() == 1);
    }
    SECTION("the worker is no longer listed: it is still polled, and stopped")
    {
        fixture.subject.note_worker_unlisted(w1, fixture.now);
        REQUIRE(fixture.subject.needs_polling(w1));
        fixture.report({run});
        CHECK(fixture.plan(seconds(1)).stops.size() == 1);
    }
    SECTION("nothing may be started on an outdated view of the jobs, but the run is stopped")
    {
        fixture.now += seconds(1);
        static_cast<void>(fixture.submit("k"));
        const orders due = fixture.subject.plan_stops(fixture.now);
        CHECK(due.starts.empty());
        REQUIRE(due.stops.size() == 1);
        CHECK(due.stops[0].run == run);
    }
}

// Guards against a task that runs on after its job's cancellation since the leader that ordered it
// is gone.
TEST_CASE("a new leader stops the runs of cancelled jobs that its predecessor ordered")
{
    cancelled_fixture fixture;
    const run_name run{{job_id("j"), 0, 0, 0}, 1};

    SECTION("it knows the job as cancelled")
    {
        static_cast<void>(fixture.submit("j", true));
        fixture.subject.restore(run.task.job, R"({"state":"cancelled"})");
        fixture.report({run});
    }
    SECTION("it learns of the cancellation after the run")
    {
        static_cast<void>(fixture.submit("j", true));
        fixture.report({run});
        CHECK(fixture.plan().stops.empty());
        fixture.subject.cancel(run.task.job, fixture.now);
    }
    SECTION("the job's rows were removed")
    {
        fixture.report({run});
    }
    SECTION("the worker has been unlisted since its first report")
    {
        fixture.report({run});
        fixture.subject.note_worker_unlisted(w1, fixture.now);
        REQUIRE(fixture.subject.needs_polling(w1));
    }
    SECTION("the worker was unlisted before its first report")
    {
        fixture.now += milliseconds(10);
        fixture.subject.note_worker_unlisted(w1, fixture.now);
        CHECK(fixture.plan().starts.empty());
        REQUIRE(fixture.subject.needs_polling(w1));
        fixture.report({run});
    }
    SECTION("the worker missed polls at first")
    {
        fixture.subject.note_missed_poll(w1, fixture.now);
        static_cast<void>(fixture.plan());
        fixture.report({run});
    }
    const auto stops = fixture.plan().stops;
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == run);
    fixture.accept(stops[0]);
    fixture.now += milliseconds(10);
    fixture.report();
    CHECK(fixture.plan().starts.empty());
    if (fixture.subject.needs_polling(w1)) {
        CHECK(fixture.subject.workers().at(w1).runs.empty());
    }
}

// Guards against polls without end of workers that are gone, and against inherited jobs that wait
// for them.
TEST_CASE("an unlisted worker that has never answered is dropped once its leases must have expired")
{
    cancelled_fixture fixture;
    fixture.subject.note_worker_unlisted(w1, fixture.now + milliseconds(10));
    REQUIRE(fixture.subject.needs_polling(w1));
    fixture.subject.note_live_workers({}, list_extent::complete, fixture.now + milliseconds(20));
    SECTION("after the bound on the leases")
    {
        static_cast<void>(fixture.plan(seconds(7)));
        CHECK(fixture.subject.needs_polling(w1));
        static_cast<void>(fixture.plan(seconds(2)));
        CHECK_FALSE(fixture.subject.needs_polling(w1));
    }
    SECTION("inherited jobs don't wait for it where the list of machines doesn't show it")
    {
        static_cast<void>(fixture.submit("j", true));
        fixture.subject.note_worker_listed({.id = instance_id("w2"),
                                            .service = checks,
                                            .address = "w2:80",
                                            .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                           fixture.now);
        fixture.now += milliseconds(30);
        fixture.subject.note_report(instance_id("w2"), {.worker_clock = milliseconds(1000)},
                                    fixture.now, fixture.now);
        fixture.subject.note_live_workers({{instance_id("w2"), checks}}, list_extent::complete,
                                          start + seconds(2));
        CHECK(fixture.plan(milliseconds(2000)).starts.size() == 1);
    }
    SECTION("a leader that is older than any lease of a predecessor drops it at once")
    {
        fixture.subject.note_worker_ended(w1, worker_end::machine_down, fixture.now);
        fixture.now += seconds(60);
        fixture.subject.note_worker_listed({.id = w1, .service = checks, .address = "w1:80"},
                                           fixture.now);
        fixture.subject.note_worker_unlisted(w1, fixture.now);
        CHECK_FALSE(fixture.subject.needs_polling(w1));
    }
}
