// Typed errors as JSON bodies.
#pragma once

#include "plantaindoor/common/error.hpp"

#include <string>

namespace plantaindoor::connection {

/// {"type":…, "message":…, and the fields of that type}; a field that repeats becomes a list.
/// Thread-safe.
[[nodiscard]] std::string to_json(const error& failure);

} // namespace plantaindoor::connection
