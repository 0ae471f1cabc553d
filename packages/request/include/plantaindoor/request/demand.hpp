// What an entry tells its peers of its load, so that the targets' slots can be shared out.
#pragma once

#include "plantaindoor/common/ids.hpp"

#include <cstdint>
#include <vector>

namespace plantaindoor::request {

struct service_demand {
    service_id service;
    /// Requests in progress at targets.
    std::uint32_t in_progress = 0;
    /// Requests waiting for a slot.
    std::uint32_t waiting = 0;

    friend bool operator==(const service_demand&, const service_demand&) = default;
};

/// One entry's demand at one moment; a later sequence replaces an earlier one.
struct demand_report {
    entry_id entry;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    availability_zone_id zone;
    /// Only services with demand.
    std::vector<service_demand> services;

    friend bool operator==(const demand_report&, const demand_report&) = default;
};

} // namespace plantaindoor::request
