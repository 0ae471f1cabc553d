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
    options.add_options()("port", "port to listen on; 0 chooses a free one",
                          cxxopts::value<std::uint16_t>()->default_value("0"))(
        "list-lag-ms", "age of the instance list and task reports",
        cxxopts::value<int>()->default_value("0"))("reboot-ms", "time that a reboot takes",
                                                   cxxopts::value<int>()->default_value("1000"))(
        "help", "print this help");
    return options;
}

void wait_for_termination_signal()
{
    sigset_t termination_signals;
    sigemptyset(&termination_signals);
    sigaddset(&termination_signals, SIGTERM);
    sigaddset(&termination_signals, SIGINT);
    int received = 0;
    sigwait(&termination_signals, &received);
}

void block_termination_signals()
{
    sigset_t termination_signals;
    sigemptyset(&termination_signals);
    sigaddset(&termination_signals, SIGTERM);
    sigaddset(&termination_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &termination_signals, nullptr);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        auto options = make_options();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        block_termination_signals();
        curl_global_init(CURL_GLOBAL_DEFAULT);
        stand_in::platform platform(
            {.list_lag = milliseconds(arguments["list-lag-ms"].as<int>()),
             .reboot_time = milliseconds(arguments["reboot-ms"].as<int>())});
        const stand_in::http_server server(
            arguments["port"].as<std::uint16_t>(),
            [&platform](const stand_in::http_call& call) { return platform.handle(call); });
        std::cout << "listening 127.0.0.1:" << server.port() << std::endl;
        wait_for_termination_signal();
        return 0;
    }
    catch (const std::exception& failure) {
        std::cerr << "platform_stand_in: " << failure.what() << '\n';
        return 1;
    }
}
