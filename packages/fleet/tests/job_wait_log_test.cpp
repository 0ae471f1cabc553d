#include "plantaindoor/fleet/decision_log.hpp"
#include "plantaindoor/fleet/job_wait_gauges.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

job::decision wait_of(job::decision_kind kind)
{
    job::decision made{.kind = kind,
                       .job = job_id("d5e3"),
                       .run = {.task = {job_id("d5e3"), 0, 1, 2}, .attempt = 1001},
                       .waited = milliseconds(2040),
                       .age = milliseconds(7000),
                       .objective = milliseconds(5400)};
    made.place = {.pool = service_id("checks"),
                  .shard = 1,
                  .need = {.cpu_millis = 38000, .memory_mb = 64000},
                  .tasks = 3};
    made.obstacles = {.workers = 9, .unusable = 2, .lacking_capacity = 7};
    return made;
}

} // namespace

// Guards against a line from which an operator can't tell where a job waits and what keeps it from
// the workers.
TEST_CASE("the line of a job that waits names step, need, pool, shard and obstacles")
{
    job::decision made = wait_of(job::decision_kind::job_waits);
    CHECK(describe_job_decision(made) ==
          "job d5e3 at 7000 ms of 5400: nothing has run for 2040 ms: step 0.1 waits in pool "
          "checks, shard 1, with 3 tasks of 38000/64000/0 (thousandths of a "
          "core/MB/accelerators); of 9 of its service, 2 can't be used, 0 lack its label, 0 have "
          "as many tasks of the step as may be, 7 lack capacity");
    made.obstacles.in_doubt = true;
    made.obstacles.workspace_at_cap = true;
    made.place.omitted = 12;
    const std::string line = describe_job_decision(made);
    CHECK(line.find("; its workspace is at its cap") != std::string::npos);
    CHECK(line.find("; a predecessor may still run it") != std::string::npos);
    CHECK(line.find("; 12 lines of other waits left out") != std::string::npos);
}

TEST_CASE("the line of a job that has waited tells the whole wait and the run")
{
    job::decision made = wait_of(job::decision_kind::job_wait_ended);
    CHECK(describe_job_decision(made) ==
          "job d5e3 at 7000 ms of 5400: runs after 2040 ms without a run in pool checks, shard 1");
    made.worker = instance_id("w7");
    made.place.omitted = 3;
    CHECK(describe_job_decision(made) ==
          "job d5e3 at 7000 ms of 5400: runs after 2040 ms without a run in pool checks, shard 1: "
          "d5e3.0.1.2 attempt 1001 on w7; 3 lines of other waits left out");
}

// Guards against gauges that keep the figures of a leader that has resigned.
TEST_CASE("waiting jobs and their longest wait are shown by service and shard")
{
    metrics_registry metrics;
    const auto value = [&](const std::string& name, const std::string& service) {
        return metrics.gauge({.name = name, .labels = {{"service", service}, {"shard", "2"}}})
            .value();
    };
    {
        job_wait_gauges gauges(metrics, 2);
        gauges.set(
            {{service_id("a"), {.jobs = 3, .longest = milliseconds(2500)}}, {service_id("b"), {}}});
        CHECK(value("jobs_waiting_without_a_run", "a") == 3);
        CHECK(value("jobs_longest_wait_seconds", "a") == 2.5);
        CHECK(value("jobs_waiting_without_a_run", "b") == 0);
    }
    CHECK(value("jobs_waiting_without_a_run", "a") == 0);
    CHECK(value("jobs_longest_wait_seconds", "a") == 0);
}
