// A version of the configuration that the operator provides.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/policy/key_directory.hpp"
#include "plantaindoor/policy/workspace.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::fleet {

/// Maps a host and a path prefix of callers' requests to a queue.
struct queue_route {
    std::string host;
    std::string path_prefix;
    job::queue_policy queue;
    /// Maximum time for one request.
    milliseconds timeout{0};
    /// Whether callers need no key.
    bool is_public = true;
};

struct pool_settings {
    service_id id;
    /// Whether workers refuse tasks that exceed their capacity.
    bool workers_enforce_limits = true;
    /// Whether the pool's machines are switched off.
    bool standby = false;
};

/// Immutable once applied.
struct fleet_config {
    std::uint64_t version = 0;
    std::vector<queue_route> routes;
    std::vector<pool_settings> pools;
    std::vector<policy::workspace_policy> workspaces;
    policy::key_directory keys;
    std::size_t max_body_bytes = 0;

    /// Returns the route of the host with the longest matching path prefix, or nullptr.
    /// Thread-safe.
    [[nodiscard]] const queue_route* find(std::string_view host, std::string_view path) const;
};

/// Sets the former services of each queue of `config` that is also in `before`: the former services
/// and the service that it had there, without its present service. Thread-safe.
void add_former_services(const fleet_config& before, fleet_config& config);

/// A maintenance wave as requested by the operator.
struct wave_request {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    milliseconds deadline{0};
    /// Maximum number of machines that are down for the wave at the same time.
    std::uint32_t max_down = 1;
};

} // namespace plantaindoor::fleet
