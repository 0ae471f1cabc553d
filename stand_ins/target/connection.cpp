#include "connection.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <sys/socket.h>
#include <unistd.h>

namespace plantaindoor::stand_in {

namespace {

constexpr std::size_t receive_bytes = 65536;
constexpr std::string_view header_terminator = "\r\n\r\n";
constexpr std::string_view line_terminator = "\r\n";

std::string to_lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::string_view trim_left(std::string_view text)
{
    const auto first = text.find_first_not_of(' ');
    return first == std::string_view::npos ? std::string_view() : text.substr(first);
}

std::size_t content_length(const http_request& request)
{
    const std::string text = request.header("content-length");
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

} // namespace

std::string http_request::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

connection::~connection()
{
    close(m_descriptor);
}

std::optional<http_request> connection::receive()
{
    std::size_t end = 0;
    while ((end = m_buffer.find(header_terminator)) == std::string::npos) {
        if (!receive_more()) {
            return std::nullopt;
        }
    }
    auto request = parse_head(std::string_view(m_buffer).substr(0, end));
    if (!request) {
        return std::nullopt;
    }
    m_buffer.erase(0, end + header_terminator.size());
    if (!request->header("expect").empty() && !send("HTTP/1.1 100 Continue\r\n\r\n")) {
        return std::nullopt;
    }
    const std::size_t length = content_length(*request);
    while (m_buffer.size() < length) {
        if (!receive_more()) {
            return std::nullopt;
        }
    }
    request->body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return request;
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void connection::reset_on_close()
{
    const linger option{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void connection::shut_down()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

bool connection::receive_more()
{
    std::array<char, receive_bytes> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t received = recv(m_descriptor, chunk.data(), chunk.size(), 0);
    if (received <= 0) {
        return false;
    }
    m_buffer.append(chunk.data(), static_cast<std::size_t>(received));
    return true;
}

std::optional<http_request> connection::parse_head(std::string_view head)
{
    http_request request;
    auto line_end = std::min(head.find(line_terminator), head.size());
    const std::string_view first = head.substr(0, line_end);
    const auto method_end = first.find(' ');
    const auto path_end = first.rfind(' ');
    if (method_end == std::string_view::npos || path_end <= method_end) {
        return std::nullopt;
    }
    request.method = std::string(first.substr(0, method_end));
    request.path = std::string(first.substr(method_end + 1, path_end - method_end - 1));
    while (line_end < head.size()) {
        head.remove_prefix(line_end + line_terminator.size());
        line_end = std::min(head.find(line_terminator), head.size());
        const std::string_view line = head.substr(0, line_end);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) {
            return std::nullopt;
        }
        request.headers.insert_or_assign(to_lower(line.substr(0, colon)),
                                         std::string(trim_left(line.substr(colon + 1))));
    }
    return request;
}

} // namespace plantaindoor::stand_in
