// Command line parsing for the benchmarks.
#pragma once

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace plantaindoor::bench {

/// Adds --help to the options and parses the arguments. Exits with status 0 after printing the
/// help, and with status 2 if the arguments are invalid.
inline cxxopts::ParseResult parse_or_exit(cxxopts::Options& options, int argc, char** argv)
{
    options.add_options()("help", "show this help");
    try {
        cxxopts::ParseResult result = options.parse(argc, argv);
        if (result.count("help") != 0) {
            std::cout << options.help();
            std::exit(EXIT_SUCCESS);
        }
        return result;
    }
    catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n';
        std::exit(2);
    }
}

} // namespace plantaindoor::bench
