// Waves around the transfer of a machine between two shards.
#include "plantaindoor/fleet/machine_transfers.hpp"

#include "maintained_machines.hpp"
#include "memory_rows.hpp"
#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/fleet/machine_session.hpp"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using plantaindoor::fleet::testing::entry_store;
using plantaindoor::fleet::testing::maintained_machines;
using plantaindoor::fleet::testing::maintenance_order;
using plantaindoor::fleet::testing::memory_rows;

namespace {

const service_id checks{"checks"};

/// The leaders of two shards: shard 0 owns m0 and m1 by the layout, shard 1 owns m2.
struct transfer_fixture {
    struct leader {
        explicit leader(time_point now) : scheduler({.predecessor_grace = milliseconds(0)}, now) {}

        row_condition claim;
        job::scheduler scheduler;
        std::unique_ptr<leader_lease> lease;
        std::unique_ptr<machine_exchange> exchange;
        std::unique_ptr<machine_session> session;
    };

    fakes::virtual_loop loop;
    memory_rows rows{loop};
    std::mt19937_64 random{7};
    entry_store store{loop, loop, rows, random};
    maintained_machines machines{loop};
    platform_codec codec;
    metrics_registry metrics;
    std::shared_ptr<const shard_layout> layout = std::make_shared<const shard_layout>(
        *parse_shard_layout(R"({"shards":2,"racks":{"r0":0,"r1":1},"queues":{}})"));
    std::array<std::unique_ptr<leader>, 2> leaders;

    transfer_fixture()
    {
        codec.wave_status = [](std::uint64_t wave, bool completed) -> row_write {
            return {{"status", "", std::to_string(wave)}, completed ? "completed" : "running"};
        };
        for (const std::string name : {"m0", "m1", "m2"}) {
            machines.listed.machines.push_back({.machine = name,
                                                .pool = checks,
                                                .rack = rack_id(name == "m2" ? "r1" : "r0"),
                                                .worker = instance_id("w-" + name)});
        }
        for (shard_number shard = 0; shard < leaders.size(); ++shard) {
            begin(shard);
        }
        add_worker(0, "m0");
        add_worker(0, "m1");
        add_worker(1, "m2");
        run_for(seconds(1));
    }

    void begin(shard_number shard)
    {
        leaders[shard] = std::make_unique<leader>(loop.now());
        leader& led = *leaders[shard];
        rows.put(leader_claim_address(shard), "claim");
        led.claim = {leader_claim_address(shard), rows.version()};
        led.lease = std::make_unique<leader_lease>(
            [this] { return loop.now(); },
            machine_authority{.leader = fmt::format("e{}", shard), .token = led.claim.version},
            loop.now() + seconds(3600));
        led.exchange = std::make_unique<machine_exchange>(
            loop, store,
            machine_exchange_options{
                .claim = led.claim, .shard = shard, .layout = layout, .enabled = true},
            machine_exchange::event_handlers{
                .on_restored = [] {},
                .on_received =
                    [this, shard](const std::string& machine, fencing_token token) {
                        leaders[shard]->lease->raise_token(machine, token);
                        add_worker(shard, machine);
                    }});
        led.session = std::make_unique<machine_session>(
            loop, store, machines, codec, led.scheduler, *led.lease, metrics,
            machine_session_options{.claim = led.claim,
                                    .shard = shard,
                                    .layout = layout,
                                    .exchange = led.exchange.get(),
                                    .has_predecessor = false,
                                    .on_given = [](const instance_id&) {}});
        led.session->set_pools({{.id = checks}});
    }

    void add_worker(shard_number shard, const std::string& machine)
    {
        const instance_id worker("w-" + machine);
        job::scheduler& scheduler = leaders[shard]->scheduler;
        scheduler.note_worker_listed({.id = worker,
                                      .service = checks,
                                      .address = machine + ":80",
                                      .machine = machine,
                                      .capacity = {.cpu_millis = 1000, .memory_mb = 1000}},
                                     loop.now());
        scheduler.note_report(worker, {.worker_clock = milliseconds(1)}, loop.now(), loop.now());
    }

    /// Shard 0 gives the machine to shard 1.
    void give(const std::string& machine)
    {
        leaders[0]->exchange->give(machine, 1);
        leaders[0]->scheduler.note_worker_unlisted(instance_id("w-" + machine), loop.now());
    }

    void add_wave(shard_number shard)
    {
        leaders[shard]->session->add_wave(
            {.number = 1, .machines = {"m0", "m1", "m2"}, .deadline = seconds(60), .max_down = 2},
            loop.now());
    }

    void run_for(milliseconds time)
    {
        constexpr milliseconds period{100};
        for (milliseconds passed{0}; passed < time; passed += period) {
            for (const auto& each : leaders) {
                each->session->tick(loop.now());
            }
            loop.run_for(period);
        }
    }

    [[nodiscard]] const stored_row* receipt(const std::string& machine) const
    {
        return rows.find(machine_transfer_address(1, machine));
    }
    [[nodiscard]] std::string status() const
    {
        const stored_row* const row = rows.find({"status", "", "1"});
        return row == nullptr ? "none" : row->value;
    }
};

} // namespace

// Guards against MIXED: a machine that is given away while its wave begins counts as started in
// both shards, and is never maintained.
TEST_CASE("a machine that changes its shard is maintained in its wave")
{
    transfer_fixture fixture;
    SECTION("the receiver knows the wave before the giver does")
    {
        fixture.add_wave(1);
        fixture.run_for(seconds(2));
        REQUIRE(fixture.machines.count("m1") == 0);
        fixture.give("m1");
        fixture.run_for(milliseconds(100));
        fixture.add_wave(0);
    }
    SECTION("the wave begins during the transfer")
    {
        fixture.give("m1");
        fixture.add_wave(0);
        fixture.add_wave(1);
    }
    SECTION("the wave begins after the transfer")
    {
        fixture.give("m1");
        fixture.run_for(seconds(5));
        fixture.add_wave(0);
        fixture.add_wave(1);
    }
    fixture.run_for(seconds(30));
    REQUIRE(fixture.receipt("m1") != nullptr);
    for (const std::string name : {"m0", "m1", "m2"}) {
        INFO(name);
        CHECK(fixture.machines.count(name) == 1);
    }
    for (const maintenance_order& each : fixture.machines.orders) {
        if (each.machine == "m1") {
            CHECK(each.token == fixture.receipt("m1")->version);
        }
    }
    CHECK(fixture.status() == "completed");
}

// Guards against MIXED while the receiver's shard has no leader.
TEST_CASE("a wave isn't complete while a machine of it is between two shards")
{
    transfer_fixture fixture;
    fixture.add_wave(1);
    fixture.run_for(seconds(2));
    fixture.leaders[0]->exchange->give("m1", 1);
    fixture.add_wave(0);
    for (int ticks = 0; ticks < 300; ++ticks) {
        fixture.leaders[0]->session->tick(fixture.loop.now());
        fixture.loop.run_for(milliseconds(100));
    }
    CHECK(fixture.receipt("m1") == nullptr);
    CHECK(fixture.machines.count("m1") == 0);
    CHECK(fixture.status() == "running");
}

// Guards against two holders of one machine: each write of a transfer may be applied though it
// wasn't answered.
TEST_CASE("a transfer is completed though its writes aren't answered")
{
    transfer_fixture fixture;
    fixture.store.set_fault(fleet::testing::store_fault::late);
    fixture.give("m1");
    fixture.run_for(seconds(10));
    CHECK(fixture.leaders[0]->exchange->leaving().contains("m1"));
    CHECK_FALSE(fixture.leaders[0]->exchange->ownership().owns("m1", rack_id("r0")));
    fixture.store.set_fault(fleet::testing::store_fault::none);
    fixture.run_for(seconds(10));
    REQUIRE(fixture.receipt("m1") != nullptr);
    CHECK(fixture.leaders[1]->exchange->ownership().token("m1", rack_id("r0")) ==
          fixture.receipt("m1")->version);
    CHECK(fixture.leaders[0]->exchange->leaving().empty());
}

TEST_CASE("a successor of either shard knows the transfers of its predecessor")
{
    transfer_fixture fixture;
    fixture.give("m1");
    SECTION("before the machine was received")
    {
        fixture.loop.run_for(milliseconds(50));
        REQUIRE(fixture.receipt("m1") == nullptr);
    }
    SECTION("after it")
    {
        fixture.run_for(seconds(3));
        REQUIRE(fixture.receipt("m1") != nullptr);
    }
    fixture.begin(0);
    fixture.begin(1);
    fixture.add_worker(0, "m0");
    fixture.run_for(seconds(3));
    const machine_ownership& receiver = fixture.leaders[1]->exchange->ownership();
    CHECK(receiver.owns("m1", rack_id("r0")));
    CHECK(*receiver.token("m1", rack_id("r0")) >= fixture.receipt("m1")->version);
    CHECK_FALSE(fixture.leaders[0]->exchange->ownership().owns("m1", rack_id("r0")));
}
