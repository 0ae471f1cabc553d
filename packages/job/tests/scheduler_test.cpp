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

/// A scheduler with workers that have answered, and a clock.
struct bench {
    scheduler subject{{.lease = milliseconds(5000), .predecessor_grace = milliseconds(0)}, start};
    time_point now = start;
    std::map<instance_id, std::uint64_t> sequences;
    std::map<instance_id, std::vector<reported_run>> running;

    explicit bench(const std::vector<std::string>& workers)
    {
        // What an earlier holder has begun is over in most tests.
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
                             .ended = std::move(ended)},
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
        subject.submit(job_id(id), "q", std::move(spec), now, false);
        return job_id(id);
    }

    /// Plans, and lets the workers take every start and stop.
    orders plan()
    {
        now += milliseconds(10);
        orders given = subject.plan(now, wall_time{});
        for (const start_order& each : given.starts) {
            running[each.worker].push_back({.run = each.run, .percent = 100});
            subject.note_start(each.worker, each.run, order_answer::accepted, now);
        }
        for (const stop_order& each : given.stops) {
            subject.note_stop(each.worker, each.run, order_answer::accepted, now);
        }
        return given;
    }
};

const step_spec one_lasting{.count = 2,
                            .need = {.cpu_millis = 100, .memory_mb = 1},
                            .max_per_worker = 1,
                            .long_running = true,
                            .max_unavailable = 1};

} // namespace

TEST_CASE("a lasting task that finds only workers being emptied isn't left waiting")
{
    bench world({"w1", "w2"});
    static_cast<void>(world.submit("j", one_lasting));
    REQUIRE(world.plan().starts.size() == 2);
    world.report(instance_id("w1"));
    world.report(instance_id("w2"));
    world.subject.cordon_worker(instance_id("w1"), true);
    world.subject.cordon_worker(instance_id("w2"), true);
    // One of them may be taken; the other then waits for it to be at work again.
    const auto stops = world.plan().stops;
    REQUIRE(stops.size() == 1);
    world.end(stops[0].worker, stops[0].run, run_end_reason::stopped);
    bool started = false;
    for (int round = 0; round < 5; ++round) {
        started = started || !world.plan().starts.empty();
    }
    // Neither worker has both: the emptied one has nothing that lasts any more.
    CHECK_FALSE(started);
    world.subject.cordon_worker(stops[0].worker, false);
    CHECK(world.plan().starts.size() == 1);
}

TEST_CASE("planned work takes one lasting task of a step at a time")
{
    bench world({"w1", "w2", "w3"});
    static_cast<void>(world.submit("j", one_lasting));
    REQUIRE(world.plan().starts.size() == 2);
    world.report(instance_id("w1"));
    world.report(instance_id("w2"));
    world.report(instance_id("w3"));
    std::vector<instance_id> used;
    for (const auto& [id, worker] : world.subject.workers()) {
        if (!worker.runs.empty()) {
            used.push_back(id);
            world.subject.cordon_worker(id, true);
        }
    }
    REQUIRE(used.size() == 2);
    const auto first = world.plan().stops;
    REQUIRE(first.size() == 1);
    CHECK(world.plan().stops.empty());
    world.end(first[0].worker, first[0].run, run_end_reason::stopped);
    const auto restarted = world.plan().starts;
    REQUIRE(restarted.size() == 1);
    CHECK(restarted[0].run.attempt == 2);
    CHECK(world.plan().stops.empty()); // It isn't known to be at work yet.
    world.report(restarted[0].worker);
    CHECK(world.plan().stops.size() == 1);
}

TEST_CASE("a task that fails as often as its queue allows fails its job, and no more is started")
{
    bench world({"w1", "w2"});
    const job_id id = world.submit("j", {.count = 1, .need = {.cpu_millis = 100}});
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto starts = world.plan().starts;
        REQUIRE(starts.size() == 1);
        world.end(starts[0].worker, starts[0].run, run_end_reason::failed);
    }
    CHECK(world.plan().starts.empty());
    REQUIRE(world.subject.find(id) != nullptr);
    CHECK(world.subject.find(id)->state() == job_state::failed);
}

TEST_CASE("ends are acknowledged only once they are kept")
{
    bench world({"w1"});
    static_cast<void>(world.submit("j", {.count = 1, .need = {.cpu_millis = 100}}));
    const auto starts = world.plan().starts;
    REQUIRE(starts.size() == 1);
    world.end(starts[0].worker, starts[0].run, run_end_reason::done);
    CHECK(world.subject.next_poll(instance_id("w1"), world.now).acknowledged == 0);
    CHECK(world.subject.begin_persist().size() == 1);
    CHECK(world.subject.next_poll(instance_id("w1"), world.now).acknowledged == 0);
    world.subject.note_persisted();
    CHECK(world.subject.next_poll(instance_id("w1"), world.now).acknowledged == 1);
}

TEST_CASE("a run that wasn't answered is stopped before another is started")
{
    bench world({"w1", "w2"});
    static_cast<void>(world.submit("j", {.count = 1, .need = {.cpu_millis = 100}}));
    world.now += milliseconds(10);
    const auto starts = world.subject.plan(world.now, wall_time{}).starts;
    REQUIRE(starts.size() == 1);
    const instance_id worker = starts[0].worker;
    world.subject.note_start(worker, starts[0].run, order_answer::unanswered, world.now);
    world.report(worker);
    const auto stops = world.plan();
    REQUIRE(stops.stops.size() == 1);
    CHECK(stops.starts.empty());
    world.now += milliseconds(10);
    world.report(worker); // Asked for after the stop was answered: it will never run there.
    const auto again = world.plan().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.attempt == 2);
}

TEST_CASE("tasks of a silent worker wait until its lease must have lapsed")
{
    bench world({"w1"});
    static_cast<void>(world.submit("j", {.count = 1, .need = {.cpu_millis = 100}}));
    REQUIRE(world.plan().starts.size() == 1);
    world.subject.note_worker_listed(worker_named("w2"), world.now);
    world.report(instance_id("w2"));
    world.subject.note_missed_poll(instance_id("w1"), world.now);
    const time_point silent = world.now;
    while (world.now < silent + milliseconds(5000)) {
        world.now += milliseconds(100);
        CHECK(world.subject.plan(world.now, wall_time{}).starts.empty());
        CHECK_FALSE(world.subject.next_poll(instance_id("w1"), world.now).deadline);
    }
    world.now = silent + milliseconds(6000);
    CHECK(world.subject.plan(world.now, wall_time{}).starts.size() == 1);
}

TEST_CASE("load: a worker that fails all it starts doesn't get a task again while others are busy")
{
    bench world({"w1", "w2"});
    static_cast<void>(world.submit("busy", {.count = 1, .need = {.cpu_millis = 4000}}));
    const auto busy = world.plan().starts;
    REQUIRE(busy.size() == 1);
    const job_id id = world.submit("j", {.count = 1, .need = {.cpu_millis = 2000}});
    const auto first = world.plan().starts;
    REQUIRE(first.size() == 1);
    REQUIRE(first[0].worker != busy[0].worker);
    world.end(first[0].worker, first[0].run, run_end_reason::failed);
    CHECK(world.plan().starts.empty());
    world.end(busy[0].worker, busy[0].run, run_end_reason::done);
    const auto second = world.plan().starts;
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == busy[0].worker);
    world.end(second[0].worker, second[0].run, run_end_reason::done);
    CHECK(world.subject.find(id)->state() == job_state::completed);
}

TEST_CASE("load: a full service costs one search for each size of task, not one for each job")
{
    bench world({"w1"});
    static_cast<void>(world.submit("busy", {.count = 1, .need = {.cpu_millis = 4000}}));
    REQUIRE(world.plan().starts.size() == 1);
    static_cast<void>(
        world.submit("wide", {.count = 3, .need = {.cpu_millis = 2000}, .gang = true}));
    const job_id small = world.submit("small", {.count = 1, .need = {.cpu_millis = 1000}});
    CHECK(world.plan().starts.empty());
    const run_name run{{job_id("busy"), 0, 0, 0}, 1};
    world.end(instance_id("w1"), run, run_end_reason::done);
    // What the gang has tried and can't have is free for the others.
    const auto starts = world.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == small);
}

TEST_CASE("a new holder takes no lasting task while an earlier holder's stop may be under way")
{
    bench world({"w1", "w2", "w3"});
    world.now = start;
    const job_id id = world.submit("j", one_lasting);
    // The earlier holder has told one to stop, but both are still listed as running.
    world.running[instance_id("w1")].push_back({.run = {{id, 0, 0, 0}, 1}, .percent = 100});
    world.running[instance_id("w2")].push_back({.run = {{id, 0, 0, 1}, 1}, .percent = 100});
    world.report(instance_id("w1"));
    world.report(instance_id("w2"));
    world.subject.cordon_worker(instance_id("w2"), true);
    CHECK(world.plan().stops.empty());
    world.end(instance_id("w1"), {{id, 0, 0, 0}, 1}, run_end_reason::stopped);
    const auto restarted = world.plan().starts;
    REQUIRE(restarted.size() == 1);
    CHECK(world.plan().stops.empty());
    world.report(restarted[0].worker);
    world.now = start + seconds(3);
    CHECK(world.plan().stops.size() == 1);
}

TEST_CASE("load: after a takeover jobs wait for the workers of their own service that lived then")
{
    // In a fleet whose machines move all the time, some new worker always hasn't answered yet.
    const service_id essays{"essays"};
    scheduler subject({.lease = milliseconds(5000),
                       .predecessor_grace = milliseconds(2500),
                       .former_services_known = true},
                      start);
    subject.set_queues({{.name = "q", .service = checks},
                        {.name = "moved", .service = checks, .former_services = {essays}}});
    auto spec = std::make_shared<job_spec>();
    spec->steps.push_back({.need = {.cpu_millis = 100, .memory_mb = 100}});
    subject.submit(job_id("j1"), "q", spec, start, true);
    subject.submit(job_id("j2"), "moved", spec, start, true);
    const instance_id own("w1");
    const instance_id silent("w2");
    subject.note_worker_listed(worker_named("w1"), start);
    subject.note_report(own, {.worker_clock = milliseconds(1000)}, start, start);
    const auto starts_at = [&](milliseconds after) {
        return subject.plan(start + after, wall_time{}).starts.size();
    };
    CHECK(starts_at(milliseconds(100)) == 0);

    SECTION("a worker that began later can't run what an earlier holder started")
    {
        subject.note_live_workers({{own, checks}}, start + milliseconds(1100));
        subject.note_live_workers({{own, checks}, {silent, checks}}, start + milliseconds(1500));
        CHECK(starts_at(milliseconds(1600)) == 2);
    }
    SECTION("one that began before the earlier holder can have heard of the takeover may")
    {
        subject.note_live_workers({{own, checks}}, start + milliseconds(200));
        subject.note_live_workers({{own, checks}, {silent, checks}}, start + milliseconds(600));
        CHECK(starts_at(milliseconds(700)) == 0);
    }
    SECTION("a silent worker of the service keeps both waiting, listed or not")
    {
        subject.note_live_workers({{own, checks}, {silent, checks}}, start + milliseconds(500));
        CHECK(starts_at(milliseconds(600)) == 0);
        subject.note_live_workers({{own, checks}}, start + milliseconds(650));
        CHECK(starts_at(milliseconds(700)) == 2);
    }
    SECTION("one of another service only keeps queues waiting that it has run before")
    {
        subject.note_live_workers({{own, checks}, {silent, essays}}, start + milliseconds(500));
        CHECK(starts_at(milliseconds(600)) == 1);
    }
}
