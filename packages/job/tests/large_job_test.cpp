// Jobs of the largest size and the longest estimates that are accepted.
#include "plantaindoor/job/job_tier.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const service_id checks{"checks"};

/// A job of `width` tasks that is repeated at once, more often than any process can follow.
job_record repeated_job(std::uint32_t width)
{
    auto spec = std::make_shared<job_spec>();
    spec->steps.push_back({.count = width});
    spec->repeats = repetition{.count = max_occurrences};
    return {job_id("j"), {.name = "q", .service = checks}, std::move(spec), start};
}

} // namespace

// Guards against an objective that overflows: the job counted as one that is too late to be worth
// anything.
TEST_CASE("the objective of a job with the longest estimates is after its submission")
{
    auto spec = std::make_shared<job_spec>();
    for (std::uint32_t step = 0; step < max_steps; ++step) {
        step_spec each{.estimate = std::chrono::days(100)};
        if (step > 0) {
            each.depends_on = {step - 1};
        }
        spec->steps.push_back(each);
    }
    for (const double stretch : {2.0, 20.0, 1e300}) {
        INFO("stretch " << stretch);
        const job_record job(job_id("j"),
                             {.name = "q",
                              .service = checks,
                              .stretch = stretch,
                              .target_latency = milliseconds::max()},
                             spec, start);
        CHECK(job.objective() > start + std::chrono::years(20));
        CHECK(tier_of(job, start) == job_tier::on_time);
    }
}

// Guards against a process that runs out of memory: all occurrences of a repeated job whose times
// had passed were started at once.
TEST_CASE("the occurrences that run at a time have a bounded number of tasks")
{
    for (const std::uint32_t width : {1U, 1000U, max_tasks_per_step}) {
        INFO(width << " tasks");
        job_record job = repeated_job(width);
        const std::size_t most = max_tasks_per_job / width;
        CHECK(job.start_due(wall_time(seconds(1))));
        CHECK(job.occurrences().size() == most);
        CHECK_FALSE(job.start_due(wall_time(seconds(2))));

        for (std::uint32_t task = 0; task < width; ++task) {
            job.note_done({job_id("j"), 0, 0, task});
        }
        CHECK_FALSE(job.remove_complete_occurrences());
        CHECK(job.start_due(wall_time(seconds(3))));
        CHECK(job.occurrences().size() == most);
        CHECK(job.occurrences().contains(static_cast<std::uint32_t>(most)));
    }
}

// Guards against a number of workers that wraps round to none.
TEST_CASE("a long-running step with a high limit on each worker needs one")
{
    scheduler subject({}, start);
    subject.set_queues({{.name = "q", .service = checks}});
    auto spec = std::make_shared<job_spec>();
    spec->steps.push_back({.count = 2,
                           .max_per_worker = std::numeric_limits<std::uint32_t>::max(),
                           .long_running = true});
    subject.submit(job_id("j"), {.queue = "q", .spec = std::move(spec), .at = start});
    CHECK(subject.loads().at(checks).min_workers == 1);
}
