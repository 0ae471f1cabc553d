#include "kept_sockets.hpp"

#include <catch2/catch.hpp>

#include <vector>

#include <sys/socket.h>

using namespace plantaindoor::connection;

namespace {

constexpr int store_port = 8621;

/// Idle connections with open sockets.
class idle_connections {
public:
    idle_connections() = default;
    idle_connections(const idle_connections&) = delete;
    idle_connections& operator=(const idle_connections&) = delete;
    ~idle_connections()
    {
        for (const int each : m_descriptors) {
            sockets.close(each);
        }
    }

    connection_ends open(int remote_port, int local_port)
    {
        connection_ends ends{
            .remote_address = "10.0.0.1", .remote_port = remote_port, .local_port = local_port};
        m_descriptors.push_back(::socket(AF_INET, SOCK_DGRAM, 0));
        sockets.add(m_descriptors.back(), ends);
        return ends;
    }

    kept_sockets sockets;

private:
    std::vector<int> m_descriptors;
};

} // namespace

TEST_CASE("after a timeout, no connection to the same remote end is reused until it answers")
{
    idle_connections idle;
    const connection_ends first = idle.open(store_port, 40001);
    const connection_ends second = idle.open(store_port, 40002);
    const connection_ends elsewhere = idle.open(store_port + 1, 40003);
    REQUIRE(idle.sockets.is_reusable(second));

    idle.sockets.note_timeout(first);
    CHECK_FALSE(idle.sockets.is_reusable(first));
    CHECK_FALSE(idle.sockets.is_reusable(second));
    CHECK(idle.sockets.is_reusable(elsewhere));

    idle.sockets.note_answer(second);
    CHECK(idle.sockets.is_reusable(second));
    CHECK_FALSE(idle.sockets.is_reusable(first));
}

TEST_CASE("a connection opened after a timeout is reused")
{
    idle_connections idle;
    idle.sockets.note_timeout(idle.open(store_port, 40001));
    CHECK(idle.sockets.is_reusable(idle.open(store_port, 40002)));
}
