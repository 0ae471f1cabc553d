#include "plantaindoor/fleet/machine_giver.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

const service_id checks{"checks"};
const service_id scans{"scans"};

/// Two idle machines of the pool `checks` and two of `scans`, long after the session began.
struct giver_fixture {
    time_point now{seconds(100)};
    machine_giver subject{{}, time_point{}, true};
    std::map<instance_id, job::worker_record> workers;
    std::map<service_id, pool_figures> pools{{checks, {.wanted = 0, .present = 2}},
                                             {scans, {.wanted = 0, .present = 2}}};
    std::vector<idle_machine> idle;

    giver_fixture()
    {
        for (const std::string name : {"c1", "c2", "s1", "s2"}) {
            const service_id pool = name.front() == 'c' ? checks : scans;
            const instance_id id("w-" + name);
            idle.push_back({.machine = name, .pool = pool, .worker = id});
            job::worker_record& worker = workers[id];
            worker.listing = {.id = id, .service = pool, .machine = name};
            worker.listed = true;
            worker.token_acknowledged = true;
            worker.predecessor_runs_known = true;
            worker.clock = milliseconds(1);
            worker.last_answer = now;
        }
    }

    job::worker_record& worker(const std::string& machine)
    {
        return workers.at(instance_id("w-" + machine));
    }

    std::vector<std::string> select(std::uint32_t count, const service_id& pool = checks)
    {
        return subject.select({.wanted = {{pool, count}}}, idle, pools, workers, now);
    }

    void observe_for(milliseconds time)
    {
        constexpr milliseconds period{100};
        for (milliseconds passed{0}; passed < time; passed += period) {
            now += period;
            for (auto& [id, worker] : workers) {
                worker.last_answer = now;
            }
            subject.observe(workers, now);
        }
    }
};

} // namespace

TEST_CASE("a shard gives machines of the pool that needs them first")
{
    giver_fixture fixture;
    CHECK(fixture.select(1) == std::vector<std::string>{"c1"});
    CHECK(fixture.select(1, scans) == std::vector<std::string>{"s1"});
    CHECK(fixture.select(2) == std::vector<std::string>{"c1", "s1"});
    CHECK(fixture.select(5, service_id("other")) == std::vector<std::string>{"c1", "s1"});
}

TEST_CASE("a shard gives no machine that its pools want")
{
    giver_fixture fixture;
    fixture.pools[checks].wanted = 2;
    fixture.pools[scans].wanted = 2;
    CHECK(fixture.select(3).empty());
}

// Guards against a long-running task that waits for ever beside machines that another shard only
// keeps as a reserve.
TEST_CASE("a shard gives for long-running tasks what its own ones don't require")
{
    giver_fixture fixture;
    fixture.pools[checks] = {.wanted = 2, .present = 2, .required = 1};
    fixture.pools[scans] = {.wanted = 2, .present = 2, .required = 2};
    const machine_request request{.required = {{checks, 2}}, .wanted = {{checks, 2}}};
    CHECK(fixture.subject.select(request, fixture.idle, fixture.pools, fixture.workers,
                                 fixture.now) == std::vector<std::string>{"c1"});
}

// Guards against two leaders that order one machine: an order that was sent before the transfer is
// carried out after it.
TEST_CASE("a shard gives no machine with an order that may still be carried out")
{
    giver_fixture fixture;
    fixture.pools[scans].wanted = 2;
    fixture.pools[checks].present = 3;
    SECTION("of this leader")
    {
        fixture.subject.note_order("c1", fixture.now);
        CHECK(fixture.select(2) == std::vector<std::string>{"c2"});
        fixture.subject.note_answer("c1", machine_answer::accepted, fixture.now);
        fixture.observe_for(milliseconds(3200));
        CHECK(fixture.select(2) == std::vector<std::string>{"c2"});
        fixture.observe_for(milliseconds(300));
        CHECK(fixture.select(2).size() == 2);
    }
    SECTION("that wasn't answered")
    {
        fixture.subject.note_answer("c1", machine_answer::unanswered, fixture.now);
        fixture.observe_for(milliseconds(12900));
        CHECK(fixture.select(2) == std::vector<std::string>{"c2"});
        fixture.observe_for(milliseconds(300));
        CHECK(fixture.select(2).size() == 2);
    }
    SECTION("a start that wasn't answered")
    {
        fixture.worker("c1").unanswered_start = fixture.now;
        fixture.observe_for(milliseconds(12900));
        CHECK(fixture.select(2) == std::vector<std::string>{"c2"});
        fixture.observe_for(milliseconds(300));
        CHECK(fixture.select(2).size() == 2);
    }
    SECTION("of a predecessor")
    {
        machine_giver successor({}, fixture.now, true);
        const machine_request request{.wanted = {{checks, 2}}};
        const auto selected = [&] {
            return successor.select(request, fixture.idle, fixture.pools, fixture.workers,
                                    fixture.now);
        };
        CHECK(selected().empty());
        fixture.observe_for(milliseconds(12900));
        CHECK(selected().empty());
        fixture.observe_for(milliseconds(300));
        CHECK(selected().size() == 2);
    }
}

TEST_CASE("a shard gives no machine whose worker isn't idle for certain")
{
    giver_fixture fixture;
    job::worker_record& worker = fixture.worker("c1");
    SECTION("a task runs there")
    {
        worker.runs.emplace(job::run_name{}, job::worker_run{});
    }
    SECTION("an end isn't persisted")
    {
        worker.applied_sequence = 2;
        worker.committed_sequence = 1;
    }
    SECTION("it has more ends to report")
    {
        worker.has_unlisted_ends = true;
    }
    SECTION("it hasn't answered this leader")
    {
        worker.token_acknowledged = false;
    }
    SECTION("what a predecessor started there isn't known")
    {
        worker.predecessor_runs_known = false;
    }
    SECTION("it doesn't answer")
    {
        worker.missed_polls = 1;
    }
    SECTION("it leaves")
    {
        worker.departure.emplace(fixture.now);
    }
    CHECK(fixture.select(1) == std::vector<std::string>{"c2"});
}
