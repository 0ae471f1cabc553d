#include "plantaindoor/process/wave_planner.hpp"

#include "plantaindoor/version/planned_changes.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace plantaindoor;
using namespace plantaindoor::process;
using namespace plantaindoor::version;

namespace {

const wave_id maintenance("m1");

std::string numbered(char prefix, std::size_t number)
{
    std::string name(1, prefix);
    name += std::to_string(number);
    return name;
}

/// Pools p0.. of the given sizes over zones a, b, c; one service each that must keep `minimum`.
fleet pools_of(const std::vector<std::size_t>& sizes, std::uint32_t minimum)
{
    fleet whole;
    whole.teams[team_id("")] = {};
    wave started{.id = maintenance};
    for (std::size_t p = 0; p < sizes.size(); ++p) {
        const pool_id id(numbered('p', p));
        whole.pools[id] = {.id = id};
        started.pools.push_back(id);
        const service_id service(numbered('s', p));
        whole.services[service] = {.id = service, .pools = {id}, .budget = {.minimum = minimum}};
        for (std::size_t i = 0; i < sizes[p]; ++i) {
            const instance_id worker(id.str() + numbered('w', i));
            whole.instances[worker] = {.id = worker,
                                       .pool = id,
                                       .zone = availability_zone_id(std::string(1, "abc"[i % 3])),
                                       .rack = rack_id(numbered('r', i / 3 % 2))};
        }
    }
    whole.waves[maintenance] = started;
    return whole;
}

wave_plan plan_of(const fleet& whole, const lost_instances& lost = {},
                  const wave_planner::options& how = {})
{
    return wave_planner(how).plan(whole, ledger(whole, lost), whole.waves.at(maintenance));
}

void drain(fleet& whole, const std::vector<instance_id>& ids)
{
    for (const instance_id& id : ids) {
        apply(whole, {.version = whole.version + 1,
                      .changes = plan_drain(whole, id, {.wave = maintenance})});
    }
}

void finish_outages(fleet& whole)
{
    for (auto& [id, each] : whole.instances) {
        if (each.state == instance_state::draining) {
            each.state = instance_state::admitted;
            each.last_wave = maintenance;
            each.outage_wave = {};
        }
    }
}

/// Runs the wave in rounds; each is judged by the ledger when it drains. Zero if it got stuck.
std::size_t rounds_needed(fleet whole)
{
    for (std::size_t rounds = 0;; ++rounds) {
        const wave_plan plan = plan_of(whole);
        if (plan.finished) {
            return rounds;
        }
        if (plan.drains.empty()) {
            return 0;
        }
        drain(whole, plan.drains);
        std::set<std::pair<pool_id, availability_zone_id>> open;
        std::set<pool_id> pools;
        for (const instance_id& id : plan.drains) {
            open.emplace(whole.instances.at(id).pool, whole.instances.at(id).zone);
            pools.insert(whole.instances.at(id).pool);
        }
        REQUIRE(open.size() == pools.size());
        finish_outages(whole);
    }
}

std::size_t least_rounds(const std::vector<std::size_t>& sizes, std::size_t minimum)
{
    std::size_t most = 0;
    for (const std::size_t size : sizes) {
        std::size_t rounds = 0;
        for (std::size_t zone = 0; zone < 3; ++zone) {
            const std::size_t in_zone = (size + 2 - zone) / 3;
            rounds += (in_zone + size - minimum - 1) / (size - minimum);
        }
        most = std::max(most, rounds);
    }
    return most;
}

} // namespace

TEST_CASE("a wave takes the fewest rounds that budgets and zones allow", "[wave]")
{
    REQUIRE(rc::check([] {
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
            *rc::gen::inRange<std::size_t>(1, 5), rc::gen::inRange<std::size_t>(4, 13));
        const auto minimum = *rc::gen::inRange<std::uint32_t>(0, 4);
        RC_ASSERT(rounds_needed(pools_of(sizes, minimum)) == least_rounds(sizes, minimum));
    }));
}

TEST_CASE("pools that share a service open one zone together and finish", "[wave]")
{
    REQUIRE(rc::check([] {
        fleet whole = pools_of({6, 6, 6}, 2);
        whole.services[service_id("shared")] = {
            .id = service_id("shared"),
            .pools = {pool_id("p0"), pool_id("p1")},
            .budget = {.minimum = *rc::gen::inRange<std::uint32_t>(1, 12)}};
        const auto rounds = rounds_needed(whole);
        RC_ASSERT(rounds > 0U);
        for (const instance_id& id : plan_of(whole).drains) {
            RC_ASSERT(whole.instances.at(id).zone == availability_zone_id("a"));
        }
    }));
}

TEST_CASE("a failure inside a wave stops it, undoes drains, and asks for a loan", "[wave]")
{
    fleet whole = pools_of({6, 8}, 4);
    whole.pools.at(pool_id("p1")).lends = true;
    whole.waves.at(maintenance).pools = {pool_id("p0")};
    drain(whole, plan_of(whole).drains);
    const lost_instances lost{instance_id("p0w1"), instance_id("p0w2"), instance_id("p0w4")};
    const wave_plan plan = plan_of(whole, lost);
    CHECK(plan.drains.empty());
    CHECK(plan.undrains.size() == 2);
    REQUIRE(plan.below_budget.size() == 1);
    CHECK(plan.below_budget.at(0).spare() == -3);
    REQUIRE(plan.loans.size() == 2);
    CHECK(whole.instances.at(plan.loans.at(0).id).pool == pool_id("p1"));
}

TEST_CASE("pause takes nothing more, abort undoes what is not stopped", "[wave]")
{
    fleet whole = pools_of({6}, 4);
    drain(whole, plan_of(whole).drains);
    whole.waves.at(maintenance).state = wave_state::paused;
    CHECK(plan_of(whole).undrains.empty());
    finish_outages(whole);
    CHECK(plan_of(whole).drains.empty());
    CHECK_FALSE(plan_of(whole).finished);
    whole.waves.at(maintenance).state = wave_state::running;
    drain(whole, plan_of(whole).drains);
    whole.instances.begin()->second.state = instance_state::stopped;
    whole.waves.at(maintenance).state = wave_state::aborted;
    for (const instance_id& id : plan_of(whole).undrains) {
        CHECK(whole.instances.at(id).state == instance_state::draining);
    }
}

TEST_CASE("max_parallel bounds the wave, and loans follow the weights", "[wave]")
{
    fleet whole = pools_of({12, 12}, 2);
    whole.waves.at(maintenance).max_parallel = 3;
    CHECK(plan_of(whole).drains.size() == 3);
    CHECK(loans_worth_making(10, 0, 2, move_saving_weights) == 1);
    CHECK(loans_worth_making(10, 1, 2, move_saving_weights) == 0);
    // Rounds, moves and held capacity: 10 + 0 + 10, 6 + 1 + 12 and 4 + 2 + 12.
    CHECK(loans_worth_making(10, 1, 2, buffer_saving_weights) == 2);
    CHECK(loans_worth_making(0, 0, 2, buffer_saving_weights) == 0);
}
