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
    add("entry", "operator address of an entry, may be repeated (PLANTAINDOOR_ENTRY)",
        cxxopts::value<std::vector<std::string>>(), "IP:PORT");
    add("token-file", "file with the operators' token (PLANTAINDOOR_TOKEN_FILE)",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("as", "operator's name for the log of changes",
        cxxopts::value<std::string>()->default_value(""), "NAME");
    add("o,output", "table or json", cxxopts::value<std::string>()->default_value("table"));
    add("timeout-ms", "longest wait for an answer",
        cxxopts::value<std::int64_t>()->default_value("10000"));
    add("f,file", "file to send", cxxopts::value<std::string>()->default_value(""));
    add("dry-run", "only show what would change");
    add("reason", "why, for the log of changes", cxxopts::value<std::string>()->default_value(""));
    add("to", "the pool to move or lend to", cxxopts::value<std::string>()->default_value(""));
    add("pools", "the wave's pools, separated by commas",
        cxxopts::value<std::string>()->default_value(""));
    add("max-parallel", "most instances out at once; 0: as budgets allow",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("minutes", "term of a loan", cxxopts::value<std::uint32_t>()->default_value("60"));
    add("pool", "jobs of this pool", cxxopts::value<std::string>()->default_value(""));
    add("team", "jobs of this team", cxxopts::value<std::string>()->default_value(""));
    add("class", "jobs of this class: urgent, interactive or background",
        cxxopts::value<std::string>()->default_value(""));
    add("kind", "jobs of this kind", cxxopts::value<std::string>()->default_value(""));
    add("limit", "most lines of the journal", cxxopts::value<std::size_t>()->default_value("100"));
    add("h,help", "show this help");
    add("command", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command"});
    return options;
}

std::string environment_or(const char* name, const std::string& other)
{
    const char* const value = std::getenv(name);
    return value == nullptr ? other : value;
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

api_options api_options_of(const cxxopts::ParseResult& given)
{
    api_options options;
    std::vector<std::string> entries{environment_or("PLANTAINDOOR_ENTRY", default_entry)};
    if (given.count("entry") != 0) {
        entries = given["entry"].as<std::vector<std::string>>();
    }
    for (const std::string& entry : entries) {
        options.entries.push_back(connection::require_endpoint(entry));
    }
    const auto token_file = given["token-file"].as<std::string>();
    options.token =
        read_token(token_file.empty() ? environment_or("PLANTAINDOOR_TOKEN_FILE", "") : token_file);
    const auto name = given["as"].as<std::string>();
    options.author = name.empty() ? environment_or("USER", "unnamed") : name;
    options.timeout = milliseconds(given["timeout-ms"].as<std::int64_t>());
    return options;
}

command_flags flags_of(const cxxopts::ParseResult& given)
{
    command_flags flags;
    flags.file = given["file"].as<std::string>();
    flags.reason = given["reason"].as<std::string>();
    flags.to = given["to"].as<std::string>();
    flags.pools = given["pools"].as<std::string>();
    flags.max_parallel = given["max-parallel"].as<std::uint32_t>();
    flags.minutes = given["minutes"].as<std::uint32_t>();
    flags.limit = given["limit"].as<std::size_t>();
    flags.jobs = {.pool = given["pool"].as<std::string>(),
                  .team = given["team"].as<std::string>(),
                  .work_class = given["class"].as<std::string>(),
                  .kind = given["kind"].as<std::string>()};
    flags.dry_run = given.count("dry-run") != 0;
    const auto format = given["output"].as<std::string>();
    if (format != "table" && format != "json") {
        throw usage_error("-o takes table or json");
    }
    flags.format = format == "json" ? output_format::json : output_format::table;
    return flags;
}

exit_code run(int argc, char** argv)
{
    auto options = command_line();
    const auto given = options.parse(argc, argv);
    if (given.count("help") != 0) {
        std::cout << options.help() << command_help();
        return exit_code::done;
    }
    if (given.count("command") == 0) {
        throw usage_error("a command is needed; see --help");
    }
    const api_client api(api_options_of(given));
    return run_command(given["command"].as<std::vector<std::string>>(), flags_of(given), api);
}

} // namespace

int main(int argc, char** argv)
{
    const auto ended = [](const std::exception& failure, exit_code code) {
        std::cerr << "plantainctl: " << failure.what() << '\n';
        return static_cast<int>(code);
    };
    try {
        return static_cast<int>(run(argc, argv));
    }
    catch (const unreachable_error& failure) {
        return ended(failure, exit_code::unreachable);
    }
    catch (const std::exception& failure) {
        return ended(failure, exit_code::usage);
    }
}
