#include "plantaindoor/fleet/machine_planner.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

const service_id checks{"checks"};
const service_id reserve{"reserve"};
constexpr time_point start{std::chrono::hours(1)};

machine_entry machine_up(const std::string& name, const service_id& pool, const std::string& worker)
{
    return {.machine = name, .pool = pool, .worker = instance_id(worker)};
}

job::worker_listing life_of(const std::string& machine, const std::string& worker)
{
    return {.id = instance_id(worker),
            .service = checks,
            .address = "10.0.0.1:80",
            .machine = machine,
            .capacity = {.cpu_millis = 1000, .memory_mb = 1000}};
}

std::vector<std::string> machines_of(const machine_orders& given)
{
    std::vector<std::string> names;
    for (const machine_order& order : given.orders) {
        names.push_back(order.machine);
    }
    return names;
}

} // namespace

TEST_CASE("a late listing of a life that upkeep has ended doesn't free the wave's place")
{
    job::scheduler scheduler({}, start);
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_list({machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2")}, start);
    planner.note_wave(
        {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(20), .most_down = 1}, start,
        {});

    const auto first = planner.plan(start, scheduler);
    REQUIRE(first.orders.size() == 1);
    planner.note_answer(first.orders[0], machine_answer::accepted, start);
    planner.note_worker(life_of(first.orders[0].machine, first.orders[0].worker.str()));

    CHECK(planner.plan(start + milliseconds(100), scheduler).orders.empty());

    planner.note_worker(life_of(first.orders[0].machine, "w3"));
    const auto second = planner.plan(start + milliseconds(2100), scheduler);
    REQUIRE(second.orders.size() == 1);
    CHECK(second.orders[0].machine != first.orders[0].machine);
}

TEST_CASE("a wave is completed only when each machine that stays has begun its upkeep")
{
    job::scheduler scheduler({}, start);
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_list({machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2")}, start);
    planner.note_wave(
        {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(20), .most_down = 2}, start,
        {});
    const auto given = planner.plan(start, scheduler);
    REQUIRE(given.orders.size() == 2);

    planner.note_answer(given.orders[0], machine_answer::accepted, start);
    planner.note_answer(given.orders[1], machine_answer::unanswered, start);
    CHECK_FALSE(planner.waves().at(1).completed());

    SECTION("the unanswered order turns out to have been carried out")
    {
        auto listed = machine_up(given.orders[1].machine, checks, "");
        listed.state = machine_state::upkeep;
        planner.note_list({listed}, start + milliseconds(500));
        CHECK(planner.waves().at(1).completed());
    }
    SECTION("the machine is gone for good")
    {
        planner.note_list({machine_up(given.orders[0].machine, checks, "w9")},
                          start + milliseconds(500));
        CHECK(planner.waves().at(1).completed());
    }
    SECTION("else the order is repeated")
    {
        const auto again = planner.plan(start + milliseconds(500), scheduler);
        CHECK(machines_of(again) == std::vector{given.orders[1].machine});
    }
}

TEST_CASE("no machine is ordered about until an earlier holder's orders are over")
{
    job::scheduler scheduler({}, start);
    machine_planner planner({.first_order = start + seconds(3)});
    planner.set_pools({{.id = checks}});
    planner.note_list({machine_up("m1", checks, "w1")}, start);
    planner.note_wave({.number = 1, .machines = {"m1"}, .deadline = seconds(20)}, start, {});
    CHECK(planner.plan(start + milliseconds(2900), scheduler).orders.empty());
    CHECK(planner.plan(start + milliseconds(3000), scheduler).orders.size() == 1);
}

TEST_CASE("a pool whose queue rises takes machines that are off first")
{
    job::scheduler scheduler({}, start);
    scheduler.set_queues({{.name = "q", .service = checks, .max_attempts = 3, .stretch = 2}});
    machine_planner planner({});
    planner.set_pools({{.id = checks}, {.id = reserve, .standby = true}});
    planner.note_list({machine_up("m1", checks, "w1"), machine_up("m2", reserve, ""),
                       machine_up("m3", reserve, "")},
                      start);
    scheduler.list_worker(life_of("m1", "w1"), start);
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back(
        {.count = 60, .need = {.cpu_millis = 100}, .estimate = milliseconds(1000)});
    scheduler.submit(job_id("0123456789abcdef"), "q", spec, start, false);

    const auto given = planner.plan(start, scheduler);
    auto names = machines_of(given);
    std::sort(names.begin(), names.end());
    CHECK(names == std::vector<std::string>{"m2", "m3"});
    for (const machine_order& order : given.orders) {
        CHECK(order.pool == checks);
    }
}
