// Tasks of a predecessor's jobs while a worker that may run some of them doesn't answer.
#include "plantaindoor/job/scheduler.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const service_id checks{"checks"};
const instance_id w1{"w1"};
const instance_id w2{"w2"};
const instance_id unresponsive{"w3"};

/// A successor to whom w1 reports a run of the first of two tasks; w2 runs nothing.
struct inherited_fixture {
    scheduler subject{{.predecessor_grace = milliseconds(2500), .former_services_known = true},
                      start};
    time_point now = start;
    const run_name first{{job_id("j"), 0, 0, 0}, 1};

    explicit inherited_fixture(bool long_running)
    {
        subject.set_queues({{.name = "q", .service = checks, .max_attempts = 3}});
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back({.count = 2,
                               .need = {.cpu_millis = 100, .memory_mb = 1},
                               .long_running = long_running});
        subject.submit(first.task.job,
                       {.queue = "q", .spec = std::move(spec), .at = now, .inherited = true});
        for (const instance_id& each : {w1, w2, unresponsive}) {
            subject.note_worker_listed({.id = each,
                                        .service = checks,
                                        .address = each.str() + ":80",
                                        .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                       now);
        }
        subject.note_live_workers({{w1, checks}, {w2, checks}, {unresponsive, checks}},
                                  list_extent::complete, now);
        report(w1,
               {.worker_clock = milliseconds(1000), .running = {{.run = first, .percent = 100}}});
        report(w2, {.worker_clock = milliseconds(1000)});
    }

    void report(const instance_id& worker, const worker_report& reported)
    {
        now += milliseconds(10);
        subject.note_report(worker, reported, now - milliseconds(5), now);
    }

    void end_first(run_end_reason reason)
    {
        report(w1, {.worker_clock = milliseconds(2000),
                    .ended = {{{.sequence = 1, .run = first, .end_reason = reason}}}});
    }

    std::vector<start_order> plan()
    {
        now += milliseconds(10);
        return subject.plan(now, wall_time{}).starts;
    }
};

} // namespace

// Guards against LOST: a long-running task whose worker drained shortly after a change of the
// leader ran again only 8 s after that change, as another worker of its service didn't answer.
TEST_CASE("a long-running task that a new leader has seen run is restarted at once")
{
    inherited_fixture fixture(true);
    CHECK(fixture.plan().empty());
    fixture.now += seconds(1);
    const auto ended =
        GENERATE(run_end_reason::stopped, run_end_reason::failed, run_end_reason::lapsed);
    fixture.end_first(ended);
    const auto starts = fixture.plan();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task == fixture.first.task);
    CHECK(starts[0].run.attempt == 2);

    // The other one may run on the worker that doesn't answer.
    fixture.now = start + seconds(7);
    CHECK(fixture.plan().empty());
    fixture.report(w2, {.worker_clock = milliseconds(7000)});
    fixture.now = start + seconds(9);
    const auto later = fixture.plan();
    REQUIRE(later.size() == 1);
    CHECK(later[0].run.task.index == 1);
}

// Guards against a long-running task that waits for a machine until all leases of a predecessor
// have expired: none was asked for while another worker of its service didn't answer.
TEST_CASE("a long-running task that a new leader has seen run is given another machine at once")
{
    inherited_fixture fixture(true);
    CHECK(fixture.plan().empty());
    CHECK(fixture.subject.loads().at(checks).missing_workers == 0);
    for (const instance_id& each : {w1, w2}) {
        fixture.subject.note_worker_listed({.id = each,
                                            .service = checks,
                                            .address = each.str() + ":80",
                                            .capacity = {.cpu_millis = 4000, .memory_mb = 4000},
                                            .draining = true},
                                           fixture.now);
    }
    fixture.end_first(run_end_reason::stopped);
    CHECK(fixture.plan().empty());
    // The second task may run on the worker that doesn't answer.
    CHECK(fixture.subject.loads().at(checks).missing_workers == 1);
}

// Guards against TWICE: the end of a run that the new leader hasn't seen running may be an old one.
TEST_CASE("a long-running task of which a new leader has seen only an end is not restarted at once")
{
    inherited_fixture fixture(true);
    const run_name second{{job_id("j"), 0, 0, 1}, 1};
    fixture.report(
        w2, {.worker_clock = milliseconds(2000),
             .ended = {{{.sequence = 1, .run = second, .end_reason = run_end_reason::stopped}}}});
    CHECK(fixture.plan().empty());
}

// Guards against a wait that later leaders count for a task that runs on a worker that doesn't
// answer.
TEST_CASE("no wait is persisted for a task that may run on a worker that doesn't answer")
{
    inherited_fixture fixture(true);
    CHECK(fixture.plan().empty());
    fixture.now += seconds(3);
    CHECK(fixture.plan().empty());
    CHECK(fixture.subject.find(fixture.first.task.job)->progress().find("waits") ==
          std::string::npos);
    CHECK(fixture.subject.dirty_jobs().empty());
}
