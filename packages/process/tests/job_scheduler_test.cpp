#include "job_world.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;
using enum version::priority;

namespace {

job_size size_of(double processors, seconds run_time = seconds(60))
{
    return {.processors = processors, .run_time = run_time};
}

/// The type by which the only job `j` is refused; empty if it isn't.
std::string refusal(job_world& world)
{
    const auto refused = only<refuse_job>(world.decide());
    return refused.empty() ? "" : refused.front().type;
}

} // namespace

TEST_CASE("what can never run is refused with its type", "[job_scheduler]")
{
    job_world world(2);
    job& row = world.add("j");
    CHECK(refusal(world).empty());
    SECTION("larger than any worker")
    {
        row.spec.declared.processors = 9;
        CHECK(refusal(world) == "job-too-large");
        world.worker("w2").processors = 16;
        world.worker("w2").state = version::instance_state::failed;
        CHECK(refusal(world).empty());
    }
    SECTION("memory and accelerators count as well")
    {
        row.spec.declared.memory_mb = 8001;
        CHECK(refusal(world) == "job-too-large");
        row.spec.declared = {.processors = 1, .accelerators = 1};
        CHECK(refusal(world) == "job-too-large");
    }
    SECTION("no worker takes jobs")
    {
        world.worker("w1").processors = 0;
        world.worker("w2").slots = 0;
        CHECK(refusal(world) == "job-too-large");
    }
    SECTION("larger than its team's quota")
    {
        world.whole.teams[team_id("t")].max_job_processors = 0.5;
        CHECK(refusal(world) == "job-over-quota");
    }
    SECTION("unknown team or pool")
    {
        row.spec.team = team_id("nobody");
        CHECK(refusal(world) == "unknown-team");
        world.whole.pools.clear();
        CHECK(refusal(world) == "unknown-pool");
    }
    SECTION("deadline already past, but not one that can no longer be met")
    {
        row.spec.deadline = world.now + seconds(1);
        CHECK(refusal(world).empty());
        CHECK(only<warn_deadline>(world.decide()).empty());
        row.spec.deadline = world.now;
        CHECK(refusal(world) == "deadline-passed");
    }
    SECTION("its class is refused by a rule")
    {
        world.limits.refused = {background};
        CHECK(refusal(world) == "class-refused");
    }
}

TEST_CASE("jobs start by class, then by the time left to their deadline, then by age",
          "[job_scheduler]")
{
    job_world world(1);
    world.worker("w1").processors = 1;
    world.add("a-old").submitted -= seconds(5);
    world.add("b-soon").spec.deadline = world.now + std::chrono::minutes(5);
    world.add("c-interactive", interactive);
    world.add("d-urgent", urgent);
    std::vector<std::string> order;
    while (order.size() < 4) {
        const auto started = only<start_job>(world.step());
        REQUIRE(started.size() == 1);
        order.push_back(started.front().job.str());
        world.jobs.erase(started.front().job);
    }
    CHECK(order == std::vector<std::string>{"d-urgent", "c-interactive", "b-soon", "a-old"});
}

TEST_CASE("a job of an old submission goes before younger ones that have deadlines",
          "[job_scheduler]")
{
    job_world world(1);
    world.worker("w1").processors = 1;
    world.add("old").submitted -= std::chrono::minutes(20);
    world.add("young").spec.deadline = world.now + std::chrono::minutes(10);
    world.step();
    CHECK(world.place_of("old") == "w1");
}

TEST_CASE("an aged job that fits nowhere keeps a worker free of younger ones", "[job_scheduler]")
{
    job_world world(2);
    world.add_running("r1", "w1", background, size_of(4, seconds(100)));
    world.add_running("r2", "w2", background, size_of(4, seconds(500)));
    world.add("large", background, size_of(8)).submitted -= std::chrono::minutes(20);
    world.add("small", background, size_of(1));
    world.add("small2", background, size_of(4));
    world.step();
    CHECK(world.place_of("small") == "w2");
    CHECK(world.place_of("small2").empty());
    world.jobs.erase(job_id("r1"));
    world.step();
    CHECK(world.place_of("large") == "w1");
}

TEST_CASE("aged jobs keep few workers, so that a backlog doesn't idle the pool", "[job_scheduler]")
{
    job_world world(8);
    for (int n = 1; n <= 8; ++n) {
        const std::string number = std::to_string(n);
        world.add_running("r" + number, "w" + number, background, size_of(4));
        world.add("large" + number, background, size_of(8)).submitted -= std::chrono::minutes(20);
        world.add("small" + number, background, size_of(4));
    }
    CHECK(only<start_job>(world.decide()).size() == 7);
}

TEST_CASE("a background job whose deadline gets near rises while it can make it", "[job_scheduler]")
{
    job_world world(1);
    world.worker("w1").processors = 1;
    job& rebuild = world.add("rebuild", background, size_of(1, seconds(600)));
    world.add("check", interactive);
    rebuild.spec.deadline = world.now + seconds(740);
    SECTION("near")
    {
        world.step();
        CHECK(world.place_of("rebuild") == "w1");
    }
    SECTION("not yet near")
    {
        rebuild.spec.deadline = world.now + std::chrono::hours(2);
        world.step();
        CHECK(world.place_of("check") == "w1");
    }
    SECTION("too late: it warns once, and costs others nothing")
    {
        rebuild.spec.deadline = world.now + seconds(500);
        const auto warned = only<warn_deadline>(world.step());
        REQUIRE(warned.size() == 1);
        CHECK(warned.front().expected == world.now + seconds(600));
        CHECK(world.place_of("check") == "w1");
        CHECK(only<warn_deadline>(world.step()).empty());
        rebuild.spec.deadline = world.now + std::chrono::hours(2);
        CHECK(only<warn_deadline>(world.step()).empty());
        rebuild.spec.deadline = world.now + seconds(500);
        CHECK(only<warn_deadline>(world.step()).size() == 1);
    }
}

TEST_CASE("deadlines that the pool can't meet together are told at once", "[job_scheduler]")
{
    job_world world(1);
    for (int n = 0; n < 3; ++n) {
        world.add("j" + std::to_string(n), background, size_of(8, seconds(100))).spec.deadline =
            world.now + seconds(250);
    }
    const auto warned = only<warn_deadline>(world.decide());
    REQUIRE(warned.size() == 1);
    CHECK(warned.front().expected == world.now + seconds(300));
}

TEST_CASE("a team's quota counts what it uses, here and elsewhere", "[job_scheduler]")
{
    job_world world(2);
    world.whole.teams[team_id("t")].max_job_processors = 4;
    world.used_elsewhere[team_id("t")].processors = 1;
    world.add_running("r", "w1", background, size_of(1));
    world.add("a", background, size_of(1));
    world.add("b", background, size_of(1));
    world.add("c", background, size_of(1));
    CHECK(only<start_job>(world.decide()).size() == 2);
    world.whole.teams[team_id("t")].max_job_processors = 0;
    CHECK(only<start_job>(world.decide()).size() == 3);
}

TEST_CASE("a job goes where least room is left", "[job_scheduler]")
{
    job_world world(3);
    world.add_running("r", "w2", background, size_of(5));
    world.add("j", background, size_of(3));
    SECTION("on processors")
    {
        world.step();
        CHECK(world.place_of("j") == "w2");
    }
    SECTION("on memory where that is scarcer")
    {
        world.jobs.at(job_id("r")).spec.declared = {.processors = 0.1, .memory_mb = 5000};
        world.jobs.at(job_id("j")).spec.declared = {.processors = 0.1, .memory_mb = 3000};
        world.step();
        CHECK(world.place_of("j") == "w2");
    }
    SECTION("not where slots are used up")
    {
        world.worker("w2").slots = 1;
        world.step();
        CHECK(world.place_of("j") == "w1");
    }
    SECTION("not where a stopping job still holds the room")
    {
        world.jobs.at(job_id("r")).state = job_state::stopping;
        world.jobs.at(job_id("j")).spec.declared.processors = 4;
        world.step();
        CHECK(world.place_of("j") == "w1");
    }
}

TEST_CASE("accelerators, drains and racks are weighed", "[job_scheduler]")
{
    job_world world(3);
    world.add("j");
    SECTION("accelerators are kept for jobs that need them")
    {
        world.worker("w1").accelerators = 1;
        world.worker("w1").processors = 2;
        world.add("k", background, {.processors = 1, .accelerators = 1});
        world.step();
        CHECK(world.place_of("j") == "w2");
        CHECK(world.place_of("k") == "w1");
    }
    SECTION("a worker that a running wave still takes comes last")
    {
        const wave_id maintenance("m");
        world.whole.waves[maintenance] = {.id = maintenance, .pools = {pool_id("p")}};
        world.worker("w3").last_wave = maintenance;
        world.step();
        CHECK(world.place_of("j") == "w3");
    }
    SECTION("a draining worker gets nothing, and its jobs leave it")
    {
        world.add_running("r", "w1", background, size_of(7));
        world.worker("w1").state = version::instance_state::draining;
        const auto vacated = only<vacate_job>(world.step());
        REQUIRE(vacated.size() == 1);
        CHECK(vacated.front().save);
        CHECK(world.place_of("j") == "w2");
    }
    SECTION("jobs of a kind spread over racks among equal workers")
    {
        world.worker("w1").processors = world.worker("w2").processors = 1;
        world.add_running("r", "w3", background, size_of(1));
        world.worker("w3").rack = rack_id("odd");
        world.step();
        CHECK(world.place_of("j") == "w2");
    }
}

TEST_CASE("learned sizes place more than the declared ones would", "[job_scheduler]")
{
    job_world world(1);
    for (int n = 0; n < 4; ++n) {
        world.add("j" + std::to_string(n), background, size_of(8));
    }
    CHECK(only<start_job>(world.decide()).size() == 1);
    world.learned.on_run(world.jobs.begin()->second.spec,
                         {.processors = 2, .run_time = seconds(60)}, true);
    CHECK(only<start_job>(world.decide()).size() == 4);
}

TEST_CASE("what is held back is for urgent jobs", "[job_scheduler]")
{
    job_world world(2);
    world.whole.pools[pool_id("p")].reserve = 1;
    world.add("a", background, size_of(8));
    world.add("b", interactive, size_of(8));
    world.add("c", urgent, size_of(8));
    world.add("d", urgent, size_of(8));
    CHECK(only<start_job>(world.step()).size() == 2);
    CHECK_FALSE(world.place_of("c").empty());
    CHECK_FALSE(world.place_of("d").empty());
    world.jobs.erase(job_id("c"));
    world.jobs.erase(job_id("d"));
    CHECK(only<start_job>(world.step()).size() == 1);
    CHECK_FALSE(world.place_of("b").empty());
}

TEST_CASE("a worker that fails different jobs is quarantined and gets nothing", "[job_scheduler]")
{
    job_world world(2);
    for (const char* name : {"a", "b", "c"}) {
        world.scheduler.on_run_ended(job_id(name), instance_id("w1"), true);
        world.scheduler.on_run_ended(job_id(name), instance_id("w1"), true);
    }
    world.add("j");
    SECTION("at the third job")
    {
        const auto out = only<quarantine_worker>(world.step());
        REQUIRE(out.size() == 1);
        CHECK(out.front().worker == instance_id("w1"));
        CHECK(world.place_of("j") == "w2");
    }
    SECTION("not after a success in between")
    {
        world.scheduler.on_run_ended(job_id("d"), instance_id("w1"), false);
        CHECK(only<quarantine_worker>(world.decide()).empty());
    }
    SECTION("not where most workers fail")
    {
        for (const char* name : {"a2", "b2", "c2"}) {
            world.scheduler.on_run_ended(job_id(name), instance_id("w2"), true);
        }
        CHECK(only<quarantine_worker>(world.decide()).empty());
        CHECK(only<start_job>(world.decide()).size() == 1);
    }
    SECTION("counted anew once it was out")
    {
        world.worker("w1").state = version::instance_state::quarantined;
        CHECK(only<quarantine_worker>(world.decide()).empty());
        world.worker("w1").state = version::instance_state::admitted;
        CHECK(only<quarantine_worker>(world.decide()).empty());
    }
}

TEST_CASE("a job that fails everywhere isn't the workers' fault", "[job_scheduler]")
{
    // Enough workers that those three aren't most of them.
    job_world world(8);
    for (const char* job : {"a", "b", "c"}) {
        for (const char* worker : {"w1", "w2", "w3"}) {
            world.scheduler.on_run_ended(job_id(job), instance_id(worker), true);
        }
    }
    CHECK(only<quarantine_worker>(world.decide()).empty());
}

TEST_CASE("a job goes elsewhere after a failure, if it can", "[job_scheduler]")
{
    job_world world(2);
    world.add("j");
    world.scheduler.on_run_ended(job_id("j"), instance_id("w1"), true);
    CHECK(only<start_job>(world.decide()).front().worker == instance_id("w2"));
    world.worker("w2").state = version::instance_state::stopped;
    CHECK(only<start_job>(world.decide()).front().worker == instance_id("w1"));
}

TEST_CASE("a round starts a bounded number of jobs", "[job_scheduler]")
{
    job_world world(2, {.max_starts = 3});
    for (int n = 0; n < 9; ++n) {
        world.add("j" + std::to_string(n));
    }
    CHECK(only<start_job>(world.step()).size() == 3);
    CHECK(only<start_job>(world.step()).size() == 3);
}

TEST_CASE("a job waits rather than fail again on the only worker with room", "[job_scheduler]")
{
    job_world world(2);
    world.add("j", background, size_of(8));
    world.add("u", urgent, size_of(8));
    world.add_running("r", "w2", background, size_of(1));
    for (const char* name : {"j", "u"}) {
        world.scheduler.on_run_ended(job_id(name), instance_id("w1"), true);
    }
    const auto decisions = world.step();
    CHECK(only<start_job>(decisions).empty());
    CHECK(only<vacate_job>(decisions).size() == 1);
}
