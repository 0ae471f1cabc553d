// The entry's program: reads settings, runs one entry until it is told to end.
#include "plantaindoor/process/entry.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <utility>

namespace {

using namespace plantaindoor;

std::uint64_t random_incarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

int run(process::entry_options options)
{
    process::reactor_loop loop;
    process::entry entry(loop, std::move(options));
    for (const int signal : {SIGTERM, SIGINT}) {
        loop.on_signal(signal, [&] { entry.end([&] { loop.stop(); }); });
    }
    entry.start();
    std::cout << "callers " << to_string(entry.callers_endpoint()) << "\noperators "
              << to_string(entry.operators_endpoint()) << std::endl;
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options arguments("plantaindoord", "Runs one entry of plantaindoor.");
        arguments.add_options()("callers", "listen for callers", cxxopts::value<std::string>())(
            "operators", "listen for operators", cxxopts::value<std::string>())(
            "platform", "the platform's address", cxxopts::value<std::string>())(
            "entry", "this entry's id", cxxopts::value<std::string>())(
            "zone", "this entry's zone", cxxopts::value<std::string>())("help", "show this help");
        const auto given = arguments.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << arguments.help();
            return 0;
        }
        process::entry_options options;
        options.id = entry_id(given["entry"].as<std::string>());
        options.zone = availability_zone_id(given["zone"].as<std::string>());
        options.incarnation = random_incarnation();
        options.callers = connection::parse_endpoint(given["callers"].as<std::string>());
        options.operators = connection::parse_endpoint(given["operators"].as<std::string>());
        options.platform = connection::parse_endpoint(given["platform"].as<std::string>());
        return run(std::move(options));
    }
    catch (const std::exception& failure) {
        std::cerr << "plantaindoord: " << failure.what() << '\n';
        return 1;
    }
}
