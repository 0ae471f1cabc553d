#include "plantaindoor/job/scheduler.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const service_id checks{"checks"};
const workspace_id alpha{"alpha"};
const instance_id w1{"w1"};
const instance_id w2{"w2"};

/// A scheduler with two workers of 4,000 thousandths of a core, and a workspace with a cap.
struct quota_fixture {
    scheduler subject;
    time_point now = start;
    std::map<instance_id, std::vector<reported_run>> running;
    std::map<instance_id, std::uint64_t> sequences;
    order_answer answer = order_answer::accepted;

    explicit quota_fixture(const resources& cap, scheduler_options options = {})
        : subject(options, start)
    {
        subject.set_queues({{.name = "q", .service = checks, .max_attempts = 2, .stretch = 2}});
        subject.set_workspaces({{.id = alpha, .cap = cap}});
        for (const instance_id& id : {w1, w2}) {
            subject.note_worker_listed({.id = id,
                                        .service = checks,
                                        .address = id.str() + ":80",
                                        .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                       now);
        }
    }

    /// Lets all runs of a predecessor end.
    void pass_doubt()
    {
        now += seconds(60);
        report(w1);
        report(w2);
    }

    void report(const instance_id& worker, std::vector<ended_run> ended = {})
    {
        now += milliseconds(10);
        subject.note_report(worker,
                            {.worker_clock = milliseconds(1000),
                             .running = running[worker],
                             .ended = {std::move(ended)}},
                            now - milliseconds(5), now);
    }

    void end(const start_order& run)
    {
        std::erase_if(running[run.worker], [&](const auto& each) { return each.run == run.run; });
        report(run.worker, {{.sequence = ++sequences[run.worker],
                             .run = run.run,
                             .end_reason = run_end_reason::done}});
    }

    job_id submit(const std::string& id, step_spec step, const workspace_id& workspace,
                  bool inherited = false)
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(std::move(step));
        subject.submit(job_id(id), {.queue = "q",
                                    .workspace = workspace,
                                    .spec = std::move(spec),
                                    .at = now,
                                    .inherited = inherited});
        return job_id(id);
    }

    orders plan()
    {
        now += milliseconds(10);
        orders due = subject.plan(now, wall_time{});
        for (const start_order& each : due.starts) {
            if (answer == order_answer::accepted) {
                running[each.worker].push_back({.run = each.run, .percent = 100});
            }
            subject.note_start(each.worker, each.run, answer, now);
        }
        for (const stop_order& each : due.stops) {
            subject.note_stop(each.worker, each.run, order_answer::accepted, now);
        }
        return due;
    }

    [[nodiscard]] std::int64_t used() const
    {
        return subject.quota().find(alpha)->used().cpu_millis;
    }
};

step_spec tasks(std::uint32_t count, std::int64_t cpu_millis)
{
    return {.count = count,
            .need = {.cpu_millis = cpu_millis, .memory_mb = 1},
            .estimate = milliseconds(100)};
}

} // namespace

// Guards against a workspace at its cap that keeps others from free capacity.
TEST_CASE("A workspace at its cap waits, and others' equal tasks start behind it")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    const job_id capped = fixture.submit("a", tasks(4, 500), alpha);
    static_cast<void>(fixture.submit("b", tasks(2, 500), workspace_id("beta")));
    static_cast<void>(fixture.submit("c", tasks(2, 500), workspace_id()));
    const auto starts = fixture.plan().starts;
    CHECK(starts.size() == 6);
    CHECK(fixture.used() == 1000);
    CHECK(fixture.subject.waits_at_cap(capped));
    const auto first = std::find_if(starts.begin(), starts.end(),
                                    [&](const auto& each) { return each.run.task.job == capped; });
    REQUIRE(first != starts.end());
    fixture.end(*first);
    CHECK(fixture.used() == 500);
    CHECK(fixture.plan().starts.size() == 1);
}

// Guards against machines that are ordered for tasks which the cap doesn't allow.
TEST_CASE("Tasks that wait at a cap don't count as load")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    static_cast<void>(fixture.submit("a", tasks(20, 500), alpha));
    static_cast<void>(fixture.plan());
    CHECK(fixture.subject.loads()[checks].ordinary.ready == 0);
    CHECK(fixture.subject.loads()[checks].ordinary.running == 1000);
}

TEST_CASE("Best-effort tasks count against the cap with all they may use")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    step_spec step = tasks(8, 500);
    step.best_effort = true;
    static_cast<void>(fixture.submit("a", step, alpha));
    CHECK(fixture.plan().starts.size() == 2);
}

TEST_CASE("A task larger than the cap waits until the cap is raised, and a lower cap stops nothing")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    const job_id large = fixture.submit("a", tasks(1, 1500), alpha);
    CHECK(fixture.plan().starts.empty());
    CHECK(fixture.subject.waits_at_cap(large));
    fixture.subject.set_workspaces({{.id = alpha, .cap = {.cpu_millis = 2000}}});
    CHECK(fixture.plan().starts.size() == 1);
    fixture.subject.set_workspaces({{.id = alpha, .cap = {.cpu_millis = 100}}});
    static_cast<void>(fixture.submit("b", tasks(1, 100), alpha));
    const orders due = fixture.plan();
    CHECK(due.starts.empty());
    CHECK(due.stops.empty());
    fixture.subject.set_workspaces({});
    CHECK(fixture.plan().starts.size() == 1);
}

TEST_CASE("A gang starts whole within the cap, or waits without blocking others")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    step_spec gang = tasks(3, 400);
    gang.gang = true;
    static_cast<void>(fixture.submit("a", gang, alpha));
    static_cast<void>(fixture.submit("b", tasks(2, 500), alpha));
    CHECK(fixture.plan().starts.size() == 2);
    CHECK(fixture.used() == 1000);
}

// Guards against a run that is forgotten while it may still begin or go on.
TEST_CASE("Unanswered and stopping runs count until the worker has shown that they are gone")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    fixture.answer = order_answer::unanswered;
    const job_id first = fixture.submit("a", tasks(2, 500), alpha);
    REQUIRE(fixture.plan().starts.size() == 2);
    CHECK(fixture.used() == 1000);
    fixture.answer = order_answer::accepted;
    fixture.subject.cancel(first, fixture.now);
    static_cast<void>(fixture.submit("b", tasks(2, 500), alpha));
    const orders due = fixture.plan(); // The stops are accepted.
    CHECK(due.stops.size() == 2);
    CHECK(due.starts.empty());
    CHECK(fixture.used() == 1000);
    fixture.report(w1);
    fixture.report(w2);
    CHECK(fixture.used() == 0);
    CHECK(fixture.plan().starts.size() == 2);
}

TEST_CASE("Runs of a worker that doesn't answer count until its leases have expired")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    static_cast<void>(fixture.submit("a", tasks(1, 1000), alpha));
    const auto starts = fixture.plan().starts;
    REQUIRE(starts.size() == 1);
    const instance_id other = starts[0].worker == w1 ? w2 : w1;
    static_cast<void>(fixture.submit("b", tasks(1, 1000), alpha));
    fixture.subject.note_missed_poll(starts[0].worker, fixture.now);
    fixture.now += seconds(4);
    fixture.report(other);
    CHECK(fixture.plan().starts.empty());
    CHECK(fixture.used() == 1000);
    fixture.now += seconds(4);
    fixture.report(other);
    CHECK(fixture.plan().starts.size() == 1);
}

TEST_CASE("Reported runs that must not continue count against the cap of their job")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    const job_id ended = fixture.submit("a", tasks(1, 1000), alpha);
    fixture.subject.cancel(ended, fixture.now);
    fixture.running[w1].push_back({.run = {{ended, 0, 0, 0}, 7}, .percent = 100});
    fixture.report(w1);
    CHECK(fixture.used() == 1000);
    static_cast<void>(fixture.submit("b", tasks(1, 1000), alpha));
    CHECK(fixture.plan().starts.empty());
}

// Guards against two leaders of a shard whose runs together exceed its part.
TEST_CASE("What a predecessor may have started counts until the doubt ends")
{
    quota_fixture fixture({.cpu_millis = 1000});
    static_cast<void>(fixture.submit("a", tasks(2, 500), alpha, true));
    const job_id cancelled = fixture.submit("c", tasks(1, 500), alpha, true);
    fixture.subject.cancel(cancelled, fixture.now);
    static_cast<void>(fixture.submit("b", tasks(2, 500), alpha));
    fixture.report(w1);
    fixture.subject.note_live_workers({{w1, checks}, {w2, checks}}, list_extent::complete,
                                      fixture.now);
    CHECK(fixture.plan().starts.empty());
    CHECK(fixture.used() == 1500);
    CHECK(fixture.subject.has_predecessor_doubt(fixture.now));
    // The other worker reports a run of the predecessor.
    fixture.running[w2].push_back({.run = {{job_id("a"), 0, 0, 0}, 1}, .percent = 100});
    fixture.report(w2);
    CHECK_FALSE(fixture.subject.has_predecessor_doubt(fixture.now));
    CHECK(fixture.plan().starts.size() == 1);
    CHECK(fixture.used() == 1000);
}

TEST_CASE("With two shards each starts at most half of the cap")
{
    std::int64_t started = 0;
    for (std::uint32_t shard = 0; shard < 2; ++shard) {
        quota_fixture fixture({.cpu_millis = 2000}, {.shard = shard, .shard_count = 2});
        fixture.pass_doubt();
        static_cast<void>(fixture.submit("a", tasks(8, 600), alpha));
        started += static_cast<std::int64_t>(fixture.plan().starts.size());
    }
    CHECK(started == 2);
}

// Guards against a workspace that waits for ever: without a part its task isn't load, so that no
// machine is ordered for it, and without room on a machine it asked for no part.
TEST_CASE(
    "A task that waits at its part in a full pool asks for a part, and is load once it has it")
{
    quota_fixture fixture({.cpu_millis = 2000}, {.shard = 0, .shard_count = 2});
    fixture.pass_doubt();
    static_cast<void>(fixture.submit("b", tasks(8, 1000), workspace_id()));
    REQUIRE(fixture.plan().starts.size() == 8);
    static_cast<void>(fixture.submit("a", tasks(3, 1500), alpha));
    CHECK(fixture.plan().starts.empty());
    CHECK(fixture.subject.quota().find(alpha)->next.cpu_millis == 1500);
    CHECK(fixture.subject.quota().find(alpha)->wanted.cpu_millis == 1500);
    CHECK(fixture.subject.loads()[checks].ordinary.ready == 0);
    const policy::quota_share whole{policy::quota_units, policy::quota_units, policy::quota_units};
    fixture.subject.quota().set_share(alpha, whole, whole);
    CHECK(fixture.plan().starts.empty());
    CHECK(fixture.subject.loads()[checks].ordinary.ready > 0);
}

// Guards against a large task without room that hides its workspace's other tasks from the
// exchange.
TEST_CASE("Tasks with room are wanted beside a larger task of their workspace without room")
{
    quota_fixture fixture({.cpu_millis = 6000}, {.shard = 0, .shard_count = 2});
    fixture.pass_doubt();
    static_cast<void>(fixture.submit("b", tasks(6, 1000), workspace_id()));
    REQUIRE(fixture.plan().starts.size() == 6);
    fixture.subject.quota().set_share(alpha, {}, {});
    static_cast<void>(fixture.submit("a", tasks(1, 3000), alpha));
    static_cast<void>(fixture.submit("c", tasks(2, 500), alpha));
    static_cast<void>(fixture.submit("d", tasks(1, 400), alpha));
    static_cast<void>(fixture.submit("e", tasks(1, 3500), alpha));
    CHECK(fixture.plan().starts.empty());
    const policy::quota_usage& usage = *fixture.subject.quota().find(alpha);
    CHECK(usage.waiting.cpu_millis == 7900);
    // The task of 3500 has no room and isn't the first.
    CHECK(usage.next.cpu_millis == 3000);
    CHECK(usage.wanted.cpu_millis == 4400);
}

TEST_CASE("An isolated task at the cap waits without keeping a worker from other tasks")
{
    quota_fixture fixture({.cpu_millis = 1000});
    fixture.pass_doubt();
    const job_id suspect = fixture.submit("a", tasks(1, 1000), alpha);
    const std::string progress =
        R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":".","crashes":)"
        R"({"0":[{"worker":"w0","on_start":true,"alone":true}]}}]}})";
    fixture.subject.restore(suspect, progress);
    fixture.subject.set_workspaces({{.id = alpha, .cap = {.cpu_millis = 100}}});
    static_cast<void>(fixture.submit("b", tasks(8, 1000), workspace_id()));
    CHECK(fixture.plan().starts.size() == 8);
    CHECK(fixture.subject.waits_at_cap(suspect));
}
