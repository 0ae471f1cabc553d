#include "plantaindoor/job/crash_history.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include "crash_pool.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

const step_spec small_step{.count = 4, .need = {.cpu_millis = 500, .memory_mb = 100}};

} // namespace

// Guards against BUDGET: a task that crashes each worker that starts it was started without end.
TEST_CASE("a task that crashes its workers fails its job after two crashes, and spares the others")
{
    crash_pool fixture(6);
    std::vector<job_id> sound;
    for (int each = 0; each < 6; ++each) {
        sound.push_back(fixture.submit("sound" + std::to_string(each), small_step));
    }
    fixture.run_for(milliseconds(300));
    const job_id bad = fixture.submit("bad", small_step);
    const task_name culprit{bad, 0, 0, 1};
    fixture.crashing.insert(culprit);
    fixture.run_for(seconds(8));
    CHECK(fixture.state(bad) == job_state::failed);
    CHECK(fixture.subject->find(bad)->status().failure == failure_reason::crashed_workers);
    CHECK(fixture.starts[culprit] == 2);
    for (const job_id& id : sound) {
        INFO("job " << id);
        CHECK(fixture.state(id) == job_state::completed);
    }
    const auto noted =
        std::find_if(fixture.decisions.begin(), fixture.decisions.end(), [](const decision& each) {
            return each.kind == decision_kind::job_ended && each.state == job_state::failed;
        });
    REQUIRE(noted != fixture.decisions.end());
    CHECK(noted->failure == failure_reason::crashed_workers);
}

// Guards against BUDGET across takeovers: each leader counted the crashes from zero.
TEST_CASE("what is known of a task's crashes survives a change of the leader")
{
    crash_pool fixture(6);
    const job_id bad = fixture.submit("bad", small_step);
    const task_name culprit{bad, 0, 0, 0};
    fixture.crashing.insert(culprit);
    while (fixture.crashes[culprit] == 0) {
        fixture.step();
    }
    fixture.replace_leader();
    fixture.run_for(seconds(8));
    CHECK(fixture.state(bad) == job_state::failed);
    CHECK(fixture.starts[culprit] == 2);

    fixture.replace_leader();
    CHECK(fixture.subject->find(bad)->status().failure == failure_reason::crashed_workers);
}

// Guards against BUDGET: the writes of two leaders in succession were lost, and each had started
// the task twice before it waited for them.
TEST_CASE("a task under which a worker has crashed starts again only once that is durable")
{
    crash_pool pool(6);
    const bool culprit = GENERATE(true, false);
    const job_id suspect = pool.submit("suspect", tasks(1, 300), std::nullopt, culprit);
    pool.store_answers = false;
    pool.step();
    if (!culprit) {
        // Long after its start, so that it isn't isolated.
        pool.run_for(milliseconds(300));
        pool.crash_all();
    }
    pool.run_for(seconds(4));
    CHECK(pool.starts[{suspect, 0, 0, 0}] == 1);

    pool.store_answers = true;
    pool.run_for(seconds(4));
    CHECK(pool.state(suspect) == (culprit ? job_state::failed : job_state::completed));
    CHECK(pool.starts[{suspect, 0, 0, 0}] == 2);
}

TEST_CASE("a leader none of whose writes are durable starts a task that crashes workers once")
{
    crash_pool pool(6);
    pool.store_answers = false;
    const task_name culprit{job_id("bad"), 0, 0, 0};
    for (std::uint32_t leader = 1; leader <= 3; ++leader) {
        pool.submit("bad", tasks(1, 300), std::nullopt, true);
        pool.run_for(seconds(4));
        CHECK(pool.starts[culprit] == leader);
        pool.begin_leader();
        for (const auto& [machine, worker] : pool.workers) {
            pool.subject->note_worker_listed(crash_pool::listing(machine, worker), pool.now);
            pool.report(worker);
        }
    }
}

// Guards against a task that waits as long as the other tasks of its job keep ending.
TEST_CASE("only the crashes of a task have to be durable before it starts again")
{
    crash_pool pool(2);
    pool.store_answers = false;
    const job_id job = pool.submit("j", tasks(3, 1500), seconds(60));
    pool.plan();
    const auto has_two_runs = [&](const auto& each) {
        return pool.running[each.second].size() == 2;
    };
    const auto found = std::find_if(pool.workers.begin(), pool.workers.end(), has_two_runs);
    REQUIRE(found != pool.workers.end());
    const std::string machine = found->first;
    const task_name suspect = pool.running[found->second][0].run.run.task;
    pool.now += milliseconds(500);
    pool.crash(machine);
    static_cast<void>(pool.subject->begin_persist());
    pool.plan();
    CHECK(pool.starts[suspect] == 1);

    // Another task of the job ends meanwhile.
    const instance_id other = pool.workers.begin()->second;
    REQUIRE(pool.running[other].size() == 1);
    const run_name ended = pool.running[other][0].run.run;
    pool.running[other].clear();
    pool.report(other, {{.sequence = 1, .run = ended, .end_reason = run_end_reason::done}});
    pool.subject->note_persisted();
    REQUIRE_FALSE(pool.subject->is_durable(job));
    pool.plan();
    CHECK(pool.starts[suspect] == 2);
}

// Guards against a rule for crashes that gives up sound work: workers that crash by themselves.
TEST_CASE("plain crashes fail no job, one worker, a rack or all of them at a time")
{
    const std::uint32_t machines = 6;
    const std::uint32_t at_once = GENERATE(1, 3, 6);
    crash_pool fixture(machines);
    std::vector<job_id> jobs;
    std::uint32_t next = 0;
    for (std::uint32_t round = 0; round < 12; ++round) {
        for (int each = 0; each < 3; ++each) {
            jobs.push_back(fixture.submit("j" + std::to_string(round) + "-" + std::to_string(each),
                                          small_step));
        }
        // Some runs have just been started when their worker crashes, others are at work.
        fixture.run_for(milliseconds(400));
        jobs.push_back(fixture.submit("fresh" + std::to_string(round), small_step));
        fixture.plan();
        fixture.now += milliseconds(20);
        for (std::uint32_t each = 0; each < at_once; ++each) {
            const std::string machine = "m" + std::to_string(next++ % machines);
            if (fixture.workers.contains(machine)) {
                fixture.crash(machine);
            }
        }
        fixture.run_for(milliseconds(1600));
    }
    fixture.run_for(seconds(20));
    for (const job_id& id : jobs) {
        INFO("job " << id);
        CHECK(fixture.state(id) == job_state::completed);
    }
}

// Guards against ends of workers that are no crashes being held against their tasks.
TEST_CASE("a worker that was moved, drained or silent doesn't count as crashed")
{
    crash_pool fixture(4);
    const job_id id = fixture.submit("j", {.count = 1, .need = {.cpu_millis = 500}});
    fixture.run_time = seconds(60);
    const task_name task{id, 0, 0, 0};
    const auto worker_of_task = [&] {
        return fixture.subject->find(id)->occurrences().at(0).steps[0].tasks[0].runs.at(0).worker;
    };
    fixture.plan();
    const instance_id worker = worker_of_task();
    const std::string machine = fixture.subject->workers().at(worker).listing.machine;
    const auto crashes = [&] {
        return fixture.subject->find(id)->occurrences().at(0).steps[0].tasks[0].crashes.size();
    };
    const auto end_as = [&](worker_end cause) {
        fixture.workers.erase(machine);
        fixture.subject->note_worker_ended(worker, cause, fixture.now + milliseconds(20));
    };

    const auto answer_as = [&](const std::string& on, const std::string& name, service_id service) {
        auto listing = crash_pool::listing(on, instance_id(name));
        listing.service = std::move(service);
        fixture.subject->note_worker_listed(listing, fixture.now + seconds(2));
        fixture.subject->note_report(listing.id, {.worker_clock = milliseconds(1)},
                                     fixture.now + seconds(2), fixture.now + seconds(2));
    };

    SECTION("moved by an order")
    {
        end_as(worker_end::order);
        CHECK(crashes() == 0);
    }
    SECTION("in maintenance by an order whose answer is missing")
    {
        fixture.subject->expect_planned_end(machine, fixture.now + seconds(13));
        end_as(worker_end::machine_down);
        CHECK(crashes() == 0);
    }
    SECTION("draining")
    {
        auto listing = crash_pool::listing(machine, worker);
        listing.draining = true;
        fixture.subject->note_worker_listed(listing, fixture.now);
        end_as(worker_end::machine_down);
        CHECK(crashes() == 0);
    }
    SECTION("its address belongs to a worker of another machine")
    {
        end_as(worker_end::other_address);
        answer_as("m9", "w90", checks);
        CHECK(crashes() == 0);
    }
    SECTION("silent, until a worker of another pool is on its machine")
    {
        end_as(worker_end::lease_expired);
        answer_as(machine, "w91", service_id("essays"));
        CHECK(crashes() == 0);
    }
    SECTION("silent, and an old row of its machine comes back")
    {
        end_as(worker_end::lease_expired);
        fixture.subject->note_worker_listed(crash_pool::listing(machine, instance_id("w0")),
                                            fixture.now + seconds(2));
        CHECK(crashes() == 0);
    }
    SECTION("silent, and replaced on its machine: that was a crash")
    {
        end_as(worker_end::lease_expired);
        CHECK(crashes() == 0);
        answer_as(machine, "w92", checks);
        CHECK(crashes() == 1);
    }
    SECTION("down without an order: that was a crash")
    {
        end_as(worker_end::machine_down);
        CHECK(crashes() == 1);
    }
}

// Guards against giving up sound work beside crashing tasks: seen with a long-running task that
// lost its workers to four of them.
TEST_CASE("a crash for which a task was given up counts against no other task")
{
    crash_pool fixture(3);
    fixture.run_time = seconds(60);
    std::vector<job_id> sound;
    for (int each = 0; each < 3; ++each) {
        sound.push_back(
            fixture.submit("sound" + std::to_string(each),
                           {.count = 1, .need = {.cpu_millis = 500}, .long_running = true}));
    }
    for (int round = 0; round < 8; ++round) {
        fixture.run_for(milliseconds(1000));
        const job_id bad = fixture.submit("bad" + std::to_string(round),
                                          {.count = 1, .need = {.cpu_millis = 500}});
        fixture.crashing.insert({bad, 0, 0, 0});
        fixture.run_for(milliseconds(3000));
        CHECK(fixture.state(bad) == job_state::failed);
    }
    for (const job_id& id : sound) {
        INFO("job " << id);
        CHECK(fixture.state(id) == job_state::running);
    }
    // A task that was started together with the culprit is suspected only until that is found.
    const job_id bad = fixture.submit("last-bad", {.count = 1, .need = {.cpu_millis = 500}});
    const job_id beside = fixture.submit("beside", {.count = 1, .need = {.cpu_millis = 500}});
    fixture.crashing.insert({bad, 0, 0, 0});
    const auto& neighbour = fixture.subject->find(beside)->occurrences().at(0).steps[0].tasks[0];
    while (fixture.crashes[{bad, 0, 0, 0}] == 0) {
        fixture.step();
    }
    CHECK(neighbour.crashes.size() == 1);
    fixture.run_for(seconds(8));
    CHECK(fixture.state(bad) == job_state::failed);
    CHECK(neighbour.crashes.empty());
}

// Guards against giving up a sound long-running task whose workers crash under later starts.
TEST_CASE(
    "a task that survives its isolated starts is not given up for what starts beside it later")
{
    crash_pool fixture(4);
    fixture.run_time = seconds(60);
    const job_id sound =
        fixture.submit("sound", {.count = 1, .need = {.cpu_millis = 500}, .long_running = true});
    const auto& task = fixture.subject->find(sound)->occurrences().at(0).steps[0].tasks[0];
    for (int round = 0; round < 8; ++round) {
        // Waits for a start, and until others may run beside it.
        while (task.runs.empty() ||
               fixture.subject->workers().at(task.runs[0].worker).isolated_runs > 0) {
            fixture.step();
        }
        fixture.run_for(milliseconds(700));
        const instance_id worker = task.runs[0].worker;
        const job_id other = fixture.submit("other" + std::to_string(round),
                                            {.count = 8, .need = {.cpu_millis = 400}});
        fixture.plan();
        fixture.now += milliseconds(10);
        fixture.crash(fixture.subject->workers().at(worker).listing.machine);
        fixture.subject->cancel(other, fixture.now);
        REQUIRE(fixture.state(sound) == job_state::running);
    }
}

TEST_CASE("a task that has outlived its suspicion is not blamed for a later crash")
{
    crash_pool fixture(2);
    fixture.run_time = seconds(60);
    const job_id id = fixture.submit("j", {.count = 1, .need = {.cpu_millis = 500}});
    for (int round = 0; round < 8; ++round) {
        fixture.run_for(seconds(4));
        const auto& task = fixture.subject->find(id)->occurrences().at(0).steps[0].tasks[0];
        REQUIRE(task.runs.size() == 1);
        fixture.crash(fixture.subject->workers().at(task.runs[0].worker).listing.machine);
        CHECK(task.crashes.empty());
    }
    CHECK(fixture.state(id) == job_state::running);
}

TEST_CASE(
    "a suspected task starts on a worker without tasks of other jobs, and keeps it for a time")
{
    crash_pool fixture(4);
    fixture.run_time = seconds(2);
    const job_id busy = fixture.submit("busy", {.count = 16, .need = {.cpu_millis = 500}});
    const job_id bad = fixture.submit("bad", {.count = 1, .need = {.cpu_millis = 500}});
    fixture.crashing.insert({bad, 0, 0, 0});
    while (fixture.crashes[{bad, 0, 0, 0}] == 0) {
        fixture.step();
    }
    fixture.crashing.clear();
    fixture.run_for(seconds(20));
    CHECK(fixture.state(busy) == job_state::completed);
    CHECK(fixture.state(bad) == job_state::completed);
    // The last start found its worker empty, although there were other tasks to place.
    CHECK(fixture.starts[{bad, 0, 0, 0}] == 2);
}

TEST_CASE("a task is to blame after two crashes on its start, the last one alone, or four in all")
{
    const task_crash crowd{.worker = instance_id("a"), .on_start = true};
    const task_crash alone{.worker = instance_id("b"), .on_start = true, .alone = true};
    const task_crash later{.worker = instance_id("c"), .on_start = false, .alone = true};
    CHECK_FALSE(is_to_blame({}));
    CHECK_FALSE(is_to_blame({alone}));
    CHECK(is_to_blame({crowd, alone}));
    CHECK_FALSE(is_to_blame({crowd, crowd, crowd}));
    CHECK_FALSE(is_to_blame({later, alone}));
    CHECK_FALSE(is_to_blame({alone, later, later}));
    CHECK(is_to_blame({later, later, later, later}));
    CHECK(most_known_crashes(0) == 5);
    CHECK(most_known_crashes(1) == 4);
    CHECK(most_known_crashes(2) == 3);
    CHECK(most_known_crashes(9) == 3);
    CHECK(isolation_after({later, later}) < crash_suspicion_time);
    CHECK(isolation_after({later, later, later}) == crash_suspicion_time);
    CHECK(needs_isolation({crowd}));
    CHECK_FALSE(needs_isolation({later}));
    CHECK(needs_isolation({later, later}));
}

TEST_CASE("the reason of a failure is kept in a job's progress and in its status text")
{
    const job_status failed{.state = job_state::failed, .failure = failure_reason::crashed_workers};
    CHECK(to_text(failed) == "failed crashed-workers");
    CHECK(parse_job_status(to_text(failed)) == failed);
    CHECK(parse_job_status("running") == job_status{.state = job_state::running});
    CHECK_FALSE(parse_job_status("failed for-fun"));
    CHECK_FALSE(parse_job_status(""));
    CHECK(status_of_progress(R"({"state":"failed","reason":"crashed-workers"})") == failed);
    CHECK(status_of_progress(R"({"state":"failed"})") == job_status{.state = job_state::failed});
    for (const char* malformed : {"", "[]", "{}", R"({"state":7})", R"({"state":"lost"})"}) {
        CHECK_FALSE(status_of_progress(malformed));
    }
}

// Guards against a leader that ends because of one unreadable row.
TEST_CASE("unreadable progress of a job is reported as a spec_error, whatever is wrong with it")
{
    crash_pool fixture(1);
    const job_id id = fixture.submit("j", {.count = 2});
    for (
        const char* progress :
        {"", "7", R"({"state":"running"})", R"({"state":"running","begun":"x","occurrences":{}})",
         R"({"state":"running","begun":1,"occurrences":{"a":[{"tasks":".."}]}})",
         R"({"state":"running","begun":1,"occurrences":{"0":[]}})",
         R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":"."}]}})",
         R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":"..","failed":{"9":[1]}}]}})",
         R"({"state":"running","begun":1,"occurrences":{"0":[{"tasks":"..","crashes":{"0":[1]}}]}})"}) {
        INFO(progress);
        CHECK_THROWS_AS(fixture.subject->restore(id, progress), spec_error);
    }
}
