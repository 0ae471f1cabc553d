#include "starved_pool_oracle.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace plantaindoor::fleet::testing {

void starved_pool_oracle::sample(const std::vector<pool_sample>& pools, std::uint32_t machines,
                                 time_point now)
{
    std::uint32_t busy_pools = 0;
    std::uint32_t largest = 0;
    for (const pool_sample& each : pools) {
        busy_pools += each.running_tasks + each.ready_tasks > 0 ? 1 : 0;
        largest = std::max(largest, each.machines);
    }
    for (const pool_sample& each : pools) {
        starved_time& time = m_pools[each.pool];
        const bool other_has_more = largest * busy_pools > machines && largest > 1;
        if (each.ready_tasks == 0 || each.machines > 1 || !other_has_more || now < m_calm_since) {
            time.since.reset();
            time.reported = false;
            continue;
        }
        time.since = time.since.value_or(now);
        const auto passed = std::chrono::duration_cast<milliseconds>(now - *time.since);
        time.longest = std::max(time.longest, passed);
        if (passed > max_time && !time.reported) {
            time.reported = true;
            const auto since =
                std::chrono::duration_cast<milliseconds>(time.since->time_since_epoch());
            m_findings.push_back(fmt::format(
                "pool {} has {} of {} machines since {} ms, with {} tasks that wait; {} pools have "
                "work, and the largest has {} machines",
                each.pool.str(), each.machines, machines, since.count(), each.ready_tasks,
                busy_pools, largest));
        }
    }
}

milliseconds starved_pool_oracle::longest(const service_id& pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? milliseconds(0) : found->second.longest;
}

} // namespace plantaindoor::fleet::testing
