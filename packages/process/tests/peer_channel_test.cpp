#include "plantaindoor/connection/peer_channel.hpp"

#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

using namespace plantaindoor;
using namespace plantaindoor::connection;

namespace {

constexpr milliseconds short_timeout{200};

peer_channel_options named(const char* name, const char* cluster = "test")
{
    return {.cluster = cluster,
            .self = entry_id(name),
            .incarnation = 7,
            .listen = {"127.0.0.1", 0},
            .timeout = seconds(10),
            .on_exchange = [name](const peer_message& request) {
                return peer_message{.entry = entry_id(name), .version = request.version + 1};
            }};
}

/// Makes one exchange and runs the loop until it has ended.
std::pair<exchange_outcome, peer_message> exchange(process::reactor_loop& loop, peer_channel& from,
                                                   const endpoint& to, const peer_message& message)
{
    std::optional<std::pair<exchange_outcome, peer_message>> result;
    from.exchange(to, message, [&](exchange_outcome outcome, const peer_message& answer) {
        result.emplace(outcome, answer);
        loop.stop();
    });
    loop.run();
    return result.value();
}

/// A peer that accepts connections and never says anything, like a frozen process.
class silent_listener {
public:
    silent_listener() : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at{.sin_family = AF_INET, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
        socklen_t size = sizeof at;
        REQUIRE(::bind(m_socket, reinterpret_cast<const sockaddr*>(&at), size) == 0);
        REQUIRE(::listen(m_socket, 4) == 0);
        REQUIRE(::getsockname(m_socket, reinterpret_cast<sockaddr*>(&at), &size) == 0);
        m_port = ntohs(at.sin_port);
    }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;
    ~silent_listener() { ::close(m_socket); }

    [[nodiscard]] endpoint at() const { return {"127.0.0.1", m_port}; }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

} // namespace

TEST_CASE("an exchange carries a message there and an answer back", "[peers]")
{
    process::reactor_loop loop;
    peer_channel a(loop, named("a"));
    peer_channel b(loop, named("b"));
    const auto [outcome, answer] =
        exchange(loop, a, {"127.0.0.1", b.port()}, {.entry = entry_id("a"), .version = 41});
    CHECK(outcome == exchange_outcome::answered);
    CHECK(answer.entry == entry_id("b"));
    CHECK(answer.version == 42);
    CHECK(a.bytes_sent() == b.bytes_received());
}

TEST_CASE("a peer of another deployment and one's own echo are refused by type", "[peers]")
{
    process::reactor_loop loop;
    peer_channel a(loop, named("a"));
    peer_channel other(loop, named("b", "another"));
    const peer_message message{.entry = entry_id("a"), .incarnation = 7};
    CHECK(exchange(loop, a, {"127.0.0.1", other.port()}, message).first ==
          exchange_outcome::wrong_cluster);
    CHECK(exchange(loop, a, {"127.0.0.1", a.port()}, message).first == exchange_outcome::self);
    peer_message doubled = message;
    doubled.incarnation = 8;
    CHECK(exchange(loop, a, {"127.0.0.1", a.port()}, doubled).first == exchange_outcome::answered);
}

TEST_CASE("an exchange with a frozen or absent peer ends within its timeout", "[peers]")
{
    process::reactor_loop loop;
    peer_channel_options options = named("a");
    options.timeout = short_timeout;
    peer_channel a(loop, std::move(options));
    const silent_listener frozen;
    CHECK(exchange(loop, a, frozen.at(), {}).first == exchange_outcome::unreachable);
    CHECK(exchange(loop, a, {"127.0.0.1", 1}, {}).first == exchange_outcome::unreachable);
}

TEST_CASE("a channel can end while exchanges are under way in both directions", "[peers]")
{
    process::reactor_loop loop;
    const silent_listener frozen;
    auto a = std::make_unique<peer_channel>(loop, named("a"));
    peer_channel b(loop, named("b"));
    a->exchange(frozen.at(), {}, [](auto, const auto&) { FAIL("called back after the end"); });
    b.exchange({"127.0.0.1", a->port()}, {}, [&](exchange_outcome outcome, const auto&) {
        CHECK(outcome == exchange_outcome::unreachable);
        loop.stop();
    });
    a.reset();
    loop.run();
}
