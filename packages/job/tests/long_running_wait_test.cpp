#include "contended_pool.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

/// A long-running task has to run again within this time.
constexpr milliseconds wait_bound{6000};
constexpr resources serving_need{.cpu_millis = 9600, .memory_mb = 34000};

step_spec serving_step(std::uint32_t count, std::uint32_t max_per_worker = 0)
{
    return {.count = count,
            .need = serving_need,
            .max_per_worker = max_per_worker,
            .long_running = true};
}

std::vector<std::uint32_t> indices_of(const std::vector<run_name>& starts)
{
    std::vector<std::uint32_t> indices;
    for (const run_name& each : starts) {
        indices.push_back(each.task.index);
    }
    return indices;
}

/// A pool full of long-running tasks and of short ones that run for 0.8 to 2.1 s.
struct full_pool : contended_pool {
    explicit full_pool(std::uint64_t seed, int worker_count) : contended_pool(seed)
    {
        for (int each = 0; each < worker_count; ++each) {
            add_worker();
        }
    }

    void fill()
    {
        advance(milliseconds(500));
        min_run = milliseconds(800);
        max_run = milliseconds(2100);
        backlog = 30;
        advance(seconds(4) + milliseconds(random() % 2100));
        longest_wait.clear();
        rounds_with_unused_workers = 0;
    }

    /// Drains workers of the job's tasks one after the other.
    void drain_workers_of(const job_id& job, std::size_t count, milliseconds interval)
    {
        const std::vector<instance_id> ids = workers_of(job);
        for (std::size_t each = 0; each < count; ++each) {
            drain(ids.at(each));
            advance(interval);
        }
    }
};

} // namespace

// Guards against a task that waits while tasks stopped later get the new workers.
TEST_CASE("of several waiting tasks of a step, the one that has waited longest starts first")
{
    contended_pool pool;
    std::vector<instance_id> ids;
    for (int each = 0; each < 4; ++each) {
        ids.push_back(pool.add_worker());
    }
    const job_id job = pool.submit(serving_step(4, 1), "serving");
    pool.advance(milliseconds(500));
    REQUIRE(pool.starts.size() == 4);
    std::map<std::uint32_t, instance_id> worker_of;
    for (const auto& [id, worker] : pool.workers) {
        worker_of[worker.runs.front().name.task.index] = id;
    }
    pool.starts.clear();
    const std::vector<std::uint32_t> order{3, 1, 2, 0};
    for (const std::uint32_t index : order) {
        pool.drain(worker_of[index]);
        pool.advance(milliseconds(800));
    }
    for (int each = 0; each < 4; ++each) {
        pool.add_worker();
        pool.advance(milliseconds(200));
    }
    CHECK(indices_of(pool.starts) == order);
    CHECK(pool.violations.empty());
}

// Guards against a task that waits while tasks of another job, stopped later, get the new workers.
TEST_CASE("of waiting tasks of several jobs, the one that has waited longest starts first")
{
    contended_pool pool;
    for (int each = 0; each < 4; ++each) {
        pool.add_worker();
    }
    const job_id first = pool.submit(serving_step(2, 1), "serving");
    const job_id urgent = pool.submit(serving_step(2, 1), "serving-urgent");
    pool.advance(milliseconds(500));
    REQUIRE(pool.starts.size() == 4);
    const auto of_first = pool.workers_of(first);
    const auto of_urgent = pool.workers_of(urgent);
    pool.starts.clear();
    std::vector<task_name> stopped;
    for (const instance_id& each : {of_first[1], of_urgent[0], of_first[0], of_urgent[1]}) {
        stopped.push_back(pool.workers.at(each).runs.front().name.task);
        pool.drain(each);
        pool.advance(milliseconds(800));
    }
    for (int each = 0; each < 4; ++each) {
        pool.add_worker();
        pool.advance(milliseconds(200));
    }
    std::vector<task_name> started;
    for (const run_name& each : pool.starts) {
        started.push_back(each.task);
    }
    CHECK(started == stopped);
    CHECK(pool.violations.empty());
}

// Guards against a rejected start that sends a task back to the end of the queue.
TEST_CASE("a rejected start doesn't end the wait of a long-running task")
{
    contended_pool pool;
    const job_id job = pool.submit(serving_step(1), "serving");
    pool.advance(milliseconds(50));
    const task_record& task =
        pool.subject.find(job)->occurrences().at(0).steps.front().tasks.front();
    REQUIRE(task.waiting_since);
    const time_point since = *task.waiting_since;
    pool.now += milliseconds(400);
    pool.add_worker();
    const orders given = pool.subject.plan(pool.now, wall_time{});
    REQUIRE(given.starts.size() == 1);
    CHECK_FALSE(task.waiting_since);
    pool.subject.note_start(given.starts.front().worker, given.starts.front().run,
                            order_answer::no_capacity, pool.now);
    CHECK(task.waiting_since == since);
}

// Guards against waits that a new leader counts from before it could start the task.
TEST_CASE("a new leader counts the wait of a long-running task from its own start")
{
    scheduler successor({.predecessor_grace = milliseconds(0)}, time_point(seconds(100)));
    successor.set_queues({{.name = "serving", .service = contended_pool::service}});
    auto spec = std::make_shared<job_spec>();
    spec->steps.push_back(serving_step(1));
    const job_id job("j");
    successor.submit(
        job, {.queue = "serving", .spec = spec, .at = time_point(seconds(40)), .inherited = true});
    static_cast<void>(successor.plan(time_point(seconds(100)), wall_time{}));
    static_cast<void>(successor.plan(time_point(seconds(101)), wall_time{}));
    CHECK(successor.find(job)->occurrences().at(0).steps.front().tasks.front().waiting_since ==
          time_point(seconds(100)));
}

// Guards against short tasks that take each bit of room before there is enough for a long-running
// task whose worker drains.
TEST_CASE("a long-running task starts again in time where short tasks fill the pool")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        full_pool pool(seed, 8);
        const job_id job = pool.submit(serving_step(4), "serving");
        pool.fill();
        REQUIRE(pool.ended.empty());
        pool.drain_workers_of(job, 1, seconds(12));
        INFO("seed " << seed << ": waited " << pool.worst_wait().count() << " ms");
        CHECK(pool.worst_wait() < wait_bound);
        CHECK(pool.stopped_short_runs == 0);
        CHECK(pool.rounds_with_unused_workers == 0);
        CHECK(pool.violations.empty());
    }
}

// Guards against the same where the worker ends without notice.
TEST_CASE("a long-running task starts again in time after the end of its worker in a full pool")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        full_pool pool(seed, 8);
        const job_id job = pool.submit(serving_step(4), "serving");
        pool.fill();
        pool.workers.at(pool.workers_of(job).front()).ends_at = pool.now;
        pool.advance(seconds(12));
        INFO("seed " << seed << ": waited " << pool.worst_wait().count() << " ms");
        CHECK(pool.worst_wait() < wait_bound);
        CHECK(pool.violations.empty());
    }
}

// Guards against the same where most workers may not take the task because of its siblings.
TEST_CASE("a long-running task starts again in time beside siblings on all workers but two")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        full_pool pool(seed, 8);
        const job_id job = pool.submit(serving_step(6, 1), "serving");
        pool.fill();
        pool.drain_workers_of(job, 1, seconds(12));
        INFO("seed " << seed << ": waited " << pool.worst_wait().count() << " ms");
        CHECK(pool.worst_wait() < wait_bound);
        CHECK(pool.violations.empty());
    }
}

// Guards against LOST: each new leader counted the wait anew, so that short tasks were stopped for
// the long-running one only once a leader had lasted for as long as a task may wait.
TEST_CASE("a long-running task starts again in time where the leader changes while it waits")
{
    for (int changes = 1; changes <= 3; ++changes) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            full_pool pool(seed, 8);
            const job_id job = pool.submit(serving_step(4, 1), "serving");
            pool.short_estimate = seconds(15);
            pool.fill();
            pool.min_run = seconds(12);
            pool.max_run = seconds(15);
            pool.advance(seconds(8));
            pool.longest_wait.clear();
            pool.workers.at(pool.workers_of(job).front()).ends_at = pool.now;
            for (int change = 0; change < changes; ++change) {
                pool.advance(milliseconds(1500));
                pool.replace_leader();
            }
            pool.advance(seconds(12));
            INFO(changes << " changes, seed " << seed << ": waited " << pool.worst_wait().count()
                         << " ms");
            CHECK(pool.worst_wait() < wait_bound);
            CHECK(pool.violations.empty());
        }
    }
}

// Guards against a task that waits while tasks stopped later get the new workers of a new leader.
TEST_CASE("a new leader starts first the long-running task that has waited longest")
{
    contended_pool pool;
    for (int each = 0; each < 4; ++each) {
        pool.add_worker();
    }
    pool.submit(serving_step(4, 1), "serving");
    pool.advance(milliseconds(500));
    REQUIRE(pool.starts.size() == 4);
    std::map<std::uint32_t, instance_id> worker_of;
    for (const auto& [id, worker] : pool.workers) {
        worker_of[worker.runs.front().name.task.index] = id;
    }
    pool.starts.clear();
    const std::vector<std::uint32_t> order{3, 1, 2, 0};
    pool.add_worker({.cpu_millis = 100, .memory_mb = 100});
    for (const std::uint32_t index : order) {
        pool.workers.at(worker_of[index]).ends_at = pool.now;
        pool.advance(milliseconds(1200));
        pool.replace_leader();
    }
    for (int each = 0; each < 4; ++each) {
        pool.add_worker();
        pool.advance(milliseconds(200));
    }
    CHECK(indices_of(pool.starts) == order);
    CHECK(pool.violations.empty());
}

// Guards against a wait of hours, or one that ends in the future, after a jump of the wall clock.
TEST_CASE("the wait that a new leader takes over is bounded when the wall clock jumps")
{
    contended_pool pool;
    pool.add_worker({.cpu_millis = 100, .memory_mb = 100});
    const job_id job = pool.submit(serving_step(1), "serving");
    pool.advance(seconds(100));
    const auto jump = GENERATE(-3600, 0, 3600);
    pool.wall_offset = seconds(jump);
    pool.replace_leader();
    const time_point replaced = pool.now;
    pool.advance(contended_pool::tick);
    const auto since =
        pool.subject.find(job)->occurrences().at(0).steps.front().tasks.front().waiting_since;
    REQUIRE(since);
    CHECK(*since >= replaced - max_inherited_wait);
    CHECK(*since <= replaced + (jump < 0 ? contended_pool::tick : -seconds(50)));
}

// Guards against rows that are written in every round while a task waits.
TEST_CASE("the wait of a long-running task is persisted once, and its end once")
{
    contended_pool pool;
    pool.add_worker({.cpu_millis = 100, .memory_mb = 100});
    pool.submit(serving_step(1), "serving");
    pool.advance(seconds(10));
    CHECK(pool.long_running_rows == 1);
    pool.add_worker();
    pool.advance(seconds(10));
    CHECK(pool.starts.size() == 1);
    CHECK(pool.long_running_rows == 2);
}

// Guards against a task that, stopped after its wait was persisted, seems to have waited since.
TEST_CASE("a wait that has ended doesn't count for a later leader")
{
    contended_pool pool;
    pool.add_worker({.cpu_millis = 100, .memory_mb = 100});
    const job_id job = pool.submit(serving_step(1), "serving");
    pool.advance(seconds(10));
    pool.add_worker();
    pool.advance(seconds(10));
    REQUIRE(pool.workers_of(job).size() == 1);
    pool.workers.at(pool.workers_of(job).front()).ends_at = pool.now;
    pool.advance(contended_pool::tick);
    const time_point ended = pool.now;
    pool.replace_leader();
    pool.advance(contended_pool::tick);
    const task_record& task =
        pool.subject.find(job)->occurrences().at(0).steps.front().tasks.front();
    REQUIRE(task.waiting_since);
    CHECK(*task.waiting_since >= ended);
}

// Guards against tasks that wait because the reserved room serves only one of them at a time.
TEST_CASE("several long-running tasks of two jobs start again in time in a full pool")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        full_pool pool(seed, 16);
        const job_id first = pool.submit(serving_step(5, 1), "serving");
        const job_id second = pool.submit(serving_step(5, 1), "serving-urgent");
        pool.fill();
        REQUIRE(pool.ended.empty());
        pool.drain_workers_of(first, 2, milliseconds(50 * (seed % 30)));
        pool.drain_workers_of(second, 3, milliseconds(0));
        pool.advance(seconds(12));
        INFO("seed " << seed << ": waited " << pool.worst_wait().count() << " ms");
        CHECK(pool.worst_wait() < wait_bound);
        CHECK(pool.rounds_with_unused_workers == 0);
        CHECK(pool.violations.empty());
    }
}

// Guards against a wait as long as the short tasks run.
TEST_CASE("short tasks that would end too late are stopped for a long-running task")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        full_pool pool(seed, 8);
        const job_id job = pool.submit(serving_step(4, 1), "serving");
        pool.short_estimate = seconds(15);
        pool.fill();
        pool.min_run = seconds(12);
        pool.max_run = seconds(15);
        pool.advance(seconds(8));
        pool.longest_wait.clear();
        const std::size_t before = pool.stopped_short_runs;
        pool.drain_workers_of(job, 1, seconds(12));
        INFO("seed " << seed << ": waited " << pool.worst_wait().count() << " ms, stopped "
                     << pool.stopped_short_runs - before);
        CHECK(pool.worst_wait() < wait_bound);
        // A worker has at most five short tasks.
        CHECK(pool.stopped_short_runs - before <= 5);
        CHECK(pool.violations.empty());
    }
}

// Guards against stops that a rough estimate would cause or delay.
TEST_CASE("a long-running task starts again in time where the estimates of short tasks are wrong")
{
    for (const milliseconds estimate : {milliseconds(300), milliseconds(20000)}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            full_pool pool(seed, 8);
            const job_id job = pool.submit(serving_step(4, 1), "serving");
            pool.short_estimate = estimate;
            pool.fill();
            pool.min_run = pool.max_run = seconds(estimate < seconds(1) ? 15 : 1);
            pool.advance(seconds(8));
            pool.longest_wait.clear();
            pool.drain_workers_of(job, 1, seconds(12));
            INFO("estimate " << estimate.count() << " ms, seed " << seed << ": waited "
                             << pool.worst_wait().count() << " ms");
            CHECK(pool.worst_wait() < wait_bound);
            CHECK(pool.violations.empty());
        }
    }
}

// Guards against workers that idle for a task that can't run there.
TEST_CASE("no worker is kept free for a long-running task that fits on none")
{
    const auto work_with = [](std::uint32_t tasks) {
        full_pool pool(1, 6);
        pool.submit(serving_step(tasks, 1), "serving");
        pool.fill();
        pool.done_work = 0;
        pool.advance(seconds(20));
        CHECK(pool.ended.size() == tasks - 6);
        CHECK(pool.workers_with_room() == 0);
        CHECK(pool.stopped_short_runs == 0);
        return pool.done_work;
    };
    CHECK(work_with(9) == Approx(work_with(6)));
}

// Guards against workers that idle for a task that waits at its workspace's cap.
TEST_CASE("no worker is kept free for a long-running task at its workspace's cap")
{
    full_pool pool(1, 6);
    const workspace_id shop("shop");
    pool.subject.set_workspaces(
        {{.id = shop,
          .jobs_per_second = 100,
          .cap = resources{.cpu_millis = 3 * serving_need.cpu_millis, .memory_mb = 600000}}});
    pool.submit(serving_step(4), "serving", shop);
    pool.fill();
    REQUIRE(pool.ended.size() == 1);
    for (int round = 0; round < 100; ++round) {
        pool.advance(contended_pool::tick);
        CHECK(pool.workers_with_room() == 0);
    }
    CHECK(pool.stopped_short_runs == 0);
}

// Guards against room that stays reserved for a job that no longer wants it.
TEST_CASE("reserved room is used again at once when the long-running job is cancelled")
{
    full_pool pool(1, 8);
    const job_id job = pool.submit(serving_step(4, 1), "serving");
    pool.fill();
    pool.drain_workers_of(job, 1, contended_pool::tick);
    for (int round = 0; round < 40 && pool.workers_with_room() == 0; ++round) {
        pool.advance(contended_pool::tick);
    }
    REQUIRE(pool.unplaced() == 1);
    REQUIRE(pool.workers_with_room() == 1);
    pool.subject.cancel(job, pool.now);
    pool.ended.clear();
    pool.advance(2 * contended_pool::stop_time);
    CHECK(pool.workers_with_room() == 0);
}

// Guards against waits that only a series of changes brings about, as in a roll-out.
TEST_CASE("long-running tasks start again in time while one worker after the other is replaced")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        full_pool pool(seed, 14);
        const job_id first = pool.submit(serving_step(5, 1), "serving");
        const job_id second = pool.submit(serving_step(3), "serving-urgent");
        pool.short_estimate = seconds(1 + seed % 8);
        pool.checkpointing_share = 0.3;
        pool.fill();
        pool.min_run = pool.short_estimate / 2;
        pool.max_run = pool.short_estimate * 2;
        pool.longest_wait.clear();
        std::vector<time_point> replacements;
        for (int round = 0; round < 16; ++round) {
            const auto ids = pool.workers_of(round % 3 == 0 ? second : first);
            const auto staying = std::find_if(ids.begin(), ids.end(), [&](const instance_id& id) {
                return !pool.workers.at(id).listing.draining;
            });
            if (staying != ids.end()) {
                pool.drain(*staying);
                replacements.push_back(pool.now + milliseconds(1500 + pool.random() % 3000));
            }
            for (int step = 0; step < 10 + int(pool.random() % 20); ++step) {
                pool.advance(contended_pool::tick);
                std::erase_if(replacements, [&](time_point at) {
                    const bool is_due = pool.now >= at;
                    if (is_due) {
                        pool.add_worker();
                    }
                    return is_due;
                });
            }
        }
        pool.advance(seconds(6));
        INFO("seed " << seed << ": waited " << pool.worst_wait().count() << " ms, stopped "
                     << pool.stopped_short_runs);
        CHECK(pool.worst_wait() < wait_bound);
        CHECK(pool.ended.empty());
        CHECK(pool.violations.empty());
    }
}

// Guards against members of a gang that wait for one that was stopped.
TEST_CASE("a worker's short runs are stopped with the rest of their gang")
{
    contended_pool pool;
    std::vector<instance_id> ids;
    for (int worker = 0; worker < 3; ++worker) {
        ids.push_back(pool.add_worker());
    }
    const job_id gang = pool.submit({.count = 3,
                                     .need = {.cpu_millis = 6000, .memory_mb = 1000},
                                     .estimate = seconds(20),
                                     .gang = true},
                                    "urgent");
    const job_id serving = pool.submit(serving_step(3, 1), "serving");
    pool.advance(seconds(1));
    REQUIRE(pool.workers_of(gang).size() == 3);
    REQUIRE(pool.workers_of(serving).size() == 3);

    const auto runs = pool.subject.short_runs(ids.front(), pool.now);
    REQUIRE(runs.size() == 1);
    CHECK(runs.begin()->second.gang_width == 3);
    std::vector<run_name> stopped;
    for (const auto& [name, run] : pool.subject.workers().at(ids.front()).runs) {
        stopped.push_back(name);
    }
    REQUIRE(stopped.size() == 2);
    pool.subject.stop_short_runs(ids.front(), stopped);
    pool.advance(milliseconds(100));
    CHECK(pool.stopped_short_runs == 3);
    CHECK(pool.starts.size() == 3);
    pool.advance(seconds(2));
    CHECK(pool.workers_of(serving).size() == 3);
    CHECK(pool.starts.size() == 3);
}
