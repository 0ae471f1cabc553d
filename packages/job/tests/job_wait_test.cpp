// What operators are told of jobs that have nothing running though a task's turn has come.
#include "incarnation_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <set>

using namespace plantaindoor;
using namespace plantaindoor::job;
using namespace plantaindoor::job::testing;

namespace {

/// Larger than any worker of the fixture.
const step_spec wide_step{.count = 3, .need = {.cpu_millis = 9000, .memory_mb = 7}};
/// Takes a worker alone.
const step_spec full_step{.count = 1, .need = {.cpu_millis = 4000, .memory_mb = 1}};

struct wait_fixture : incarnation_fixture {
    /// Plans at least each 20 ms; the workers keep answering.
    void pass(milliseconds time)
    {
        const time_point until = now + time;
        while (now < until) {
            for (const start_order& each : start_tasks()) {
                running.push_back(each.run);
            }
            report(w1, report_of(first_start, worker_clock(), running));
            for (decision& each : subject.take_decisions()) {
                (each.kind == decision_kind::job_waits        ? begun
                 : each.kind == decision_kind::job_wait_ended ? ended
                                                              : others)
                    .push_back(std::move(each));
            }
        }
    }
    void finish(const run_name& run)
    {
        std::erase(running, run);
        report(w1, report_of(
                       first_start, worker_clock(), running,
                       {{.sequence = ++sequence, .run = run, .end_reason = run_end_reason::done}}));
        persist();
    }
    [[nodiscard]] service_waits waits(const service_id& service = checks) const
    {
        const auto all = subject.waiting_jobs().by_service();
        const auto found = all.find(service);
        return found == all.end() ? service_waits{} : found->second;
    }

    /// The reports' clock, which runs with this process's.
    [[nodiscard]] milliseconds worker_clock() const
    {
        return seconds(100) + std::chrono::duration_cast<milliseconds>(now - start);
    }

    std::vector<run_name> running;
    std::uint64_t sequence = 0;
    std::vector<decision> begun;
    std::vector<decision> ended;
    std::vector<decision> others;
};

bool is_near(milliseconds value, milliseconds expected)
{
    return value >= expected && value < expected + 2 * job_waits::sample_interval;
}

} // namespace

// Guards against an accepted job that isn't run for seconds, with nothing in the log from which to
// tell why.
TEST_CASE("a job with nothing running is reported once, with what keeps it from each worker")
{
    wait_fixture fixture;
    const job_id id = fixture.submit("j", wide_step);
    fixture.pass(milliseconds(1900));
    CHECK(fixture.begun.empty());
    CHECK(fixture.waits().jobs == 1);
    fixture.pass(milliseconds(250));
    REQUIRE(fixture.begun.size() == 1);
    const decision& made = fixture.begun[0];
    CHECK(made.job == id);
    CHECK(made.run.task == task_name{id, 0, 0, 0});
    CHECK(is_near(made.waited, job_waits::report_delay));
    CHECK(made.place.pool == checks);
    CHECK(made.place.need.cpu_millis == 9000);
    CHECK(made.place.tasks == 3);
    CHECK(made.place.omitted == 0);
    CHECK(made.obstacles.workers == 1);
    CHECK(made.obstacles.lacking_capacity == 1);
    fixture.pass(seconds(3));
    CHECK(fixture.begun.size() == 1);
    CHECK(is_near(fixture.waits().longest, milliseconds(5050)));
}

// Guards against a wait whose length no log line tells.
TEST_CASE("the run that ends a reported wait is reported with the whole wait")
{
    wait_fixture fixture;
    fixture.submit("a", full_step);
    fixture.pass(milliseconds(100));
    REQUIRE(fixture.running.size() == 1);
    const job_id id = fixture.submit("b", full_step);
    fixture.pass(seconds(4));
    REQUIRE(fixture.begun.size() == 1);
    CHECK(fixture.begun[0].job == id);
    CHECK(fixture.ended.empty());

    fixture.finish(fixture.running.front());
    fixture.pass(milliseconds(200));
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended[0].job == id);
    CHECK(fixture.ended[0].run.task == task_name{id, 0, 0, 0});
    CHECK(fixture.ended[0].worker == w1);
    CHECK(is_near(fixture.ended[0].waited, seconds(4)));
    CHECK(fixture.waits().jobs == 0);
    CHECK(fixture.waits().longest == milliseconds(0));
}

// Guards against a job that seems to run because workers reject one start after the other.
TEST_CASE("a rejected start doesn't end the wait of a job")
{
    wait_fixture fixture;
    const job_id id = fixture.submit("j", full_step);
    const time_point submitted = fixture.now;
    std::size_t rejected = 0;
    while (fixture.now < submitted + seconds(3)) {
        for (const start_order& each : fixture.plan().starts) {
            fixture.now += milliseconds(60);
            static_cast<void>(fixture.subject.plan(fixture.now, wall_time{}));
            fixture.subject.note_start(each.worker, each.run, order_answer::no_capacity,
                                       fixture.now);
            ++rejected;
        }
        fixture.report(w1, report_of(first_start, fixture.worker_clock()));
    }
    CHECK(rejected > 1);
    const auto decisions = fixture.subject.take_decisions();
    CHECK(std::count_if(decisions.begin(), decisions.end(), [&](const decision& each) {
              return each.job == id && each.kind == decision_kind::job_waits;
          }) == 1);
    CHECK(std::none_of(decisions.begin(), decisions.end(), [&](const decision& each) {
        return each.kind == decision_kind::job_wait_ended;
    }));
}

// Guards against waits that are counted from the job's start, or while other tasks of it run.
TEST_CASE("a job waits from when its last run has ended, not while a task of it runs")
{
    wait_fixture fixture;
    auto spec = std::make_shared<job_spec>();
    spec->steps = {full_step, wide_step};
    spec->steps[1].depends_on = {0};
    const job_id id("j");
    fixture.subject.submit(id, {.queue = "q", .spec = spec, .at = fixture.now});
    fixture.pass(seconds(5));
    REQUIRE(fixture.running.size() == 1);
    CHECK(fixture.waits().jobs == 0);
    fixture.finish(fixture.running.front());
    fixture.pass(milliseconds(2150));
    REQUIRE(fixture.begun.size() == 1);
    CHECK(fixture.begun[0].run.task == task_name{id, 0, 1, 0});
    CHECK(is_near(fixture.begun[0].waited, job_waits::report_delay));
}

// Guards against waits of jobs whose turn hasn't come.
TEST_CASE("a job that isn't due doesn't wait")
{
    wait_fixture fixture;
    auto spec = std::make_shared<job_spec>();
    spec->steps = {small_step};
    spec->repeats = {.first = wall_time(std::chrono::hours(1)), .interval = seconds(1), .count = 2};
    fixture.subject.submit(job_id("j"), {.queue = "q", .spec = spec, .at = fixture.now});
    fixture.pass(seconds(3));
    CHECK(fixture.begun.empty());
    CHECK(fixture.waits().jobs == 0);
}

// Guards against a log that a backlog floods, and one in which the longest waits are missing.
TEST_CASE("of the waits in a backlog only so many a second are reported, the longest of each "
          "service among them")
{
    wait_fixture fixture;
    const service_id other("other");
    fixture.subject.set_queues({{.name = "q", .service = checks}, {.name = "r", .service = other}});
    constexpr std::size_t most = job_waits::max_reports_per_second;
    const auto submit = [&](const std::string& prefix, const std::string& queue, int count) {
        auto spec = std::make_shared<job_spec>();
        spec->steps = {wide_step};
        for (int each = 0; each < count; ++each) {
            fixture.subject.submit(job_id(prefix + std::to_string(1000 + each)),
                                   {.queue = queue, .spec = spec, .at = fixture.now});
        }
    };
    submit("b", "q", 500);
    fixture.pass(milliseconds(200));
    submit("z", "r", 1); // The longest of its service.
    fixture.pass(milliseconds(200));
    submit("a", "r", 500);
    fixture.pass(milliseconds(2000));
    CHECK(fixture.waits().jobs == 500);
    CHECK(fixture.waits(other).jobs == 501);
    CHECK(fixture.begun.size() <= most + 2);
    CHECK(std::count_if(fixture.begun.begin(), fixture.begun.end(),
                        [](const decision& each) { return each.job == job_id("z1000"); }) == 1);

    // The others stay unreported until one is the longest, and the next line tells of them.
    const std::size_t before = fixture.begun.size();
    fixture.subject.cancel(job_id("z1000"), fixture.now);
    fixture.pass(milliseconds(1200));
    REQUIRE(fixture.begun.size() == before + 1);
    CHECK(fixture.begun.back().place.pool == other);
    const std::size_t omitted = std::accumulate(
        fixture.begun.begin(), fixture.begun.end(), std::size_t{0},
        [](std::size_t sum, const decision& each) { return sum + each.place.omitted; });
    CHECK(omitted == 1001 - before);
}
