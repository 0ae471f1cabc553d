// The processor capacity that one more machine would add to a pool.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <map>

namespace plantaindoor::fleet {

/// Averages over the workers at the time of its construction. Immutable.
class machine_capacity {
public:
    explicit machine_capacity(const job::scheduler& scheduler);

    /// The average of the pool's workers, or of all workers if the pool has none, in thousandths of
    /// a core; 0 if there are no workers.
    [[nodiscard]] double of(const service_id& pool) const;

private:
    struct capacity_sum {
        double cpu_millis = 0;
        std::uint32_t workers = 0;

        void add(const job::worker_record& worker);
        [[nodiscard]] double average() const { return workers == 0 ? 0 : cpu_millis / workers; }
    };

    std::map<service_id, capacity_sum> m_pools;
    capacity_sum m_all;
};

} // namespace plantaindoor::fleet
