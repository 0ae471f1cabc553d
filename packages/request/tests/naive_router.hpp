// Routing written as plainly as possible: every rule is a scan over all instances. Where the router
// may choose freely, the naive one says which choices are allowed.
#pragma once

#include "plantaindoor/request/router.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace plantaindoor::request::naive {

struct attempt {
    attempt_result result = attempt_result::answered;
    double slowness = 1;
};

struct target {
    version::instance plan;
    std::uint32_t in_progress = 0;
    std::uint32_t share = 0;
    std::vector<attempt> attempts;
    bool ejected = false;
    bool suspect = false;
    bool probing = false;
    time_point probe_due{};
};

class router {
public:
    router(availability_zone_id zone, const std::set<instance_id>* leaving)
        : m_zone(std::move(zone)), m_leaving(leaving)
    {
    }

    void update(const version::fleet& fleet)
    {
        m_fleet = fleet;
        for (const auto& [id, plan] : fleet.instances) {
            target& each = targets[id];
            if (each.plan.state_version != plan.state_version) {
                each.attempts.clear();
                each.ejected = each.suspect = each.probing = false;
            }
            each.plan = plan;
        }
        std::erase_if(targets,
                      [&](const auto& item) { return !fleet.instances.contains(item.first); });
        restore_budgets();
    }

    bool usable(const target& each) const
    {
        return each.plan.state == version::instance_state::admitted &&
               !m_leaving->contains(each.plan.id) && !each.ejected;
    }

    /// Whether the router may send the request to this target now.
    bool allowed(const instance_id& id, const route_query& query, time_point now,
                 milliseconds patience) const
    {
        const target& each = targets.at(id);
        if (!serves(each, query.service)) {
            return false;
        }
        if (each.ejected) {
            const bool asked = query.idempotent || condition(each) == target_condition::slow ||
                               now >= each.probe_due + patience;
            return each.plan.state == version::instance_state::admitted &&
                   !m_leaving->contains(id) && !probing_in(each.plan.pool) &&
                   each.probe_due <= now && asked && each.in_progress < std::max(each.share, 1U) &&
                   !tried_instance(id, query) && !tried_rack(each, query);
        }
        const std::vector<instance_id> best = healthy_choices(query);
        if (!best.empty()) {
            return std::ranges::count(best, id) > 0 && zone_allows(each, best);
        }
        return std::ranges::count(suspect_choices(query), id) > 0;
    }

    bool has_choice(const route_query& query) const
    {
        return !healthy_choices(query).empty() || !suspect_choices(query).empty();
    }

    bool has_untried(const service_id& service, const tried_targets& tried) const
    {
        return std::ranges::any_of(targets, [&](const auto& item) {
            return serves(item.second, service) && usable(item.second) &&
                   std::ranges::count(tried.instances, item.first) == 0;
        });
    }

    service_capacity capacity(const service_id& service) const
    {
        service_capacity result;
        for (const auto& [id, each] : targets) {
            if (serves(each, service) && usable(each)) {
                const std::uint32_t limit = limit_of(each);
                result.slots += limit;
                result.in_use += std::min(limit, each.in_progress);
            }
        }
        return result;
    }

    void free_slot(const instance_id& id)
    {
        const auto found = targets.find(id);
        if (found != targets.end()) {
            --found->second.in_progress;
        }
    }

    /// Takes the end of an attempt; `due` is when the router would probe if it ejected the target.
    void end_attempt(const instance_id& id, attempt done, time_point now, time_point due)
    {
        const auto found = targets.find(id);
        if (found == targets.end()) {
            return;
        }
        target& each = found->second;
        if (each.probing) {
            each.probing = false;
            const bool answered = done.result == attempt_result::answered;
            if (answered && done.slowness < 3) {
                each.ejected = false;
                each.attempts.clear();
            }
            each.probe_due = due;
            return;
        }
        if (!is_telling(done.result) || !usable(each)) {
            return;
        }
        each.attempts.push_back(done);
        if (condition(each) == target_condition::healthy) {
            each.suspect = false;
        }
        else if (may_eject(id)) {
            each.ejected = true;
            each.suspect = false;
            each.probe_due = due;
        }
        else {
            each.suspect = true;
        }
        static_cast<void>(now);
    }

    std::vector<instance_id> ejected() const
    {
        std::vector<instance_id> result;
        for (const auto& [id, each] : targets) {
            if (each.ejected && each.plan.state == version::instance_state::admitted) {
                result.push_back(id);
            }
        }
        return result;
    }

    bool within_budget(const version::service& service) const
    {
        std::size_t size = 0;
        std::size_t admitted = 0;
        std::size_t left = 0;
        std::map<std::string, std::size_t> domains;
        for (const auto& [id, each] : targets) {
            if (!serves(each, service.id)) {
                continue;
            }
            ++size;
            admitted +=
                each.plan.state == version::instance_state::admitted && !m_leaving->contains(id)
                    ? 1
                    : 0;
            if (!usable(each)) {
                continue;
            }
            ++left;
            if (service.budget.survive == version::failure_domain::rack) {
                ++domains[each.plan.rack.str()];
            }
            if (service.budget.survive == version::failure_domain::availability_zone) {
                ++domains[each.plan.zone.str()];
            }
        }
        std::size_t largest = 0;
        for (const auto& [domain, count] : domains) {
            largest = std::max(largest, count);
        }
        const std::size_t minimum = service.budget.unit == version::budget_unit::count
                                        ? service.budget.minimum
                                        : (size * service.budget.minimum + 99) / 100;
        return left > 0 && left >= minimum + largest && 2 * left >= admitted;
    }

    void restore_budgets()
    {
        for (const auto& [id, service] : m_fleet.services) {
            while (!within_budget(service)) {
                target* first = nullptr;
                for (auto& [target_id, each] : targets) {
                    const bool counts = each.ejected && !each.probing && serves(each, id) &&
                                        !m_leaving->contains(target_id) &&
                                        each.plan.state == version::instance_state::admitted;
                    if (counts && (first == nullptr || each.probe_due < first->probe_due)) {
                        first = &each;
                    }
                }
                if (first == nullptr) {
                    break;
                }
                first->ejected = false;
                first->suspect = true;
            }
        }
    }

    std::map<instance_id, target> targets;

private:
    bool serves(const target& each, const service_id& service) const
    {
        const auto found = m_fleet.services.find(service);
        return found != m_fleet.services.end() &&
               std::ranges::count(found->second.pools, each.plan.pool) > 0;
    }

    /// An ejected target that may come back is being probed.
    bool probing_in(const pool_id& pool) const
    {
        return std::ranges::any_of(targets, [&](const auto& item) {
            return item.second.plan.pool == pool && item.second.probing &&
                   item.second.plan.state == version::instance_state::admitted &&
                   !m_leaving->contains(item.first);
        });
    }

    std::size_t healthy_in(const pool_id& pool) const
    {
        return std::ranges::count_if(targets, [&](const auto& item) {
            return item.second.plan.pool == pool && usable(item.second) && !item.second.suspect;
        });
    }

    std::uint32_t limit_of(const target& each) const
    {
        const bool restricted = each.suspect && healthy_in(each.plan.pool) > 0;
        return restricted ? std::min(each.share, 1U) : each.share;
    }

    static bool tried_instance(const instance_id& id, const route_query& query)
    {
        return std::ranges::count(query.tried->instances, id) > 0;
    }

    static bool tried_rack(const target& each, const route_query& query)
    {
        return std::ranges::count(query.tried->racks, each.plan.rack) > 0;
    }

    std::vector<instance_id> free_targets(const route_query& query, bool suspects) const
    {
        const bool other_rack = std::ranges::any_of(targets, [&](const auto& item) {
            return serves(item.second, query.service) && usable(item.second) &&
                   !tried_rack(item.second, query);
        });
        std::vector<instance_id> result;
        for (const auto& [id, each] : targets) {
            const bool excluded =
                tried_instance(id, query) || (other_rack && tried_rack(each, query));
            if (serves(each, query.service) && usable(each) && each.suspect == suspects &&
                each.in_progress < limit_of(each) && !excluded) {
                result.push_back(id);
            }
        }
        return result;
    }

    std::vector<instance_id> healthy_choices(const route_query& query) const
    {
        return free_targets(query, false);
    }

    std::vector<instance_id> suspect_choices(const route_query& query) const
    {
        const bool any_healthy = std::ranges::any_of(targets, [&](const auto& item) {
            return serves(item.second, query.service) && usable(item.second) &&
                   !item.second.suspect;
        });
        return query.idempotent || !any_healthy ? free_targets(query, true)
                                                : std::vector<instance_id>{};
    }

    double load(const pool_id& pool, bool near) const
    {
        double in_use = 0;
        double slots = 0;
        for (const auto& [id, each] : targets) {
            if (each.plan.pool == pool && usable(each) && !each.suspect &&
                (each.plan.zone == m_zone) == near) {
                in_use += each.in_progress;
                slots += limit_of(each);
            }
        }
        return slots == 0 ? 1 : in_use / slots;
    }

    /// The preferred zone's choices of the pool go first.
    bool zone_allows(const target& each, const std::vector<instance_id>& choices) const
    {
        const double near = load(each.plan.pool, true);
        const bool near_first = near < 0.75 || near < load(each.plan.pool, false);
        const bool is_preferred = (each.plan.zone == m_zone) == near_first;
        return is_preferred || std::ranges::none_of(choices, [&](const instance_id& other) {
                   const version::instance& plan = targets.at(other).plan;
                   return plan.pool == each.plan.pool && (plan.zone == m_zone) == near_first;
               });
    }

    static target_condition condition(const target& each)
    {
        double failures = 0;
        double slowness = 1;
        for (const attempt& one : each.attempts) {
            failures = 0.7 * failures + (is_failure(one.result) ? 0.3 : 0.0);
            if (one.result == attempt_result::answered) {
                slowness = 0.9 * slowness + 0.1 * std::min(one.slowness, 10.0);
            }
        }
        if (failures > 0.6) {
            return target_condition::failing;
        }
        return slowness > 3 ? target_condition::slow : target_condition::healthy;
    }

    bool may_eject(const instance_id& id)
    {
        target& each = targets.at(id);
        each.ejected = true;
        const bool allowed = std::ranges::all_of(m_fleet.services, [&](const auto& item) {
            return !serves(each, item.first) || within_budget(item.second);
        });
        each.ejected = false;
        return allowed;
    }

    availability_zone_id m_zone;
    const std::set<instance_id>* m_leaving;
    version::fleet m_fleet;
};

} // namespace plantaindoor::request::naive
