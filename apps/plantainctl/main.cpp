// The operators' command-line tool: each run sends one command to an entry's operator interface.
#include "commands.hpp"

#include "plantaindoor/connection/endpoint.hpp"

#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <utility>

namespace {

using namespace plantaindoor;
using namespace plantaindoor::ctl;

constexpr const char* default_entry = "127.0.0.1:8081";

cxxopts::Options command_line()
{
    cxxopts::Options options("plantainctl",
                             "Operates a fleet through any entry of plantaindoor.\n");
    options.positional_help("COMMAND ...");
    auto add = options.add_options();
    add("entry", "operator address of an entry; may be repeated (PLANTAINDOOR_ENTRY)",
        cxxopts::value<std::vector<std::string>>(), "IP:PORT");
    add("token-file", "file with the operators' token (PLANTAINDOOR_TOKEN_FILE)",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("as", "operator's name, recorded in the log of changes",
        cxxopts::value<std::string>()->default_value(""), "NAME");
    add("o,output", "output format: table or json",
        cxxopts::value<std::string>()->default_value("table"));
    add("timeout-ms", "timeout for each answer, in milliseconds",
        cxxopts::value<std::int64_t>()->default_value("10000"));
    add("f,file", "file to send", cxxopts::value<std::string>()->default_value(""));
    add("dry-run", "show the changes without applying them");
    add("reason", "reason, recorded in the log of changes",
        cxxopts::value<std::string>()->default_value(""));
    add("to", "the pool to move or lend to", cxxopts::value<std::string>()->default_value(""));
    add("pools", "the wave's pools, separated by commas",
        cxxopts::value<std::string>()->default_value(""));
    add("max-parallel", "maximum number of instances out at once; 0: as many as budgets allow",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("minutes", "duration of a loan in minutes",
        cxxopts::value<std::uint32_t>()->default_value("60"));
    add("pool", "select jobs of this pool", cxxopts::value<std::string>()->default_value(""));
    add("team", "select jobs of this team", cxxopts::value<std::string>()->default_value(""));
    add("class", "select jobs of this class: urgent, interactive or background",
        cxxopts::value<std::string>()->default_value(""));
    add("kind", "select jobs of this kind", cxxopts::value<std::string>()->default_value(""));
    add("limit", "maximum number of journal lines",
        cxxopts::value<std::size_t>()->default_value("100"));
    add("h,help", "show this help");
    add("command", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command"});
    return options;
}

std::string environment_or(const char* name, const std::string& fallback)
{
    const char* const value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

std::string read_token(const std::string& file)
{
    if (file.empty()) {
        return {};
    }
    std::ifstream in(file);
    std::string token;
    if (!std::getline(in, token)) {
        throw usage_error("cannot read the token from " + file);
    }
    return token;
}

api_options parse_api_options(const cxxopts::ParseResult& arguments)
{
    api_options options;
    std::vector<std::string> entries{environment_or("PLANTAINDOOR_ENTRY", default_entry)};
    if (arguments.count("entry") != 0) {
        entries = arguments["entry"].as<std::vector<std::string>>();
    }
    for (const std::string& entry : entries) {
        options.entries.push_back(connection::require_endpoint(entry));
    }
    const auto token_file = arguments["token-file"].as<std::string>();
    options.token =
        read_token(token_file.empty() ? environment_or("PLANTAINDOOR_TOKEN_FILE", "") : token_file);
    const auto operator_name = arguments["as"].as<std::string>();
    options.author = operator_name.empty() ? environment_or("USER", "unnamed") : operator_name;
    options.timeout = milliseconds(arguments["timeout-ms"].as<std::int64_t>());
    return options;
}

command_flags parse_flags(const cxxopts::ParseResult& arguments)
{
    command_flags flags;
    flags.file = arguments["file"].as<std::string>();
    flags.reason = arguments["reason"].as<std::string>();
    flags.to = arguments["to"].as<std::string>();
    flags.pools = arguments["pools"].as<std::string>();
    flags.max_parallel = arguments["max-parallel"].as<std::uint32_t>();
    flags.minutes = arguments["minutes"].as<std::uint32_t>();
    flags.limit = arguments["limit"].as<std::size_t>();
    flags.jobs = {.pool = arguments["pool"].as<std::string>(),
                  .team = arguments["team"].as<std::string>(),
                  .work_class = arguments["class"].as<std::string>(),
                  .kind = arguments["kind"].as<std::string>()};
    flags.dry_run = arguments.count("dry-run") != 0;
    const auto format = arguments["output"].as<std::string>();
    if (format != "table" && format != "json") {
        throw usage_error("invalid output format; -o must be table or json");
    }
    flags.format = format == "json" ? output_format::json : output_format::table;
    return flags;
}

exit_code run(int argc, char** argv)
{
    auto options = command_line();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help() << command_help();
        return exit_code::done;
    }
    if (arguments.count("command") == 0) {
        throw usage_error("missing command; see --help");
    }
    const api_client api(parse_api_options(arguments));
    return run_command(arguments["command"].as<std::vector<std::string>>(), parse_flags(arguments),
                       api);
}

} // namespace

int main(int argc, char** argv)
{
    const auto report_exception = [](const std::exception& failure, exit_code code) {
        std::cerr << "plantainctl: " << failure.what() << '\n';
        return static_cast<int>(code);
    };
    try {
        return static_cast<int>(run(argc, argv));
    }
    catch (const unreachable_error& failure) {
        return report_exception(failure, exit_code::unreachable);
    }
    catch (const std::exception& failure) {
        return report_exception(failure, exit_code::usage);
    }
}
