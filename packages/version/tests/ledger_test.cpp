#include "plantaindoor/version/ledger.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

/// What a service may spare, recounted from the fleet with nothing kept.
std::int64_t naive_spare(const fleet& whole, const service& subject, const lost_instances& lost)
{
    std::int64_t members = 0;
    std::int64_t admitted = 0;
    std::map<std::pair<std::string, std::string>, std::int64_t> domains;
    for (const auto& [id, each] : whole.instances) {
        if (std::count(subject.pools.begin(), subject.pools.end(), each.pool) == 0) {
            continue;
        }
        ++members;
        if (each.state != instance_state::admitted || lost.contains(id)) {
            continue;
        }
        ++admitted;
        if (subject.budget.survive == failure_domain::availability_zone) {
            ++domains[{each.zone.str(), ""}];
        }
        if (subject.budget.survive == failure_domain::rack) {
            ++domains[{each.zone.str(), each.rack.str()}];
        }
    }
    std::int64_t budget = subject.budget.minimum;
    if (subject.budget.unit == budget_unit::percent) {
        budget = 0;
        while (budget * 100 < std::int64_t{subject.budget.minimum} * members) {
            ++budget;
        }
    }
    std::int64_t most = 0;
    for (const auto& [domain, count] : domains) {
        most = std::max(most, count);
    }
    return admitted - most - budget;
}

std::string numbered(char prefix, int number)
{
    std::string name(1, prefix);
    name += std::to_string(number);
    return name;
}

fleet random_fleet()
{
    fleet whole;
    const int pools = *rc::gen::inRange(1, 4);
    for (int i = 0; i < pools; ++i) {
        const pool_id id(numbered('p', i));
        whole.pools[id] = {.id = id};
    }
    const int instances = *rc::gen::inRange(1, 20);
    for (int i = 0; i < instances; ++i) {
        const instance_id id(numbered('w', i));
        whole.instances[id] = {
            .id = id,
            .pool = pool_id(numbered('p', *rc::gen::inRange(0, pools))),
            .zone = availability_zone_id(std::string(1, *rc::gen::element('a', 'b', 'c'))),
            .rack = rack_id(std::string(1, *rc::gen::element('1', '2'))),
            .state = *rc::gen::element(instance_state::admitted, instance_state::admitted,
                                       instance_state::draining, instance_state::failed)};
    }
    const int services = *rc::gen::inRange(1, 4);
    for (int i = 0; i < services; ++i) {
        const service_id id(numbered('s', i));
        service value{.id = id};
        for (const auto& [pool, unused] : whole.pools) {
            if (*rc::gen::arbitrary<bool>()) {
                value.pools.push_back(pool);
            }
        }
        value.budget = {.unit = *rc::gen::element(budget_unit::count, budget_unit::percent),
                        .minimum = static_cast<std::uint32_t>(*rc::gen::inRange(0, 9)),
                        .survive = *rc::gen::element(failure_domain::none, failure_domain::rack,
                                                     failure_domain::availability_zone)};
        if (value.budget.unit == budget_unit::percent) {
            value.budget.minimum *= 10;
        }
        whole.services[id] = std::move(value);
    }
    return whole;
}

bool naive_allows(const fleet& after, const pool_id& pool, const lost_instances& lost)
{
    return std::all_of(after.services.begin(), after.services.end(), [&](const auto& item) {
        const service& each = item.second;
        return std::count(each.pools.begin(), each.pools.end(), pool) == 0 ||
               naive_spare(after, each, lost) >= 0;
    });
}

} // namespace

TEST_CASE("the ledger agrees with a recount through takes and returns", "[ledger]")
{
    REQUIRE(rc::check([] {
        fleet whole = random_fleet();
        lost_instances lost;
        for (const auto& [id, each] : whole.instances) {
            if (*rc::gen::inRange(0, 6) == 0) {
                lost.insert(id);
            }
        }
        ledger books(whole, lost);
        std::vector<instance> taken;
        for (const auto& [id, original] : fleet(whole).instances) {
            for (const service_figures& each : books.figures()) {
                RC_ASSERT(each.spare() ==
                          naive_spare(whole, whole.services.at(each.service), lost));
            }
            if (!taken.empty() && *rc::gen::inRange(0, 3) == 0) {
                books.put_back(taken.back());
                whole.instances.at(taken.back().id).state = instance_state::admitted;
                taken.pop_back();
            }
            if (!books.healthy(original)) {
                RC_ASSERT(books.may_take_out(original));
                continue;
            }
            fleet without = whole;
            without.instances.at(id).state = instance_state::draining;
            const bool allowed = books.may_take_out(original);
            RC_ASSERT(allowed == naive_allows(without, original.pool, lost));
            if (allowed) {
                books.take_out(original);
                taken.push_back(original);
                whole = without;
            }
        }
    }));
}

TEST_CASE("a refusal carries the figures", "[ledger]")
{
    fleet whole;
    whole.pools[pool_id("p")] = {.id = pool_id("p")};
    whole.services[service_id("spell")] = {
        .id = service_id("spell"), .pools = {pool_id("p")}, .budget = {.minimum = 1}};
    whole.instances[instance_id("w1")] = {.id = instance_id("w1"), .pool = pool_id("p")};
    const ledger books(whole);
    try {
        books.require_take_out(whole.instances.at(instance_id("w1")));
        FAIL("not refused");
    }
    catch (const budget_refusal& refused) {
        CHECK(refused.type() == "breaks-budget");
        CHECK(refused.figures() ==
              service_figures{
                  .service = service_id("spell"), .instances = 1, .admitted = 1, .budget = 1});
    }
    whole.services.at(service_id("spell")).budget.minimum = 2;
    CHECK_THROWS_AS(require_possible_budget(whole, service_id("spell")),
                    budget_larger_than_pool_error);
}
