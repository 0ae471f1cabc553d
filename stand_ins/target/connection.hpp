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

    /// The next request; nothing once the peer has closed or sent what is not HTTP.
    [[nodiscard]] std::optional<http_request> receive();
    /// False when the peer is gone.
    bool send(std::string_view bytes);
    /// The destructor will reset the connection rather than close it.
    void reset_on_close();
    /// Wakes a thread that is blocked on this connection; it then finds the peer gone.
    void shut_down();

private:
    bool fill();
    std::optional<http_request> parse_head(std::string_view head);

    int m_descriptor;
    std::string m_buffer;
};

} // namespace plantaindoor::stand_in
