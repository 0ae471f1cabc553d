// Orders for machines around a process that was suspended, and around a change of the leader.
#include "plantaindoor/fleet/machine_session.hpp"

#include "maintained_machines.hpp"
#include "memory_rows.hpp"
#include "plantaindoor/fleet/leader_tracker.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using plantaindoor::fleet::testing::entry_store;
using plantaindoor::fleet::testing::maintained_machines;
using plantaindoor::fleet::testing::memory_rows;

namespace {

const service_id checks{"checks"};

/// A session with two idle machines and a wave that allows one to be down, in a store whose answers
/// the process may get only after it was suspended.
struct machine_session_fixture {
    fakes::virtual_loop loop;
    memory_rows rows{loop};
    std::mt19937_64 random{7};
    entry_store store{loop, loop, rows, random};
    maintained_machines machines{loop};
    platform_codec codec;
    metrics_registry metrics;
    job::scheduler scheduler{{.predecessor_grace = milliseconds(0)}, time_point{}};
    /// Time for which the process was suspended.
    milliseconds suspended{0};
    row_address claim{"leaders", control_partition(0), "claim"};
    leader_lease lease{[this] { return loop.now() + suspended; },
                       {.leader = "e1", .token = 7},
                       loop.now() + seconds(30)};
    std::unique_ptr<machine_session> subject;

    machine_session_fixture()
    {
        codec.wave_status = [](std::uint64_t wave, bool completed) -> row_write {
            return {{"status", "", std::to_string(wave)}, completed ? "completed" : "running"};
        };
        rows.put(claim, "e1");
        for (const std::string name : {"m1", "m2"}) {
            const instance_id worker("w-" + name);
            machines.listed.machines.push_back({.machine = name, .pool = checks, .worker = worker});
            scheduler.note_worker_listed({.id = worker,
                                          .service = checks,
                                          .address = name + ":80",
                                          .machine = name,
                                          .capacity = {.cpu_millis = 1000, .memory_mb = 1000}},
                                         loop.now());
            scheduler.note_report(worker, {.worker_clock = milliseconds(1)}, loop.now(),
                                  loop.now());
        }
        begin_session();
        tick_for(milliseconds(500));
    }

    void begin_session()
    {
        subject = std::make_unique<machine_session>(
            loop, store, machines, codec, scheduler, lease, metrics,
            machine_session_options{.claim = {claim, rows.version()},
                                    .layout = std::make_shared<const shard_layout>()});
        subject->set_pools({{.id = checks}});
    }

    void add_wave()
    {
        subject->add_wave(
            {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(20), .max_down = 1},
            loop.now());
    }

    void tick_for(milliseconds time)
    {
        constexpr milliseconds period{100};
        for (milliseconds passed{0}; passed < time; passed += period) {
            subject->tick(loop.now());
            loop.run_for(period);
        }
    }
};

} // namespace

// Guards against LIMIT: a leader that was suspended while it waited for the store woke after its
// lease, and ordered machines down beside those of its successor.
TEST_CASE("no order for a machine is sent after the lease has expired")
{
    machine_session_fixture fixture;
    fixture.add_wave();

    SECTION("while the order was persisted")
    {
        fixture.subject->tick(fixture.loop.now());
        REQUIRE(fixture.machines.ordered.empty());
        fixture.suspended = seconds(40);
        fixture.loop.run_for(seconds(1));
        CHECK(fixture.machines.ordered.empty());

        // Nobody has taken over, and the lease is renewed.
        fixture.lease.extend(fixture.loop.now() + fixture.suspended + seconds(30));
        fixture.tick_for(seconds(1));
        CHECK(fixture.machines.ordered.size() == 1);
    }
    SECTION("the lease is still valid")
    {
        fixture.tick_for(milliseconds(500));
        CHECK(fixture.machines.ordered.size() == 1);
    }
}

// Guards against LIMIT: the machines that a predecessor had listed, and not ordered yet, didn't
// count against the cap of the successor's wave.
TEST_CASE("machines that a predecessor may order count as down for their waves")
{
    machine_session_fixture fixture;
    fixture.rows.put({"waves", control_partition(0), "ordered"},
                     to_text(std::set<std::string>{"m2"}));
    fixture.rows.put(fixture.claim, "e2");
    fixture.begin_session();
    fixture.add_wave();
    fixture.tick_for(seconds(3));
    CHECK(fixture.machines.ordered.empty());
    fixture.tick_for(seconds(1));
    CHECK(fixture.machines.ordered == std::vector<std::string>{"m2"});
}

// Guards against a wave that never goes on: maintenance that a predecessor had ordered was ordered
// again, which is accepted without any effect, and the machine counted as down for good.
TEST_CASE("a machine that stays up after its maintenance was accepted doesn't hold up its wave")
{
    machine_session_fixture fixture;
    fixture.add_wave();
    fixture.tick_for(seconds(1));
    REQUIRE(fixture.machines.ordered.size() == 1);
    // A maintenance takes 2 s.
    fixture.tick_for(seconds(3));
    CHECK(fixture.machines.ordered.size() == 2);
}

// Guards against TWICE: maintenance that a predecessor had ordered was ordered again, which is
// accepted without any effect. The leader took the next worker of the machine for ended, and
// started its tasks again while they ran.
TEST_CASE("an accepted order doesn't end the tasks that run on the worker")
{
    machine_session_fixture fixture;
    fixture.scheduler.set_queues({{.name = "q", .service = checks}});
    fixture.add_wave();
    while (fixture.machines.ordered.empty()) {
        fixture.subject->tick(fixture.loop.now());
        fixture.loop.run_for(milliseconds(1));
    }
    const instance_id worker("w-" + fixture.machines.ordered.front());
    const instance_id other(worker == instance_id("w-m1") ? "w-m2" : "w-m1");
    fixture.scheduler.cordon_worker(other, true);
    fixture.scheduler.cordon_worker(worker, false);
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back({.need = {.cpu_millis = 100}});
    fixture.scheduler.submit(job_id("j"),
                             {.queue = "q", .spec = std::move(spec), .at = fixture.loop.now()});
    const auto starts = fixture.scheduler.plan(fixture.loop.now(), wall_time{}).starts;
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].worker == worker);
    fixture.scheduler.note_start(worker, starts[0].run, job::order_answer::accepted,
                                 fixture.loop.now());

    fixture.loop.run_for(milliseconds(100)); // The order is answered.
    REQUIRE(fixture.scheduler.workers().contains(worker));
    CHECK(fixture.scheduler.workers().at(worker).runs.contains(starts[0].run));
    fixture.scheduler.cordon_worker(other, false);
    CHECK(fixture.scheduler.plan(fixture.loop.now(), wall_time{}).starts.empty());
}
