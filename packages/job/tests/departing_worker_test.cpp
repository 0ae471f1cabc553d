// Departures of workers beside restarts, waves, caps and other jobs.
#include "contended_pool.hpp"
#include "incarnation_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

const workspace_id alpha("alpha");

step_spec one_per_worker(std::uint32_t count)
{
    return {.count = count,
            .need = {.cpu_millis = 9600, .memory_mb = 34000},
            .max_per_worker = 1,
            .long_running = true};
}

job_id run_on_each(contended_pool& pool, std::uint32_t tasks)
{
    pool.announces_remaining = true;
    for (std::uint32_t each = 0; each < tasks; ++each) {
        pool.add_worker();
    }
    job_id job = pool.submit(one_per_worker(tasks), "serving");
    pool.advance(milliseconds(500));
    pool.longest_wait.clear();
    return job;
}

/// Caps the workspace `alpha` at that many tasks of one_per_worker().
void set_cap(contended_pool& pool, std::int64_t tasks)
{
    pool.subject.set_workspaces(
        {{.id = alpha, .cap = {.cpu_millis = 9600 * tasks, .memory_mb = 50000 * tasks}}});
}

/// Submits a job of a workspace that is capped at two tasks, and starts what may start.
job_id start_capped(contended_pool& pool, int workers, std::uint32_t tasks)
{
    pool.announces_remaining = true;
    set_cap(pool, 2);
    for (int each = 0; each < workers; ++each) {
        pool.add_worker();
    }
    job_id job = pool.submit(one_per_worker(tasks), "serving", alpha);
    pool.advance(seconds(1));
    return job;
}

/// The tasks that run and aren't being stopped.
std::ptrdiff_t not_being_stopped(const contended_pool& pool, const job_id& job)
{
    std::ptrdiff_t found = 0;
    for (const auto& [id, each] : pool.workers) {
        found += std::count_if(each.runs.begin(), each.runs.end(), [&](const auto& run) {
            return run.name.task.job == job && !run.end;
        });
    }
    return found;
}

} // namespace

// Guards against a task that is stopped for a place which a later job then takes, though its worker
// would have stayed for seconds.
TEST_CASE("the room kept for a task that leaves isn't given to a job submitted after its stop")
{
    contended_pool pool;
    const job_id job = run_on_each(pool, 4);
    pool.add_worker();
    pool.drain(pool.workers_of(job).front());
    pool.advance(contended_pool::tick);
    // The stop is under way.
    REQUIRE(pool.ended.empty());
    static_cast<void>(pool.submit(one_per_worker(1), "serving"));
    pool.advance(seconds(3));
    CHECK(pool.workers_of(job).size() == 4);
}

// Guards against AVAIL: a step that may miss one task loses one to planned work and one to a
// departure in the same round.
TEST_CASE("a task isn't evicted from a cordoned worker while another of its step leaves")
{
    contended_pool pool;
    pool.announces_remaining = true;
    for (int each = 0; each < 2; ++each) {
        pool.add_worker();
    }
    step_spec step = one_per_worker(2);
    step.max_unavailable = 1;
    const job_id job = pool.submit(step, "serving");
    pool.advance(seconds(1));
    const auto workers = pool.workers_of(job);
    REQUIRE(workers.size() == 2);
    for (int each = 0; each < 2; ++each) {
        pool.add_worker();
    }
    pool.cordon(workers[0], true);
    pool.drain(workers[1]);
    std::ptrdiff_t fewest_at_work = 2;
    for (int round = 0; round < 60; ++round) {
        pool.advance(contended_pool::tick);
        fewest_at_work = std::min(fewest_at_work, not_being_stopped(pool, job));
    }
    CHECK(fewest_at_work >= 1);
    CHECK(pool.workers_of(job).size() == 2);
}

// Guards against a step that loses a task to planned work while one on a worker that leaves, which
// counts as at work, has no other place.
TEST_CASE("a task on a cordoned worker stays until one that leaves has its next place")
{
    contended_pool pool;
    pool.announces_remaining = true;
    for (int each = 0; each < 2; ++each) {
        pool.add_worker();
    }
    step_spec step = one_per_worker(2);
    step.max_unavailable = 1;
    const job_id job = pool.submit(step, "serving");
    pool.advance(seconds(1));
    const auto workers = pool.workers_of(job);
    REQUIRE(workers.size() == 2);
    pool.drain(workers[1]);
    pool.advance(seconds(1));
    pool.cordon(workers[0], true);
    std::ptrdiff_t fewest_at_work = 2;
    for (int round = 0; round < 120; ++round) {
        pool.advance(contended_pool::tick);
        fewest_at_work = std::min(fewest_at_work, not_being_stopped(pool, job));
    }
    CHECK(fewest_at_work == 1);
}

// Guards against reading the departure of an incarnation that has ended: the row may still be the
// earlier incarnation's.
TEST_CASE("a worker that starts again under its id while its row says that it drains has a "
          "departure of its own")
{
    using namespace job::testing;
    incarnation_fixture fixture;
    const job_id id =
        fixture.submit("j", {.count = 1, .need = {.cpu_millis = 1000}, .long_running = true});
    worker_listing draining = incarnation_fixture::listing(w1, first_start);
    draining.draining = true;
    draining.remaining = milliseconds(2000);
    fixture.subject.note_worker_listed(draining, fixture.now);
    fixture.now += seconds(3);
    fixture.report(w1, report_of(second_start, seconds(1), {{{id, 0, 0, 0}, 7}}));
    REQUIRE(fixture.worker().runs.size() == 1);
    CHECK((!fixture.worker().listing.draining || fixture.worker().departure.has_value()));
}

// Guards against a suspected task that takes the room kept for one that leaves, after its stop.
TEST_CASE("a task that must be isolated doesn't take the place of one that leaves")
{
    contended_pool pool;
    const job_id job = run_on_each(pool, 3);
    const instance_id crashing = pool.add_worker();
    static_cast<void>(pool.submit(
        {.need = {.cpu_millis = 10000, .memory_mb = 4000}, .estimate = seconds(60)}, "urgent"));
    pool.advance(contended_pool::tick);
    REQUIRE(pool.workers.at(crashing).runs.size() == 1);
    pool.add_worker();
    pool.drain(pool.workers_of(job).front());
    pool.advance(contended_pool::tick);
    REQUIRE(not_being_stopped(pool, job) == 2);
    pool.workers.erase(crashing);
    pool.subject.note_worker_unlisted(crashing, pool.now);
    pool.subject.note_worker_ended(crashing, worker_end::machine_down, pool.now);
    pool.advance(seconds(3));
    INFO("waited " << pool.worst_wait().count() << " ms");
    CHECK(pool.workers_of(job).size() == 3);
    CHECK(pool.worst_wait() <= 2 * contended_pool::stop_time);
}

// Guards against a wait that is counted from the end of the leases only: the task has been without
// a run since its worker ended without notice, and gets no room in a full pool until 3.5 s later.
TEST_CASE("a task of a worker that has ended without notice has waited since its last answer")
{
    milliseconds worst{0};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        contended_pool pool(seed);
        const job_id job = run_on_each(pool, 4);
        for (int each = 0; each < 4; ++each) {
            pool.add_worker();
        }
        pool.min_run = seconds(20);
        pool.max_run = seconds(40);
        pool.short_estimate = seconds(30);
        pool.backlog = 30;
        pool.advance(seconds(4));
        const instance_id ended = pool.workers_of(job).front();
        static_cast<void>(pool.subject.next_poll(ended, pool.now));
        for (const auto& run : pool.workers.at(ended).runs) {
            if (run.step.long_running) {
                pool.ended[run.name.task] = pool.now;
            }
        }
        pool.workers.erase(ended);
        pool.longest_wait.clear();
        for (int round = 0; round < 24; ++round) {
            pool.subject.note_missed_poll(ended, pool.now);
            pool.advance(milliseconds(500));
        }
        worst = std::max(worst, pool.worst_wait());
        CHECK(pool.violations.empty());
    }
    INFO("longest wait " << worst.count() << " ms");
    CHECK(worst < seconds(6));
}

// Guards against a task whose machine is ordered only when the leases of a worker have expired that
// has ended without notice: the wait for the machine then follows the wait for the leases.
TEST_CASE("a machine is asked for the tasks of a worker that doesn't answer")
{
    using namespace job::testing;
    incarnation_fixture fixture;
    static_cast<void>(
        fixture.submit("j", {.count = 1, .need = {.cpu_millis = 1000}, .long_running = true}));
    REQUIRE(fixture.start_tasks().size() == 1);
    fixture.subject.note_missed_poll(w1, fixture.now);
    fixture.now += seconds(3);
    fixture.subject.note_missed_poll(w1, fixture.now);
    static_cast<void>(fixture.plan());
    REQUIRE(fixture.worker().runs.size() == 1);
    CHECK(fixture.subject.loads().at(checks).missing_workers == 1);
}

// Guards against room that is counted although it is kept for suspected tasks.
TEST_CASE("a worker that runs a task in isolation isn't counted as room for a long-running one")
{
    contended_pool pool;
    const job_id job = run_on_each(pool, 1);
    const instance_id crashing = pool.add_worker();
    static_cast<void>(pool.submit(
        {.need = {.cpu_millis = 10000, .memory_mb = 4000}, .estimate = seconds(60)}, "urgent"));
    pool.advance(contended_pool::tick);
    REQUIRE(pool.workers.at(crashing).runs.size() == 1);
    pool.workers.erase(crashing);
    pool.subject.note_worker_unlisted(crashing, pool.now);
    pool.subject.note_worker_ended(crashing, worker_end::machine_down, pool.now);
    pool.add_worker();
    pool.advance(milliseconds(200));
    static_cast<void>(pool.submit(
        {.count = 1, .need = {.cpu_millis = 10000, .memory_mb = 4000}, .long_running = true},
        "serving"));
    pool.advance(milliseconds(200));
    REQUIRE(pool.ended.size() == 1);
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 1);
}

// Guards against a task that is stopped for planned work, placed on the same worker again for want
// of another, and stopped again.
TEST_CASE("a long-running task on a cordoned worker isn't stopped again and again")
{
    contended_pool pool;
    const instance_id full = pool.add_worker();
    static_cast<void>(pool.submit(
        {.count = 1, .need = {.cpu_millis = 15000, .memory_mb = 34000}, .long_running = true},
        "serving"));
    pool.advance(seconds(1));
    const instance_id cordoned = pool.add_worker();
    static_cast<void>(pool.submit(
        {.count = 2, .need = {.cpu_millis = 6000, .memory_mb = 34000}, .long_running = true},
        "serving"));
    pool.advance(seconds(1));
    REQUIRE(pool.workers.at(cordoned).runs.size() == 2);
    pool.cordon(cordoned, true);
    pool.advance(seconds(20));
    // Each of the two may be stopped once.
    CHECK(pool.starts.size() <= 5);
}

// Guards against planned work that waits for ever: no machine is asked for the tasks that it has to
// move, or they stay when there is one.
TEST_CASE("the long-running tasks of a step leave their cordoned worker once another has room")
{
    contended_pool pool;
    const instance_id cordoned = pool.add_worker();
    const job_id job = pool.submit(
        {.count = 2, .need = {.cpu_millis = 6000, .memory_mb = 34000}, .long_running = true},
        "serving");
    pool.advance(seconds(1));
    pool.cordon(cordoned, true);
    pool.advance(seconds(3));
    CHECK(pool.ended.empty());
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 1);
    pool.longest_wait.clear();

    const instance_id added = pool.add_worker();
    std::ptrdiff_t fewest_at_work = 2;
    for (int round = 0; round < 60; ++round) {
        pool.advance(contended_pool::tick);
        fewest_at_work = std::min(fewest_at_work, not_being_stopped(pool, job));
    }
    CHECK(pool.workers_of(job) == std::vector{added, added});
    CHECK(pool.starts.size() == 4);
    CHECK(fewest_at_work == 1);
    CHECK(pool.worst_wait() <= 2 * contended_pool::stop_time);
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 0);
}

// Guards against a task that is stopped for planned work which can't begin, as its worker keeps
// another task, and that gets no other place or is started there again.
TEST_CASE("a task runs on beside one that its cordoned worker keeps")
{
    contended_pool pool;
    const instance_id cordoned = pool.add_worker();
    const job_id kept = pool.submit({.count = 2,
                                     .need = {.cpu_millis = 6000, .memory_mb = 34000},
                                     .max_per_worker = 1,
                                     .long_running = true},
                                    "serving");
    const job_id other = pool.submit(
        {.count = 1, .need = {.cpu_millis = 6000, .memory_mb = 34000}, .long_running = true},
        "serving");
    pool.advance(seconds(1));
    REQUIRE(pool.workers_of(kept).size() == 1);
    REQUIRE(pool.workers_of(other).size() == 1);
    pool.cordon(cordoned, true);
    pool.advance(seconds(5));
    CHECK(pool.starts.size() == 2);
    CHECK(not_being_stopped(pool, kept) == 1);
    CHECK(not_being_stopped(pool, other) == 1);
}

// Guards against tasks that are stopped more than once for planned work, or that it waits for, as
// they may only be stopped one after the other and short ones take each bit of room.
TEST_CASE("the tasks of a cordoned worker move once and in time in a full pool")
{
    const auto long_running_on = [](const contended_pool& pool, const instance_id& id) {
        const auto& runs = pool.workers.at(id).runs;
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [](const auto& run) { return run.step.long_running; }));
    };
    constexpr milliseconds longest_short_run{2100};
    constexpr milliseconds move_time = longest_short_run + 2 * contended_pool::stop_time;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        contended_pool pool(seed);
        for (int each = 0; each < 10; ++each) {
            pool.add_worker();
        }
        static_cast<void>(pool.submit({.count = 5,
                                       .need = {.cpu_millis = 5000, .memory_mb = 34000},
                                       .max_per_worker = 1,
                                       .long_running = true},
                                      "serving"));
        const job_id packed = pool.submit(
            {.count = 4, .need = {.cpu_millis = 5000, .memory_mb = 34000}, .long_running = true},
            "serving");
        pool.advance(milliseconds(500));
        pool.min_run = milliseconds(800);
        pool.max_run = longest_short_run;
        pool.backlog = 30;
        pool.advance(seconds(4) + milliseconds(pool.random() % 2100));
        for (int work = 0; work < 4; ++work) {
            const instance_id cordoned = pool.workers_of(packed).at(work % 4);
            const std::size_t started = pool.starts.size();
            const std::size_t tasks = long_running_on(pool, cordoned);
            pool.cordon(cordoned, true);
            pool.advance(move_time * static_cast<int>(tasks));
            INFO("seed " << seed << ", " << tasks << " tasks on " << cordoned.str());
            CHECK(long_running_on(pool, cordoned) == 0);
            CHECK(pool.starts.size() - started == tasks);
            pool.cordon(cordoned, false);
        }
        CHECK(pool.violations.empty());
    }
}

// Guards against a task that asks for no machine before it has been stopped, as another of its step
// waits for the cap, which the leaving task uses already.
TEST_CASE("a machine is asked for a task that leaves beside one that waits at the cap")
{
    contended_pool pool;
    const job_id job = start_capped(pool, 2, 3);
    REQUIRE(pool.workers_of(job).size() == 2);
    pool.drain(pool.workers_of(job).front());
    pool.advance(milliseconds(500));
    REQUIRE(pool.workers_of(job).size() == 2);
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 1);
}

// Guards against a task that is stopped seconds before its worker leaves although its workspace's
// cap, lowered meanwhile, lets it start nowhere.
TEST_CASE("a long-running task beyond a lowered cap runs on while its worker leaves")
{
    contended_pool pool;
    const job_id job = start_capped(pool, 3, 2);
    REQUIRE(pool.workers_of(job).size() == 2);
    set_cap(pool, 1);
    pool.drain(pool.workers_of(job).front());
    pool.advance(seconds(2));
    CHECK(pool.workers_of(job).size() == 2);
}

// Guards against a machine that is moved for a task which may not start again, and against a step
// of which no task moves, as one of them may not.
TEST_CASE("of the tasks that leave, those within a lowered cap have other places")
{
    contended_pool pool;
    const job_id job = start_capped(pool, 2, 2);
    const auto leaving = pool.workers_of(job);
    REQUIRE(leaving.size() == 2);
    set_cap(pool, 1);
    pool.drain(leaving[0]);
    pool.advance(seconds(1));
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 0);
    pool.drain(leaving[1]);
    pool.advance(seconds(1));
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 1);

    pool.add_worker();
    pool.advance(contended_pool::drain_time);
    CHECK(pool.workers_of(job).size() == 1);
    CHECK(pool.starts.size() == 3);
    CHECK(pool.violations.empty());
}

// Guards against tasks that wait for a place on a worker which has told that it leaves.
TEST_CASE("no task is started on a worker whose report tells that it leaves")
{
    using namespace job::testing;
    incarnation_fixture fixture;
    worker_report leaving = report_of(first_start, seconds(101));
    leaving.remaining = seconds(2);
    fixture.report(w1, leaving);
    static_cast<void>(
        fixture.submit("j", {.count = 1, .need = {.cpu_millis = 1000}, .long_running = true}));
    CHECK(fixture.plan().starts.empty());
    CHECK(fixture.subject.loads().at(checks).missing_workers == 1);
}

// Guards against machines that are moved for tasks which wait for their workspace's cap.
TEST_CASE("no machine is asked for the tasks of a step that are beyond the workspace's cap")
{
    contended_pool pool;
    set_cap(pool, 2);
    pool.add_worker();
    static_cast<void>(pool.submit(one_per_worker(3), "serving", alpha));
    pool.advance(seconds(2));
    REQUIRE(pool.starts.size() == 1);
    // The cap has room for one more.
    CHECK(pool.subject.loads().at(contended_pool::service).missing_workers == 1);
}

// Guards against a wait that begins anew with each start on a worker that leaves orders unanswered.
TEST_CASE("a long-running task isn't started again on the worker that left its start unanswered")
{
    using namespace job::testing;
    incarnation_fixture fixture;
    fixture.add_worker();
    static_cast<void>(
        fixture.submit("j", {.count = 1, .need = {.cpu_millis = 1000}, .long_running = true}));
    const auto starts = fixture.plan().starts;
    REQUIRE(starts.size() == 1);
    const instance_id silent = starts[0].worker;
    fixture.subject.note_start(silent, starts[0].run, order_answer::unanswered, fixture.now);
    fixture.report(silent, report_of(first_start, seconds(101)));
    const auto stops = fixture.plan().stops;
    REQUIRE(stops.size() == 1);
    fixture.subject.note_stop(silent, stops[0].run, order_answer::accepted, fixture.now);
    fixture.report(silent, report_of(first_start, seconds(102)));
    const auto restarts = fixture.plan().starts;
    REQUIRE(restarts.size() == 1);
    CHECK(restarts[0].worker != silent);
}
