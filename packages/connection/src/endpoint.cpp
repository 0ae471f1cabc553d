#include "plantaindoor/connection/endpoint.hpp"

#include "plantaindoor/common/error.hpp"

#include <charconv>

#include <arpa/inet.h>

namespace plantaindoor::connection {

bool endpoint::loopback() const
{
    return address.starts_with("127.") || address == "::1";
}

std::string endpoint::str() const
{
    const bool bracketed = address.find(':') != std::string::npos;
    std::string text = bracketed ? "[" : "";
    text += address;
    text += bracketed ? "]:" : ":";
    return text + std::to_string(port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    endpoint value{.address = std::string(host)};
    in6_addr binary{};
    if (value.address.find('\0') != std::string::npos ||
        inet_pton(bracketed ? AF_INET6 : AF_INET, value.address.c_str(), &binary) != 1) {
        return std::nullopt;
    }
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, value.port);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
    return whole ? std::optional(value) : std::nullopt;
}

endpoint require_endpoint(const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
        throw invalid_value_error("endpoint", text, "a numeric address and port");
    }
    return *parsed;
}

} // namespace plantaindoor::connection
