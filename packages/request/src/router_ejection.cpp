#include "plantaindoor/request/router.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace plantaindoor::request {

namespace {

/// A probe this many times slower than usual leaves the target ejected.
constexpr double slow_probe = 3;
/// After so many good answers a target's earlier ejections are forgotten.
constexpr std::uint32_t settled_answers = 16;

} // namespace

void router::end_probe(target_index index, attempt_result result, double slowness, time_point now)
{
    // One answer weighs little when smoothed, so a probe is judged by itself.
    if (result == attempt_result::answered && slowness < slow_probe) {
        change(index, [](target_state& target) {
            target.probing = false;
            target.ejected = false;
            target.answers = 0;
            target.health.reset();
        });
        return;
    }
    change(index, [](target_state& target) { target.probing = false; });
    if (is_telling(result)) {
        eject(index, now);
        return;
    }
    change(index, [&](target_state& target) { target.probe_due = now + m_options.ejection.first; });
}

void router::judge(target_index index, time_point now)
{
    target_state& target = m_targets[index];
    if (target.health.condition() == target_condition::healthy) {
        if (target.suspect) {
            change(index, [](target_state& subject) { subject.suspect = false; });
        }
        if (++target.answers >= settled_answers) {
            target.ejections = 0;
        }
        return;
    }
    if (may_eject(index)) {
        eject(index, now);
        return;
    }
    if (!target.suspect) {
        change(index, [](target_state& subject) { subject.suspect = true; });
    }
}

void router::eject(target_index index, time_point now)
{
    const std::uint64_t jitter = next_random() % 256;
    const bool slow = m_targets[index].health.condition() == target_condition::slow;
    change(index, [&](target_state& target) {
        target.ejected = true;
        target.ejected_slow = slow;
        target.suspect = false;
        ++target.ejections;
        const milliseconds time = ejection_time(m_options.ejection, target.ejections);
        target.probe_due = now + time + time * jitter / 1024;
    });
    for (const service_id& service : services_at(index)) {
        ++m_services.at(service).ejections;
    }
}

router::domain_counts router::counts(const service_routes& routes,
                                     const target_state* without) const
{
    domain_counts result;
    std::unordered_map<std::string, std::size_t> domains;
    const auto add = [&domains](const auto& by_domain) {
        for (const auto& [domain, count] : by_domain) {
            domains[domain.str()] += count;
        }
    };
    const version::failure_domain survive = routes.budget.survive;
    for (const std::size_t index : routes.pools) {
        const target_pool& pool = m_pools[index];
        result.size += pool.size();
        result.admitted += pool.admitted();
        result.usable += pool.usable();
        if (survive == version::failure_domain::rack) {
            add(pool.usable_by_rack());
        }
        if (survive == version::failure_domain::availability_zone) {
            add(pool.usable_by_zone());
        }
    }
    if (without != nullptr) {
        --result.usable;
        const bool by_rack = survive == version::failure_domain::rack;
        const auto found = domains.find(by_rack ? without->rack.str() : without->zone.str());
        if (found != domains.end()) {
            --found->second;
        }
    }
    for (const auto& [domain, count] : domains) {
        result.largest_domain = std::max(result.largest_domain, count);
    }
    return result;
}

bool router::within_budget(const version::availability_budget& budget, const domain_counts& counts)
{
    const std::size_t minimum = budget.unit == version::budget_unit::count
                                    ? budget.minimum
                                    : (counts.size * budget.minimum + 99) / 100;
    const bool enough = counts.usable >= minimum + counts.largest_domain;
    // Half of the targets failing at once is hardly the targets' own fault.
    const bool few_ejected = 2 * counts.usable >= counts.admitted;
    return enough && few_ejected && counts.usable > 0;
}

bool router::may_eject(target_index index) const
{
    const target_state& target = m_targets[index];
    return std::ranges::all_of(services_at(index), [&](const service_id& id) {
        const service_routes& routes = m_services.at(id);
        return within_budget(routes.budget, counts(routes, &target));
    });
}

std::optional<target_index> router::earliest_probe(const service_routes& routes) const
{
    std::optional<std::pair<time_point, target_index>> earliest;
    for (const std::size_t pool : routes.pools) {
        const auto& probes = m_pools[pool].probes();
        if (!probes.empty() && (!earliest || *probes.begin() < *earliest)) {
            earliest = *probes.begin();
        }
    }
    return earliest ? std::optional(earliest->second) : std::nullopt;
}

void router::restore_budgets()
{
    std::vector<service_id> services;
    for (const auto& [id, routes] : m_services) {
        services.push_back(id);
    }
    std::ranges::sort(services);
    for (const service_id& id : services) {
        const service_routes& routes = m_services.at(id);
        for (auto next = earliest_probe(routes);
             next && !within_budget(routes.budget, counts(routes, nullptr));
             next = earliest_probe(routes)) {
            change(*next, [](target_state& target) {
                target.ejected = false;
                target.suspect = true;
            });
        }
    }
}

} // namespace plantaindoor::request
