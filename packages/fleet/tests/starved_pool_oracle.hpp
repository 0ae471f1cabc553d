// Checks that no pool with work is left without machines that other pools have beyond their share.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

/// What a pool has and what its service could use, at one time.
struct pool_sample {
    service_id pool;
    std::uint32_t machines = 0;
    std::uint32_t running_tasks = 0;
    std::uint32_t ready_tasks = 0;
};

/// Not synchronised.
class starved_pool_oracle {
public:
    /// A pool with tasks that wait may have a single machine, or none, for this long while another
    /// pool has more than an equal share of all machines; a machine can be moved within it.
    static constexpr milliseconds max_time{4500};
    /// How long after a disruption that time begins.
    static constexpr milliseconds recovery_time{4000};

    /// `machines` also counts those that serve no pool, such as while they are moved. To be called
    /// at least every 100 ms.
    void sample(const std::vector<pool_sample>& pools, std::uint32_t machines, time_point now);

    /// Times that overlap with a disruption, such as the loss of a leader, don't count.
    void note_disruption(time_point now) { m_calm_since = now + recovery_time; }

    [[nodiscard]] const std::vector<std::string>& findings() const { return m_findings; }
    /// Longest time that the pool was starved.
    [[nodiscard]] milliseconds longest(const service_id& pool) const;

private:
    struct starved_time {
        std::optional<time_point> since;
        milliseconds longest{0};
        bool reported = false;
    };

    std::map<service_id, starved_time> m_pools;
    std::vector<std::string> m_findings;
    time_point m_calm_since{};
};

} // namespace plantaindoor::fleet::testing
