#include "plantaindoor/connection/peer_channel.hpp"

#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <array>
#include <map>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

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

struct exchange_result {
    exchange_outcome outcome = exchange_outcome::unreachable;
    peer_message answer;
};

/// Makes the exchanges and runs the loop until all have ended.
std::vector<exchange_result> exchanges(process::reactor_loop& loop, peer_channel& from,
                                       const std::vector<std::pair<endpoint, peer_message>>& wanted)
{
    std::vector<exchange_result> results(wanted.size());
    std::size_t left = wanted.size();
    for (std::size_t each = 0; each < wanted.size(); ++each) {
        from.exchange(wanted[each].first, wanted[each].second,
                      [&, each](exchange_outcome outcome, const peer_message& answer) {
                          results[each] = {outcome, answer};
                          if (--left == 0) {
                              loop.stop();
                          }
                      });
    }
    loop.run();
    return results;
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
    [[nodiscard]] int descriptor() const { return m_socket; }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

/// Forwards connections to a port of this host. Connections that are open when silence() is called
/// stay open, but nothing passes on them any more.
class silenceable_relay {
public:
    silenceable_relay(process::reactor_loop& loop, std::uint16_t to) : m_loop(loop), m_to(to)
    {
        m_loop.watch(m_listener.descriptor(), {.readable = true},
                     [this](io_interest) { accept(); });
    }
    silenceable_relay(const silenceable_relay&) = delete;
    silenceable_relay& operator=(const silenceable_relay&) = delete;
    ~silenceable_relay()
    {
        for (const auto& [from, to] : m_other_ends) {
            m_loop.unwatch(from);
            ::close(from);
        }
        m_loop.unwatch(m_listener.descriptor());
    }

    [[nodiscard]] endpoint at() const { return m_listener.at(); }
    void silence()
    {
        for (const auto& [from, to] : m_other_ends) {
            m_loop.unwatch(from);
        }
    }

private:
    void accept()
    {
        const int from = ::accept(m_listener.descriptor(), nullptr, nullptr);
        const int to = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address{.sin_family = AF_INET,
                                  .sin_port = htons(m_to),
                                  .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
        REQUIRE(::connect(to, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        forward(from, to);
        forward(to, from);
    }

    void forward(int from, int to)
    {
        m_other_ends[from] = to;
        m_loop.watch(from, {.readable = true}, [this, from](io_interest) { pass_on(from); });
    }

    void pass_on(int from)
    {
        std::array<char, 4096> data{};
        const auto size = ::recv(from, data.data(), data.size(), 0);
        if (size > 0) {
            ::send(m_other_ends.at(from), data.data(), static_cast<std::size_t>(size),
                   MSG_NOSIGNAL);
        }
        else {
            m_loop.unwatch(from);
            ::shutdown(m_other_ends.at(from), SHUT_WR);
        }
    }

    process::reactor_loop& m_loop;
    silent_listener m_listener;
    std::uint16_t m_to;
    std::map<int, int> m_other_ends;
};

} // namespace

TEST_CASE("an exchange carries a message there and an answer back", "[peers]")
{
    process::reactor_loop loop;
    peer_channel a(loop, named("a"));
    peer_channel b(loop, named("b"));
    const auto results =
        exchanges(loop, a, {{{"127.0.0.1", b.port()}, {.entry = entry_id("a"), .version = 41}}});
    CHECK(results[0].outcome == exchange_outcome::answered);
    CHECK(results[0].answer.entry == entry_id("b"));
    CHECK(results[0].answer.version == 42);
    CHECK(a.bytes_sent() == b.bytes_received());
}

TEST_CASE("a peer of another deployment and one's own echo are refused by type", "[peers]")
{
    process::reactor_loop loop;
    peer_channel a(loop, named("a"));
    peer_channel other(loop, named("b", "another"));
    const peer_message message{.entry = entry_id("a"), .incarnation = 7};
    peer_message doubled = message;
    doubled.incarnation = 8;
    const auto results = exchanges(loop, a,
                                   {{{"127.0.0.1", other.port()}, message},
                                    {{"127.0.0.1", a.port()}, message},
                                    {{"127.0.0.1", a.port()}, doubled}});
    CHECK(results[0].outcome == exchange_outcome::wrong_cluster);
    CHECK(results[1].outcome == exchange_outcome::self);
    CHECK(results[2].outcome == exchange_outcome::answered);
}

TEST_CASE("an exchange with a frozen or absent peer ends within its timeout", "[peers]")
{
    process::reactor_loop loop;
    peer_channel_options options = named("a");
    options.timeout = short_timeout;
    peer_channel a(loop, std::move(options));
    const silent_listener frozen;
    for (const auto& each : exchanges(loop, a, {{frozen.at(), {}}, {{"127.0.0.1", 1}, {}}})) {
        CHECK(each.outcome == exchange_outcome::unreachable);
    }
}

// Guards against a peer that stays unreachable as long as its silent connection stays open.
TEST_CASE("after an exchange without an answer, the next one opens a new connection", "[peers]")
{
    process::reactor_loop loop;
    peer_channel_options options = named("a");
    options.timeout = seconds(2);
    peer_channel a(loop, std::move(options));
    peer_channel b(loop, named("b"));
    silenceable_relay relay(loop, b.port());
    const auto exchange = [&] { return exchanges(loop, a, {{relay.at(), {}}})[0].outcome; };
    REQUIRE(exchange() == exchange_outcome::answered);
    relay.silence();
    CHECK(exchange() == exchange_outcome::unreachable);
    CHECK(exchange() == exchange_outcome::answered);
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
