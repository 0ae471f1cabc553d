// An HTTP listener on the event loop, by libmicrohttpd without threads of its own.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/connection/endpoint.hpp"
#include "plantaindoor/connection/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace plantaindoor::connection {

/// The listener can't be opened, for example because the port is taken.
class listen_error : public error {
public:
    explicit listen_error(const endpoint& where)
        : error("listen", "cannot listen on " + where.str(), {{"endpoint", where.str()}})
    {
    }
};

/// Answers one request; must be called exactly once, now or later, on the loop's thread. Does
/// nothing once the caller has gone.
using http_responder = std::function<void(http_response)>;

/// Handles one whole request.
using http_handler = std::function<void(http_request, http_responder)>;

/// Makes the answer to a request whose body is over the limit.
using http_overflow = std::function<http_response()>;

struct http_server_options {
    endpoint listen;
    std::size_t body_limit_bytes = 1U << 20U;
    unsigned connection_limit = 4096;
    seconds idle_timeout{75};
    http_handler on_request;
    http_overflow on_overflow;
};

/// One listener. Loop thread only.
class http_server {
public:
    /// Listens at once. The loop must outlive the server. Throws listen_error.
    http_server(event_loop& loop, http_server_options options);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    /// Closes every connection, also those whose request is in progress.
    ~http_server();

    /// The port that is listened on, also when the system chose it.
    [[nodiscard]] std::uint16_t port() const;
    /// Requests received and not yet answered.
    [[nodiscard]] std::size_t in_progress() const;
    /// Refuses new connections. Those that are established stay, also if they haven't been accepted
    /// yet.
    void stop_listening();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace plantaindoor::connection
