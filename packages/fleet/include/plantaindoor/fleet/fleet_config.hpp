// One version of the operator's configuration.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/spec.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::fleet {

/// Where callers reach a queue.
struct queue_route {
    std::string host;
    std::string path_prefix;
    job::queue_policy queue;
    /// Longest time for one request.
    milliseconds timeout{0};
};

struct pool_settings {
    service_id id;
    /// Workers refuse what doesn't fit into their capacity.
    bool workers_enforce_limits = true;
    /// The pool's machines are off.
    bool standby = false;
};

/// Immutable once applied.
struct fleet_config {
    std::uint64_t version = 0;
    std::vector<queue_route> routes;
    std::vector<pool_settings> pools;
    std::size_t max_body_bytes = 0;

    /// The route of the longest prefix that the path begins with, or nullptr. Thread-safe.
    [[nodiscard]] const queue_route* find(std::string_view host, std::string_view path) const;
};

/// Adds to each queue of a version the services that it had in the version before. Thread-safe.
void add_former_services(const fleet_config& before, fleet_config& config);

/// A wave of maintenance as the operator asks for it.
struct wave_request {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    milliseconds deadline{0};
    /// Most machines down for it at once.
    std::uint32_t max_down = 1;
};

} // namespace plantaindoor::fleet
