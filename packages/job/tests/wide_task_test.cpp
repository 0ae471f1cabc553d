// How long short tasks wait that are wider than the room that narrower tasks leave.
#include "contended_pool.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr resources worker_capacity{.cpu_millis = 64000, .memory_mb = 256000};
constexpr resources wide_by_cores{.cpu_millis = 38000, .memory_mb = 4000};
constexpr resources wide_by_memory{.cpu_millis = 15550, .memory_mb = 85312};
constexpr milliseconds longest_run{3000};
constexpr milliseconds report_interval{500};
constexpr milliseconds longest_wait =
    policy::worker_holds::patience + policy::worker_holds::choice_interval +
    job_waits::sample_interval + report_interval + longest_run + 2 * contended_pool::tick;
constexpr resources small{.cpu_millis = 32000, .memory_mb = 256000};
const workspace_id alpha{"alpha"};

/// Workers of 64 cores that are full of tasks of 3 to 6 cores. All of these that are submitted
/// later have later objectives than a wide one.
struct wide_pool : contended_pool {
    explicit wide_pool(std::uint64_t seed = 1, std::size_t count = 4) : contended_pool(seed)
    {
        min_run = milliseconds(300);
        max_run = longest_run;
        for (std::size_t each = 0; each < count; ++each) {
            add_worker(worker_capacity);
        }
        fill();
    }
    explicit wide_pool(const std::vector<resources>& capacities) : contended_pool(1)
    {
        min_run = milliseconds(300);
        max_run = longest_run;
        for (const resources& each : capacities) {
            add_worker(each);
        }
        fill();
    }

    void fill()
    {
        backlog = 10;
        advance(seconds(5));
    }
    /// Lets the job's tasks have any id.
    job_id submit_as(const std::string& id, const step_spec& step,
                     const workspace_id& workspace = {})
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(step);
        subject.submit(
            job_id(id),
            {.queue = "urgent", .workspace = workspace, .spec = std::move(spec), .at = now});
        return job_id(id);
    }
    /// Returns the time until a task of the job runs; nullopt if none does within `limit`.
    std::optional<milliseconds> wait_for_start(const job_id& id, milliseconds limit)
    {
        const time_point began = now;
        while (now < began + limit) {
            if (!workers_of(id).empty()) {
                return std::chrono::duration_cast<milliseconds>(now - began);
            }
            advance(tick);
            most_with_room = std::max(most_with_room, workers_with_room());
            most_held = std::max(most_held, held().size());
        }
        return std::nullopt;
    }
    [[nodiscard]] std::vector<instance_id> held() const
    {
        std::vector<instance_id> found;
        for (const auto& [id, each] : workers) {
            if (subject.is_held(id)) {
                found.push_back(id);
            }
        }
        return found;
    }
    /// Advances until a worker is held; returns it.
    instance_id wait_for_hold()
    {
        for (const time_point until = now + seconds(3); held().empty() && now < until;) {
            advance(tick);
        }
        REQUIRE(held().size() == 1);
        return held().front();
    }
    /// Lets the running task of the job last as long as any may.
    void extend_run(const job_id& id)
    {
        for (auto& [on, each] : workers) {
            for (run& running : each.runs) {
                if (running.name.task.job == id) {
                    running.length = longest_run;
                    running.end = running.started + longest_run;
                }
            }
        }
    }
    void crash(const instance_id& id)
    {
        subject.note_worker_unlisted(id, now);
        subject.note_worker_ended(id, worker_end::machine_down, now);
        workers.erase(id);
    }

    std::size_t most_with_room = 0;
    std::size_t most_held = 0;
};

step_spec step_of(const resources& need)
{
    return {.count = 1, .need = need, .estimate = milliseconds(1400)};
}

} // namespace

// Guards against a wide task that waits without a bound while narrower tasks take all room.
TEST_CASE("a wide task starts in time beside a stream of narrow tasks that rank behind it")
{
    const std::uint64_t seed = GENERATE(range(1, 9));
    const resources need = GENERATE(wide_by_cores, wide_by_memory);
    CAPTURE(seed, need.cpu_millis);
    wide_pool pool(seed);
    const auto waited = pool.wait_for_start(pool.submit(step_of(need), "urgent"), seconds(20));
    REQUIRE(waited);
    CHECK(*waited <= longest_wait);
    CHECK(pool.stopped_short_runs == 0);
    CHECK(pool.violations.empty());
}

// Guards against a pool that idles for wide tasks.
TEST_CASE("the other workers stay full while one is held for a wide task")
{
    const std::uint64_t seed = GENERATE(range(1, 5));
    CAPTURE(seed);
    wide_pool pool(seed);
    REQUIRE(pool.workers_with_room() == 0);
    std::vector<job_id> wide;
    for (int each = 0; each < 3; ++each) {
        wide.push_back(pool.submit(step_of(wide_by_cores), "urgent"));
    }
    for (const job_id& id : wide) {
        CHECK(pool.wait_for_start(id, seconds(20)));
    }
    CHECK(pool.most_held == 1);
    CHECK(pool.most_with_room <= 1);
}

// Guards against a hold on a worker after another, none of which gets empty.
TEST_CASE("the same worker is held until the wide task starts")
{
    wide_pool pool(3);
    const job_id id = pool.submit(step_of({.cpu_millis = 60000, .memory_mb = 4000}), "urgent");
    const instance_id held = pool.wait_for_hold();
    while (pool.workers_of(id).empty()) {
        REQUIRE(pool.held() == std::vector{held});
        pool.advance(contended_pool::tick);
    }
    CHECK(pool.workers_of(id) == std::vector{held});
    CHECK(pool.held().empty());
}

// Guards against a wide task that waits for a worker which can't take it any more.
TEST_CASE("a held worker that can't take the task any more is replaced by another")
{
    wide_pool pool(5);
    const job_id id = pool.submit(step_of({.cpu_millis = 60000, .memory_mb = 4000}), "urgent");
    const instance_id held = pool.wait_for_hold();
    SECTION("as it crashes")
    {
        pool.crash(held);
    }
    SECTION("as it drains")
    {
        pool.drain(held);
    }
    SECTION("as it is cordoned")
    {
        pool.cordon(held, true);
    }
    const auto waited = pool.wait_for_start(id, seconds(20));
    REQUIRE(waited);
    CHECK(*waited <= longest_wait);
    CHECK(pool.workers_of(id) != std::vector{held});
    CHECK(pool.most_held == 1);
    CHECK(pool.violations.empty());
}

// Guards against a worker that idles for a job which may not start.
TEST_CASE("no worker is held for a job at the cap of its workspace")
{
    wide_pool pool;
    pool.subject.set_workspaces(
        {{.id = alpha, .cap = {.cpu_millis = wide_by_cores.cpu_millis, .memory_mb = 256000}}});
    // The narrow tasks get room too soon to have a worker held for them.
    pool.backlog = 2;
    pool.advance(seconds(2));
    const job_id first = pool.submit_as("a", step_of(wide_by_cores), alpha);
    REQUIRE(pool.wait_for_start(first, seconds(20)));
    pool.extend_run(first);
    const job_id second = pool.submit_as("b", step_of(wide_by_cores), alpha);
    const time_point submitted = pool.now;
    while (!pool.workers_of(first).empty()) {
        CHECK(pool.held().empty());
        CHECK(pool.workers_of(second).empty());
        pool.advance(contended_pool::tick);
    }
    CHECK(pool.now - submitted > 2 * policy::worker_holds::patience);
    const auto waited = pool.wait_for_start(second, seconds(20));
    REQUIRE(waited);
    CHECK(*waited <= longest_wait);
}

// Guards against a worker that idles for a task which no worker can take.
TEST_CASE("no worker is held for a task that fits on none")
{
    wide_pool pool;
    pool.submit_as("a", step_of({.cpu_millis = 65000, .memory_mb = 4000}));
    const job_id wide = pool.submit_as("b", step_of(wide_by_cores));
    const auto waited = pool.wait_for_start(wide, seconds(20));
    REQUIRE(waited);
    CHECK(*waited <= longest_wait);
    pool.advance(seconds(3));
    CHECK(pool.held().empty());
}

// Guards against a hold that keeps off what ranks before the wide task.
TEST_CASE("a task that ranks before a wide one starts on the held worker")
{
    wide_pool pool(2, 1);
    pool.submit(step_of({.cpu_millis = 64000, .memory_mb = 4000}), "serving");
    pool.advance(seconds(3));
    CHECK(pool.held().size() == 1);
    CHECK(pool.workers_with_room() == 0);
}

// Guards against waits that depend on how jobs and workers are named.
TEST_CASE("which names jobs and workers have doesn't change that a wide task starts in time")
{
    const std::vector<resources> capacities = GENERATE(
        values<std::vector<resources>>({{worker_capacity, small, small, worker_capacity},
                                        {small, worker_capacity, worker_capacity, small},
                                        {small, small, worker_capacity, worker_capacity}}));
    const std::string name = GENERATE(as<std::string>{}, "a", "j100005", "z");
    CAPTURE(name);
    wide_pool pool(capacities);
    const auto waited =
        pool.wait_for_start(pool.submit_as(name, step_of(wide_by_cores)), seconds(20));
    REQUIRE(waited);
    CHECK(*waited <= longest_wait);
}

// Guards against a hold on a worker that long-running tasks leave too little room on.
TEST_CASE("the worker held for a wide task is one that has the room beside long-running tasks")
{
    const std::uint64_t seed = GENERATE(range(1, 4));
    CAPTURE(seed);
    wide_pool pool(seed);
    const job_id serving = pool.submit({.count = 3,
                                        .need = {.cpu_millis = 30000, .memory_mb = 4000},
                                        .max_per_worker = 1,
                                        .long_running = true},
                                       "serving");
    pool.advance(seconds(12));
    const auto occupied = pool.workers_of(serving);
    REQUIRE(occupied.size() == 3);
    const job_id id = pool.submit(step_of(wide_by_cores), "urgent");
    const auto waited = pool.wait_for_start(id, seconds(20));
    REQUIRE(waited);
    CHECK(*waited <= longest_wait);
    CHECK(pool.workers_of(serving) == occupied);
    CHECK(pool.violations.empty());
}
