// Blocking HTTP/1.1 over one accepted socket. Written on plain sockets, because the target stand-in
// must be able to send answers that no HTTP library would send.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::stand_in {

/// A received request; header names are in lower case.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;

    /// The header's value, or empty.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Owns an accepted socket. One thread uses it; shut_down() may be called from another.
class connection {
public:
    explicit connection(int descriptor) noexcept : m_descriptor(descriptor) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// The next request; no value if the peer has closed the connection or sent malformed HTTP.
    [[nodiscard]] std::optional<http_request> receive();
    /// Returns false if sending fails.
    bool send(std::string_view bytes);
    /// Makes the destructor reset the connection instead of closing it gracefully.
    void reset_on_close();
    /// Unblocks a thread that is using this connection; its call fails as if the peer had closed.
    void shut_down();

private:
    bool receive_more();
    std::optional<http_request> parse_head(std::string_view head);

    int m_descriptor;
    std::string m_buffer;
};

} // namespace plantaindoor::stand_in
