#include "plantaindoor/request/interactive_load.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::request {

namespace {

std::map<pool_id, std::uint32_t> admitted_slots(const version::fleet& whole)
{
    std::map<pool_id, std::uint32_t> slots;
    for (const auto& [id, each] : whole.instances) {
        if (each.state == version::instance_state::admitted) {
            slots[each.pool] += each.slots;
        }
    }
    return slots;
}

} // namespace

void interactive_load::update(version::fleet_ptr whole)
{
    m_slots = admitted_slots(*whole);
    m_fleet = std::move(whole);
}

void interactive_load::reported(std::vector<service_demand> own, time_point now)
{
    m_own = {.at = now, .services = std::move(own)};
}

void interactive_load::hear(const demand_report& report, time_point now)
{
    std::erase_if(m_peers, [&](const auto& each) { return now - each.second.at > m_lifetime; });
    heard& last = m_peers[report.entry];
    const bool older = report.incarnation == last.incarnation && report.sequence < last.sequence;
    if (!older) {
        last = {.incarnation = report.incarnation,
                .sequence = report.sequence,
                .at = now,
                .services = report.services};
    }
}

std::map<service_id, double> interactive_load::demand(time_point now) const
{
    std::map<service_id, double> sum;
    const auto add = [&](const heard& from) {
        if (now - from.at > m_lifetime) {
            return;
        }
        for (const service_demand& each : from.services) {
            sum[each.service] += each.in_progress + each.waiting;
        }
    };
    add(m_own);
    for (const auto& [entry, last] : m_peers) {
        add(last);
    }
    return sum;
}

double interactive_load::of(const pool_id& pool, time_point now) const
{
    const auto own = m_slots.find(pool);
    if (own == m_slots.end() || own->second == 0) {
        return 0;
    }
    double asked = 0;
    for (const auto& [id, wanted] : demand(now)) {
        const auto found = m_fleet->services.find(id);
        if (found == m_fleet->services.end() ||
            found->second.default_priority == version::priority::background ||
            std::ranges::find(found->second.pools, pool) == found->second.pools.end()) {
            continue;
        }
        double all = 0;
        for (const pool_id& each : found->second.pools) {
            const auto in_pool = m_slots.find(each);
            all += in_pool == m_slots.end() ? 0 : in_pool->second;
        }
        asked += wanted * own->second / all;
    }
    return asked / own->second;
}

} // namespace plantaindoor::request
