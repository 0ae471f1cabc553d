// The operators' commands.
#pragma once

#include "api_client.hpp"
#include "output.hpp"

#include "plantaindoor/common/error.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace plantaindoor::ctl {

/// Exit codes, as documented in docs/OPERATIONS.md.
enum class exit_code {
    done = 0,
    refused = 1,
    usage = 2,
    unreachable = 3,
    not_supported = 4,
    wave_not_finished = 5,
};

/// Thrown if the command line is not a valid command.
class usage_error : public error {
public:
    explicit usage_error(const std::string& message) : error("usage", message, {}) {}
};

/// Selects jobs; an empty field matches any.
struct job_selector {
    std::string pool;
    std::string team;
    std::string work_class;
    std::string kind;
};

/// The command-line options.
struct command_flags {
    std::string file;
    std::string reason;
    std::string to;
    std::string pools;
    std::uint32_t max_parallel = 0;
    std::uint32_t minutes = 60;
    std::size_t limit = 100;
    job_selector jobs;
    bool dry_run = false;
    output_format format = output_format::table;
};

/// Runs the command named by the words. Throws usage_error, unreachable_error.
[[nodiscard]] exit_code run_command(const std::vector<std::string>& words,
                                    const command_flags& flags, const api_client& api);

/// All commands with a line of help each. Thread-safe.
[[nodiscard]] std::string command_help();

} // namespace plantaindoor::ctl
