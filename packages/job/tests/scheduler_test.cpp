#include "plantaindoor/job/scheduler.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const service_id checks{"checks"};

worker_listing worker_named(const std::string& name)
{
    return {.id = instance_id(name),
            .service = checks,
            .address = name + ":80",
            .capacity = {.cpu_millis = 4000, .memory_mb = 4000}};
}

/// A scheduler with workers that have answered it, and a simulated clock.
struct scheduler_fixture {
    scheduler subject{{.lease = milliseconds(5000), .predecessor_grace = milliseconds(0)}, start};
    time_point now = start;
    std::map<instance_id, std::uint64_t> sequences;
    std::map<instance_id, std::vector<reported_run>> running;

    explicit scheduler_fixture(const std::vector<std::string>& workers)
    {
        // Late enough for all runs of a predecessor to have ended; a test that needs such
        // runs sets `now` back.
        now += seconds(60);
        subject.set_queues({{.name = "q", .service = checks, .max_attempts = 2, .stretch = 2}});
        for (const std::string& name : workers) {
            subject.note_worker_listed(worker_named(name), now);
            report(instance_id(name));
        }
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

    void end(const instance_id& worker, const run_name& run, run_end_reason end_reason)
    {
        std::erase_if(running[worker], [&](const auto& each) { return each.run == run; });
        report(worker, {{.sequence = ++sequences[worker], .run = run, .end_reason = end_reason}});
    }

    job_id submit(const std::string& id, step_spec step)
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(std::move(step));
        subject.submit(job_id(id), {.queue = "q", .spec = std::move(spec), .at = now});
        return job_id(id);
    }

    /// Plans, and accepts every start and stop in the name of its worker.
    orders plan()
    {
        now += milliseconds(10);
        orders due = subject.plan(now, wall_time{});
        for (const start_order& each : due.starts) {
            running[each.worker].push_back({.run = each.run, .percent = 100});
            subject.note_start(each.worker, each.run, order_answer::accepted, now);
        }
        for (const stop_order& each : due.stops) {
            subject.note_stop(each.worker, each.run, order_answer::accepted, now);
        }
        return due;
    }
};

const step_spec long_running_step{.count = 2,
                                  .need = {.cpu_millis = 100, .memory_mb = 1},
                                  .max_per_worker = 1,
                                  .long_running = true,
                                  .max_unavailable = 1};

} // namespace

TEST_CASE("a long-running task is not placed on an evacuated worker until that is uncordoned")
{
    scheduler_fixture fixture({"w1", "w2"});
    static_cast<void>(fixture.submit("j", long_running_step));
    REQUIRE(fixture.plan().starts.size() == 2);
    fixture.report(instance_id("w1"));
    fixture.report(instance_id("w2"));
    fixture.subject.cordon_worker(instance_id("w1"), true);
    fixture.subject.cordon_worker(instance_id("w2"), true);
    // One task may be evicted; the other then stays until the first runs at full rate again.
    const auto stops = fixture.plan().stops;
    REQUIRE(stops.size() == 1);
    fixture.end(stops[0].worker, stops[0].run, run_end_reason::stopped);
    bool started = false;
    for (int round = 0; round < 5; ++round) {
        started = started || !fixture.plan().starts.empty();
    }
    // The worker with a task has reached max_per_worker, and the evacuated one has no long-running
    // task any more.
    CHECK_FALSE(started);
    fixture.subject.cordon_worker(stops[0].worker, false);
    CHECK(fixture.plan().starts.size() == 1);
}

TEST_CASE("cordoned workers evict one long-running task of a step at a time")
{
    scheduler_fixture fixture({"w1", "w2", "w3"});
    static_cast<void>(fixture.submit("j", long_running_step));
    REQUIRE(fixture.plan().starts.size() == 2);
    fixture.report(instance_id("w1"));
    fixture.report(instance_id("w2"));
    fixture.report(instance_id("w3"));
    std::vector<instance_id> used;
    for (const auto& [id, worker] : fixture.subject.workers()) {
        if (!worker.runs.empty()) {
            used.push_back(id);
            fixture.subject.cordon_worker(id, true);
        }
    }
    REQUIRE(used.size() == 2);
    const auto first = fixture.plan().stops;
    REQUIRE(first.size() == 1);
    CHECK(fixture.plan().stops.empty());
    fixture.end(first[0].worker, first[0].run, run_end_reason::stopped);
    const auto restarted = fixture.plan().starts;
    REQUIRE(restarted.size() == 1);
    CHECK(restarted[0].run.attempt == 2);
    CHECK(fixture.plan().stops.empty()); // Not yet reported at full rate.
    fixture.report(restarted[0].worker);
    CHECK(fixture.plan().stops.size() == 1);
}

TEST_CASE("a task that reaches its queue's max_attempts fails its job, and is not started again")
{
    scheduler_fixture fixture({"w1", "w2"});
    const job_id id = fixture.submit("j", {.count = 1, .need = {.cpu_millis = 100}});
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto starts = fixture.plan().starts;
        REQUIRE(starts.size() == 1);
        fixture.end(starts[0].worker, starts[0].run, run_end_reason::failed);
    }
    CHECK(fixture.plan().starts.empty());
    REQUIRE(fixture.subject.find(id) != nullptr);
    CHECK(fixture.subject.find(id)->state() == job_state::failed);
}

TEST_CASE("a long-running task returns to a worker where it failed if the others have no room")
{
    scheduler_fixture world({"w1", "w2"});
    world.submit(
        "a", {.count = 2, .need = {.cpu_millis = 100}, .max_per_worker = 1, .long_running = true});
    const orders first = world.plan();
    REQUIRE(first.starts.size() == 2);
    const start_order failing = first.starts[0];
    world.end(failing.worker, failing.run, run_end_reason::failed);
    const orders second = world.plan();
    REQUIRE(second.starts.size() == 1);
    CHECK(second.starts[0].worker == failing.worker);
}

// Guards against a task that waits for ever for a worker that long-running tasks fill.
TEST_CASE("a task returns to a worker where it failed if the others have no room even when idle")
{
    scheduler_fixture world({"w1", "w2"});
    world.submit("filler", {.count = 1, .need = {.cpu_millis = 3000}, .long_running = true});
    const orders first = world.plan();
    REQUIRE(first.starts.size() == 1);
    const instance_id filled = first.starts[0].worker;
    world.submit("wide", {.count = 1, .need = {.cpu_millis = 2000}});
    const orders second = world.plan();
    REQUIRE(second.starts.size() == 1);
    const start_order failing = second.starts[0];
    REQUIRE(failing.worker != filled);
    world.end(failing.worker, failing.run, run_end_reason::failed);
    const orders third = world.plan();
    REQUIRE(third.starts.size() == 1);
    CHECK(third.starts[0].worker == failing.worker);
}

TEST_CASE("ended runs are acknowledged only after their effects are durable")
{
    scheduler_fixture fixture({"w1"});
    static_cast<void>(fixture.submit("j", {.count = 1, .need = {.cpu_millis = 100}}));
    const auto starts = fixture.plan().starts;
    REQUIRE(starts.size() == 1);
    fixture.end(starts[0].worker, starts[0].run, run_end_reason::done);
    CHECK(fixture.subject.next_poll(instance_id("w1"), fixture.now).acknowledged == 0);
    CHECK(fixture.subject.begin_persist().size() == 1);
    CHECK(fixture.subject.next_poll(instance_id("w1"), fixture.now).acknowledged == 0);
    fixture.subject.note_persisted();
    CHECK(fixture.subject.next_poll(instance_id("w1"), fixture.now).acknowledged == 1);
}

TEST_CASE("a run whose start was not answered is stopped before the next attempt starts")
{
    scheduler_fixture fixture({"w1", "w2"});
    static_cast<void>(fixture.submit("j", {.count = 1, .need = {.cpu_millis = 100}}));
    fixture.now += milliseconds(10);
    const auto starts = fixture.subject.plan(fixture.now, wall_time{}).starts;
    REQUIRE(starts.size() == 1);
    const instance_id worker = starts[0].worker;
    fixture.subject.note_start(worker, starts[0].run, order_answer::unanswered, fixture.now);
    fixture.report(worker);
    const auto stops = fixture.plan();
    REQUIRE(stops.stops.size() == 1);
    CHECK(stops.starts.empty());
    fixture.now += milliseconds(10);
    // Requested after the stop was accepted: the run can't start there any more.
    fixture.report(worker);
    const auto again = fixture.plan().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.attempt == 2);
}

TEST_CASE("tasks of an unresponsive worker are not restarted until its lease must have expired")
{
    scheduler_fixture fixture({"w1"});
    static_cast<void>(fixture.submit("j", {.count = 1, .need = {.cpu_millis = 100}}));
    REQUIRE(fixture.plan().starts.size() == 1);
    fixture.subject.note_worker_listed(worker_named("w2"), fixture.now);
    fixture.report(instance_id("w2"));
    fixture.subject.note_missed_poll(instance_id("w1"), fixture.now);
    const time_point unresponsive = fixture.now;
    while (fixture.now < unresponsive + milliseconds(5000)) {
        fixture.now += milliseconds(100);
        CHECK(fixture.subject.plan(fixture.now, wall_time{}).starts.empty());
        CHECK_FALSE(fixture.subject.next_poll(instance_id("w1"), fixture.now).deadline);
    }
    fixture.now = unresponsive + milliseconds(6000);
    CHECK(fixture.subject.plan(fixture.now, wall_time{}).starts.size() == 1);
}

TEST_CASE(
    "load: a failed task waits for a busy worker instead of returning to the one it failed on")
{
    scheduler_fixture fixture({"w1", "w2"});
    static_cast<void>(fixture.submit("busy", {.count = 1, .need = {.cpu_millis = 4000}}));
    const auto busy = fixture.plan().starts;
    REQUIRE(busy.size() == 1);
    const job_id id = fixture.submit("j", {.count = 1, .need = {.cpu_millis = 2000}});
    const auto first = fixture.plan().starts;
    REQUIRE(first.size() == 1);
    REQUIRE(first[0].worker != busy[0].worker);
    fixture.end(first[0].worker, first[0].run, run_end_reason::failed);
    CHECK(fixture.plan().starts.empty());
    fixture.end(busy[0].worker, busy[0].run, run_end_reason::done);
    const auto second = fixture.plan().starts;
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == busy[0].worker);
    fixture.end(second[0].worker, second[0].run, run_end_reason::done);
    CHECK(fixture.subject.find(id)->state() == job_state::completed);
}

TEST_CASE("load: a gang that does not fit leaves the capacity it tried to smaller tasks")
{
    scheduler_fixture fixture({"w1"});
    static_cast<void>(fixture.submit("busy", {.count = 1, .need = {.cpu_millis = 4000}}));
    REQUIRE(fixture.plan().starts.size() == 1);
    static_cast<void>(
        fixture.submit("wide", {.count = 3, .need = {.cpu_millis = 2000}, .gang = true}));
    const job_id small = fixture.submit("small", {.count = 1, .need = {.cpu_millis = 1000}});
    CHECK(fixture.plan().starts.empty());
    const run_name run{{job_id("busy"), 0, 0, 0}, 1};
    fixture.end(instance_id("w1"), run, run_end_reason::done);
    // A need that fits on no worker is not searched for again in the same round. A need that failed
    // only because of a gang's tentative placements must not count as such.
    const auto starts = fixture.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == small);
}

TEST_CASE("load: a job that can't be in time any more doesn't delay one that still can")
{
    scheduler_fixture fixture({"w1"});
    const step_spec whole_worker{.need = {.cpu_millis = 4000}, .estimate = milliseconds(1000)};
    static_cast<void>(fixture.submit("busy", whole_worker));
    REQUIRE(fixture.plan().starts.size() == 1);
    // Its objective is 2 s after its submission.
    static_cast<void>(fixture.submit("overdue", whole_worker));
    fixture.now += milliseconds(1500);
    const job_id fresh = fixture.submit("fresh", whole_worker);
    fixture.end(instance_id("w1"), {{job_id("busy"), 0, 0, 0}, 1}, run_end_reason::done);
    const auto starts = fixture.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == fresh);
}

TEST_CASE("load: steps that are done don't count towards the time that a job still needs")
{
    scheduler_fixture fixture({"w1"});
    const step_spec whole_worker{.need = {.cpu_millis = 4000}, .estimate = milliseconds(1000)};
    auto two_steps = std::make_shared<job_spec>();
    two_steps->steps = {whole_worker, whole_worker};
    two_steps->steps[1].depends_on = {0};
    const job_id half_done("half-done");
    fixture.subject.submit(half_done, {.queue = "q", .spec = two_steps, .at = fixture.now});
    REQUIRE(fixture.plan().starts.size() == 1);
    // It is of value for 12 s, and its last step still fits into them.
    fixture.now += milliseconds(10500);
    fixture.report(instance_id("w1"));
    // This one is late, but newer.
    auto late = std::make_shared<job_spec>();
    late->steps = {whole_worker};
    fixture.subject.submit(job_id("late"),
                           {.queue = "q", .spec = late, .at = fixture.now - milliseconds(3000)});
    fixture.end(instance_id("w1"), {{half_done, 0, 0, 0}, 1}, run_end_reason::done);
    const auto starts = fixture.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == half_done);
}

TEST_CASE("a new leader evicts no long-running task while a predecessor's stop may be pending")
{
    scheduler_fixture fixture({"w1", "w2", "w3"});
    fixture.now = start;
    const job_id id = fixture.submit("j", long_running_step);
    // The predecessor has ordered one task to stop, but both are still reported as running.
    fixture.running[instance_id("w1")].push_back({.run = {{id, 0, 0, 0}, 1}, .percent = 100});
    fixture.running[instance_id("w2")].push_back({.run = {{id, 0, 0, 1}, 1}, .percent = 100});
    fixture.report(instance_id("w1"));
    fixture.report(instance_id("w2"));
    fixture.subject.cordon_worker(instance_id("w2"), true);
    CHECK(fixture.plan().stops.empty());
    fixture.end(instance_id("w1"), {{id, 0, 0, 0}, 1}, run_end_reason::stopped);
    const auto restarted = fixture.plan().starts;
    REQUIRE(restarted.size() == 1);
    CHECK(fixture.plan().stops.empty());
    fixture.report(restarted[0].worker);
    fixture.now = start + seconds(3);
    CHECK(fixture.plan().stops.size() == 1);
}

TEST_CASE(
    "load: inherited jobs wait for workers of their service that were alive at the leader change")
{
    // In a fleet whose machines move constantly, some new worker always hasn't answered yet.
    // Waiting for all workers would delay jobs of every service.
    const service_id essays{"essays"};
    scheduler subject({.lease = milliseconds(5000),
                       .predecessor_grace = milliseconds(2500),
                       .former_services_known = true},
                      start);
    subject.set_queues({{.name = "q", .service = checks},
                        {.name = "moved", .service = checks, .former_services = {essays}}});
    auto spec = std::make_shared<job_spec>();
    spec->steps.push_back({.need = {.cpu_millis = 100, .memory_mb = 100}});
    subject.submit(job_id("j1"), {.queue = "q", .spec = spec, .at = start, .inherited = true});
    subject.submit(job_id("j2"), {.queue = "moved", .spec = spec, .at = start, .inherited = true});
    const instance_id own("w1");
    const instance_id unresponsive("w2");
    subject.note_worker_listed(worker_named("w1"), start);
    subject.note_report(own, {.worker_clock = milliseconds(1000)}, start, start);
    const auto starts_at = [&](milliseconds after) {
        return subject.plan(start + after, wall_time{}).starts.size();
    };
    CHECK(starts_at(milliseconds(100)) == 0);

    SECTION("a worker that started after the predecessor detected the change is not waited for")
    {
        subject.note_live_workers({{own, checks}}, list_extent::complete,
                                  start + milliseconds(1100));
        subject.note_live_workers({{own, checks}, {unresponsive, checks}}, list_extent::complete,
                                  start + milliseconds(1500));
        CHECK(starts_at(milliseconds(1600)) == 2);
    }
    SECTION("a worker that started before that is waited for")
    {
        subject.note_live_workers({{own, checks}}, list_extent::complete,
                                  start + milliseconds(200));
        subject.note_live_workers({{own, checks}, {unresponsive, checks}}, list_extent::complete,
                                  start + milliseconds(600));
        CHECK(starts_at(milliseconds(700)) == 0);
    }
    SECTION("an unresponsive worker of the service delays both queues, listed or not")
    {
        subject.note_live_workers({{own, checks}, {unresponsive, checks}}, list_extent::complete,
                                  start + milliseconds(500));
        CHECK(starts_at(milliseconds(600)) == 0);
        subject.note_live_workers({{own, checks}}, list_extent::complete,
                                  start + milliseconds(650));
        CHECK(starts_at(milliseconds(700)) == 2);
    }
    SECTION("an unresponsive worker of another service delays only queues which that service ran "
            "before")
    {
        subject.note_live_workers({{own, checks}, {unresponsive, essays}}, list_extent::complete,
                                  start + milliseconds(500));
        CHECK(starts_at(milliseconds(600)) == 1);
    }
}

// Guards against LOST: one row of another writer, at whose address nothing answers, made inherited
// tasks wait for 8 s after each change of the leader.
TEST_CASE("inherited jobs don't wait for a listed worker that has no machine")
{
    scheduler subject({.lease = milliseconds(5000),
                       .predecessor_grace = milliseconds(2500),
                       .former_services_known = true},
                      start);
    subject.set_queues({{.name = "q", .service = checks}});
    auto spec = std::make_shared<job_spec>();
    spec->steps.push_back({.need = {.cpu_millis = 100, .memory_mb = 100}});
    subject.submit(job_id("j1"), {.queue = "q", .spec = spec, .at = start, .inherited = true});
    const auto list = [&](const std::string& worker, const std::string& machine, time_point at) {
        worker_listing listing = worker_named(worker);
        listing.machine = machine;
        subject.note_worker_listed(listing, at);
    };
    const instance_id own("w1");
    list("w1", "m1", start);
    subject.note_report(own, {.worker_clock = milliseconds(1000)}, start, start);
    const auto starts_after_list = [&](milliseconds requested) {
        subject.note_machines({"m1", "m2"}, list_extent::complete, start + requested);
        subject.note_live_workers({{own, checks}}, list_extent::complete,
                                  start + requested + milliseconds(20));
        return subject.plan(start + requested + milliseconds(30), wall_time{}).starts.size();
    };

    SECTION("a machine that doesn't exist, or none")
    {
        list("odd", GENERATE("unknown", ""), start);
        CHECK(starts_after_list(milliseconds(100)) == 0);
        CHECK(starts_after_list(milliseconds(500)) == 1);
    }
    SECTION("the machine exists, so that the worker may be unresponsive")
    {
        list("w2", "m2", start);
        CHECK(starts_after_list(milliseconds(100)) == 0);
        CHECK(starts_after_list(milliseconds(500)) == 0);
    }
    SECTION("the worker was listed after the list of machines was requested")
    {
        list("w2", "m3", start + milliseconds(310));
        CHECK(starts_after_list(milliseconds(100)) == 0);
        CHECK(starts_after_list(milliseconds(300)) == 0);
    }
}

// Guards against TWICE: a late write brought back the row of a crashed worker, and the runs of the
// worker that answered at its address were taken for lost and started again.
TEST_CASE("an old row at the address of a worker that answers ends none of that worker's runs")
{
    scheduler_fixture fixture({"w1"});
    auto old = worker_named("w0");
    old.address = "w1:80";
    static_cast<void>(fixture.submit("j", {.count = 3, .need = {.cpu_millis = 1000}}));
    REQUIRE(fixture.plan().starts.size() == 3);
    fixture.subject.note_worker_listed(old, fixture.now);
    static_cast<void>(fixture.submit("k", {.count = 1, .need = {.cpu_millis = 1000}}));
    const auto after = fixture.plan().starts;
    REQUIRE(after.size() == 1);
    CHECK(after[0].worker == instance_id("w1"));
    CHECK(fixture.subject.workers().at(instance_id("w1")).runs.size() == 4);
    CHECK(fixture.subject.workers().at(instance_id("w1")).listed);

    SECTION("the poll of the old one is answered by the other, which shows that it has ended")
    {
        fixture.subject.note_worker_ended(old.id, worker_end::other_address, fixture.now);
        CHECK(fixture.subject.workers().size() == 1);
    }
    SECTION("a listed worker that answers at the address has replaced the earlier one")
    {
        auto next = worker_named("w2");
        next.address = "w1:80";
        fixture.subject.note_worker_listed(next, fixture.now);
        fixture.report(next.id);
        CHECK(fixture.subject.workers().at(instance_id("w1")).runs.empty());
        CHECK(fixture.plan().starts.size() == 4);
    }
    SECTION("unless its answer was requested before the earlier one's last answer")
    {
        auto next = worker_named("w2");
        next.address = "w1:80";
        fixture.subject.note_worker_listed(next, fixture.now);
        const time_point sent = fixture.now;
        fixture.report(instance_id("w1"));
        fixture.subject.note_report(next.id, {.worker_clock = milliseconds(1)}, sent,
                                    fixture.now + milliseconds(1));
        CHECK(fixture.subject.workers().at(instance_id("w1")).runs.size() == 4);
    }
}

// Guards against LIMIT: only a worker's row told its capacity, which shrinks and grows while it
// runs.
TEST_CASE("no start exceeds the capacity that the worker itself has reported last")
{
    scheduler_fixture fixture({"w1"});
    const instance_id worker("w1");
    const auto report_capacity = [&](std::int64_t cpu_millis) {
        fixture.now += milliseconds(10);
        fixture.subject.note_report(
            worker,
            {.worker_clock = milliseconds(1000),
             .capacity = resources{.cpu_millis = cpu_millis, .memory_mb = 4000},
             .running = fixture.running[worker]},
            fixture.now - milliseconds(5), fixture.now);
    };
    const step_spec step{.count = 8, .need = {.cpu_millis = 1000, .memory_mb = 1}};
    static_cast<void>(fixture.submit("j", step));
    report_capacity(2000);
    REQUIRE(fixture.plan().starts.size() == 2);
    report_capacity(1000); // Below what runs.
    CHECK(fixture.plan().starts.empty());

    SECTION("an outdated row doesn't enlarge it")
    {
        auto outdated = worker_named("w1");
        outdated.draining = true;
        fixture.subject.note_worker_listed(outdated, fixture.now);
        fixture.subject.note_worker_listed(worker_named("w1"), fixture.now);
        CHECK(fixture.plan().starts.empty());
    }
    SECTION("a report without it leaves it as it was")
    {
        fixture.report(worker);
        CHECK(fixture.plan().starts.empty());
    }
    SECTION("room that has come back is used")
    {
        report_capacity(3000);
        CHECK(fixture.plan().starts.size() == 1);
    }
    SECTION("a run that is being stopped still counts")
    {
        fixture.subject.cancel(job_id("j"), fixture.now);
        static_cast<void>(fixture.plan());
        report_capacity(2000);
        static_cast<void>(fixture.submit("k", step));
        CHECK(fixture.plan().starts.empty());
    }
    SECTION("a new leader hears it before its first start")
    {
        scheduler successor({.lease = milliseconds(5000), .predecessor_grace = milliseconds(0)},
                            fixture.now - seconds(60));
        successor.set_queues({{.name = "q", .service = checks, .max_attempts = 2}});
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(step);
        successor.submit(job_id("k"), {.queue = "q", .spec = spec, .at = fixture.now});
        successor.note_worker_listed(worker_named("w1"), fixture.now);
        CHECK(successor.plan(fixture.now, wall_time{}).starts.empty());
        successor.note_report(worker,
                              {.worker_clock = milliseconds(1000),
                               .capacity = resources{.cpu_millis = 3000, .memory_mb = 4000},
                               .running = fixture.running[worker]},
                              fixture.now, fixture.now);
        // The two unknown runs are to be stopped, and nothing may start beside them before.
        CHECK(successor.plan(fixture.now, wall_time{}).starts.empty());
    }
}
