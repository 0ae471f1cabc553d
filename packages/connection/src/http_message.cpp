#include "plantaindoor/connection/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace plantaindoor::connection {

namespace {

// RFC 9110 section 7.6.1, with the framing headers that each hop makes anew.
constexpr std::array<std::string_view, 9> hop_headers{
    "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
    "transfer-encoding", "upgrade",    "content-length",   "expect"};

char lower(char c) noexcept
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

} // namespace

bool same_header(std::string_view left, std::string_view right) noexcept
{
    return std::ranges::equal(left, right, {}, lower, lower);
}

const std::string* find_header(const http_headers& headers, std::string_view name)
{
    const auto found = std::ranges::find_if(
        headers, [name](const http_header& each) { return same_header(each.name, name); });
    return found == headers.end() ? nullptr : &found->value;
}

bool is_hop_header(std::string_view name) noexcept
{
    return std::ranges::any_of(hop_headers,
                               [name](std::string_view hop) { return same_header(name, hop); });
}

} // namespace plantaindoor::connection
