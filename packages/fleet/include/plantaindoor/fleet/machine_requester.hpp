// When a shard asks another one for machines, which one, and for how many.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/machine_planner.hpp"
#include "plantaindoor/fleet/machine_transfer_rows.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace plantaindoor::fleet {

struct machine_requester_options {
    shard_number shard = 0;
    shard_number shards = 1;
    /// How long tasks that aren't long-running have waited for machines that the shard can't give
    /// before it asks for some.
    milliseconds patience{1500};
    /// How long one shard has to give machines before the next one is asked.
    milliseconds answer_time{1000};
    /// Most machines in a request for tasks that aren't long-running, as machines don't return.
    std::uint32_t max_machines = 4;
};

/// The state of the shard's pools.
struct shard_demand {
    const std::map<service_id, pool_figures>& pools;
    const std::map<service_id, job::service_load>& loads;
    /// Whether a worker of the shard takes tasks: otherwise the pools' figures lack their demand.
    bool has_workers = true;
    /// Machines that were given to the shard and that it hasn't received yet.
    std::uint32_t arriving = 0;
};

/// Deterministic; reads no clock. Not thread-safe.
class machine_requester {
public:
    explicit machine_requester(machine_requester_options options);

    /// The request to send now. Call after each planning round.
    [[nodiscard]] std::optional<machine_request> update(const shard_demand& demand, time_point now);

private:
    /// The machines that the pool lacks and that no other pool of the shard has to spare.
    [[nodiscard]] static std::uint32_t required_by(const service_id& pool,
                                                   const shard_demand& demand);
    [[nodiscard]] std::uint32_t wanted_by(const service_id& pool, const shard_demand& demand,
                                          time_point now);

    machine_requester_options m_options;
    shard_number m_next_giver;
    time_point m_next_request{};
    /// Since when tasks that aren't long-running have lacked machines, by pool.
    std::map<service_id, time_point> m_short_since;
};

} // namespace plantaindoor::fleet
