#include "plantaindoor/job/scheduler.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const service_id checks{"checks"};
const workspace_id shop("shop");
const workspace_id editors("editors");
const workspace_id none;

const step_spec one_core{.need = {.cpu_millis = 1000, .memory_mb = 1},
                         .estimate = milliseconds(1000)};

/// A scheduler with one worker of four cores. Runs end only where a test ends them.
struct shares_fixture {
    scheduler subject;
    time_point now = start + seconds(60);
    std::map<instance_id, std::vector<reported_run>> running;
    std::map<instance_id, std::uint64_t> sequences;

    explicit shares_fixture(const std::vector<policy::workspace_policy>& workspaces,
                            scheduler_options options = {}, std::size_t workers = 1)
        : subject(
              [&] {
                  options.predecessor_grace = milliseconds(0);
                  return options;
              }(),
              start)
    {
        subject.set_queues(
            {{.name = "q", .service = checks, .stretch = 10, .target_latency = seconds(10)}});
        subject.set_workspaces(workspaces);
        for (std::size_t index = 0; index < workers; ++index) {
            const std::string name = "w" + std::to_string(index);
            subject.note_worker_listed({.id = instance_id(name),
                                        .service = checks,
                                        .address = name + ":80",
                                        .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                       now);
            report(instance_id(name), {});
        }
    }

    void report(const instance_id& worker, std::vector<ended_run> ended)
    {
        now += milliseconds(1);
        subject.note_report(worker,
                            {.worker_clock = milliseconds(1000),
                             .running = running[worker],
                             .ended = {std::move(ended)}},
                            now - milliseconds(1), now);
    }

    void submit(const std::string& id, const workspace_id& workspace, const step_spec& step,
                time_point at)
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(step);
        subject.submit(job_id(id),
                       {.queue = "q", .workspace = workspace, .spec = std::move(spec), .at = at});
    }
    void submit(const std::string& id, const workspace_id& workspace,
                const step_spec& step = one_core)
    {
        now += milliseconds(1);
        submit(id, workspace, step, now);
    }

    /// Plans and returns the started jobs in order.
    std::vector<std::string> plan()
    {
        now += milliseconds(10);
        std::vector<std::string> jobs;
        for (const start_order& each : subject.plan(now, wall_time{}).starts) {
            running[each.worker].push_back({.run = each.run, .percent = 100});
            subject.note_start(each.worker, each.run, order_answer::accepted, now);
            jobs.push_back(each.run.task.job.str());
        }
        return jobs;
    }

    /// Ends the oldest run of the worker.
    void end_one(const instance_id& worker)
    {
        auto& runs = running[worker];
        const run_name run = runs.front().run;
        runs.erase(runs.begin());
        report(worker,
               {{.sequence = ++sequences[worker], .run = run, .end_reason = run_end_reason::done}});
    }
};

policy::workspace_policy workspace_of(const workspace_id& id, double rate)
{
    return {.id = id, .jobs_per_second = rate};
}

using names = std::vector<std::string>;

} // namespace

// Guards against a workspace whose excess delays the jobs of others.
TEST_CASE("jobs beyond their workspace's rate rank behind all others that have value")
{
    shares_fixture fixture({workspace_of(shop, 0.1), workspace_of(editors, 100)});
    // The count tolerates 3 jobs beside the one that is judged.
    for (int job = 0; job < 7; ++job) {
        fixture.submit("a" + std::to_string(job), shop);
    }
    fixture.submit("b", editors);
    fixture.submit("c", none);
    CHECK(fixture.plan() == names{"a0", "a1", "a2", "a3"});
    CHECK(fixture.subject.find(job_id("a4"))->is_beyond_rate());
    CHECK_FALSE(fixture.subject.find(job_id("a3"))->is_beyond_rate());
    for (int ended = 0; ended < 4; ++ended) {
        fixture.end_one(instance_id("w0"));
    }
    CHECK(fixture.plan() == names{"b", "c", "a4", "a5"});
}

// Guards against capacity spent on worthless jobs while an excess job has value.
TEST_CASE("jobs beyond the rate rank before those without value")
{
    shares_fixture fixture({workspace_of(shop, 0.1)});
    fixture.submit("old", none, one_core, fixture.now - seconds(62));
    for (int job = 0; job < 5; ++job) {
        fixture.submit("a" + std::to_string(job), shop);
    }
    CHECK(fixture.plan() == names{"a0", "a1", "a2", "a3"});
    fixture.end_one(instance_id("w0"));
    CHECK(fixture.plan() == names{"a4"});
}

// Guards against marks by the order in which a new leader reads the rows, and by clamped times.
TEST_CASE("inherited jobs are judged by their submission times")
{
    shares_fixture fixture({workspace_of(shop, 1)});
    const time_point now = fixture.now;
    for (int job = 0; job < 25; ++job) {
        const int age = (job * 7) % 25;
        fixture.submit("a" + std::to_string(job), shop, one_core, now - seconds(age));
    }
    for (int job = 0; job < 25; ++job) {
        fixture.submit("b" + std::to_string(job), shop, one_core, now - seconds(60));
    }
    static_cast<void>(fixture.plan());
    for (int job = 0; job < 25; ++job) {
        CHECK_FALSE(fixture.subject.find(job_id("a" + std::to_string(job)))->is_beyond_rate());
        CHECK_FALSE(fixture.subject.find(job_id("b" + std::to_string(job)))->is_beyond_rate());
    }
}

// Guards against the whole rate being allowed in each shard.
TEST_CASE("a shard allows its part of the rate")
{
    const auto marked = [](std::uint32_t shards) {
        shares_fixture fixture({workspace_of(shop, 10)}, {.shard_count = shards});
        for (int job = 0; job < 100; ++job) {
            fixture.submit("a" + std::to_string(100 + job), shop, one_core,
                           fixture.now + milliseconds(100 * job));
        }
        fixture.now += seconds(10);
        static_cast<void>(fixture.plan());
        int count = 0;
        for (int job = 0; job < 100; ++job) {
            const auto* found = fixture.subject.find(job_id("a" + std::to_string(100 + job)));
            count += found->is_beyond_rate() ? 1 : 0;
        }
        return count;
    };
    CHECK(marked(1) == 0);
    // 20 of 100 jobs are within the rate, and some more by the tolerance.
    const int by_five = marked(5);
    INFO("marked " << by_five);
    CHECK(by_five > 55);
    CHECK(by_five < 80);
}

// Guards against the largest demand taking all capacity in a shortage.
TEST_CASE("in a shortage, jobs of a workspace below its share come first")
{
    shares_fixture fixture({workspace_of(shop, 100), workspace_of(editors, 100)});
    for (int job = 0; job < 8; ++job) {
        fixture.submit("a" + std::to_string(job), shop);
    }
    for (int job = 0; job < 8; ++job) {
        fixture.submit("b" + std::to_string(job), editors);
    }
    // Nothing was short before the first round, so that the order is by objective.
    CHECK(fixture.plan() == names{"a0", "a1", "a2", "a3"});
    names started;
    for (int ended = 0; ended < 8; ++ended) {
        fixture.end_one(instance_id("w0"));
        for (const std::string& each : fixture.plan()) {
            started.push_back(each);
        }
    }
    // The first four runs of shop end before editors has its half of the cores.
    CHECK(started == names{"b0", "b1", "a4", "a5", "b2", "b3", "a6", "a7"});
}

// Guards against a change of the order where there are no workspaces or no shortage.
TEST_CASE("jobs without a workspace keep their order among each other")
{
    shares_fixture with({workspace_of(shop, 100), workspace_of(editors, 100)});
    shares_fixture without({});
    names order_with;
    names order_without;
    for (shares_fixture* fixture : {&with, &without}) {
        names& order = fixture == &with ? order_with : order_without;
        for (int job = 0; job < 20; ++job) {
            const std::string number = std::to_string(10 + job);
            fixture->submit("n" + number, none);
            fixture->submit("s" + number, shop);
        }
        for (int ended = 0; ended < 40; ++ended) {
            const auto started = fixture->plan();
            order.insert(order.end(), started.begin(), started.end());
            fixture->end_one(instance_id("w0"));
        }
    }
    names plain;
    for (int job = 0; job < 20; ++job) {
        plain.push_back("n" + std::to_string(10 + job));
        plain.push_back("s" + std::to_string(10 + job));
    }
    CHECK(order_without == plain);
    std::erase_if(order_with, [](const std::string& each) { return each.front() == 's'; });
    std::erase_if(plain, [](const std::string& each) { return each.front() == 's'; });
    CHECK(order_with == plain);
}

// Guards against a step wider than its workspace's share waiting forever behind smaller tasks.
TEST_CASE("wide steps don't starve in a shortage")
{
    for (const bool gang : {false, true}) {
        shares_fixture fixture({workspace_of(shop, 1), workspace_of(editors, 3)}, {}, 4);
        int next = 0;
        const auto keep_backlog = [&] {
            fixture.submit("b" + std::to_string(1000 + next++), editors);
        };
        for (int job = 0; job < 40; ++job) {
            keep_backlog();
        }
        static_cast<void>(fixture.plan());
        // 12 of 16 cores; its workspace's share is 4.
        step_spec wide = one_core;
        wide.count = 12;
        wide.gang = gang;
        fixture.submit("wide", shop, wide);
        std::set<std::uint32_t> started;
        for (int round = 0; round < 240 && started.size() < 12; ++round) {
            // Each run takes 0.64 s: one of the 16 cores gets free every 40 ms.
            keep_backlog();
            fixture.now += milliseconds(30);
            const instance_id worker("w" + std::to_string(round % 4));
            if (!fixture.running[worker].empty()) {
                fixture.end_one(worker);
            }
            fixture.now += milliseconds(9);
            for (const auto& each : fixture.subject.plan(fixture.now, wall_time{}).starts) {
                fixture.running[each.worker].push_back({.run = each.run, .percent = 100});
                fixture.subject.note_start(each.worker, each.run, order_answer::accepted,
                                           fixture.now);
                if (each.run.task.job == job_id("wide")) {
                    started.insert(each.run.task.index);
                }
            }
        }
        INFO((gang ? "gang" : "tasks") << " started: " << started.size());
        CHECK(started.size() == 12);
    }
}
