// Long-running tasks on workers that have announced that they leave.
#include "contended_pool.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

/// A stop, the report of its end and a start.
constexpr milliseconds hand_over_time = 2 * contended_pool::stop_time;

step_spec one_per_worker(std::uint32_t count)
{
    return {.count = count,
            .need = {.cpu_millis = 9600, .memory_mb = 34000},
            .max_per_worker = 1,
            .long_running = true};
}

/// Workers that tell how long they stay, each with one task of a job.
struct departing_fixture : contended_pool {
    job_id job;

    explicit departing_fixture(std::uint32_t tasks, int spare_workers = 0, std::uint64_t seed = 1)
        : contended_pool(seed)
    {
        announces_remaining = true;
        for (std::uint32_t each = 0; each < tasks; ++each) {
            add_worker();
        }
        job = submit(one_per_worker(tasks), "serving");
        advance(milliseconds(500));
        for (int each = 0; each < spare_workers; ++each) {
            add_worker();
        }
        longest_wait.clear();
    }
};

} // namespace

// Guards against a task that is stopped as soon as its worker announces that it leaves, seconds
// before there is another worker for it.
TEST_CASE("a long-running task runs on while its worker leaves and no other has room")
{
    departing_fixture pool(4);
    pool.drain(pool.workers_of(pool.job).front());
    pool.advance(seconds(3));
    CHECK(pool.ended.empty());
    CHECK(pool.worst_wait() == milliseconds(0));

    pool.add_worker();
    pool.advance(seconds(1));
    CHECK(pool.ended.empty());
    CHECK(pool.starts.size() == 5);
    CHECK(pool.worst_wait() <= hand_over_time);
    CHECK(pool.violations.empty());
}

// Guards against a run that its worker ends, and whose last checkpoint is lost with it.
TEST_CASE("a long-running task without another place is stopped before its worker has left")
{
    departing_fixture pool(4);
    const time_point drained = pool.now;
    pool.drain(pool.workers_of(pool.job).front());
    pool.advance(contended_pool::drain_time - contended_pool::tick);
    REQUIRE(pool.ended.size() == 1);
    CHECK(pool.ended.begin()->second < drained + contended_pool::drain_time);
    CHECK(pool.ended.begin()->second > drained + contended_pool::drain_time - seconds(2));
}

// Guards against a task that runs on until its worker has gone, as nobody knows when that is.
TEST_CASE("a long-running task is stopped soon where its worker doesn't tell how long it stays")
{
    departing_fixture pool(4);
    pool.announces_remaining = false;
    const time_point drained = pool.now;
    pool.drain(pool.workers_of(pool.job).front());
    pool.advance(seconds(2));
    REQUIRE(pool.ended.size() == 1);
    CHECK(pool.ended.begin()->second <= drained + seconds(2));
}

// Guards against tasks of a step that are stopped for the same place.
TEST_CASE("of two long-running tasks that leave, only the one that has a place is stopped")
{
    departing_fixture pool(4, 1);
    const auto leaving = pool.workers_of(pool.job);
    pool.drain(leaving[0]);
    pool.drain(leaving[1]);
    pool.advance(seconds(2));
    CHECK(pool.ended.empty());
    CHECK(pool.starts.size() == 5);
    CHECK(pool.worst_wait() <= hand_over_time);
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 1);

    pool.add_worker();
    pool.advance(seconds(1));
    CHECK(pool.starts.size() == 6);
    CHECK(pool.worst_wait() <= hand_over_time);
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 0);
    CHECK(pool.violations.empty());
}

// Guards against short tasks that take the room between the stop of a task and its next start, or
// that keep it waiting after the stop.
TEST_CASE("a long-running task that leaves has room kept for it while it runs on in a full pool")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        departing_fixture pool(4, 4, seed);
        pool.min_run = milliseconds(800);
        pool.max_run = milliseconds(2100);
        pool.backlog = 30;
        pool.advance(seconds(4) + milliseconds(pool.random() % 2100));
        pool.longest_wait.clear();
        pool.drain(pool.workers_of(pool.job).at(seed % 4));
        pool.advance(seconds(12));
        INFO("seed " << seed << ": waited " << pool.worst_wait().count() << " ms");
        CHECK(pool.worst_wait() <= hand_over_time);
        CHECK(pool.stopped_short_runs == 0);
        CHECK(pool.violations.empty());
    }
}

// Guards against room that stays reserved for a task of a cancelled job.
TEST_CASE("a job that is cancelled while its worker leaves is stopped at once")
{
    departing_fixture pool(4);
    pool.drain(pool.workers_of(pool.job).front());
    pool.advance(milliseconds(500));
    pool.subject.cancel(pool.job, pool.now);
    pool.advance(seconds(1));
    CHECK(pool.workers_of(pool.job).empty());
    CHECK(pool.violations.empty());
}
