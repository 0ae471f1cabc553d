// Long-running tasks of a service whose workers leave while other pools have machines to give.
#include "departing_pool.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

/// How long a long-running task may be without a run.
constexpr seconds longest_allowed_wait{6};

job::step_spec one_per_worker(std::uint32_t count)
{
    return {.count = count,
            .need = {.cpu_millis = 200, .memory_mb = 100},
            .max_per_worker = 1,
            .long_running = true,
            .max_unavailable = 1};
}

/// The first by its id.
instance_id worker_of_other_pool(const departing_pool& pool)
{
    for (const auto& [id, worker] : pool.scheduler.workers()) {
        if (worker.listing.service == other_pool) {
            return id;
        }
    }
    return {};
}

std::vector<instance_id> workers_of_other_pool(const departing_pool& pool)
{
    std::vector<instance_id> found;
    for (const auto& [id, worker] : pool.scheduler.workers()) {
        if (worker.listing.service == other_pool) {
            found.push_back(id);
        }
    }
    return found;
}

/// Keeps all machines of the other pool busy with runs of that time.
void fill_other_pool(departing_pool& pool, std::uint32_t machines, milliseconds run_time)
{
    static_cast<void>(pool.submit(
        "orders",
        {.count = machines, .need = {.cpu_millis = 900, .memory_mb = 10}, .estimate = run_time},
        run_time));
}

void leave_two_workers_of(const job_id& job, departing_pool& pool)
{
    const std::vector<instance_id> leaving = pool.workers_of(job);
    pool.leave(leaving.at(0));
    pool.leave(leaving.at(1));
}

} // namespace

// Guards against long-running tasks that wait for a machine until a departing worker has ended.
TEST_CASE("a long-running task gets another machine while workers of its service leave in series")
{
    departing_pool pool(7, 10);
    const job_id job = pool.submit("checks", one_per_worker(6));
    pool.run_for(seconds(1));
    REQUIRE(pool.workers_of(job).size() == 6);

    pool.leave(pool.workers_of(job).front());
    for (int departure = 0; departure < 6; ++departure) {
        pool.leave(pool.workers_of(job).back());
        pool.run_for(seconds(1));
    }
    pool.run_for(seconds(15));

    CHECK(pool.workers_of(job).size() == 6);
    CHECK(pool.longest_wait(job) < longest_allowed_wait);
}

// Guards against a long-running task that is without a run for as long as it takes to move a
// machine, though its worker had announced its end early enough.
TEST_CASE("a long-running task runs on until a machine has been moved for it")
{
    departing_pool pool(3, 4);
    const job_id job = pool.submit("checks", one_per_worker(3));
    pool.run_for(seconds(1));
    pool.announce_remaining();
    leave_two_workers_of(job, pool);
    pool.run_for(seconds(10));
    CHECK(pool.workers_of(job).size() == 3);
    CHECK(pool.orders.size() >= 2);
    CHECK(pool.longest_wait(job) <= milliseconds(500));
}

// Guards against a pool that counts on a machine that it is about to lose.
TEST_CASE("the machine of a draining worker is replaced before it has ended")
{
    departing_pool pool(4, 4);
    const job_id job = pool.submit("checks", one_per_worker(3));
    pool.run_for(seconds(1));
    REQUIRE(pool.orders.empty());

    pool.leave(pool.workers_of(job).front());
    pool.tick();
    REQUIRE(pool.orders.size() == 1);
    CHECK(pool.orders.front().pool == served_pool);
    CHECK(pool.planner.pools().at(served_pool).leaving == 1);

    pool.run_for(seconds(10));
    CHECK(pool.orders.size() == 1);
}

// Guards against orders that the platform refuses, while the pool that needs a machine waits.
TEST_CASE("a machine whose worker drains isn't moved to another pool")
{
    departing_pool pool(4, 3);
    const job_id job = pool.submit("checks", one_per_worker(3));
    pool.run_for(seconds(1));
    const instance_id leaving = worker_of_other_pool(pool);
    pool.leave(leaving);
    pool.leave(pool.workers_of(job).front());
    pool.run_for(seconds(1));
    REQUIRE(!pool.orders.empty());
    for (const machine_order& each : pool.orders) {
        CHECK(each.worker != leaving);
    }
}

// Guards against long-running tasks that wait for ever since all workers of their service lack
// memory, of which processor time tells nothing.
TEST_CASE("a long-running task that fits on no worker of its pool gets a machine")
{
    departing_pool pool(2, 4);
    const job_id job = pool.submit(
        "checks", {.count = 4, .need = {.cpu_millis = 10, .memory_mb = 600}, .long_running = true});
    pool.run_for(seconds(8));
    CHECK(pool.workers_of(job).size() == 4);
    CHECK(pool.longest_wait(job) < longest_allowed_wait);
    // One more than the tasks use is kept for departures.
    CHECK(pool.orders.size() <= 3);
}

// Guards against long-running tasks that wait while urgent work asks for more machines than there
// are: it has to share what is left.
TEST_CASE("a long-running task gets a machine from a pool that urgent work fills")
{
    departing_pool pool(3, 6);
    const job_id job = pool.submit("checks", one_per_worker(3));
    pool.run_for(seconds(1));
    REQUIRE(pool.workers_of(job).size() == 3);
    // Its pool is full, and a backlog remains.
    for (int second = 0; second < 12; ++second) {
        static_cast<void>(pool.submit(
            "orders",
            {.count = 10, .need = {.cpu_millis = 450, .memory_mb = 10}, .estimate = seconds(1)},
            milliseconds(1200)));
        if (second == 3) {
            pool.leave(pool.workers_of(job).front());
            pool.leave(pool.workers_of(job).back());
        }
        pool.run_for(seconds(1));
    }
    CHECK(pool.workers_of(job).size() == 3);
    CHECK(pool.longest_wait(job) < longest_allowed_wait);
}

// Guards against a machine that is moved for long-running tasks only once its short runs have ended
// by themselves.
TEST_CASE("a long-running task gets a machine in time from a pool with long runs on all machines")
{
    departing_pool pool(3, 4);
    pool.take_to_stop(seconds(1));
    const job_id job = pool.submit("checks", one_per_worker(3));
    fill_other_pool(pool, 4, seconds(15));
    pool.run_for(seconds(1));
    REQUIRE(pool.orders.empty());
    leave_two_workers_of(job, pool);
    pool.run_for(seconds(35));
    CHECK(pool.workers_of(job).size() == 3);
    CHECK(pool.longest_wait(job) < longest_allowed_wait);
    // The other two machines are still enough for what is left.
    CHECK(pool.stopped_short_runs == 2);
    CHECK(pool.scheduler.open_count() == 1);
}

// Guards against work that is thrown away for a machine that would have been free in time.
TEST_CASE("short runs that end in time aren't stopped before a machine is moved")
{
    departing_pool pool(3, 4);
    const job_id job = pool.submit("checks", one_per_worker(3));
    pool.run_for(seconds(1));
    fill_other_pool(pool, 4, milliseconds(1500));
    pool.run_for(milliseconds(200));
    leave_two_workers_of(job, pool);
    pool.run_for(seconds(10));
    CHECK(pool.workers_of(job).size() == 3);
    CHECK(pool.longest_wait(job) < longest_allowed_wait);
    CHECK(pool.stopped_short_runs == 0);
}

// Guards against short runs that are stopped on a machine which can't be moved, as other
// long-running tasks run there.
TEST_CASE("nothing is stopped on a machine that other long-running tasks need")
{
    departing_pool pool(3, 3);
    const job_id job = pool.submit("checks", one_per_worker(3));
    const job_id other = pool.submit("orders", one_per_worker(3));
    pool.run_for(seconds(1));
    static_cast<void>(pool.submit(
        "orders",
        {.count = 3, .need = {.cpu_millis = 700, .memory_mb = 10}, .estimate = seconds(15)},
        seconds(15)));
    pool.run_for(seconds(1));
    REQUIRE(pool.workers_of(other).size() == 3);
    leave_two_workers_of(job, pool);
    pool.run_for(seconds(8));
    CHECK(pool.stopped_short_runs == 0);
    CHECK(pool.orders.empty());
    CHECK(pool.longest_wait(other) <= milliseconds(100));
}

// Guards against a long-running task that never runs since no machine of its pool has the label
// that it requires, while others have it.
TEST_CASE("a long-running task gets a machine with the label that it requires")
{
    departing_pool pool(2, 4);
    const std::vector<instance_id> others = workers_of_other_pool(pool);
    pool.set_label(others.at(2), "large");
    pool.run_for(milliseconds(500));
    // The machines with the label aren't the first that are free.
    fill_other_pool(pool, 1, seconds(15));
    pool.run_for(milliseconds(500));
    job::step_spec step = one_per_worker(1);
    step.required_label = "large";
    const job_id job = pool.submit("checks", step);
    pool.run_for(seconds(10));
    REQUIRE(pool.workers_of(job).size() == 1);
    CHECK(pool.scheduler.workers().at(pool.workers_of(job).front()).listing.has_label("large"));
    CHECK(pool.longest_wait(job) < longest_allowed_wait);
    CHECK(pool.orders.size() == 1);
}

// Guards against machines that are moved one after another though none of them has the label.
TEST_CASE("no machine is moved for a label that none has")
{
    departing_pool pool(3, 6);
    job::step_spec step = one_per_worker(2);
    step.required_label = "large";
    const job_id job = pool.submit("checks", step);
    pool.run_for(seconds(10));
    CHECK(pool.workers_of(job).empty());
    CHECK(pool.orders.empty());
}

// Guards against a task that needs a label and one that doesn't, of which one gets no machine as
// the other's counts for both.
TEST_CASE("long-running tasks with and without a required label each get their machines")
{
    departing_pool pool(1, 6);
    for (const instance_id& each : workers_of_other_pool(pool)) {
        pool.set_label(each, each.str().back() % 2 == 0 ? "large" : "small");
    }
    pool.run_for(milliseconds(500));
    job::step_spec labelled = one_per_worker(2);
    labelled.required_label = "large";
    const job_id first = pool.submit("checks", labelled);
    const job_id second = pool.submit("checks", one_per_worker(3));
    pool.run_for(seconds(10));
    CHECK(pool.workers_of(first).size() == 2);
    CHECK(pool.workers_of(second).size() == 3);
    CHECK(pool.longest_wait(first) < longest_allowed_wait);
    CHECK(pool.longest_wait(second) < longest_allowed_wait);
}

// Guards against a pool that counts for ever on a worker that never comes.
TEST_CASE("a long-running task doesn't wait for a moved machine whose worker never answers")
{
    departing_pool pool(4, 6);
    const job_id job = pool.submit("checks", one_per_worker(3));
    pool.run_for(seconds(1));
    pool.lose_new_workers();
    leave_two_workers_of(job, pool);
    pool.run_for(milliseconds(300));
    const std::size_t lost = pool.orders.size();
    REQUIRE(lost > 0);
    pool.run_for(milliseconds(1500));
    REQUIRE(pool.workers_of(job).size() == 2);
    pool.run_for(milliseconds(3500));
    CHECK(pool.orders.size() > lost);
}

// Guards against one machine that the platform won't move and that is tried again and again.
TEST_CASE("another machine is moved after the platform has refused to move one")
{
    departing_pool pool(4, 4);
    const job_id job = pool.submit("checks", one_per_worker(3));
    pool.run_for(seconds(1));
    pool.refuse_moves(worker_of_other_pool(pool));
    leave_two_workers_of(job, pool);
    pool.run_for(seconds(8));
    CHECK(pool.workers_of(job).size() == 3);
    CHECK(pool.longest_wait(job) < longest_allowed_wait);
    CHECK(pool.orders.size() <= 6);
}

// Guards against a worker that takes no tasks any more: it was cordoned for a move that was given
// up when it announced that it leaves.
TEST_CASE("a worker is uncordoned when the order for its machine is dropped as it drains")
{
    departing_pool pool(2, 3);
    static_cast<void>(pool.submit(
        "orders",
        {.count = 3, .need = {.cpu_millis = 600, .memory_mb = 10}, .estimate = seconds(3)},
        seconds(3)));
    pool.run_for(milliseconds(500));
    const job_id job = pool.submit("checks", one_per_worker(3));
    pool.run_for(milliseconds(300));
    const auto cordoned = [&] {
        std::vector<instance_id> found;
        for (const auto& [id, worker] : pool.scheduler.workers()) {
            if (worker.cordoned) {
                found.push_back(id);
            }
        }
        return found;
    };
    REQUIRE(!cordoned().empty());
    const instance_id worker = cordoned().front();
    pool.leave(worker);
    pool.run_for(milliseconds(300));
    CHECK_FALSE(pool.scheduler.workers().at(worker).cordoned);
    CHECK(pool.workers_of(job).size() >= 2);
}
