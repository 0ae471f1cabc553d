// Reports that list only some of a worker's ends.
#include "incarnation_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;
using namespace plantaindoor::job::testing;

namespace {

/// A report of these ends as done, numbered from `first`.
worker_report report_of_ends(std::vector<run_name> runs, list_extent extent,
                             std::uint64_t first = 1)
{
    worker_report report{.worker_clock = seconds(100), .started_at = first_start};
    for (run_name& each : runs) {
        report.ended.runs.push_back(
            {.sequence = first++, .run = std::move(each), .end_reason = run_end_reason::done});
    }
    report.ended.extent = extent;
    return report;
}

/// Three runs of one job, which the worker has reported as running.
struct ended_list_fixture : incarnation_fixture {
    job_id job;
    std::vector<run_name> runs;

    ended_list_fixture() : job(submit("j", {.count = 3, .need = {.cpu_millis = 1000}}))
    {
        for (const start_order& each : start_tasks()) {
            runs.push_back(each.run);
        }
        REQUIRE(runs.size() == 3);
        report(w1, report_of(first_start, seconds(100), runs));
    }
};

} // namespace

// Guards against TWICE: with the store away no ends are acknowledged, so a worker with more ends
// than it lists at a time names only the first; the tasks of the others were started again.
TEST_CASE("a run that a partial list of ends lacks is not started again")
{
    ended_list_fixture fixture;
    static_cast<void>(fixture.subject.next_poll(w1, fixture.now));
    for (int round = 0; round < 3; ++round) {
        fixture.report(w1, report_of_ends({fixture.runs[0]}, list_extent::partial));
        CHECK(fixture.plan().starts.empty());
        CHECK(fixture.subject.next_poll(w1, fixture.now).acknowledged == 0);
    }
    // The capacity of the others is not free before it is known that they have ended.
    CHECK(fixture.worker().used.cpu_millis == 2000);

    SECTION("their ends are listed once the first ones are acknowledged")
    {
        fixture.persist();
        const poll_order poll = fixture.subject.next_poll(w1, fixture.now);
        CHECK(poll.acknowledged == 1);
        CHECK(poll.wait == milliseconds(0));
        fixture.report(
            w1, report_of_ends({fixture.runs[1], fixture.runs[2]}, list_extent::complete, 2));
        CHECK(fixture.plan().starts.empty());
        CHECK(fixture.subject.find(fixture.job)->state() == job_state::completed);
    }
    SECTION("one that a complete list lacks too is started again at once")
    {
        fixture.persist();
        fixture.report(w1, report_of_ends({fixture.runs[1]}, list_extent::complete, 2));
        const auto starts = fixture.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.task == fixture.runs[2].task);
    }
    SECTION("those of a worker that has ended are started again at once")
    {
        fixture.add_worker();
        fixture.subject.note_worker_ended(w1, worker_end::machine_down, fixture.now);
        fixture.persist();
        CHECK(fixture.plan().starts.size() == 2);
    }
}

// Guards against LIMIT: a run that is being stopped would seem to be gone, and its capacity free.
TEST_CASE("a stopped run that a partial list of ends lacks keeps its capacity")
{
    ended_list_fixture fixture;
    fixture.subject.cancel(fixture.job, fixture.now);
    for (const stop_order& each : fixture.plan().stops) {
        fixture.subject.note_stop(w1, each.run, order_answer::accepted, fixture.now);
    }
    fixture.now += milliseconds(10);
    fixture.report(w1, report_of_ends({fixture.runs[0]}, list_extent::partial));
    CHECK(fixture.worker().used.cpu_millis == 2000);
    fixture.report(w1, report_of_ends({fixture.runs[0]}, list_extent::complete));
    CHECK(fixture.worker().used.cpu_millis == 0);
}

// Guards against TWICE: the start reached the later incarnation, whose first list doesn't yet show
// how the run has ended there.
TEST_CASE("a run that the partial list of a later incarnation lacks is not started again")
{
    incarnation_fixture fixture;
    static_cast<void>(fixture.submit("j"));
    const auto starts = fixture.start_tasks();
    REQUIRE(starts.size() == 1);
    fixture.now += milliseconds(10);
    const auto report_at = [&](list_extent extent, std::vector<run_name> ended) {
        worker_report report = report_of_ends(std::move(ended), extent, 2);
        report.started_at = second_start;
        fixture.report(w1, report);
        fixture.persist();
        return fixture.plan().starts.size();
    };
    CHECK(report_at(list_extent::partial, {}) == 0);

    SECTION("it has ended there as done")
    {
        CHECK(report_at(list_extent::complete, {starts[0].run}) == 0);
        CHECK(fixture.subject.find(job_id("j"))->state() == job_state::completed);
    }
    SECTION("it was of the earlier incarnation")
    {
        CHECK(report_at(list_extent::complete, {}) == 1);
    }
}

namespace {

/// A successor to whom a worker lists the first of three done tasks of an inherited job.
struct successor_fixture {
    scheduler subject{{.lease = milliseconds(5000), .predecessor_grace = milliseconds(2500)},
                      start};
    time_point now = start;
    job_id job{"j"};

    successor_fixture()
    {
        subject.set_queues({{.name = "q", .service = checks}});
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back({.count = 3, .need = {.cpu_millis = 1000}});
        subject.submit(job, {.queue = "q", .spec = std::move(spec), .at = now, .inherited = true});
        list(w1);
        subject.note_live_workers({{w1, checks}}, list_extent::complete, now);
        report(list_extent::partial, {0});
    }

    void list(const instance_id& worker)
    {
        subject.note_worker_listed(incarnation_fixture::listing(worker, first_start), now);
    }

    /// Applies a report of the ends of these tasks as done.
    void report(list_extent extent, const std::vector<std::uint32_t>& ended)
    {
        std::vector<run_name> runs;
        for (const std::uint32_t index : ended) {
            runs.push_back({{job, 0, 0, index}, 1});
        }
        now += milliseconds(10);
        subject.note_report(w1, report_of_ends(std::move(runs), extent, ended.front() + 1),
                            now - milliseconds(5), now);
    }

    std::size_t starts_after(milliseconds delay)
    {
        now += delay;
        return subject.plan(now, wall_time{}).starts.size();
    }
};

} // namespace

// Guards against TWICE: all entries were killed, and the next leader took the first of a worker's
// 2,000 ends for all; the tasks of the others were started again.
TEST_CASE("a successor starts no inherited task while a worker has ends that it couldn't list yet")
{
    successor_fixture fixture;
    CHECK(fixture.starts_after(milliseconds(10)) == 0);
    CHECK(fixture.subject.has_predecessor_doubt(fixture.now));

    SECTION("a task whose end isn't among the last ones either is started at once")
    {
        fixture.report(list_extent::partial, {1});
        CHECK(fixture.starts_after(milliseconds(10)) == 0);
        fixture.report(list_extent::complete, {1});
        CHECK(fixture.starts_after(milliseconds(10)) == 1);
        CHECK_FALSE(fixture.subject.has_predecessor_doubt(fixture.now));
    }
    SECTION("ends can't be acknowledged for longer than a predecessor's leases last")
    {
        for (int second = 0; second < 20; ++second) {
            fixture.report(list_extent::partial, {0});
            CHECK(fixture.starts_after(seconds(1)) == 0);
        }
        fixture.report(list_extent::complete, {1, 2});
        CHECK(fixture.starts_after(milliseconds(10)) == 0);
        CHECK(fixture.subject.find(fixture.job)->state() == job_state::completed);
    }
    SECTION("a worker that is no longer listed is polled until it has listed all ends")
    {
        fixture.subject.note_worker_unlisted(w1, fixture.now);
        for (int second = 0; second < 20; ++second) {
            fixture.report(list_extent::partial, {0});
            CHECK(fixture.starts_after(seconds(1)) == 0);
            REQUIRE(fixture.subject.needs_polling(w1));
        }
        fixture.report(list_extent::complete, {1, 2});
        fixture.subject.note_worker_unlisted(w1, fixture.now);
        CHECK_FALSE(fixture.subject.needs_polling(w1));
    }
}

// Guards against LOST: tasks would wait for ends that no worker will list any more.
TEST_CASE("a successor doesn't wait for the ends of a worker that is gone")
{
    successor_fixture fixture;
    fixture.list(w2);
    fixture.subject.note_report(w2, report_of_ends({}, list_extent::complete), fixture.now,
                                fixture.now);

    SECTION("it has ended")
    {
        fixture.subject.note_worker_ended(w1, worker_end::machine_down, fixture.now);
        fixture.subject.note_live_workers({{w2, checks}}, list_extent::complete, fixture.now);
        CHECK(fixture.starts_after(milliseconds(10)) == 2);
    }
    SECTION("it doesn't answer, and its leases have expired")
    {
        fixture.subject.note_missed_poll(w1, fixture.now);
        CHECK(fixture.starts_after(seconds(7)) == 0);
        fixture.subject.note_report(w2, report_of_ends({}, list_extent::complete), fixture.now,
                                    fixture.now);
        CHECK(fixture.starts_after(seconds(2)) == 2);
    }
}

// Guards against TWICE: a worker that isn't listed, and whose entry in the list of machines
// couldn't be read, would count as gone.
TEST_CASE("a partial list of machines shows no worker to be gone")
{
    successor_fixture fixture;
    fixture.list(w2);
    fixture.subject.note_report(w2, report_of_ends({}, list_extent::complete), fixture.now,
                                fixture.now);
    fixture.subject.note_worker_unlisted(w1, fixture.now);
    fixture.subject.note_live_workers({{w2, checks}}, list_extent::partial, fixture.now);
    CHECK(fixture.starts_after(milliseconds(10)) == 0);
    fixture.subject.note_live_workers({{w2, checks}}, list_extent::complete, fixture.now);
    CHECK(fixture.starts_after(milliseconds(10)) == 2);
}
