// A small HTTP server for the platform stand-in: one thread for each connection.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct MHD_Daemon;

namespace plantaindoor::stand_in {

struct http_call {
    std::string method;
    std::string path;
    std::string body;
    std::string if_none_match;
};

struct http_reply {
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::string entity_tag;
};

/// Called from many threads at once. No value: the connection is closed without a reply.
using http_handler = std::function<std::optional<http_reply>(const http_call&)>;

/// Listens on 127.0.0.1 until destroyed. Throws std::system_error when the port can't be bound.
class http_server {
public:
    /// With port 0 the system chooses a free port.
    http_server(std::uint16_t port, http_handler handler);

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const http_handler& handler() const { return m_handler; }

private:
    http_handler m_handler;
    std::unique_ptr<MHD_Daemon, void (*)(MHD_Daemon*)> m_daemon;
};

} // namespace plantaindoor::stand_in
