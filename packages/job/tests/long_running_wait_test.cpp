#include "contended_pool.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

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
