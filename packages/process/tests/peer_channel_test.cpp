#include "plantaindoor/connection/peer_channel.hpp"

#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
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
