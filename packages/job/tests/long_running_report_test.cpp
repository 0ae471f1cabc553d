// What operators are told of long-running tasks that wait for a worker.
#include "incarnation_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::job;
using namespace plantaindoor::job::testing;

// Guards against a long-running task that is without a run for seconds, with nothing in the log
// from which to tell why.
TEST_CASE("a long-running task that waits is reported with what keeps it from each worker")
{
    incarnation_fixture fixture;
    fixture.add_worker();
    const job_id id = fixture.submit(
        "j", {.count = 3, .need = {.cpu_millis = 1000}, .max_per_worker = 1, .long_running = true});
    REQUIRE(fixture.start_tasks().size() == 2);
    const auto waits_reported = [&] {
        std::vector<decision> found;
        for (const decision& each : fixture.subject.take_decisions()) {
            if (each.kind == decision_kind::task_waits) {
                found.push_back(each);
            }
        }
        return found;
    };
    fixture.now += milliseconds(1900);
    static_cast<void>(fixture.plan());
    CHECK(waits_reported().empty());
    CHECK(fixture.subject.waits().tasks == 1);

    fixture.now += milliseconds(200);
    static_cast<void>(fixture.plan());
    const auto reported = waits_reported();
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].job == id);
    CHECK(reported[0].run.task.index == 2);
    CHECK(reported[0].waited == fixture.subject.waits().longest);
    CHECK(reported[0].obstacles.workers == 2);
    CHECK(reported[0].obstacles.at_limit == 2);
    CHECK(reported[0].obstacles.unusable == 0);

    // Once for each wait.
    fixture.now += seconds(1);
    static_cast<void>(fixture.plan());
    CHECK(waits_reported().empty());
}

// Guards against a wait that seems to have no end in the logs, as a new leader has found the run
// that its predecessor started.
TEST_CASE("a run of a long-running task that a worker reports is told to operators")
{
    incarnation_fixture fixture;
    const bool long_running = GENERATE(true, false);
    const job_id id = fixture.submit(
        "j", {.count = 1, .need = {.cpu_millis = 1000}, .long_running = long_running});
    fixture.report(w1, report_of(first_start, seconds(200), {{{id, 0, 0, 0}, 7}}));
    std::vector<decision> adopted;
    for (const decision& each : fixture.subject.take_decisions()) {
        if (each.kind == decision_kind::task_adopted) {
            adopted.push_back(each);
        }
    }
    REQUIRE(adopted.size() == (long_running ? 1 : 0));
    if (long_running) {
        CHECK(adopted[0].run == run_name{{id, 0, 0, 0}, 7});
        CHECK(adopted[0].worker == w1);
    }
}
