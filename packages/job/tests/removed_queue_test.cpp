// Jobs whose queue the configuration no longer names, under a leader that never saw it.
#include "plantaindoor/job/scheduler.hpp"

#include <catch2/catch.hpp>

#include <limits>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const service_id checks{"checks"};
const service_id essays{"essays"};
const instance_id w1{"w1"};
const job_id the_job{"j1"};
const task_name task{the_job, 0, 0, 0};
const queue_policy asked{.name = "ask", .service = checks, .max_attempts = 3};

/// A leader with one worker that has answered, and one inherited job.
struct removed_queue_fixture {
    scheduler subject{{.former_services_known = true}, start};
    time_point now = start + seconds(60);
    std::uint64_t sequence = 0;

    explicit removed_queue_fixture(std::optional<queue_policy> policy,
                                   const std::vector<queue_policy>& queues = {})
    {
        subject.set_queues(queues);
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back({.need = {.cpu_millis = 100, .memory_mb = 1}});
        subject.submit(the_job, {.queue = "ask",
                                 .policy = std::move(policy),
                                 .spec = std::move(spec),
                                 .at = now,
                                 .inherited = true});
        subject.note_worker_listed({.id = w1,
                                    .service = checks,
                                    .address = "w1:80",
                                    .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                   now);
    }

    void report(const std::vector<reported_run>& running, std::vector<ended_run> ended = {})
    {
        now += milliseconds(10);
        subject.note_report(
            w1,
            {.worker_clock = milliseconds(1000), .running = running, .ended = {std::move(ended)}},
            now - milliseconds(5), now);
    }

    void fail(std::uint32_t attempt)
    {
        report({}, {{.sequence = ++sequence,
                     .run = {task, attempt},
                     .end_reason = run_end_reason::failed}});
    }

    std::vector<start_order> plan()
    {
        now += milliseconds(10);
        auto starts = subject.plan(now, wall_time{}).starts;
        for (const start_order& each : starts) {
            subject.note_start(each.worker, each.run, order_answer::accepted, now);
        }
        return starts;
    }

    [[nodiscard]] job_state state() const { return subject.find(the_job)->state(); }
};

} // namespace

// Guards against LOST: a route was dropped, and the next leader showed a job of it as failed after
// the first failure of a task, with an invented limit of one attempt.
TEST_CASE("a job of a removed queue fails only after the attempts that its queue allowed")
{
    removed_queue_fixture fixture(asked);
    fixture.report({{.run = {task, 1}, .percent = 100}});
    fixture.fail(1);
    CHECK(fixture.state() == job_state::running);
    fixture.fail(2);
    CHECK(fixture.state() == job_state::running);
    fixture.fail(3);
    CHECK(fixture.state() == job_state::failed);
}

// Guards against LOST: the next leader didn't know which service runs the tasks of a dropped route.
TEST_CASE("a leader that never saw a job's queue starts its tasks")
{
    removed_queue_fixture fixture(asked);
    fixture.report({});
    const auto starts = fixture.plan();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].worker == w1);
    fixture.fail(1);
    CHECK(fixture.plan().size() == 1);
}

TEST_CASE("the configured policy of a queue goes before that of the accepted request")
{
    removed_queue_fixture fixture(asked, {{.name = "ask", .service = checks, .max_attempts = 1}});
    fixture.report({{.run = {task, 1}, .percent = 100}});

    SECTION("it is in force")
    {
        fixture.fail(1);
        CHECK(fixture.state() == job_state::failed);
    }
    SECTION("the queue is removed, and the last policy stays in force")
    {
        fixture.subject.set_queues({});
        fixture.fail(1);
        CHECK(fixture.state() == job_state::failed);
    }
    SECTION("the queue is removed and put back")
    {
        fixture.subject.set_queues({});
        fixture.subject.set_queues({asked});
        fixture.fail(1);
        CHECK(fixture.state() == job_state::running);
    }
}

// Guards against LOST: a policy that changed after the job was accepted was known to one leader
// only.
TEST_CASE("a change of a queue's policy is persisted with the progress of its jobs")
{
    const queue_policy raised{.name = "ask", .service = checks, .max_attempts = 4};
    removed_queue_fixture predecessor(asked, {asked});
    CHECK_FALSE(predecessor.subject.dirty_jobs().contains(the_job));
    predecessor.subject.set_queues({raised});
    REQUIRE(predecessor.subject.dirty_jobs().contains(the_job));
    const std::string progress = predecessor.subject.find(the_job)->progress();

    SECTION("the queue is gone")
    {
        removed_queue_fixture successor(asked);
        successor.subject.restore(the_job, progress);
        CHECK(successor.subject.find(the_job)->queue().max_attempts == 4);
    }
    SECTION("the configuration has changed again")
    {
        removed_queue_fixture successor(asked, {asked});
        successor.subject.restore(the_job, progress);
        CHECK(successor.subject.find(the_job)->queue().max_attempts == 3);
    }
}

TEST_CASE("a job whose queue's policy isn't known has no limit on attempts")
{
    removed_queue_fixture fixture(std::nullopt);
    for (std::uint32_t attempt = 1; attempt <= 10; ++attempt) {
        fixture.fail(attempt);
    }
    CHECK_FALSE(is_terminal(fixture.state()));
    // It is known once the queue is put back.
    fixture.subject.set_queues({asked});
    fixture.fail(11);
    CHECK(fixture.state() == job_state::failed);
}

// Guards against TWICE: a route that was dropped and put back with another service hid where the
// predecessor's runs may be.
TEST_CASE("a job waits for workers of the service that ran its queue when it was accepted")
{
    removed_queue_fixture fixture(asked, {{.name = "ask", .service = essays, .max_attempts = 3}});
    fixture.now = start;
    fixture.subject.note_worker_listed({.id = instance_id("w2"),
                                        .service = essays,
                                        .address = "w2:80",
                                        .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                       start);
    fixture.subject.note_report(instance_id("w2"), {.worker_clock = milliseconds(1000)}, start,
                                start);
    fixture.subject.note_live_workers({{w1, checks}, {instance_id("w2"), essays}},
                                      list_extent::complete, start + seconds(2));
    fixture.now = start + seconds(2);
    CHECK(fixture.plan().empty());
    fixture.report({});
    CHECK(fixture.plan().size() == 1);
}
