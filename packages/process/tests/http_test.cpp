#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace plantaindoor;
using namespace plantaindoor::connection;
using plantaindoor::process::reactor_loop;

namespace {

/// A server and a client on one loop.
struct loopback {
    reactor_loop loop;
    http_handler handler = [](http_request request, const http_responder& respond) {
        respond({.status = 200, .headers = {{"X-Path", request.target}}, .body = request.body});
    };
    http_server server{loop,
                       {.listen = {.address = "127.0.0.1"},
                        .body_limit_bytes = 1000,
                        .on_request =
                            [this](http_request request, http_responder respond) {
                                handler(std::move(request), std::move(respond));
                            },
                        .on_overflow = [] { return http_response{.status = 413}; }}};
    http_client client{loop};

    http_result call(http_request request, milliseconds timeout = milliseconds(5000))
    {
        std::optional<http_result> got;
        client.start({.to = {.address = "127.0.0.1", .port = server.port()},
                      .request = std::move(request),
                      .timeout = timeout},
                     [&](http_result result) {
                         got = std::move(result);
                         loop.stop();
                     });
        loop.run();
        return *got;
    }
};

/// Listens and never accepts: past its short queue, connections to it stay in progress.
class full_listener {
public:
    full_listener()
    {
        CHECK(::bind(m_listener, address(), sizeof m_address) == 0);
        CHECK(::listen(m_listener, 0) == 0);
        socklen_t size = sizeof m_address;
        ::getsockname(m_listener, address(), &size);
        for (int& each : m_waiting) {
            each = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(::connect(each, address(), sizeof m_address));
        }
    }
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;
    ~full_listener()
    {
        for (const int each : m_waiting) {
            ::close(each);
        }
        ::close(m_listener);
    }

    [[nodiscard]] std::uint16_t port() const { return ntohs(m_address.sin_port); }

private:
    sockaddr* address() { return reinterpret_cast<sockaddr*>(&m_address); }

    sockaddr_in m_address{.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    int m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    std::array<int, 8> m_waiting{};
};

/// Answers each request with an empty 200 response, but never again on connections that were open
/// when silence() was called. They stay open, as behind a firewall that has lost their state.
class silenceable_server {
public:
    explicit silenceable_server(reactor_loop& loop) : m_loop(loop)
    {
        CHECK(::bind(m_listener, address(), sizeof m_address) == 0);
        CHECK(::listen(m_listener, SOMAXCONN) == 0);
        socklen_t size = sizeof m_address;
        ::getsockname(m_listener, address(), &size);
        m_loop.watch(m_listener, {.readable = true}, [this](io_interest) { accept(); });
    }
    silenceable_server(const silenceable_server&) = delete;
    silenceable_server& operator=(const silenceable_server&) = delete;
    ~silenceable_server()
    {
        for (const int each : m_open) {
            m_loop.unwatch(each);
            ::close(each);
        }
        m_loop.unwatch(m_listener);
        ::close(m_listener);
    }

    [[nodiscard]] std::uint16_t port() const { return ntohs(m_address.sin_port); }
    [[nodiscard]] std::size_t open_connections() const { return m_open.size(); }
    void silence() { m_silent = m_open; }
    /// Calls `action` after each answer.
    void on_answer(std::function<void()> action) { m_on_answer = std::move(action); }

private:
    sockaddr* address() { return reinterpret_cast<sockaddr*>(&m_address); }

    void accept()
    {
        const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        REQUIRE(accepted >= 0);
        m_open.insert(accepted);
        m_loop.watch(accepted, {.readable = true},
                     [this, accepted](io_interest) { receive(accepted); });
    }

    void receive(int connection)
    {
        std::array<char, 4096> request{};
        if (::recv(connection, request.data(), request.size(), 0) <= 0) {
            m_loop.unwatch(connection);
            m_open.erase(connection);
            m_silent.erase(connection);
            ::close(connection);
        }
        else if (!m_silent.contains(connection)) {
            constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            CHECK(::send(connection, answer.data(), answer.size(), 0) > 0);
            m_on_answer();
        }
    }

    reactor_loop& m_loop;
    sockaddr_in m_address{.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    int m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    std::set<int> m_open;
    std::set<int> m_silent;
    std::function<void()> m_on_answer = [] {};
};

/// A client of a silenceable_server on one loop.
struct silenceable_loopback {
    reactor_loop loop;
    silenceable_server server{loop};
    http_client client{loop};

    /// Starts calls at the same time and returns their faults in the order in which they end.
    std::vector<transport_fault> call(std::size_t count, milliseconds timeout)
    {
        std::vector<transport_fault> faults;
        for (std::size_t number = 0; number < count; ++number) {
            client.start({.to = {.address = "127.0.0.1", .port = server.port()},
                          .request = {.method = "GET", .target = "/"},
                          .timeout = timeout},
                         [&](const http_result& result) {
                             faults.push_back(result.fault);
                             if (faults.size() == count) {
                                 loop.stop();
                             }
                         });
        }
        loop.run();
        return faults;
    }
};

} // namespace

TEST_CASE("calls that never connect leave the loop whole", "[http]")
{
    const full_listener listener;
    loopback both;
    const auto timed_out = [&](milliseconds timeout, milliseconds connect_timeout) {
        std::optional<http_result> got;
        both.client.start({.to = {.address = "127.0.0.1", .port = listener.port()},
                           .request = {.method = "POST", .target = "/"},
                           .timeout = timeout,
                           .connect_timeout = connect_timeout},
                          [&](http_result result) {
                              got = std::move(result);
                              both.loop.stop();
                          });
        both.loop.run();
        return got->fault;
    };
    for (int round = 0; round < 3; ++round) {
        CHECK(timed_out(milliseconds(5000), milliseconds(5)) == transport_fault::connect_failed);
        CHECK(timed_out(milliseconds(5), milliseconds(5000)) == transport_fault::connect_failed);
        CHECK(both.call({.method = "GET", .target = "/"}).response.status == 200);
    }
}

TEST_CASE("a request and its answer pass whole", "[http]")
{
    loopback both;
    const auto result =
        both.call({.method = "POST", .target = "/a/b%20c?d=e", .body = std::string(900, 'x')});
    CHECK(result.fault == transport_fault::none);
    CHECK(result.response.status == 200);
    CHECK(*find_header(result.response.headers, "x-path") == "/a/b%20c?d=e");
    CHECK(result.response.body == std::string(900, 'x'));
}

TEST_CASE("a call carries the headers that it was given and its framing, no others", "[http]")
{
    loopback world;
    world.handler = [](const http_request& request, const http_responder& respond) {
        std::string seen;
        for (const http_header& header : request.headers) {
            seen += header.name + ": " + header.value + "\n";
        }
        respond({.status = 200, .body = std::move(seen)});
    };
    const std::string host = "Host: 127.0.0.1:" + std::to_string(world.server.port()) + "\n";
    const auto seen = [&](http_request request) {
        return world.call(std::move(request)).response.body;
    };
    CHECK(seen({.method = "GET", .target = "/a"}) == host);
    CHECK(seen({.method = "POST", .target = "/a", .body = "four"}) == host + "Content-Length: 4\n");
    CHECK(seen({.method = "POST",
                .target = "/a",
                .headers = {{"Accept", "text/plain"}, {"Content-Type", "a/b"}, {"X-Empty", ""}},
                .body = "four"}) ==
          host + "Accept: text/plain\nContent-Type: a/b\nX-Empty: \nContent-Length: 4\n");
}

TEST_CASE("calls one after another share a handle and nothing else", "[http]")
{
    loopback world;
    world.handler = [](const http_request& request, const http_responder& respond) {
        const std::string* const mark = find_header(request.headers, "X-Mark");
        respond({.status = 200,
                 .headers = {{"X-Seen", request.method + " " + request.target + " " +
                                            (mark == nullptr ? "unmarked" : *mark)}},
                 .body = request.body.empty() ? "nothing" : request.body});
    };
    struct step {
        http_request request;
        std::string seen;
        std::string body;
    };
    const std::vector<step> steps{
        {{.method = "PUT", .target = "/a", .headers = {{"X-Mark", "1"}}, .body = "first"},
         "PUT /a 1",
         "first"},
        {{.method = "HEAD", .target = "/b"}, "HEAD /b unmarked", ""},
        {{.method = "POST", .target = "/c", .body = "second"}, "POST /c unmarked", "second"},
        {{.method = "GET", .target = "/d"}, "GET /d unmarked", "nothing"},
        {{.method = "HEAD", .target = "/e"}, "HEAD /e unmarked", ""},
        {{.method = "GET", .target = "/f", .headers = {{"X-Mark", "2"}}}, "GET /f 2", "nothing"},
        {{.method = "DELETE", .target = "/g"}, "DELETE /g unmarked", "nothing"},
        {{.method = "GET", .target = "/h", .body = "third"}, "GET /h unmarked", "third"},
    };
    for (const step& each : steps) {
        const http_result result = world.call(each.request);
        REQUIRE(result.fault == transport_fault::none);
        REQUIRE(find_header(result.response.headers, "X-Seen") != nullptr);
        CHECK(*find_header(result.response.headers, "X-Seen") == each.seen);
        CHECK(result.response.body == each.body);
    }
}

TEST_CASE("a body over the limit is answered with the overflow answer", "[http]")
{
    loopback both;
    CHECK(both.call({.method = "POST", .target = "/", .body = std::string(1001, 'x')})
              .response.status == 413);
}

TEST_CASE("a refused connection is known not to have been sent", "[http]")
{
    loopback both;
    std::optional<http_result> got;
    const std::uint16_t closed = [] {
        reactor_loop other;
        const http_server gone(other, {.listen = {.address = "127.0.0.1"}});
        return gone.port();
    }();
    both.client.start({.to = {.address = "127.0.0.1", .port = closed},
                       .request = {.method = "POST", .target = "/"}},
                      [&](http_result result) {
                          got = std::move(result);
                          both.loop.stop();
                      });
    both.loop.run();
    CHECK(got->fault == transport_fault::connect_failed);
    CHECK_FALSE(got->sent);
}

TEST_CASE("an answer that doesn't come in time counts as sent", "[http]")
{
    loopback both;
    std::vector<http_responder> held;
    both.handler = [&](const http_request&, http_responder respond) {
        held.push_back(std::move(respond));
    };
    const auto result = both.call({.method = "POST", .target = "/"}, milliseconds(50));
    CHECK(result.fault == transport_fault::timed_out);
    CHECK(result.sent);
}

// Guards against a configuration that takes effect late: when all open connections to the store go
// silent, each retry of a watch call used to take another silent one, and to wait for it.
TEST_CASE("after a call without an answer, other silent connections aren't used", "[http]")
{
    silenceable_loopback both;
    const std::vector<transport_fault> answered(4, transport_fault::none);
    REQUIRE(both.call(answered.size(), milliseconds(5000)) == answered);
    REQUIRE(both.server.open_connections() == answered.size());
    both.server.silence();

    CHECK(both.call(1, milliseconds(20)).front() == transport_fault::timed_out);
    for (int retry = 0; retry < 8; ++retry) {
        CHECK(both.call(1, milliseconds(2000)).front() == transport_fault::none);
    }
    CHECK(both.server.open_connections() <= answered.size());
}

// Guards against answers that are lost because a busy event loop reads them after their timeout.
TEST_CASE("an answer that arrived in time is delivered though the loop was busy", "[http]")
{
    constexpr milliseconds timeout{1000};
    silenceable_loopback both;
    REQUIRE(both.call(1, milliseconds(5000)).front() == transport_fault::none);
    both.server.on_answer([&] {
        const auto until = std::chrono::steady_clock::now() + timeout + timeout / 10;
        while (std::chrono::steady_clock::now() < until) {
        }
    });
    CHECK(both.call(1, timeout).front() == transport_fault::none);
}

TEST_CASE("an answer given later than its request is delivered", "[http]")
{
    loopback both;
    both.handler = [&](const http_request&, const http_responder& respond) {
        both.loop.call_after(milliseconds(5),
                             [respond] { respond({.status = 200, .body = "late"}); });
    };
    CHECK(both.call({.method = "GET", .target = "/"}).response.body == "late");
}

// A server that had stopped listening kept its socket: connections were established until the
// process ended, and their requests were reset without an answer.
TEST_CASE("a server that stops listening answers what is connected and refuses what is not",
          "[http]")
{
    loopback end;
    const std::uint16_t port = end.server.port();
    sockaddr_in address{
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr = {htonl(INADDR_LOOPBACK)}};
    const auto connect_new = [&address] {
        const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto* const to = reinterpret_cast<const sockaddr*>(&address);
        return ::connect(connection, to, sizeof address) == 0 ? connection
                                                              : (::close(connection), -1);
    };
    // The loop hasn't run since, so the server hasn't accepted it.
    const int waiting = connect_new();
    REQUIRE(waiting >= 0);
    end.server.stop_listening();
    CHECK(connect_new() < 0);

    constexpr std::string_view request = "GET /waiting HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::send(waiting, request.data(), request.size(), 0) == ssize_t(request.size()));
    end.loop.call_after(milliseconds(200), [&] { end.loop.stop(); });
    end.loop.run();
    std::array<char, 4096> response{};
    const ssize_t size = ::recv(waiting, response.data(), response.size(), MSG_DONTWAIT);
    ::close(waiting);
    REQUIRE(size > 0);
    CHECK(std::string_view(response.data(), static_cast<std::size_t>(size)).find("200 OK") !=
          std::string_view::npos);
}

TEST_CASE("a signal runs its action on the loop, and the loop ends cleanly", "[reactor_loop]")
{
    bool seen = false;
    {
        reactor_loop loop;
        loop.on_signal(SIGUSR1, [&] {
            seen = true;
            loop.stop();
        });
        loop.call_after(nanoseconds(0), [] { std::raise(SIGUSR1); });
        loop.run();
    }
    CHECK(seen);
}
