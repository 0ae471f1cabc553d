#include "plantaindoor/request/router.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantaindoor::request {

std::size_t router::pool_index(const pool_id& id)
{
    const auto [found, added] = m_pool_by_id.try_emplace(id, m_pools.size());
    if (added) {
        m_pools.emplace_back(id);
        m_pool_services.emplace_back();
    }
    return found->second;
}

target_index router::new_target()
{
    if (!m_free_targets.empty()) {
        const target_index reused = m_free_targets.back();
        m_free_targets.pop_back();
        m_targets[reused] = target_state{};
        return reused;
    }
    m_targets.emplace_back();
    return static_cast<target_index>(m_targets.size() - 1);
}

std::uint32_t router::share_of(const target_state& target) const
{
    const auto part = (target.connections + m_entries - 1) / m_entries;
    return std::min(m_shares->limit(target.place), static_cast<std::uint32_t>(part));
}

void router::set_share(target_index index)
{
    const target_state& target = m_targets[index];
    const std::uint32_t share = share_of(target);
    if (share != target.share) {
        m_pools[target.pool].set_load(m_targets, index, share, target.in_progress);
    }
}

void router::describe(target_state& target, const version::instance& instance,
                      const slot_place& place)
{
    target.id = instance.id;
    target.rack = instance.rack;
    target.zone = instance.zone;
    target.address = instance.address;
    target.port = instance.port;
    target.connections = instance.connections;
    target.state_version = instance.state_version;
    target.place = place;
    target.pool = pool_index(instance.pool);
    target.near = instance.zone == m_options.zone;
    target.admitted = instance.state == version::instance_state::admitted;
    target.leaving = m_leaving.contains(instance.id);
    target.share = share_of(target);
}

bool router::is_described(const target_state& target, const version::instance& instance,
                          const slot_place& place) const
{
    return target.listed && target.state_version == instance.state_version &&
           target.place == place && target.address == instance.address &&
           target.port == instance.port && target.rack == instance.rack &&
           target.zone == instance.zone && target.connections == instance.connections;
}

void router::take_instance(const version::instance& instance, const slot_place& place)
{
    const auto known = m_by_id.find(instance.id);
    const bool added = known == m_by_id.end();
    const target_index index = added ? new_target() : known->second;
    if (is_described(m_targets[index], instance, place)) {
        set_share(index);
        return;
    }
    m_by_id.emplace(instance.id, index);
    target_state& target = m_targets[index];
    if (target.listed) {
        m_pools[target.pool].remove(m_targets, index);
    }
    const bool replanned = !target.listed || target.state_version != instance.state_version;
    if (replanned) {
        target.health.reset();
        target.ejected = false;
        target.suspect = false;
        target.probing = false;
        target.ejections = 0;
    }
    describe(target, instance, place);
    target.listed = true;
    m_pools[target.pool].add(m_targets, index);
}

void router::forget_missing(const version::fleet& fleet)
{
    for (auto item = m_by_id.begin(); item != m_by_id.end();) {
        const target_index index = item->second;
        target_state& target = m_targets[index];
        if (fleet.instances.contains(item->first)) {
            ++item;
            continue;
        }
        if (target.listed) {
            m_pools[target.pool].remove(m_targets, index);
            target.listed = false;
            target.admitted = false;
        }
        if (target.in_progress > 0) {
            // Its requests are still to be released; a later version forgets it.
            ++item;
            continue;
        }
        m_free_targets.push_back(index);
        item = m_by_id.erase(item);
    }
}

void router::take_services(const version::fleet& fleet)
{
    for (auto& services : m_pool_services) {
        services.clear();
    }
    std::erase_if(m_services,
                  [&](const auto& item) { return !fleet.services.contains(item.first); });
    for (const auto& [id, service] : fleet.services) {
        service_routes& routes = m_services[id];
        routes.budget = service.budget;
        routes.pools.clear();
        for (const pool_id& pool : service.pools) {
            const std::size_t index = pool_index(pool);
            if (std::ranges::find(routes.pools, index) == routes.pools.end()) {
                routes.pools.push_back(index);
                m_pool_services[index].push_back(id);
            }
        }
    }
}

void router::update(const version::fleet& fleet, time_point now)
{
    m_shares->update(fleet, now);
    m_shares->refresh(now);
    std::unordered_map<pool_id, std::uint32_t> sizes;
    for (const auto& [id, instance] : fleet.instances) {
        ++sizes[instance.pool];
    }
    forget_missing(fleet);
    std::unordered_map<pool_id, std::uint32_t> next_index;
    for (const auto& [id, instance] : fleet.instances) {
        take_instance(instance, {.target = id,
                                 .pool = instance.pool,
                                 .index = next_index[instance.pool]++,
                                 .targets = sizes[instance.pool],
                                 .slots = instance.slots});
    }
    take_services(fleet);
    restore_budgets();
}

void router::set_leaving(std::set<instance_id> leaving)
{
    std::vector<instance_id> changed;
    std::ranges::set_symmetric_difference(m_leaving, leaving, std::back_inserter(changed));
    m_leaving = std::move(leaving);
    for (const instance_id& id : changed) {
        const auto index = find(id);
        if (index) {
            change(*index, [&](target_state& target) { target.leaving = m_leaving.contains(id); });
        }
    }
    restore_budgets();
}

void router::set_entries(const std::vector<entry_id>& live, time_point now)
{
    m_entries = std::max<std::size_t>(live.size(), 1);
    m_shares->set_entries(live, now);
    refresh_shares(now);
}

void router::refresh_shares(time_point now)
{
    if (!m_shares->refresh(now)) {
        return;
    }
    for (const auto& [id, index] : m_by_id) {
        set_share(index);
    }
}

} // namespace plantaindoor::request
