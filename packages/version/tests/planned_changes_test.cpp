#include "plantaindoor/version/codec.hpp"
#include "plantaindoor/version/fleet_document.hpp"
#include "plantaindoor/version/planned_changes.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

const pool_id checks("checks");
const pool_id essays("essays");

fleet two_pools()
{
    fleet whole;
    whole.pools[checks] = {.id = checks, .reserve = 1, .lends = true};
    whole.pools[essays] = {.id = essays};
    for (const pool_id& pool : {checks, essays}) {
        whole.services[service_id(pool.str())] = {
            .id = service_id(pool.str()), .pools = {pool}, .budget = {.minimum = 2}};
        for (int i = 1; i <= 3; ++i) {
            const instance_id id(pool.str() + std::to_string(i));
            whole.instances[id] = {.id = id, .pool = pool};
        }
    }
    whole.teams[team_id("")] = {};
    return whole;
}

void accept(fleet& whole, std::vector<change> changes)
{
    const delta step{.version = whole.version + 1, .changes = std::move(changes)};
    REQUIRE(decode_delta(encode(step)) == step);
    apply(whole, step);
    REQUIRE(decode_fleet(encode(whole)) == whole);
}

outage outage_of(const fleet& whole, const instance_id& id)
{
    return {.id = id, .state_version = whole.instances.at(id).state_version};
}

} // namespace

TEST_CASE("a second drain that would break the budget is refused and changes nothing", "[plan]")
{
    fleet whole = two_pools();
    accept(whole, plan_drain(whole, instance_id("checks1"), {}));
    CHECK_THROWS_AS(plan_drain(whole, instance_id("checks2"), {}), budget_refusal);
    CHECK_THROWS_AS(plan_drain(whole, instance_id("checks1"), {}), wrong_state_error);
    CHECK_THROWS_AS(plan_drain(whole, instance_id("none"), {}), not_found_error);
    CHECK_THROWS_AS(
        plan_drain(two_pools(), instance_id("checks2"), {.lost = {instance_id("checks3")}}),
        budget_refusal);
    accept(whole, plan_undrain(whole, instance_id("checks1")));
    CHECK_NOTHROW(plan_drain(whole, instance_id("checks2"), {}));
}

TEST_CASE("a loan moves an instance there and back, one pool at each version", "[plan]")
{
    fleet whole = two_pools();
    const instance_id id("checks1");
    const wall_time due(milliseconds(5000));
    accept(whole, plan_lend(whole, {.id = id, .to = essays, .until = due}));
    CHECK_THROWS_AS(plan_move(whole, {.id = id, .to = essays}), conflicting_move_error);
    accept(whole, plan_end_of_drain(whole, outage_of(whole, id), 0));
    CHECK(whole.instances.at(id).pool == essays);
    CHECK(whole.instances.at(id).state == instance_state::admitted);
    CHECK(whole.instances.at(id).lent == loan{.home = checks, .until = due});
    CHECK_FALSE(whole.instances.at(id).moving);
    CHECK_THROWS_AS(plan_lend(whole, {.id = id, .to = checks}), already_lent_error);
    accept(whole, plan_return(whole, {.id = id}));
    accept(whole, plan_end_of_drain(whole, outage_of(whole, id), 0));
    CHECK(whole.instances.at(id).pool == checks);
    CHECK_FALSE(whole.instances.at(id).lent);
    CHECK_THROWS_AS(plan_return(whole, {.id = id}), wrong_state_error);
    CHECK_THROWS_AS(plan_lend(whole, {.id = instance_id("essays1"), .to = checks}),
                    pool_cannot_lend_error);
}

TEST_CASE("a stop is refused once its drain was undone or made anew", "[plan]")
{
    fleet whole = two_pools();
    const instance_id id("checks1");
    accept(whole, plan_drain(whole, id, {.wave = wave_id("m")}));
    const outage first = outage_of(whole, id);
    accept(whole, plan_undrain(whole, id));
    CHECK_THROWS_AS(plan_end_of_drain(whole, first, 0), stale_outage_error);
    accept(whole, plan_drain(whole, id, {.wave = wave_id("m")}));
    CHECK_THROWS_AS(plan_end_of_drain(whole, first, 0), stale_outage_error);
    accept(whole, plan_end_of_drain(whole, outage_of(whole, id), 7));
    CHECK(whole.instances.at(id).boots_before == 7);
    CHECK_THROWS_AS(plan_undrain(whole, id), wrong_state_error);
    accept(whole, plan_admit(whole, outage_of(whole, id), wall_time(milliseconds(9))));
    CHECK(whole.instances.at(id).last_wave == wave_id("m"));
}

TEST_CASE("no order of planned work breaks a budget", "[plan]")
{
    REQUIRE(rc::check([] {
        fleet whole = two_pools();
        const auto ids = [&] {
            std::vector<instance_id> all;
            for (const auto& [id, each] : whole.instances) {
                all.push_back(id);
            }
            return all;
        }();
        for (int i = 0; i < 60; ++i) {
            const instance_id id = ids[*rc::gen::inRange<std::size_t>(0, ids.size())];
            const pool_id to = *rc::gen::element(checks, essays);
            const int kind = *rc::gen::inRange(0, 6);
            try {
                const auto changes = kind == 0   ? plan_drain(whole, id, {})
                                     : kind == 1 ? plan_undrain(whole, id)
                                     : kind == 2 ? plan_move(whole, {.id = id, .to = to})
                                     : kind == 3 ? plan_lend(whole, {.id = id, .to = to})
                                     : kind == 4
                                         ? plan_return(whole, {.id = id})
                                         : plan_end_of_drain(whole, outage_of(whole, id), 0);
                apply(whole, {.version = whole.version + 1, .changes = changes});
            }
            catch (const error&) {
                continue;
            }
            for (const service_figures& each : ledger(whole).figures()) {
                RC_ASSERT(each.spare() >= 0);
            }
        }
    }));
}

TEST_CASE("a wave that is over stays so", "[plan]")
{
    fleet whole = two_pools();
    const wave_id id("m");
    accept(whole, plan_wave_start(whole, {.id = id, .pools = {checks}}));
    CHECK_THROWS_AS(plan_wave_start(whole, {.id = id}), wave_exists_error);
    CHECK_THROWS_AS(plan_wave_start(whole, {.id = wave_id("n"), .pools = {pool_id("?")}}),
                    not_found_error);
    accept(whole, plan_wave_state(whole, id, wave_state::paused, "night"));
    accept(whole, plan_wave_state(whole, id, wave_state::aborted, "fire"));
    CHECK_THROWS_AS(plan_wave_state(whole, id, wave_state::running, ""), wave_over_error);
}

TEST_CASE("a fleet file applied meanwhile leaves outages and moves as they are", "[plan]")
{
    fleet whole = two_pools();
    whole.teams = {{team_id("t"), {.id = team_id("t")}}};
    for (auto& [id, each] : whole.services) {
        each.team = team_id("t");
    }
    for (auto& [id, each] : whole.instances) {
        each.address = "127.0.0.1";
        each.port = 1;
        each.zone = availability_zone_id("a");
        each.rack = rack_id("r");
    }
    const instance_id rebooted("checks1");
    const instance_id moved("essays1");
    accept(whole, plan_drain(whole, rebooted, {.wave = wave_id("m")}));
    accept(whole, plan_end_of_drain(whole, outage_of(whole, rebooted), 7));
    accept(whole, plan_move(whole, {.id = moved, .to = checks}));
    const fleet before = whole;
    fleet edited = whole;
    edited.instances.at(rebooted).slots = 9;
    edited.instances.at(moved).slots = 9;
    accept(whole,
           changes_to_match(whole, parse_fleet_document(to_fleet_document(edited), "f.yaml")));
    for (const instance_id& id : {rebooted, moved}) {
        instance expected = before.instances.at(id);
        expected.slots = 9;
        CHECK(whole.instances.at(id) == expected);
    }
}
