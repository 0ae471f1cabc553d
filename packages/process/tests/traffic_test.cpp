#include "plantaindoor/connection/http_platform.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace plantaindoor;
using namespace plantaindoor::connection;
using plantaindoor::process::reactor_loop;

namespace {

const std::string rows = R"({"rows":[{"key":"lease/duty/p1","value":"1 e1","version":3}]})";
const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(rows.size()) + "\r\n\r\n" + rows;

/// Answers one request on a plain socket, and counts its bytes itself.
class counting_server {
public:
    counting_server() : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const plain = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(m_listener, plain, size) == 0);
        REQUIRE(::listen(m_listener, 1) == 0);
        REQUIRE(::getsockname(m_listener, plain, &size) == 0);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    counting_server(const counting_server&) = delete;
    counting_server& operator=(const counting_server&) = delete;
    ~counting_server()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
        ::close(m_listener);
    }

    /// Bytes of the request, once it was answered.
    std::size_t received()
    {
        m_thread.join();
        return m_received;
    }

    std::uint16_t port = 0;

private:
    void serve()
    {
        const int peer = ::accept(m_listener, nullptr, nullptr);
        std::string read;
        char buffer[4096];
        while (read.find('}') == std::string::npos) {
            const auto count = ::recv(peer, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            read.append(buffer, static_cast<std::size_t>(count));
        }
        m_received = read.size();
        ::send(peer, answer.data(), answer.size(), MSG_NOSIGNAL);
        ::close(peer);
    }

    int m_listener;
    std::size_t m_received = 0;
    std::thread m_thread;
};

std::uint64_t shown(metrics_registry& metrics, const char* name, const char* direction)
{
    return metrics.counter({.name = name, .labels = {{"part", "lease"}, {"direction", direction}}})
        .value();
}

} // namespace

TEST_CASE("a part's bytes are those that were on the wire", "[traffic]")
{
    counting_server server;
    reactor_loop loop;
    metrics_registry metrics;
    traffic_meter meter(metrics);
    http_client client(loop);
    http_table table(client,
                     {.at = {.address = "127.0.0.1", .port = server.port}, .traffic = &meter});
    std::size_t read = 0;
    table.scan({.prefix = "lease/"}, [&](const read_result& got) {
        read = got ? got->size() : 0;
        loop.stop();
    });
    loop.run();
    CHECK(read == 1);
    CHECK(shown(metrics, "control_bytes_total", "sent") == server.received());
    CHECK(shown(metrics, "control_bytes_total", "received") == answer.size());
}
