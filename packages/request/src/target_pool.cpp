#include "plantaindoor/request/target_pool.hpp"

#include <algorithm>

namespace plantaindoor::request {

namespace {

template<class Map, class Key>
void decrement(Map& counts, const Key& key)
{
    const auto found = counts.find(key);
    if (--found->second == 0) {
        counts.erase(found);
    }
}

std::uint32_t free_of(std::uint32_t limit, std::uint32_t in_progress)
{
    return limit > in_progress ? limit - in_progress : 0;
}

target_tier tier_of(const target_state& target)
{
    if (target.suspect) {
        return target_tier::suspect;
    }
    return target.near ? target_tier::near : target_tier::far;
}

} // namespace

std::uint32_t target_pool::limit(const target_state& target) const
{
    // With no healthy target left, nothing is known that is better than the suspects.
    const bool restricted = target.suspect && m_healthy > 0;
    return restricted ? std::min(target.share, 1U) : target.share;
}

void target_pool::count_load(store& targets, target_index index)
{
    target_state& target = targets[index];
    if (!target.usable()) {
        return;
    }
    const std::uint32_t most = limit(target);
    const std::uint32_t free = free_of(most, target.in_progress);
    m_slots += most;
    m_free += free;
    if (target.healthy()) {
        slot_load& load = target.near ? m_near : m_far;
        load.slots += most;
        load.in_use += target.in_progress;
    }
    if (free > 0) {
        target.tier = tier_of(target);
        auto& list = m_tiers.at(static_cast<std::size_t>(target.tier));
        target.tier_position = list.size();
        list.push_back(index);
    }
}

void target_pool::uncount_load(store& targets, target_index index)
{
    target_state& target = targets[index];
    if (!target.usable()) {
        return;
    }
    const std::uint32_t most = limit(target);
    m_slots -= most;
    m_free -= free_of(most, target.in_progress);
    if (target.healthy()) {
        slot_load& load = target.near ? m_near : m_far;
        load.slots -= most;
        load.in_use -= target.in_progress;
    }
    if (target.tier != target_tier::none) {
        auto& list = m_tiers.at(static_cast<std::size_t>(target.tier));
        const target_index last = list.back();
        list[target.tier_position] = last;
        targets[last].tier_position = target.tier_position;
        list.pop_back();
        target.tier = target_tier::none;
    }
}

void target_pool::set_healthy(store& targets, std::size_t healthy)
{
    const bool limits_change = (healthy == 0) != (m_healthy == 0);
    if (!limits_change) {
        m_healthy = healthy;
        return;
    }
    for (const target_index each : m_suspects) {
        uncount_load(targets, each);
    }
    m_healthy = healthy;
    for (const target_index each : m_suspects) {
        count_load(targets, each);
    }
}

void target_pool::add(store& targets, target_index index)
{
    target_state& target = targets[index];
    ++m_size;
    if (target.usable()) {
        ++m_usable;
        ++m_by_rack[target.rack];
        ++m_by_zone[target.zone];
    }
    else if (target.ejected && target.admitted && !target.leaving) {
        target.probing ? void(++m_probing) : void(m_probes.emplace(target.probe_due, index));
    }
    if (target.healthy()) {
        set_healthy(targets, m_healthy + 1);
    }
    else if (target.usable()) {
        m_suspects.insert(index);
    }
    count_load(targets, index);
}

void target_pool::remove(store& targets, target_index index)
{
    target_state& target = targets[index];
    uncount_load(targets, index);
    --m_size;
    if (target.usable()) {
        --m_usable;
        decrement(m_by_rack, target.rack);
        decrement(m_by_zone, target.zone);
    }
    else if (target.ejected && target.admitted && !target.leaving) {
        target.probing ? void(--m_probing) : void(m_probes.erase({target.probe_due, index}));
    }
    if (target.healthy()) {
        set_healthy(targets, m_healthy - 1);
    }
    else {
        m_suspects.erase(index);
    }
}

void target_pool::set_load(store& targets, target_index index, std::uint32_t share,
                           std::uint32_t in_progress)
{
    uncount_load(targets, index);
    targets[index].share = share;
    targets[index].in_progress = in_progress;
    count_load(targets, index);
}

std::size_t target_pool::usable_in(const rack_id& rack) const
{
    const auto found = m_by_rack.find(rack);
    return found == m_by_rack.end() ? 0 : found->second;
}

} // namespace plantaindoor::request
