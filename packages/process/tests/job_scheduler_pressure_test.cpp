// Placement where jobs have to give way or slow down.
#include "job_world.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;
using enum version::priority;

namespace {

job_size size_of(double processors, seconds run_time = seconds(600))
{
    return {.processors = processors, .run_time = run_time};
}

std::vector<std::string> vacated(const std::vector<job_decision>& decisions)
{
    std::vector<std::string> names;
    for (const vacate_job& each : only<vacate_job>(decisions)) {
        names.push_back(each.job.str());
    }
    return names;
}

} // namespace

TEST_CASE("an urgent job without room makes the cheapest background jobs give way, once",
          "[job_scheduler]")
{
    job_world world(2);
    world.add_running("long", "w1", background, size_of(4)).placed -= seconds(300);
    world.add_running("interactive", "w1", interactive, size_of(4));
    world.add_running("short", "w2", background, size_of(4)).placed -= seconds(10);
    world.add_running("shorter", "w2", background, size_of(4)).placed -= seconds(5);
    world.add("u", urgent, size_of(4));
    CHECK(vacated(world.step()) == std::vector<std::string>{"shorter"});
    world.add("small", interactive, size_of(1));
    CHECK(world.step().empty());
    world.jobs.erase(job_id("shorter"));
    world.step();
    CHECK(world.place_of("u") == "w2");
}

TEST_CASE("no more give way than are needed", "[job_scheduler]")
{
    job_world world(1);
    world.add_running("small", "w1", background, size_of(2)).placed -= seconds(10);
    world.add_running("large", "w1", background, size_of(6)).placed -= seconds(100);
    world.add("u", urgent, size_of(6));
    CHECK(vacated(world.step()) == std::vector<std::string>{"large"});
}

TEST_CASE("a later job of the team does not take the quota of one that waits for room",
          "[job_scheduler]")
{
    job_world world(2);
    const team_id q("q");
    world.whole.teams[q] = {.id = q, .max_job_processors = 5};
    world.worker("w2").processors = 2;
    world.add_running("b", "w1", background, size_of(4));
    world.add("large", urgent, size_of(5)).spec.team = q;
    job& later = world.add("small", urgent, size_of(1));
    later.spec.team = q;
    later.submitted += seconds(1);
    CHECK(vacated(world.step()) == std::vector<std::string>{"b"});
    CHECK(world.place_of("small").empty());
    CHECK(world.decide().empty());
    world.jobs.erase(job_id("b"));
    world.step();
    CHECK(world.place_of("large") == "w1");
    CHECK(world.place_of("small").empty());
}

TEST_CASE("the job with the later deadline gives way among equals", "[job_scheduler]")
{
    job_world world(1);
    world.add_running("later", "w1", background, size_of(4)).spec.deadline =
        world.now + std::chrono::hours(20);
    world.add_running("earlier", "w1", background, size_of(4)).spec.deadline =
        world.now + std::chrono::hours(10);
    world.add("u", urgent, size_of(4));
    CHECK(vacated(world.step()) == std::vector<std::string>{"later"});
}

TEST_CASE("interactive jobs give way after background ones, the others never", "[job_scheduler]")
{
    job_world world(1);
    world.add_running("i", "w1", interactive, size_of(4));
    world.add_running("b", "w1", background, size_of(4)).placed -= seconds(500);
    world.add("u", urgent, size_of(8));
    SECTION("both, if both are needed")
    {
        CHECK(vacated(world.step()) == std::vector<std::string>{"b", "i"});
    }
    SECTION("none, if one can't be checkpointed and so it would not help")
    {
        world.jobs.at(job_id("b")).spec.checkpoints = false;
        CHECK(vacated(world.step()).empty());
    }
    SECTION("none for other urgent ones' room")
    {
        world.jobs.at(job_id("i")).spec.work_class = urgent;
        CHECK(vacated(world.step()).empty());
    }
}

TEST_CASE("urgent jobs share the room that is being freed", "[job_scheduler]")
{
    job_world world(1);
    world.add_running("b", "w1", background, size_of(8));
    world.add("u1", urgent, size_of(4));
    world.add("u2", urgent, size_of(4));
    CHECK(vacated(world.step()) == std::vector<std::string>{"b"});
}

TEST_CASE("each urgent job without room is made room of its own", "[job_scheduler]")
{
    job_world world(1);
    world.add_running("b1", "w1", background, size_of(4));
    world.add_running("b2", "w1", background, size_of(4));
    world.add("u1", urgent, size_of(4));
    world.add("u2", urgent, size_of(4));
    CHECK(vacated(world.step()) == std::vector<std::string>{"b1", "b2"});
    CHECK(world.step().empty());
}

TEST_CASE("room that is being freed for an urgent job is promised to it", "[job_scheduler]")
{
    job_world world(1);
    world.add_running("b", "w1", background, size_of(5));
    world.add("small", interactive, size_of(1));
    world.add("u", urgent, size_of(8));
    CHECK(vacated(world.step()) == std::vector<std::string>{"b"});
    CHECK(world.place_of("small").empty());
    world.jobs.erase(job_id("b"));
    world.step();
    CHECK(world.place_of("u") == "w1");
}

TEST_CASE("interactive load throttles background jobs, with hysteresis", "[job_scheduler]")
{
    job_world world(2);
    world.add_running("b", "w1", background, size_of(1));
    world.add_running("i", "w1", interactive, size_of(1));
    const auto pace_at = [&](double load) {
        world.interactive_load = load;
        world.step();
        CHECK(world.jobs.at(job_id("i")).pace == job_pace::full);
        return world.jobs.at(job_id("b")).pace;
    };
    CHECK(pace_at(0.79) == job_pace::full);
    CHECK(pace_at(0.8) == job_pace::throttled);
    CHECK(pace_at(0.61) == job_pace::throttled);
    CHECK(pace_at(0.6) == job_pace::full);
    CHECK(pace_at(0.79) == job_pace::full);
}

TEST_CASE("a rebuild near its deadline isn't throttled for load while it can make it",
          "[job_scheduler]")
{
    job_world world(1);
    job& rebuild = world.add_running("b", "w1", background, size_of(1, seconds(600)));
    world.interactive_load = 0.9;
    SECTION("it runs throttled until its deadline gets near, then on to the end")
    {
        rebuild.spec.deadline = world.now + std::chrono::hours(1);
        world.step();
        CHECK(rebuild.pace == job_pace::throttled);
        world.now += std::chrono::minutes(55);
        // A throttled run makes a quarter of the way or less.
        rebuild.saved = seconds(400);
        rebuild.placed = world.now;
        world.step();
        CHECK(rebuild.pace == job_pace::full);
        world.now += seconds(100);
        world.step();
        CHECK(rebuild.pace == job_pace::full);
    }
    SECTION("not where the deadline is lost anyway")
    {
        rebuild.spec.deadline = world.now + seconds(100);
        world.step();
        CHECK(rebuild.pace == job_pace::throttled);
    }
    SECTION("but where a rule says so")
    {
        rebuild.spec.deadline = world.now + seconds(700);
        world.limits.throttled = {background};
        world.step();
        CHECK(rebuild.pace == job_pace::throttled);
    }
}

TEST_CASE("rules checkpoint and stop classes", "[job_scheduler]")
{
    job_world world(1);
    world.add_running("b", "w1", background, size_of(1));
    world.add_running("whole", "w1", background, size_of(1)).spec.checkpoints = false;
    world.add_running("i", "w1", interactive, size_of(1));
    world.add("waiting", background, size_of(1));
    SECTION("checkpointed")
    {
        world.limits.checkpointed = {background};
        const auto decisions = world.step();
        CHECK(vacated(decisions) == std::vector<std::string>{"b"});
        CHECK(only<vacate_job>(decisions).front().save);
    }
    SECTION("stopped")
    {
        world.limits.stopped = {background};
        const auto decisions = world.step();
        CHECK(vacated(decisions) == std::vector<std::string>{"b", "whole"});
        CHECK_FALSE(only<vacate_job>(decisions).front().save);
    }
    CHECK(world.place_of("waiting").empty());
    world.limits = {};
    world.step();
    CHECK(world.place_of("waiting") == "w1");
}
