#include "plantaindoor/policy/worker_holds.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const service_id checks{"checks"};
const resources need{.cpu_millis = 38000, .memory_mb = 100};

short_run run_of(std::int64_t cpu_millis, milliseconds remaining)
{
    return {.footprint = {.cpu_millis = cpu_millis}, .estimate = remaining};
}

reservable_worker worker_of(const std::string& id, std::int64_t free, std::vector<short_run> runs)
{
    return {.worker = instance_id(id),
            .free = {.cpu_millis = free, .memory_mb = 1000},
            .runs = std::move(runs)};
}

} // namespace

// Guards against a hold on a worker whose runs last long while another is nearly empty.
TEST_CASE("the worker is held that is expected to have the room first")
{
    const worker_holds subject{milliseconds(1000)};
    const auto soon = worker_of("w2", 10000, {run_of(30000, seconds(2)), run_of(9000, seconds(9))});
    const auto late = worker_of("w1", 30000, {run_of(7000, seconds(1)), run_of(9000, seconds(3))});
    CHECK(subject.choose(need, {late, soon}) == instance_id("w2"));
    CHECK(subject.choose(need, {soon, late}) == instance_id("w2"));
    CHECK(subject.choose(need, {late}) == instance_id("w1"));
}

// Guards against a hold that never ends, on a worker that is too small.
TEST_CASE("a worker that never has the room isn't held")
{
    const worker_holds subject{milliseconds(1000)};
    CHECK_FALSE(subject.choose(need, {worker_of("w1", 30000, {run_of(7000, seconds(1))})}));
    CHECK_FALSE(subject.choose(need, {}));
}

// Guards against tasks on a slow worker while others have the room later.
TEST_CASE("a slow worker is held only where no other suits")
{
    const worker_holds subject{milliseconds(1000)};
    auto slow = worker_of("w1", 30000, {run_of(8000, seconds(1))});
    slow.is_slow = true;
    const auto other = worker_of("w2", 30000, {run_of(8000, seconds(2))});
    CHECK(subject.choose(need, {slow, other}) == instance_id("w2"));
    CHECK(subject.choose(need, {slow}) == instance_id("w1"));
}

// Guards against a worker that stays held for a job that no longer asks for it.
TEST_CASE("a hold lasts as long as its job renews it in each round")
{
    worker_holds subject{milliseconds(1000)};
    const job_id job("j");
    subject.begin_round(start);
    CHECK_FALSE(subject.has_hold(checks));
    subject.hold(job, checks, instance_id("w1"));
    CHECK(subject.has_hold(checks));
    subject.end_round();
    CHECK(subject.is_held(instance_id("w1")));

    subject.begin_round(start);
    CHECK_FALSE(subject.has_hold(checks));
    CHECK(subject.held_for(job, checks) == instance_id("w1"));
    CHECK_FALSE(subject.held_for(job_id("other"), checks));
    CHECK_FALSE(subject.held_for(job, service_id("other")));
    subject.end_round();
    CHECK_FALSE(subject.is_held(instance_id("w1")));
    CHECK_FALSE(subject.held_for(job, checks));
}

// Guards against a search of all workers for each job of a backlog.
TEST_CASE("a need that no worker can take is known for the rest of the round")
{
    worker_holds subject{milliseconds(1000)};
    subject.begin_round(start);
    subject.note_unfit(checks, need);
    CHECK(subject.is_unfit(checks, need));
    CHECK(subject.is_unfit(checks, {.cpu_millis = 40000, .memory_mb = 100}));
    CHECK_FALSE(subject.is_unfit(checks, {.cpu_millis = 40000, .memory_mb = 99}));
    CHECK_FALSE(subject.is_unfit(service_id("other"), need));
    subject.begin_round(start);
    CHECK_FALSE(subject.is_unfit(checks, need));
}

// Guards against a search of all workers in each of many rounds, and against a job that no worker
// can take and that keeps the others of its round from one.
TEST_CASE(
    "the workers of a service are searched in one round of each interval, for any of its jobs")
{
    worker_holds subject{milliseconds(1000)};
    subject.begin_round(start);
    CHECK(subject.may_choose(checks));
    subject.note_choice(checks);
    CHECK(subject.may_choose(checks));
    subject.begin_round(start + worker_holds::choice_interval - milliseconds(1));
    CHECK_FALSE(subject.may_choose(checks));
    CHECK(subject.may_choose(service_id("other")));
    subject.begin_round(start + worker_holds::choice_interval);
    CHECK(subject.may_choose(checks));
}
