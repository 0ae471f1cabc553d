// Persisted form of a queue's policy: a queue may be removed from the configuration before its jobs
// have ended, and the next leader then knows the policy only from the store.
#pragma once

#include "plantaindoor/job/spec.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace plantaindoor::job {

/// Returns the policy without the queue's name and its former services. Thread-safe.
[[nodiscard]] nlohmann::json to_json(const queue_policy& policy);
/// Reads what to_json() returned. Throws nlohmann::json::exception for anything else. Thread-safe.
[[nodiscard]] queue_policy parse_queue_policy(std::string name, const nlohmann::json& from);

} // namespace plantaindoor::job
