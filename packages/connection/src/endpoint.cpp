#include "plantaindoor/connection/endpoint.hpp"

#include <charconv>

#include <arpa/inet.h>

namespace plantaindoor::connection {

std::string to_string(const endpoint& where)
{
    return where.address + ":" + std::to_string(where.port);
}

endpoint parse_endpoint(const std::string& text)
{
    const auto fail = [&] {
        return invalid_value_error("endpoint", text, "a numeric IPv4 address and port");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw fail();
    }
    endpoint where{.address = text.substr(0, colon)};
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const auto [end, code] = std::from_chars(first, last, where.port);
    in_addr parsed{};
    if (code != std::errc{} || end != last ||
        inet_pton(AF_INET, where.address.c_str(), &parsed) != 1) {
        throw fail();
    }
    return where;
}

} // namespace plantaindoor::connection
