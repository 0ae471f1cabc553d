#include "plantaindoor/fleet/machine_requester.hpp"

#include <algorithm>

namespace plantaindoor::fleet {

machine_requester::machine_requester(machine_requester_options options)
    : m_options(options), m_next_giver((options.shard + 1) % options.shards)
{
}

std::uint32_t machine_requester::required_by(const service_id& pool, const shard_demand& demand)
{
    const auto found = demand.pools.find(pool);
    const pool_figures figures = found == demand.pools.end() ? pool_figures{} : found->second;
    const job::service_load& load = demand.loads.at(pool);
    const bool has_tasks = load.ordinary.ready > 0 || load.long_running > 0;
    if (!demand.has_workers && has_tasks && figures.present == 0) {
        return std::max(figures.required, 1U);
    }
    return figures.required > figures.present ? figures.required - figures.present : 0;
}

std::uint32_t machine_requester::wanted_by(const service_id& pool, const shard_demand& demand,
                                           time_point now)
{
    const auto found = demand.pools.find(pool);
    if (found == demand.pools.end() || demand.loads.at(pool).ordinary.ready <= 0 ||
        found->second.missing() == 0) {
        m_short_since.erase(pool);
        return 0;
    }
    const time_point since = m_short_since.try_emplace(pool, now).first->second;
    return now - since < m_options.patience
               ? 0
               : std::min(found->second.missing(), m_options.max_machines);
}

std::optional<machine_request> machine_requester::update(const shard_demand& demand, time_point now)
{
    machine_request request{.giver = m_next_giver};
    std::uint32_t arriving = demand.arriving;
    if (arriving > 0) {
        // A worker that has just arrived hasn't answered yet.
        m_next_request = now + m_options.answer_time;
    }
    const auto add = [&](machine_request::counts& counts, const service_id& pool,
                         std::uint32_t count) {
        const std::uint32_t covered = std::min(count, arriving);
        arriving -= covered;
        if (count > covered) {
            counts[pool] = count - covered;
        }
        return count;
    };
    for (const auto& [pool, load] : demand.loads) {
        const std::uint32_t required = add(request.required, pool, required_by(pool, demand));
        const std::uint32_t wanted = wanted_by(pool, demand, now);
        add(request.wanted, pool, wanted > required ? wanted - required : 0);
    }
    const bool needs_any = !request.required.empty() || !request.wanted.empty();
    if (!needs_any || m_options.shards == 1 || now < m_next_request) {
        return std::nullopt;
    }
    m_next_request = now + m_options.answer_time;
    do {
        m_next_giver = (m_next_giver + 1) % m_options.shards;
    } while (m_next_giver == m_options.shard);
    return request;
}

} // namespace plantaindoor::fleet
