#include "target.hpp"

#include "plantaindoor/common/scope_guard.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>

using namespace plantaindoor;

namespace {

constexpr int listen_backlog = 256;
constexpr int accept_wait_ms = 10;

[[noreturn]] void fail(const char* call)
{
    throw std::system_error(errno, std::generic_category(), call);
}

int open_listener(std::uint16_t port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (listener < 0) {
        fail("socket");
    }
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        fail("bind");
    }
    if (listen(listener, listen_backlog) != 0) {
        fail("listen");
    }
    return listener;
}

std::uint16_t port_of(int listener)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void accept_one(int listener, stand_in::target& target)
{
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0) {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([&target, descriptor] { target.serve(descriptor); }).detach();
    }
}

/// Accepts connections until a reboot is requested; returns its duration.
milliseconds accept_until_reboot(int listener, stand_in::target& target)
{
    while (true) {
        pollfd waiting{.fd = listener, .events = POLLIN, .revents = 0};
        const bool ready = poll(&waiting, 1, accept_wait_ms) > 0;
        const milliseconds down = target.consume_reboot_request();
        if (down > milliseconds(0)) {
            return down;
        }
        if (ready) {
            accept_one(listener, target);
        }
    }
}

[[noreturn]] void serve_forever(std::uint16_t port, stand_in::target& target)
{
    int listener = open_listener(port);
    const std::uint16_t bound = port_of(listener);
    std::cout << "listening 127.0.0.1:" << bound << std::endl;
    while (true) {
        const milliseconds down = accept_until_reboot(listener, target);
        close(listener);
        std::this_thread::sleep_for(down);
        listener = open_listener(bound);
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("target_stand_in", "Stands in for a target in tests.");
        options.add_options()("port", "0: chosen by the system",
                              cxxopts::value<std::uint16_t>()->default_value("0"))(
            "id", "name in answers", cxxopts::value<std::string>()->default_value("target"))(
            "slots", "requests run at once", cxxopts::value<std::size_t>()->default_value("8"))(
            "service-ms", "time that a request takes",
            cxxopts::value<int>()->default_value("5"))("help", "print this help");
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        stand_in::target target({.id = given["id"].as<std::string>(),
                                 .slots = given["slots"].as<std::size_t>(),
                                 .service_time = milliseconds(given["service-ms"].as<int>())});
        serve_forever(given["port"].as<std::uint16_t>(), target);
    }
    catch (const std::exception& failure) {
        std::cerr << "target_stand_in: " << failure.what() << '\n';
        return 1;
    }
}
