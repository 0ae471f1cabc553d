#include "demand_book.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::request {

void demand_book::update(const version::fleet& fleet, const pool_offers& offers)
{
    m_parts.clear();
    for (const auto& [id, service] : fleet.services) {
        m_parts.emplace(id, parts_of(service, offers));
    }
    for (auto& [entry, known] : m_known) {
        known.by_pool = by_pool(known.services);
    }
}

bool demand_book::set(const demand_report& report, time_point now)
{
    known_demand& known = m_known[report.entry];
    const bool same_life = known.incarnation == report.incarnation;
    if (same_life && report.sequence <= known.sequence) {
        return false;
    }
    known.incarnation = report.incarnation;
    known.sequence = report.sequence;
    known.heard = now;
    known.services = report.services;
    known.by_pool = by_pool(report.services);
    return true;
}

void demand_book::keep(const entry_ring& ring)
{
    std::erase_if(m_known, [&](const auto& item) { return !ring.contains(item.first); });
}

std::optional<double> demand_book::demand(const entry_id& entry, const pool_id& pool,
                                          time_point now) const
{
    const auto known = m_known.find(entry);
    if (known == m_known.end() || now - known->second.heard > m_lifetime) {
        return std::nullopt;
    }
    const auto found = known->second.by_pool.find(pool);
    return found == known->second.by_pool.end() ? 0.0 : found->second;
}

std::vector<bool> demand_book::known(const entry_ring& ring, time_point now) const
{
    std::vector<bool> result;
    for (const entry_id& entry : ring.entries()) {
        const auto found = m_known.find(entry);
        result.push_back(found != m_known.end() && now - found->second.heard <= m_lifetime);
    }
    return result;
}

std::vector<demand_book::pool_part> demand_book::parts_of(const version::service& service,
                                                          const pool_offers& offers)
{
    std::vector<pool_part> parts;
    double slots = 0;
    for (const pool_id& pool : service.pools) {
        const auto offer = offers.find(pool);
        if (offer != offers.end()) {
            parts.push_back({pool, static_cast<double>(offer->second.slots)});
            slots += parts.back().part;
        }
    }
    for (pool_part& each : parts) {
        each.part /= std::max(slots, 1.0);
    }
    return parts;
}

std::unordered_map<pool_id, double>
demand_book::by_pool(const std::vector<service_demand>& services) const
{
    std::unordered_map<pool_id, double> result;
    for (const service_demand& each : services) {
        const auto parts = m_parts.find(each.service);
        if (parts == m_parts.end()) {
            continue;
        }
        const double demand = static_cast<double>(each.in_progress) + each.waiting;
        for (const pool_part& part : parts->second) {
            result[part.pool] += part.part * demand;
        }
    }
    return result;
}

} // namespace plantaindoor::request
