#include "plantaindoor/connection/http_server.hpp"

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantaindoor::connection {

namespace {

/// Holds a request's head and one piece of its body. libmicrohttpd clears all of it after each
/// request, so its default of 32 KiB costs twice the time.
constexpr std::size_t connection_memory_bytes = 16U << 10U;
/// Past this multiple of the limit a body is no longer read to its end.
constexpr std::size_t discard_factor = 4;

/// One request, from its request line to the end of its answer.
struct exchange {
    std::string target;
    MHD_Connection* connection = nullptr;
    http_request request;
    std::size_t received_bytes = 0;
    bool started = false;
    bool overflow = false;
    bool handled = false;
    bool suspended = false;
    std::optional<http_response> response;
};

using exchange_ptr = std::shared_ptr<exchange>;

MHD_Result add_header(void* to, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    static_cast<http_headers*>(to)->push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

sockaddr_storage socket_address(const endpoint& where)
{
    sockaddr_storage address{};
    auto& v4 = reinterpret_cast<sockaddr_in&>(address);
    auto& v6 = reinterpret_cast<sockaddr_in6&>(address);
    if (inet_pton(AF_INET, where.address.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(where.port);
    }
    else {
        inet_pton(AF_INET6, where.address.c_str(), &v6.sin6_addr);
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(where.port);
    }
    return address;
}

struct response_deleter {
    void operator()(MHD_Response* response) const { MHD_destroy_response(response); }
};

struct daemon_deleter {
    void operator()(MHD_Daemon* daemon) const { MHD_stop_daemon(daemon); }
};

MHD_Result queue(MHD_Connection* connection, const http_response& answer)
{
    const std::unique_ptr<MHD_Response, response_deleter> response(MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY));
    for (const http_header& header : answer.headers) {
        MHD_add_response_header(response.get(), header.name.c_str(), header.value.c_str());
    }
    return MHD_queue_response(connection, answer.status, response.get());
}

/// libmicrohttpd doesn't watch a suspended connection, so its socket is looked at.
bool is_closed_by_peer(MHD_Connection* connection)
{
    const auto* const info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr) {
        return true;
    }
    char next = 0;
    const auto read = ::recv(info->connect_fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace

class http_server::implementation {
public:
    implementation(event_loop& loop, http_server_options options)
        : m_loop(loop), m_options(std::move(options)), m_alive(std::make_shared<bool>(true))
    {
        const sockaddr_storage address = socket_address(m_options.listen);
        const unsigned family = address.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0;
        m_daemon.reset(MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | family, 0, nullptr, nullptr, &on_access,
            this, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED, &on_completed, this,
            MHD_OPTION_URI_LOG_CALLBACK, &on_uri, this, MHD_OPTION_CONNECTION_LIMIT,
            m_options.connection_limit, MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_memory_bytes,
            MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(m_options.idle_timeout.count()),
            MHD_OPTION_END));
        if (m_daemon == nullptr) {
            throw listen_error(m_options.listen);
        }
        const auto* const info = MHD_get_daemon_info(m_daemon.get(), MHD_DAEMON_INFO_EPOLL_FD);
        m_descriptor = info->epoll_fd;
        m_loop.watch(m_descriptor, {.readable = true}, [this](io_interest) { turn(); });
        schedule();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation()
    {
        *m_alive = false;
        m_loop.cancel(m_timer);
        m_loop.unwatch(m_descriptor);
        // libmicrohttpd may not be stopped while a connection is suspended.
        for (exchange* each : m_open) {
            if (each->suspended) {
                MHD_resume_connection(each->connection);
            }
        }
        m_daemon.reset();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return MHD_get_daemon_info(m_daemon.get(), MHD_DAEMON_INFO_BIND_PORT)->port;
    }

    [[nodiscard]] std::size_t in_progress() const { return m_in_progress; }

    void stop_listening()
    {
        const int listener = MHD_quiesce_daemon(m_daemon.get());
        if (listener == MHD_INVALID_SOCKET) {
            return;
        }
        accept_backlog(listener);
        // While the socket is open, the system establishes connections that nobody would serve.
        ::close(listener);
        turn_soon();
    }

private:
    static void* on_uri(void* /*self*/, const char* uri, MHD_Connection* connection)
    {
        auto begun = std::make_shared<exchange>();
        begun->target = uri;
        begun->connection = connection;
        return new exchange_ptr(std::move(begun));
    }

    static MHD_Result on_access(void* self, MHD_Connection* /*connection*/, const char* /*url*/,
                                const char* method, const char* /*version*/, const char* data,
                                std::size_t* size, void** state)
    {
        return static_cast<implementation*>(self)->advance(*static_cast<exchange_ptr*>(*state),
                                                           method, {data, *size}, *size);
    }

    static void on_completed(void* self, MHD_Connection* /*connection*/, void** state,
                             MHD_RequestTerminationCode /*code*/)
    {
        auto* const held = static_cast<exchange_ptr*>(*state);
        if (held != nullptr) {
            static_cast<implementation*>(self)->end(**held);
            delete held;
            *state = nullptr;
        }
    }

    MHD_Result advance(const exchange_ptr& current, const char* method, std::string_view data,
                       std::size_t& unread)
    {
        if (!current->started) {
            return start(*current, method);
        }
        if (!data.empty()) {
            unread = 0;
            return receive(*current, data);
        }
        if (!current->handled) {
            handle(current);
        }
        return answer(*current);
    }

    MHD_Result start(exchange& current, const char* method)
    {
        current.started = true;
        current.request.method = method;
        current.request.target = std::move(current.target);
        MHD_get_connection_values(current.connection, MHD_HEADER_KIND, &add_header,
                                  &current.request.headers);
        m_open.insert(&current);
        ++m_in_progress;
        const std::string* const length = find_header(current.request.headers, "Content-Length");
        // A moderate excess is read to its end, since a caller that is still sending when the
        // connection closes may never see the answer.
        if (length != nullptr && std::strtoull(length->c_str(), nullptr, 10) >
                                     m_options.body_limit_bytes * discard_factor) {
            current.handled = true;
            current.response = m_options.on_overflow();
            return answer(current);
        }
        return MHD_YES;
    }

    MHD_Result receive(exchange& current, std::string_view data) const
    {
        current.received_bytes += data.size();
        if (current.received_bytes > m_options.body_limit_bytes * discard_factor) {
            return MHD_NO;
        }
        current.overflow = current.received_bytes > m_options.body_limit_bytes;
        if (current.overflow) {
            current.request.body.clear();
        }
        else {
            current.request.body.append(data);
        }
        return MHD_YES;
    }

    void handle(const exchange_ptr& current)
    {
        current->handled = true;
        if (current->overflow) {
            current->response = m_options.on_overflow();
            return;
        }
        std::weak_ptr<exchange> held = current;
        std::weak_ptr<bool> alive = m_alive;
        current->request.sender_gone = [held] {
            const auto waiting = held.lock();
            return !waiting || is_closed_by_peer(waiting->connection);
        };
        m_options.on_request(std::move(current->request),
                             [this, held, alive](http_response response) {
                                 const auto running = alive.lock();
                                 const auto waiting = held.lock();
                                 if (running && *running && waiting && !waiting->response) {
                                     resume(*waiting, std::move(response));
                                 }
                             });
    }

    void resume(exchange& waiting, http_response response)
    {
        waiting.response = std::move(response);
        if (waiting.suspended) {
            waiting.suspended = false;
            MHD_resume_connection(waiting.connection);
            turn_soon();
        }
    }

    MHD_Result answer(exchange& current)
    {
        if (!current.response) {
            current.suspended = true;
            MHD_suspend_connection(current.connection);
            return MHD_YES;
        }
        return queue(current.connection, *current.response);
    }

    void end(exchange& current)
    {
        if (current.started && m_open.erase(&current) != 0) {
            --m_in_progress;
        }
    }

    /// Takes the connections that were established before the daemon stopped accepting.
    void accept_backlog(int listener)
    {
        sockaddr_storage peer{};
        auto* const address = reinterpret_cast<sockaddr*>(&peer);
        for (;;) {
            socklen_t size = sizeof peer;
            const int accepted = ::accept4(listener, address, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted >= 0) {
                // The daemon closes a socket that it doesn't take.
                MHD_add_connection(m_daemon.get(), accepted, address, size);
            }
            else if (errno != EINTR && errno != ECONNABORTED) {
                return;
            }
        }
    }

    /// Several answers of one turn of the loop share one run of the daemon.
    void turn_soon()
    {
        if (!m_turn_pending) {
            m_turn_pending = true;
            m_loop.cancel(m_timer);
            m_timer = m_loop.call_after(nanoseconds(0), [this] { turn(); });
        }
    }

    void turn()
    {
        m_turn_pending = false;
        MHD_run(m_daemon.get());
        schedule();
    }

    void schedule()
    {
        if (m_turn_pending) {
            return;
        }
        m_loop.cancel(m_timer);
        m_timer = timer_id::none;
        MHD_UNSIGNED_LONG_LONG wait_ms = 0;
        if (MHD_get_timeout(m_daemon.get(), &wait_ms) == MHD_YES) {
            m_timer = m_loop.call_after(milliseconds(wait_ms), [this] { turn(); });
        }
    }

    event_loop& m_loop;
    http_server_options m_options;
    std::shared_ptr<bool> m_alive;
    std::unique_ptr<MHD_Daemon, daemon_deleter> m_daemon;
    int m_descriptor = -1;
    timer_id m_timer = timer_id::none;
    bool m_turn_pending = false;
    std::size_t m_in_progress = 0;
    std::set<exchange*> m_open;
};

http_server::http_server(event_loop& loop, http_server_options options)
    : m_implementation(std::make_unique<implementation>(loop, std::move(options)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return m_implementation->port();
}

std::size_t http_server::in_progress() const
{
    return m_implementation->in_progress();
}

void http_server::stop_listening()
{
    m_implementation->stop_listening();
}

} // namespace plantaindoor::connection
