#include "plantaindoor/policy/long_running_reservations.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds stop_time{1000};
constexpr resources need{.cpu_millis = 9600, .memory_mb = 34000};
constexpr resources four_cores{.cpu_millis = 4000, .memory_mb = 4000};

waiting_long_running waiting(const std::string& task, time_point since = start)
{
    return {.task = task, .need = need, .since = since};
}

short_run run_of(milliseconds age, milliseconds estimate)
{
    return {.footprint = four_cores, .use = four_cores, .age = age, .estimate = estimate};
}

/// 16 cores of which short runs use four each.
reservable_worker worker_of(const std::string& id, std::vector<short_run> runs)
{
    reservable_worker worker{.worker = instance_id(id),
                             .free = {.cpu_millis = 16000, .memory_mb = 128000}};
    for (const short_run& each : runs) {
        worker.free -= each.footprint;
    }
    worker.runs = std::move(runs);
    return worker;
}

reservable_worker full_worker(const std::string& id, milliseconds age, milliseconds estimate)
{
    return worker_of(id, std::vector<short_run>(4, run_of(age, estimate)));
}

std::vector<const reservable_worker*> pointers(const std::vector<reservable_worker>& workers)
{
    std::vector<const reservable_worker*> result;
    for (const reservable_worker& each : workers) {
        result.push_back(&each);
    }
    return result;
}

/// Reserves a worker for one task in a round of its own.
std::optional<worker_reservation> reserve(long_running_reservations& subject,
                                          const std::vector<reservable_worker>& workers,
                                          time_point now, const std::string& task = "a")
{
    subject.begin_round(now);
    auto result = subject.reserve(waiting(task), pointers(workers));
    subject.end_round();
    return result;
}

} // namespace

// Guards against a worker that idles for a task that it can't run anyway.
TEST_CASE("no worker is reserved for a task that fits on none without its short runs")
{
    long_running_reservations subject(stop_time);
    reservable_worker small = full_worker("w0", milliseconds(100), seconds(1));
    small.free.cpu_millis = -8000;
    CHECK_FALSE(reserve(subject, {small}, start));
    CHECK(subject.count() == 0);
}

// Guards against a worker that idles after the task has started or its job has ended.
TEST_CASE("a reservation ends with the wait of its task")
{
    long_running_reservations subject(stop_time);
    const std::vector<reservable_worker> workers{full_worker("w0", milliseconds(100), seconds(1)),
                                                 full_worker("w1", milliseconds(100), seconds(1))};
    REQUIRE(reserve(subject, workers, start));
    CHECK(subject.count() == 1);
    subject.begin_round(start + milliseconds(100));
    subject.end_round();
    CHECK(subject.count() == 0);
    CHECK_FALSE(subject.is_reserved(instance_id("w0")));
    CHECK_FALSE(subject.is_reserved(instance_id("w1")));
}

// Guards against a task that waits on the worker that gets room last.
TEST_CASE("the worker is reserved that is expected to have room first")
{
    long_running_reservations subject(stop_time);
    const auto reservation = reserve(subject,
                                     {full_worker("w0", milliseconds(100), seconds(2)),
                                      full_worker("w1", milliseconds(1500), seconds(2)),
                                      full_worker("w2", milliseconds(700), seconds(2))},
                                     start);
    REQUIRE(reservation);
    CHECK(reservation->worker == instance_id("w1"));
    CHECK(reservation->stops.empty());
}

// Guards against a slow worker where another one is in time.
TEST_CASE("a slow worker is reserved only where no other is in time")
{
    long_running_reservations subject(stop_time);
    reservable_worker slow = full_worker("w0", milliseconds(1500), seconds(2));
    slow.is_slow = true;
    const auto reservation =
        reserve(subject, {slow, full_worker("w1", milliseconds(100), seconds(2))}, start);
    REQUIRE(reservation);
    CHECK(reservation->worker == instance_id("w1"));
}

// Guards against several workers that idle in turn for one task.
TEST_CASE("a reservation stays on its worker while that is in time")
{
    long_running_reservations subject(stop_time);
    REQUIRE(reserve(subject,
                    {full_worker("w0", milliseconds(100), seconds(2)),
                     full_worker("w1", milliseconds(500), seconds(2))},
                    start)
                ->worker == instance_id("w1"));
    const auto later = reserve(subject,
                               {worker_of("w0", {run_of(milliseconds(600), milliseconds(800)),
                                                 run_of(milliseconds(600), milliseconds(800))}),
                                full_worker("w1", milliseconds(1000), seconds(2))},
                               start + milliseconds(500));
    REQUIRE(later);
    CHECK(later->worker == instance_id("w1"));
    CHECK(subject.count() == 1);
}

// Guards against a task that waits for a worker that may take no more tasks.
TEST_CASE("a reservation moves when its worker no longer suits")
{
    long_running_reservations subject(stop_time);
    const reservable_worker other = full_worker("w0", milliseconds(100), seconds(2));
    REQUIRE(reserve(subject, {other, full_worker("w1", milliseconds(500), seconds(2))}, start)
                ->worker == instance_id("w1"));
    const auto moved = reserve(subject, {other}, start + milliseconds(100));
    REQUIRE(moved);
    CHECK(moved->worker == instance_id("w0"));
    CHECK_FALSE(subject.is_reserved(instance_id("w1")));
}

// Guards against stops where the runs end in time by themselves, or another worker gets room.
TEST_CASE("no run is stopped before waiting would take too long")
{
    long_running_reservations subject(stop_time);
    for (milliseconds passed{0}; passed < max_reserved_wait - stop_time;
         passed += milliseconds(100)) {
        const auto reservation = reserve(
            subject, {full_worker("w0", milliseconds(500) + passed, seconds(15))}, start + passed);
        REQUIRE(reservation);
        CHECK(reservation->stops.empty());
    }
    const auto late = reserve(subject, {full_worker("w0", milliseconds(2500), milliseconds(3000))},
                              start + max_reserved_wait - stop_time);
    REQUIRE(late);
    CHECK(late->stops.empty());
}

// Guards against work thrown away for room that isn't needed.
TEST_CASE("the runs are stopped that cost least, and no more than needed")
{
    long_running_reservations subject(stop_time);
    // Beside 4 free cores the task needs 6 more.
    reservable_worker worker =
        worker_of("w0", {run_of(seconds(9), seconds(15)), run_of(seconds(4), seconds(15)),
                         run_of(seconds(6), seconds(15))});
    const time_point late = start + max_reserved_wait - stop_time;
    SECTION("the youngest runs")
    {
        const auto reservation = reserve(subject, {worker}, late);
        REQUIRE(reservation);
        CHECK(reservation->stops == std::vector<std::size_t>{1, 2});
    }
    SECTION("a checkpointing run before all others")
    {
        worker.runs[0].checkpointing = true;
        const auto reservation = reserve(subject, {worker}, late);
        REQUIRE(reservation);
        CHECK(reservation->stops == std::vector<std::size_t>{0, 1});
    }
    SECTION("a run of a gang counts with the whole gang")
    {
        worker.runs[1].gang_width = 6;
        const auto reservation = reserve(subject, {worker}, late);
        REQUIRE(reservation);
        CHECK(reservation->stops == std::vector<std::size_t>{2, 0});
    }
    SECTION("a run that ends in time isn't stopped")
    {
        worker.runs[0] = run_of(milliseconds(14500), seconds(15));
        const auto reservation = reserve(subject, {worker}, late);
        REQUIRE(reservation);
        CHECK(reservation->stops == std::vector<std::size_t>{1});
    }
    SECTION("one large run instead of several small ones")
    {
        worker.runs[2].footprint.cpu_millis = 6000;
        worker.runs[2].use = worker.runs[2].footprint;
        worker.free.cpu_millis = 2000 + 2000;
        const auto reservation = reserve(subject, {worker}, late);
        REQUIRE(reservation);
        CHECK(reservation->stops == std::vector<std::size_t>{2});
    }
    SECTION("a run whose stop is requested isn't stopped again")
    {
        worker.runs[1].stopping = true;
        const auto reservation = reserve(subject, {worker}, late);
        REQUIRE(reservation);
        CHECK(reservation->stops == std::vector<std::size_t>{2});
    }
    SECTION("the worker on which that costs least")
    {
        const auto reservation =
            reserve(subject, {worker, full_worker("w1", seconds(1), seconds(15))}, late);
        REQUIRE(reservation);
        CHECK(reservation->worker == instance_id("w1"));
        CHECK(reservation->stops.size() == 3);
    }
}

// Guards against two tasks that count on the same room.
TEST_CASE("each waiting task has room of its own")
{
    long_running_reservations subject(stop_time);
    std::vector<reservable_worker> workers{full_worker("w0", milliseconds(1500), seconds(2)),
                                           full_worker("w1", milliseconds(100), seconds(2))};
    subject.begin_round(start);
    const auto first = subject.reserve(waiting("a"), pointers(workers));
    REQUIRE(first);
    CHECK(first->worker == instance_id("w0"));
    workers[0].free -= need;
    const auto second = subject.reserve(waiting("b"), pointers(workers));
    REQUIRE(second);
    CHECK(second->worker == instance_id("w1"));
    workers[1].free -= need;
    CHECK_FALSE(subject.reserve(waiting("c"), pointers(workers)));
    subject.end_round();
    CHECK(subject.count() == 2);
}

// Guards against stops, or waits, by an estimate that the run itself has refuted.
TEST_CASE("the time that a run needs is told by its progress, then by its estimate")
{
    short_run run = run_of(seconds(2), seconds(20));
    CHECK(expected_remaining(run, stop_time) == seconds(18));
    run.percent = 80;
    run.progress_age = milliseconds(1600);
    CHECK(expected_remaining(run, stop_time) == milliseconds(50));
    run.percent = 40;
    CHECK(expected_remaining(run, stop_time) == seconds(2));
    run = run_of(seconds(6), seconds(1));
    CHECK(expected_remaining(run, stop_time) == seconds(3));
    run.stopping = true;
    CHECK(expected_remaining(run, stop_time) == stop_time);
}
