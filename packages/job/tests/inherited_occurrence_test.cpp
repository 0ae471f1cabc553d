// Occurrences of a repeated job that a predecessor has started and this process hasn't yet.
#include "plantaindoor/job/scheduler.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr wall_time first_due{std::chrono::hours(1000)};
const service_id checks{"checks"};
const instance_id w1{"w1"};

/// A successor whose clock is a second behind that of its predecessor, which has started the second
/// occurrence.
struct occurrence_fixture {
    scheduler subject{{.predecessor_grace = milliseconds(0), .former_services_known = true}, start};
    time_point now = start;
    wall_time wall_now = first_due + seconds(9);
    const run_name second{{job_id("j"), 1, 0, 0}, 1};

    occurrence_fixture()
    {
        subject.set_queues({{.name = "q", .service = checks, .max_attempts = 3}});
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back({.need = {.cpu_millis = 100, .memory_mb = 1}});
        spec->repeats = repetition{.first = first_due, .interval = seconds(10), .count = 100};
        subject.submit(second.task.job,
                       {.queue = "q", .spec = std::move(spec), .at = now, .inherited = true});
        subject.note_worker_listed({.id = w1,
                                    .service = checks,
                                    .address = "w1:80",
                                    .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                   now);
        subject.note_live_workers({{w1, checks}}, list_extent::complete, now);
        static_cast<void>(plan());
    }

    void report(const worker_report& reported)
    {
        now += milliseconds(10);
        subject.note_report(w1, reported, now - milliseconds(5), now);
    }

    orders plan()
    {
        now += milliseconds(10);
        wall_now += milliseconds(10);
        return subject.plan(now, wall_now);
    }

    /// Whether the task of the second occurrence is started within two seconds after it is due.
    bool starts_second()
    {
        wall_now = first_due + seconds(10);
        for (int round = 0; round < 200; ++round) {
            const auto starts = plan().starts;
            if (std::any_of(starts.begin(), starts.end(), [&](const start_order& order) {
                    return order.run.task == second.task;
                })) {
                return true;
            }
        }
        return false;
    }
};

} // namespace

// Guards against TWICE: the end of a run was acknowledged without effect, as the occurrence was not
// due yet by the successor's clock, and the task ran again.
TEST_CASE("an occurrence that a predecessor completed early isn't run again")
{
    occurrence_fixture fixture;
    fixture.report(
        {.worker_clock = milliseconds(1000),
         .ended = {{{.sequence = 1, .run = fixture.second, .end_reason = run_end_reason::done}}}});
    CHECK_FALSE(fixture.starts_second());
}

TEST_CASE("a run of an occurrence that a predecessor started early goes on")
{
    occurrence_fixture fixture;
    fixture.report(
        {.worker_clock = milliseconds(1000), .running = {{.run = fixture.second, .percent = 100}}});
    CHECK(fixture.plan().stops.empty());
    CHECK_FALSE(fixture.starts_second());
}

// Guards against a worker's report that makes a leader start more occurrences than it can hold.
TEST_CASE("a reported occurrence that is due much later isn't started")
{
    occurrence_fixture fixture;
    fixture.report({.worker_clock = milliseconds(1000),
                    .running = {{.run = {{job_id("j"), 99, 0, 0}, 1}, .percent = 100}}});
    CHECK(fixture.subject.find(job_id("j"))->occurrences().size() == 1);
    CHECK(fixture.plan().stops.size() == 1);
}
