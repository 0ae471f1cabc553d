#include "crash_pool.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace plantaindoor;
using namespace plantaindoor::job;

// Guards against suspects of a day with many culprits that were not started again although most of
// the capacity was free: the number of isolated workers was bounded in a pool that wasn't full.
TEST_CASE("a healthy suspect starts within the bound while the pool has room")
{
    crash_pool pool(20);
    std::mt19937 random(20261203);
    for (int each = 0; each < 170; ++each) {
        const bool is_culprit = each % 7 == 3;
        pool.submit("j" + std::to_string(each), tasks(is_culprit ? 2 : 1 + random() % 5, 150),
                    milliseconds(300 + random() % 900), is_culprit);
        if (each == 84) {
            pool.plan();
            pool.now += milliseconds(20);
            pool.crash_all();
        }
    }
    pool.run_for(seconds(30));
    CHECK(pool.longest_healthy_wait() <= wait_bound);
    CHECK(pool.healthy_jobs_not_completed() == 0);
}

// Guards against a suspect that waits for an empty worker while each worker runs a long task.
TEST_CASE("a suspect doesn't wait for the end of long tasks")
{
    crash_pool pool(6);
    auto spread = tasks(6, 300);
    spread.max_per_worker = 1;
    pool.submit("long", spread, seconds(60));
    pool.run_for(milliseconds(500));
    const job_id suspect = pool.submit("suspect", tasks(2, 300), milliseconds(800));
    pool.submit("beside", tasks(2, 300), milliseconds(800));
    pool.plan();
    pool.now += milliseconds(20);
    pool.crash_all();
    pool.run_for(seconds(12));
    CHECK(pool.longest_healthy_wait() <= wait_bound);
    CHECK(pool.state(suspect) == job_state::completed);
}

// Guards against a pool that counts as full because one waiting task is larger than any worker.
TEST_CASE("a task that fits on no worker doesn't delay suspects")
{
    crash_pool pool(10);
    pool.submit("huge", tasks(1, 9000), seconds(1));
    for (int each = 0; each < 40; ++each) {
        pool.submit("j" + std::to_string(each), tasks(2, 200), milliseconds(800));
    }
    pool.plan();
    pool.now += milliseconds(20);
    pool.crash_all();
    pool.run_for(seconds(20));
    CHECK(pool.longest_healthy_wait() <= wait_bound);
    CHECK(pool.healthy_jobs_not_completed() == 1);
}

// Guards against any other way in which suspicion keeps a healthy job from running: jobs with and
// without culprits arrive while workers crash, alone or all at a time, and the leader changes.
TEST_CASE("no healthy job waits longer than the bound while there is room, whatever crashes")
{
    for (std::uint32_t seed = 0; seed < 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        crash_pool pool(12 + random() % 20);
        const std::uint32_t culprit_percent = random() % 7;
        const std::uint32_t crash_percent = random() % 5;
        const std::uint32_t jobs_per_step = 1 + random() % 4;
        std::uint32_t number = 0;
        for (int step = 0; step < 100; ++step) {
            for (std::uint32_t left = random() % (jobs_per_step + 1); left > 0; --left) {
                const auto cpu_millis = std::int64_t(100 + random() % 4 * 100);
                const milliseconds run_time(200 + random() % 1500);
                const bool is_culprit = random() % 100 < culprit_percent;
                pool.submit("j" + std::to_string(number++), tasks(1 + random() % 4, cpu_millis),
                            run_time, is_culprit);
            }
            if (random() % 100 < crash_percent && !pool.workers.empty()) {
                const auto victim =
                    std::next(pool.workers.begin(), std::ptrdiff_t(random() % pool.workers.size()));
                pool.now += milliseconds(random() % 80);
                pool.crash(std::string(victim->first), milliseconds(500 + random() % 4000));
            }
            if (step == 30 && random() % 2 == 0) {
                pool.plan();
                pool.now += milliseconds(20);
                pool.crash_all();
            }
            if (step == 50 && random() % 2 == 0) {
                pool.replace_leader();
            }
            pool.step();
        }
        pool.run_for(seconds(30));
        CHECK(pool.longest_healthy_wait() <= wait_bound);
        for (const auto& [id, job] : pool.jobs) {
            INFO("job " << id);
            // A task may be given up once two workers have crashed under it.
            CHECK((pool.state(id) == job_state::completed || pool.is_culprit(id) ||
                   pool.crashes_under(id) >= 2));
        }
    }
}

// Guards against suspects that wait without a trace of it: nothing stated why a job didn't start.
TEST_CASE("a suspect that waits is reported once for each wait, with its position")
{
    crash_pool pool(8);
    const job_id suspect = pool.submit("suspect", tasks(1, 300), milliseconds(800));
    const job_id other = pool.submit("other", tasks(1, 300), milliseconds(800));
    const auto& task = pool.subject->find(suspect)->occurrences().at(0).steps[0].tasks[0];
    pool.plan();
    pool.now += milliseconds(20);
    pool.crash_all();
    while (task.runs.empty()) {
        pool.step();
    }
    pool.run_for(milliseconds(300));
    // The store is unavailable, so that a task with a further crash must not start.
    pool.store_answers = false;
    pool.crash_all();
    REQUIRE(task.crashes.size() == 2);
    pool.decisions.clear();
    pool.run_for(seconds(5));
    const auto position = pool.subject->isolation_position(suspect);
    REQUIRE(position);
    CHECK(position->count == 2);
    CHECK(position->reason == policy::isolation_wait::not_durable);
    CHECK(position->position + pool.subject->isolation_position(other)->position == 3);
    CHECK(std::count_if(pool.decisions.begin(), pool.decisions.end(), [&](const decision& each) {
              return each.kind == decision_kind::isolation_awaited && each.job == suspect &&
                     each.isolation.waited >= policy::reported_wait;
          }) == 1);
    pool.store_answers = true;
    pool.run_for(seconds(4));
    CHECK(pool.state(suspect) == job_state::completed);
    CHECK_FALSE(pool.subject->isolation_position(suspect));
}

// Guards against suspicion that outlives the change of a leader although the culprit is known: the
// leader ended after it had persisted the culprit's end, and before the progress of the others.
TEST_CASE("a successor clears what a culprit explains, whichever progress it reads first")
{
    const bool culprit_first = GENERATE(true, false);
    crash_pool pool(6);
    const job_id bad = pool.submit("bad", tasks(2, 300), milliseconds(800), true);
    const job_id beside = pool.submit("beside", tasks(1, 300), seconds(60));
    pool.step();
    const auto crashes = [&] {
        return pool.subject->find(beside)->occurrences().at(0).steps[0].tasks[0].crashes.size();
    };
    REQUIRE(crashes() == 1);
    const std::string stale = pool.subject->find(beside)->progress();
    pool.run_for(seconds(2));
    REQUIRE(pool.state(bad) == job_state::failed);
    REQUIRE(crashes() == 0);
    const std::string ended = pool.subject->find(bad)->progress();
    pool.begin_leader();
    for (const auto& [id, job] : pool.jobs) {
        pool.subject->submit(id, {.queue = "q", .spec = job.spec, .at = pool.now});
    }
    for (const bool culprit : {culprit_first, !culprit_first}) {
        pool.subject->restore(culprit ? bad : beside, culprit ? ended : stale);
    }
    CHECK(crashes() == 0);
    CHECK_FALSE(pool.subject->is_durable(beside));
}

// Guards against suspicion by a crash of the culprit that is noticed only after it was found.
TEST_CASE("a crash noted after its culprit was found counts against no other task")
{
    crash_pool pool(6);
    const job_id bad = pool.submit("bad", tasks(1, 300), milliseconds(800));
    const job_id beside = pool.submit("beside", tasks(1, 300), seconds(60));
    pool.plan();
    const auto& task = pool.subject->find(beside)->occurrences().at(0).steps[0].tasks[0];
    REQUIRE(task.runs.size() == 1);
    const instance_id worker = task.runs[0].worker;
    const std::string machine = pool.subject->workers().at(worker).listing.machine;
    // The end of the worker is a crash only once a successor has answered.
    pool.now += milliseconds(20);
    pool.workers.erase(machine);
    pool.running.erase(worker);
    pool.subject->note_missed_poll(worker, pool.now);
    pool.subject->note_worker_ended(worker, worker_end::lease_expired, pool.now);
    pool.crashing.insert({bad, 0, 0, 0});
    pool.run_for(seconds(7));
    REQUIRE(pool.state(bad) == job_state::failed);
    pool.start_worker(machine);
    CHECK(task.crashes.empty());
    CHECK(pool.subject->find(bad)->culprit_of().size() >= 2);
}

// Guards against two culprits that clear each other: crashes in a group are explained by the one
// that is found first, and the other's count started anew.
TEST_CASE("explained crashes keep a task isolated and are persisted, but don't count for blame")
{
    crash_pool pool(6);
    const job_id id = pool.submit("j", tasks(1, 300), seconds(1));
    const std::string progress =
        R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":".","explained":{"0":3}}]}})";
    pool.subject->restore(id, progress);
    const auto& task = pool.subject->find(id)->occurrences().at(0).steps[0].tasks[0];
    CHECK(task.must_be_isolated());
    CHECK_FALSE(is_to_blame(task.crashes));
    CHECK(pool.subject->find(id)->progress().find(R"("explained":{"0":3})") != std::string::npos);
    pool.plan();
    REQUIRE(task.runs.size() == 1);
    CHECK(pool.subject->workers().at(task.runs[0].worker).isolated_runs == 1);
    pool.run_for(seconds(2));
    CHECK(pool.state(id) == job_state::completed);
}

// Guards against BUDGET: a first crash that the predecessor couldn't persist came on top of those
// that a successor tolerates.
TEST_CASE(
    "an inherited task is given up after four crashes that are known, also if others explain them")
{
    const bool inherited = GENERATE(true, false);
    crash_pool pool(6);
    const job_id id = pool.submit("j", tasks(1, 300), std::nullopt, true);
    const std::string progress =
        R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":".","explained":{"0":3}}]}})";
    pool.begin_leader();
    pool.subject->submit(
        id, {.queue = "q", .spec = pool.jobs.at(id).spec, .at = pool.now, .inherited = inherited});
    pool.subject->restore(id, progress);
    for (const auto& [machine, worker] : pool.workers) {
        pool.subject->note_worker_listed(crash_pool::listing(machine, worker), pool.now);
        pool.report(worker);
    }
    const auto& task = pool.subject->find(id)->occurrences().at(0).steps[0].tasks[0];
    while (task.crash_count() < 4 && !is_terminal(pool.state(id))) {
        pool.step();
    }
    CHECK(is_terminal(pool.state(id)) == inherited);
}

namespace {

/// Replaces the leader by one that reads this progress of the only job, which as many earlier
/// leaders may have started.
void begin_successor(crash_pool& pool, const job_id& id, std::uint32_t predecessors,
                     std::string_view progress)
{
    pool.begin_leader();
    pool.subject->submit(id, {.queue = "q",
                              .spec = pool.jobs.at(id).spec,
                              .at = pool.now,
                              .inherited = predecessors > 0,
                              .predecessors = predecessors});
    pool.subject->restore(id, progress);
    for (const auto& [machine, worker] : pool.workers) {
        pool.subject->note_worker_listed(crash_pool::listing(machine, worker), pool.now);
        pool.report(worker);
    }
}

/// Crashes the worker of the job's only task this long after its start; returns whether the task is
/// given up.
bool crash_after(crash_pool& pool, const job_id& id, milliseconds time)
{
    const auto& task = pool.subject->find(id)->occurrences().at(0).steps[0].tasks[0];
    while (task.runs.empty()) {
        pool.step();
    }
    const instance_id worker = task.runs[0].worker;
    const std::string machine = pool.subject->workers().at(worker).listing.machine;
    pool.run_for(time);
    pool.crash(machine);
    return is_terminal(pool.state(id));
}

constexpr std::string_view no_crashes =
    R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":"."}]}})";

} // namespace

// Guards against BUDGET: a successor didn't count the crashes that its predecessors lost.
TEST_CASE("a task is given up after fewer crashes if several predecessors may have lost one")
{
    const std::uint32_t predecessors = GENERATE(0, 1, 2, 3, 20);
    crash_pool pool(6);
    const job_id id = pool.submit("j", tasks(1, 300), seconds(60));
    begin_successor(pool, id, predecessors, no_crashes);
    std::uint32_t crashes = 1;
    while (!crash_after(pool, id, seconds(1)) && crashes < 10) {
        ++crashes;
    }
    CHECK(crashes == (predecessors < 2 ? 4 : 3));
}

// Guards against BUDGET: what earlier leaders may have lost was forgotten once the next one had
// persisted any other progress of the job, and a task was started after five crashes.
TEST_CASE("what predecessors may have lost counts over any number of leaders that persist the job")
{
    const std::uint32_t leaders = GENERATE(1, 2, 3, 10);
    crash_pool pool(6);
    const job_id id = pool.submit("j", tasks(3, 300), seconds(60));
    std::string progress(R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":"..d"}]}})");
    for (std::uint32_t leader = 0; leader < leaders; ++leader) {
        begin_successor(pool, id, 1, progress);
        progress = pool.subject->find(id)->progress();
    }
    const auto& tasks_of_step = pool.subject->find(id)->occurrences().at(0).steps[0].tasks;
    CHECK(tasks_of_step[0].lost_crashes == leaders);
    CHECK(tasks_of_step[1].lost_crashes == leaders);
    std::uint32_t crashes = 1;
    while (!crash_after(pool, id, seconds(1)) && crashes < 10) {
        ++crashes;
    }
    CHECK(crashes == (leaders < 2 ? 4 : 3));
}

// Guards against a sound task whose limit stays lowered for all later leaders.
TEST_CASE("a task that has outlived its suspicion is persisted without lost crashes")
{
    crash_pool pool(6);
    const job_id id = pool.submit("j", tasks(2, 300), seconds(60));
    begin_successor(pool, id, 3,
                    R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":"..",)"
                    R"("lost_crashes":[[2,0,1]]}]}})");
    const auto& tasks_of_step = pool.subject->find(id)->occurrences().at(0).steps[0].tasks;
    CHECK(tasks_of_step[0].lost_crashes == 5);
    CHECK(tasks_of_step[1].lost_crashes == 3);
    CHECK(pool.subject->find(id)->progress().find(R"("lost_crashes":[[5,0,1],[3,1,1]])") !=
          std::string::npos);
    pool.run_for(seconds(4));
    CHECK(pool.subject->find(id)->progress().find("lost_crashes") == std::string::npos);
}

// Guards against BUDGET: the crashes that are durable and those that predecessors may have lost
// reach the limit only with the change of the leader.
TEST_CASE("an inherited task that has reached its limit is given up without another start")
{
    const bool runs = GENERATE(false, true);
    crash_pool pool(6);
    const job_id id = pool.submit("j", tasks(1, 300), seconds(60));
    if (runs) {
        pool.plan();
    }
    pool.starts.clear();
    begin_successor(pool, id, 2,
                    R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":".","crashes":)"
                    R"({"0":[{"worker":"a","on_start":false,"alone":false},)"
                    R"({"worker":"b","on_start":false,"alone":false},)"
                    R"({"worker":"c","on_start":false,"alone":true}]}}]}})");
    pool.run_for(seconds(5));
    CHECK(pool.starts.empty());
    // One that runs is given up only if it crashes its worker too.
    CHECK(is_terminal(pool.state(id)) == !runs);
}

// Guards against giving up a sound task whose last crash may be the fault of its neighbours.
TEST_CASE("crashes that may be lost give no task up for one that it shared with other suspects")
{
    crash_pool pool(6);
    const job_id id = pool.submit("j", tasks(1, 300), seconds(2));
    begin_successor(pool, id, 3,
                    R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":".","crashes":)"
                    R"({"0":[{"worker":"a","on_start":false,"alone":true},)"
                    R"({"worker":"b","on_start":false,"alone":true},)"
                    R"({"worker":"c","on_start":false,"alone":false}]}}]}})");
    pool.run_for(seconds(5));
    CHECK(pool.state(id) == job_state::completed);
}

// Guards against giving up sound tasks: each change of a leader would lower their limit for good.
TEST_CASE("a task that outlives its suspicion is not charged with what predecessors may have lost")
{
    crash_pool pool(6);
    const job_id id = pool.submit("j", tasks(1, 300), seconds(60));
    begin_successor(pool, id, 3, no_crashes);
    CHECK_FALSE(crash_after(pool, id, seconds(4)));
    for (int crash = 1; crash <= 3; ++crash) {
        CHECK_FALSE(crash_after(pool, id, seconds(1)));
    }
    CHECK(crash_after(pool, id, seconds(1)));
}

TEST_CASE("only occurrences that were due under a predecessor are charged with what it lost")
{
    job_spec spec;
    spec.steps.push_back(tasks(1, 300));
    spec.repeats =
        repetition{.first = wall_time{seconds(100)}, .interval = milliseconds(10000), .count = 3};
    job_record job(job_id("j"), {}, std::make_shared<const job_spec>(spec), {});
    job.note_predecessors(2);
    job.restore(R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":"."}]}})");
    REQUIRE(job.start_due(wall_time{seconds(111)}));
    REQUIRE(job.start_due(wall_time{seconds(121)}));
    CHECK(job.find({job.id(), 0, 0, 0})->lost_crashes == 2);
    CHECK(job.find({job.id(), 1, 0, 0})->lost_crashes == 2);
    CHECK(job.find({job.id(), 2, 0, 0})->lost_crashes == 0);
}

// Guards against a culprit that is started without end while other culprits explain its crashes.
TEST_CASE("a task is given up after five crashes, also if others explain them")
{
    const bool found_before = GENERATE(true, false);
    crash_pool pool(12);
    const job_id id = pool.submit("j", tasks(1, 300), seconds(60));
    pool.subject->restore(
        id,
        R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":".","explained":{"0":3}}]}})");
    const auto& task = pool.subject->find(id)->occurrences().at(0).steps[0].tasks[0];
    std::uint32_t starts = 0;
    while (!is_terminal(pool.state(id)) && starts < 10) {
        // The first plan makes the last crash durable.
        pool.plan();
        pool.plan();
        REQUIRE(task.runs.size() == 1);
        ++starts;
        const instance_id worker = task.runs[0].worker;
        CHECK(pool.subject->workers().at(worker).runs.begin()->second.last_start);
        CHECK(pool.subject->workers().at(worker).runs.begin()->second.isolation ==
              crash_suspicion_time);
        // The job of a culprit that crashed the same worker.
        const job_id culprit = pool.submit("c" + std::to_string(starts), tasks(1, 9000), {});
        const auto find_culprit = [&] {
            pool.subject->restore(culprit, R"({"state":"failed","begun":1,"occurrences":{},)"
                                           R"("reason":"crashed-workers","culprit_of":[")" +
                                               worker.str() + R"("]})");
        };
        const std::string machine = pool.subject->workers().at(worker).listing.machine;
        pool.now += seconds(1);
        if (found_before) {
            find_culprit();
        }
        pool.crash(machine);
        if (!found_before && !is_terminal(pool.state(id))) {
            find_culprit();
        }
        CHECK((is_terminal(pool.state(id)) || task.crashes.empty()));
    }
    CHECK(starts == 2);
    CHECK(pool.state(id) == job_state::failed);
}
