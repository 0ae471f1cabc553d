// A numeric address and port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::connection {

/// Where to listen or connect; names are never resolved. Port 0 of a listener is chosen by the
/// system.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    /// True for 127.0.0.0/8 and ::1.
    [[nodiscard]] bool loopback() const;
    /// "10.0.0.1:80", or "[::1]:80".
    [[nodiscard]] std::string str() const;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "10.0.0.1:80" or "[::1]:80"; nothing for anything else, names of hosts included.
/// Thread-safe.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// The same, throwing invalid_value_error. Thread-safe.
[[nodiscard]] endpoint require_endpoint(const std::string& text);

} // namespace plantaindoor::connection
