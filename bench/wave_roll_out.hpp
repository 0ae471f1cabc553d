// Simulates one maintenance wave in virtual time, with the planner or a simpler strategy, on fleets
// of several shapes.
#pragma once

#include "plantaindoor/process/wave_planner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::bench {

using namespace plantaindoor::process;
using version::fleet;
using version::instance;
using version::instance_state;
using version::ledger;

inline const wave_id wave_name("m1");
inline constexpr seconds drain_time{12};
inline constexpr seconds min_reboot_time{120};
inline constexpr seconds max_reboot_time{240};
inline constexpr seconds max_duration{std::chrono::hours(24)};
inline constexpr std::size_t workers_per_rack = 4;

struct fleet_shape {
    const char* name;
    std::vector<std::size_t> pools;
    /// Number of additional services; each spans two consecutive pools.
    std::size_t shared_services = 0;
    /// The first pool's availability budget requires all of its instances, so that it depends on
    /// loans.
    bool first_pool_without_spare = false;
    /// Only the last pool is maintained, and its availability budget allows one instance to be out.
    bool last_pool_only = false;
};

inline fleet_shape current_shape()
{
    return {.name = "50 workers", .pools = {8, 9, 10, 11, 12}};
}

inline fleet_shape current_shape_without_spare()
{
    fleet_shape shape = current_shape();
    shape.name = "50 workers, no spare in one pool";
    shape.first_pool_without_spare = true;
    return shape;
}

inline fleet_shape single_pool_shape()
{
    fleet_shape shape = current_shape();
    shape.name = "12 of 50 workers, one to spare";
    shape.last_pool_only = true;
    return shape;
}

inline fleet_shape large_shape(std::size_t workers, std::size_t pools)
{
    fleet_shape shape{.name = "1700 workers", .shared_services = pools / 3};
    for (std::size_t p = 0; p < pools; ++p) {
        shape.pools.push_back(workers / pools + (p < workers % pools ? 1 : 0));
    }
    return shape;
}

inline std::string numbered(const char* prefix, std::size_t number)
{
    return fmt::format("{}{:04}", prefix, number);
}

inline fleet fleet_of(const fleet_shape& shape)
{
    fleet whole;
    version::wave started{.id = wave_name};
    std::size_t worker = 0;
    for (std::size_t p = 0; p < shape.pools.size(); ++p) {
        const pool_id pool(numbered("p", p));
        const std::size_t size = shape.pools[p];
        whole.pools[pool] = {.id = pool, .lends = true};
        const bool last = p + 1 == shape.pools.size();
        if (last || !shape.last_pool_only) {
            started.pools.push_back(pool);
        }
        const bool no_spare = shape.first_pool_without_spare && p == 0;
        const std::size_t minimum = no_spare                       ? size
                                    : last && shape.last_pool_only ? size - 1
                                                                   : size * 8 / 10;
        const service_id service(numbered("s", p));
        whole.services[service] = {.id = service,
                                   .pools = {pool},
                                   .budget = {.minimum = static_cast<std::uint32_t>(minimum)}};
        for (std::size_t i = 0; i < size; ++i, ++worker) {
            const instance_id id(numbered("w", worker));
            whole.instances[id] = {
                .id = id,
                .pool = pool,
                .zone = availability_zone_id(numbered("z", worker / workers_per_rack % 3)),
                .rack = rack_id(numbered("r", worker / workers_per_rack))};
        }
    }
    for (std::size_t n = 0; n < shape.shared_services; ++n) {
        const service_id service(numbered("shared", n));
        const std::size_t size = shape.pools[2 * n] + shape.pools[2 * n + 1];
        whole.services[service] = {
            .id = service,
            .pools = {pool_id(numbered("p", 2 * n)), pool_id(numbered("p", 2 * n + 1))},
            .budget = {.minimum = static_cast<std::uint32_t>(size * 85 / 100)}};
    }
    whole.waves[wave_name] = started;
    return whole;
}

using plan_function = wave_plan (*)(const fleet&, const ledger&);

inline bool needs_maintenance(const fleet& whole, const instance& each)
{
    const auto& pools = whole.waves.at(wave_name).pools;
    const pool_id& home_pool = each.lent ? each.lent->home : each.pool;
    return each.last_wave != wave_name &&
           std::find(pools.begin(), pools.end(), home_pool) != pools.end();
}

inline bool awaits_maintenance(const fleet& whole, const instance& each)
{
    return each.state == instance_state::admitted && needs_maintenance(whole, each);
}

inline bool any_instance_out(const fleet& whole)
{
    return std::any_of(whole.instances.begin(), whole.instances.end(), [](const auto& item) {
        return item.second.state != instance_state::admitted;
    });
}

inline wave_plan greedy(const fleet& whole, const ledger& budgets)
{
    wave_plan plan;
    ledger tentative = budgets;
    for (const auto& [id, each] : whole.instances) {
        if (awaits_maintenance(whole, each) && tentative.may_take_out(each)) {
            tentative.take_out(each);
            plan.drains.push_back(id);
        }
    }
    return plan;
}

inline wave_plan one_at_a_time(const fleet& whole, const ledger& budgets)
{
    wave_plan plan;
    if (!any_instance_out(whole)) {
        plan = greedy(whole, budgets);
        plan.drains.resize(std::min<std::size_t>(1, plan.drains.size()));
    }
    return plan;
}

inline wave_plan one_per_pool(const fleet& whole, const ledger& budgets)
{
    wave_plan plan;
    std::set<pool_id> pools_out;
    for (const auto& [id, each] : whole.instances) {
        if (each.state != instance_state::admitted) {
            pools_out.insert(each.pool);
        }
    }
    ledger tentative = budgets;
    for (const auto& [id, each] : whole.instances) {
        if (awaits_maintenance(whole, each) && !pools_out.contains(each.pool) &&
            tentative.may_take_out(each)) {
            tentative.take_out(each);
            pools_out.insert(each.pool);
            plan.drains.push_back(id);
        }
    }
    return plan;
}

template<const wave_weights& Weights>
wave_plan plan_with_planner(const fleet& whole, const ledger& budgets)
{
    return wave_planner({.weights = Weights}).plan(whole, budgets, whole.waves.at(wave_name));
}

struct planning_strategy {
    const char* name;
    plan_function plan;
};

inline constexpr planning_strategy planning_strategies[] = {
    {"one at a time", &one_at_a_time},
    {"one for each pool", &one_per_pool},
    {"greedy", &greedy},
    {"planner, buffer dear", &plan_with_planner<buffer_saving_weights>},
    {"planner, moves dear", &plan_with_planner<move_saving_weights>}};

struct wave_result {
    std::string fleet;
    std::string strategy;
    double roll_out_minutes = 0;
    /// Admitted instances in excess of the availability budgets, as a mean over the roll-out.
    double idle_spare = 0;
    unsigned moves = 0;
    /// Percentage of the time in which some service had instances out in more than one zone.
    double two_zones_percent = 0;
    unsigned budget_violations = 0;
    unsigned unmaintained = 0;
};

/// Simulates one wave. An outage lasts for a drain and a reboot; the reboot time of an instance is
/// the same under every strategy.
class wave_simulation {
public:
    wave_simulation(const fleet_shape& shape, const planning_strategy& planned_by)
        : m_fleet(fleet_of(shape)), m_strategy(planned_by)
    {
        m_result.fleet = shape.name;
        m_result.strategy = planned_by.name;
    }

    wave_result run()
    {
        double spare = 0;
        seconds now{0};
        seconds in_two_zones{0};
        for (; now < max_duration; now += seconds(1)) {
            const bool changed = end_outages(now) || now.count() == 0;
            if (changed) {
                plan(now);
                m_spare = total_spare();
                m_out_in_two_zones = any_service_out_in_two_zones();
            }
            spare += m_spare;
            in_two_zones += seconds(m_out_in_two_zones ? 1 : 0);
            if (m_outage_ends.empty()) {
                break;
            }
        }
        const double length = std::max<double>(1, static_cast<double>(now.count()));
        m_result.roll_out_minutes = length / 60;
        m_result.idle_spare = spare / length;
        m_result.two_zones_percent = 100 * static_cast<double>(in_two_zones.count()) / length;
        m_result.unmaintained = static_cast<unsigned>(std::count_if(
            m_fleet.instances.begin(), m_fleet.instances.end(),
            [&](const auto& item) { return needs_maintenance(m_fleet, item.second); }));
        return m_result;
    }

private:
    bool end_outages(seconds now)
    {
        bool any = false;
        while (!m_outage_ends.empty() && m_outage_ends.begin()->first <= now) {
            instance& subject = m_fleet.instances.at(m_outage_ends.begin()->second);
            m_outage_ends.erase(m_outage_ends.begin());
            subject.state = instance_state::admitted;
            if (subject.moving) {
                subject.pool = subject.moving->to;
                subject.lent = subject.moving->lent;
                subject.moving.reset();
            }
            else {
                subject.last_wave = wave_name;
            }
            subject.outage_wave = {};
            any = true;
        }
        return any;
    }

    void plan(seconds now)
    {
        const ledger budgets(m_fleet);
        const wave_plan next = m_strategy.plan(m_fleet, budgets);
        for (const instance_id& id : next.drains) {
            instance& subject = m_fleet.instances.at(id);
            subject.state = instance_state::draining;
            subject.outage_wave = wave_name;
            std::mt19937_64 random(std::hash<std::string>{}(id.str()));
            const seconds reboot(std::uniform_int_distribution<std::int64_t>(
                min_reboot_time.count(), max_reboot_time.count())(random));
            m_outage_ends.emplace(now + drain_time + reboot, id);
        }
        for (const proposed_loan& each : next.loans) {
            instance& subject = m_fleet.instances.at(each.id);
            if (subject.state != instance_state::admitted) {
                continue;
            }
            subject.state = instance_state::draining;
            subject.moving = {.to = each.to, .lent = version::loan{.home = subject.pool}};
            m_outage_ends.emplace(now + drain_time, each.id);
            m_result.moves += 2;
        }
        for (const version::service_figures& each : ledger(m_fleet).figures()) {
            m_result.budget_violations += each.spare() < 0 ? 1 : 0;
        }
    }

    double total_spare() const
    {
        double total = 0;
        for (const version::service_figures& each : ledger(m_fleet).figures()) {
            total += static_cast<double>(each.spare());
        }
        return total;
    }

    bool any_service_out_in_two_zones() const
    {
        std::map<pool_id, std::set<availability_zone_id>> zones_out;
        for (const auto& [id, each] : m_fleet.instances) {
            if (each.state != instance_state::admitted && !each.moving) {
                zones_out[each.pool].insert(each.zone);
            }
        }
        return std::any_of(m_fleet.services.begin(), m_fleet.services.end(), [&](const auto& item) {
            std::set<availability_zone_id> zones;
            for (const pool_id& pool : item.second.pools) {
                zones.insert(zones_out[pool].begin(), zones_out[pool].end());
            }
            return zones.size() > 1;
        });
    }

    fleet m_fleet;
    planning_strategy m_strategy;
    wave_result m_result;
    std::multimap<seconds, instance_id> m_outage_ends;
    double m_spare = 0;
    bool m_out_in_two_zones = false;
};

} // namespace plantaindoor::bench
