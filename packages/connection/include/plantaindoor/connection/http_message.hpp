// HTTP messages as the rest of the system sees them, apart from any HTTP library.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaindoor::connection {

struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

using http_headers = std::vector<http_header>;

/// The first header of this name, in any case; nullptr where there is none. Thread-safe.
[[nodiscard]] const std::string* find_header(const http_headers& headers, std::string_view name);

/// Whether two header names are the same in any case. Thread-safe.
[[nodiscard]] bool same_header(std::string_view left, std::string_view right) noexcept;

/// Whether a header belongs to one connection only and must not be passed on. Thread-safe.
[[nodiscard]] bool is_hop_header(std::string_view name) noexcept;

struct http_request {
    std::string method;
    /// Path and query as sent, never decoded.
    std::string target;
    http_headers headers;
    std::string body;
    /// Whether the sender has closed its side of the connection, so that nobody may be left to
    /// read the answer. Empty in requests of this process. On the server's loop thread only.
    std::function<bool()> sender_gone;
};

struct http_response {
    std::uint16_t status = 200;
    http_headers headers;
    std::string body;
};

} // namespace plantaindoor::connection
