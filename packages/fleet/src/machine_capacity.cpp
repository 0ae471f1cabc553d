#include "plantaindoor/fleet/machine_capacity.hpp"

#include <algorithm>

namespace plantaindoor::fleet {

void machine_capacity::capacity_sum::add(const job::worker_record& worker)
{
    cpu_millis += double(worker.capacity().cpu_millis);
    ++workers;
}

machine_capacity::machine_capacity(const job::scheduler& scheduler)
{
    const auto& workers = scheduler.workers();
    // A row may be of another writer, so its capacity counts only while no worker has answered.
    const bool any_answered = std::any_of(workers.begin(), workers.end(), [](const auto& each) {
        return each.second.token_acknowledged;
    });
    for (const auto& [id, worker] : workers) {
        if (worker.token_acknowledged || !any_answered) {
            m_pools[worker.listing.service].add(worker);
            m_all.add(worker);
        }
    }
}

double machine_capacity::of(const service_id& pool) const
{
    const auto found = m_pools.find(pool);
    return (found == m_pools.end() ? m_all : found->second).average();
}

} // namespace plantaindoor::fleet
