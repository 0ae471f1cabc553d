#include "plantaindoor/version/rule_actions.hpp"

#include "fakes/uniform_fleet.hpp"
#include "plantaindoor/version/planned_changes.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

fleet two_pools(std::size_t instances_per_pool = 4)
{
    fleet whole = *fakes::uniform_fleet(
        {.pools = 2, .instances_per_pool = instances_per_pool, .budget = {.minimum = 2}});
    whole.pools.at(pool_id("p1")).lends = true;
    for (const char* const id : {"w1", "w2"}) {
        whole.waves[wave_id(id)] = {.id = wave_id(id), .pools = {pool_id("p0")}};
    }
    return whole;
}

compiled_rule rule_of(const std::string& then)
{
    const std::string text = "{rule: r, when: {}, then: " + then + "}";
    return rule_set({{.id = rule_id("r"), .text = text}}).rules().front();
}

std::size_t advance(fleet& whole, const std::vector<change>& changes)
{
    apply(whole, {.version = whole.version + 1, .changes = changes});
    return changes.size();
}

std::size_t carry_out(fleet& whole, const std::string& then)
{
    return advance(whole, plan_rule(whole, rule_of(then), {}));
}

wave_state state_of(const fleet& whole, const char* wave)
{
    return whole.waves.at(wave_id(wave)).state;
}

} // namespace

TEST_CASE("a hold is carried out once, and undone only once it is cleared", "[rule_actions]")
{
    fleet whole = two_pools();
    whole.rules = {{.id = rule_id("r")}};
    advance(whole, plan_wave_state(whole, wave_id("w2"), wave_state::paused, "the operator's"));
    CHECK(carry_out(whole, "{hold: wave}") == 1);
    CHECK(carry_out(whole, "{hold: wave}") == 0);
    CHECK(state_of(whole, "w1") == wave_state::paused);
    CHECK(plan_rule_undo(whole, {}).empty());
    CHECK(advance(whole, plan_rule_undo(whole, {rule_id("r")})) == 1);
    CHECK(state_of(whole, "w1") == wave_state::running);
    CHECK(state_of(whole, "w2") == wave_state::paused);
}

TEST_CASE("a hold by a rule that was removed is undone", "[rule_actions]")
{
    fleet whole = two_pools();
    carry_out(whole, "{hold: {wave: w1}}");
    CHECK(advance(whole, plan_rule_undo(whole, {})) == 1);
    CHECK(state_of(whole, "w1") == wave_state::running);
}

TEST_CASE("resuming every wave leaves an operator's pause alone", "[rule_actions]")
{
    fleet whole = two_pools();
    carry_out(whole, "{hold: {wave: w1}}");
    advance(whole, plan_wave_state(whole, wave_id("w2"), wave_state::paused, "the operator's"));
    CHECK(carry_out(whole, "{resume: wave}") == 1);
    CHECK(state_of(whole, "w2") == wave_state::paused);
    CHECK(carry_out(whole, "{resume: {wave: w2}}") == 1);
    CHECK(carry_out(whole, "{abort: wave}") == 2);
    CHECK(carry_out(whole, "{abort: wave}") == 0);
    CHECK(carry_out(whole, "{hold: wave}") == 0);
}

TEST_CASE("lending fills up to the count and stops at the lender's budget", "[rule_actions]")
{
    fleet whole = two_pools(6);
    CHECK(carry_out(whole, "{lend: {from: p1, to: p0}}") == 1);
    CHECK(carry_out(whole, "{lend: {from: p1, to: p0}}") == 0);
    CHECK(carry_out(whole, "{lend: {from: p1, to: p0, count: 2}}") == 1);
    CHECK(carry_out(whole, "{lend: {from: p1, to: p0, count: 9}}") == 2);
    CHECK_THROWS_AS(carry_out(whole, "{lend: {from: p1, to: p0, count: 9}}"), error);
    std::vector<outage> drains;
    for (const auto& [id, each] : whole.instances) {
        if (each.moving) {
            drains.push_back({.id = id, .state_version = each.state_version});
        }
    }
    for (const outage& each : drains) {
        advance(whole, plan_end_of_drain(whole, each, 0));
    }
    CHECK(carry_out(whole, "{lend: {from: p1, to: p0, count: 4}}") == 0);
    CHECK(carry_out(whole, "{return: {from: p0, to: p1}}") == 1);
    CHECK(carry_out(whole, "{return: {from: p0, to: p1}}") == 0);
}

TEST_CASE("quarantine keeps budgets, and undrain ends it", "[rule_actions]")
{
    fleet whole = two_pools();
    CHECK(carry_out(whole, "{quarantine: p0-w00}") == 1);
    CHECK(carry_out(whole, "{quarantine: p0-w00}") == 0);
    CHECK(carry_out(whole, "{quarantine: p0-w01}") == 1);
    CHECK_THROWS_AS(carry_out(whole, "{quarantine: p0-w02}"), budget_refusal);
    CHECK(carry_out(whole, "{undrain: p0-w00}") == 1);
    CHECK(carry_out(whole, "{undrain: p0-w00}") == 0);
    CHECK_THROWS_AS(carry_out(whole, "{undrain: w9}"), not_found_error);
}
