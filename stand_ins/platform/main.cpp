#include "http_server.hpp"
#include "platform.hpp"

#include <csignal>
#include <curl/curl.h>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>

using namespace plantaindoor;

namespace {

cxxopts::Options make_options()
{
    cxxopts::Options options("platform_stand_in", "Stands in for the platform in tests.");
    options.add_options()("port", "0: chosen by the system",
                          cxxopts::value<std::uint16_t>()->default_value("0"))(
        "list-lag-ms", "age of the instance list and task reports",
        cxxopts::value<int>()->default_value("0"))("reboot-ms", "time that a reboot takes",
                                                   cxxopts::value<int>()->default_value("1000"))(
        "help", "print this help");
    return options;
}

void wait_for_end_signal()
{
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    int received = 0;
    sigwait(&ends, &received);
}

void block_end_signals()
{
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        auto options = make_options();
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        block_end_signals();
        curl_global_init(CURL_GLOBAL_DEFAULT);
        stand_in::platform platform({.list_lag = milliseconds(given["list-lag-ms"].as<int>()),
                                     .reboot_time = milliseconds(given["reboot-ms"].as<int>())});
        const stand_in::http_server server(
            given["port"].as<std::uint16_t>(),
            [&platform](const stand_in::http_call& call) { return platform.handle(call); });
        std::cout << "listening 127.0.0.1:" << server.port() << std::endl;
        wait_for_end_signal();
        return 0;
    }
    catch (const std::exception& failure) {
        std::cerr << "platform_stand_in: " << failure.what() << '\n';
        return 1;
    }
}
