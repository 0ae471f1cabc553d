#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <optional>
#include <vector>

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

} // namespace

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

TEST_CASE("an answer given later than its request is delivered", "[http]")
{
    loopback both;
    both.handler = [&](const http_request&, const http_responder& respond) {
        both.loop.call_after(milliseconds(5),
                             [respond] { respond({.status = 200, .body = "late"}); });
    };
    CHECK(both.call({.method = "GET", .target = "/"}).response.body == "late");
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
