// A numeric address and port.
#pragma once

#include "plantaindoor/common/error.hpp"

#include <cstdint>
#include <string>

namespace plantaindoor::connection {

/// Where to listen or connect; names are never resolved.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// "address:port".
[[nodiscard]] std::string to_string(const endpoint& where);

/// Parses "address:port" with a numeric IPv4 address. Throws invalid_value_error. Thread-safe.
[[nodiscard]] endpoint parse_endpoint(const std::string& text);

} // namespace plantaindoor::connection
