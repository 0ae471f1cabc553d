#include "commands.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string_view>
#include <thread>

namespace plantaindoor::ctl {

using connection::http_response;
using nlohmann::json;

namespace {

constexpr std::uint16_t status_not_supported = 501;
constexpr std::uint16_t first_error_status = 400;
constexpr seconds watch_interval{1};

/// One run of a command: the arguments after its name, the flags and the API client.
struct context {
    std::vector<std::string> arguments;
    const command_flags& flags;
    const api_client& api;
};

using command_function = exit_code (*)(const context&);

struct command {
    std::string_view words;
    std::string_view arguments;
    std::size_t argument_count;
    command_function run;
    std::string_view help;
};

exit_code report_failure(const http_response& answer, output_format format)
{
    std::cerr << (format == output_format::json ? answer.body : error_line(answer.body)) << '\n';
    return answer.status == status_not_supported ? exit_code::not_supported : exit_code::refused;
}

exit_code print_answer(const http_response& answer, const command_flags& flags)
{
    if (answer.status >= first_error_status) {
        return report_failure(answer, flags.format);
    }
    if (flags.format == output_format::json) {
        std::cout << answer.body << '\n';
    }
    else {
        std::cout << object_lines(answer.body);
    }
    return exit_code::done;
}

std::string read_file(const std::string& name)
{
    if (name.empty()) {
        throw usage_error("missing option -f FILE");
    }
    std::ifstream in(name, std::ios::binary);
    if (!in) {
        throw usage_error("cannot read file " + name);
    }
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string instance_target(const context& call, const char* action)
{
    return "/v1/instances/" + percent_encoded(call.arguments[0]) + "/" + action;
}

std::string reason_body(const context& call)
{
    return json{{"reason", call.flags.reason}}.dump();
}

exit_code apply(const context& call)
{
    const std::string target =
        fmt::format("/v1/apply?file={}&reason={}{}", percent_encoded(call.flags.file),
                    percent_encoded(call.flags.reason), call.flags.dry_run ? "&dry_run=true" : "");
    return print_answer(call.api.call("POST", target, read_file(call.flags.file)), call.flags);
}

exit_code get(const context& call)
{
    const std::string& kind = call.arguments[0];
    const auto answer = call.api.call("GET", "/v1/" + percent_encoded(kind));
    if (answer.status >= first_error_status) {
        return report_failure(answer, call.flags.format);
    }
    std::cout << (call.flags.format == output_format::json ? answer.body + "\n"
                                                           : items_table(kind, answer.body));
    return exit_code::done;
}

exit_code status(const context& call)
{
    return print_answer(call.api.call("GET", "/v1/status"), call.flags);
}

exit_code drain(const context& call)
{
    return print_answer(call.api.call("POST", instance_target(call, "drain"), reason_body(call)),
                        call.flags);
}

exit_code undrain(const context& call)
{
    return print_answer(call.api.call("POST", instance_target(call, "undrain"), reason_body(call)),
                        call.flags);
}

std::string required_pool(const context& call)
{
    if (call.flags.to.empty()) {
        throw usage_error("missing option --to POOL");
    }
    return call.flags.to;
}

exit_code move(const context& call)
{
    const json body{{"pool", required_pool(call)}, {"reason", call.flags.reason}};
    return print_answer(call.api.call("POST", instance_target(call, "move"), body.dump()),
                        call.flags);
}

exit_code lend(const context& call)
{
    const json body{{"pool", required_pool(call)},
                    {"minutes", call.flags.minutes},
                    {"reason", call.flags.reason}};
    return print_answer(call.api.call("POST", instance_target(call, "lend"), body.dump()),
                        call.flags);
}

exit_code return_instance(const context& call)
{
    return print_answer(call.api.call("POST", instance_target(call, "return"), reason_body(call)),
                        call.flags);
}

exit_code wave_start(const context& call)
{
    const json body{{"id", call.arguments[0]},
                    {"pools", split_list(call.flags.pools)},
                    {"max_parallel", call.flags.max_parallel},
                    {"reason", call.flags.reason}};
    return print_answer(call.api.call("POST", "/v1/waves", body.dump()), call.flags);
}

std::string wave_target(const context& call)
{
    return "/v1/waves/" + percent_encoded(call.arguments[0]);
}

template<const char* const& Action>
exit_code wave_action(const context& call)
{
    return print_answer(call.api.call("POST", wave_target(call) + "/" + Action, reason_body(call)),
                        call.flags);
}

constexpr const char* action_pause = "pause";
constexpr const char* action_resume = "resume";
constexpr const char* action_abort = "abort";

exit_code wave_watch(const context& call)
{
    while (true) {
        const auto answer = call.api.call("GET", wave_target(call));
        if (answer.status >= first_error_status) {
            return report_failure(answer, call.flags.format);
        }
        const std::string state = wave_state(answer.body);
        const bool json_output = call.flags.format == output_format::json;
        std::cout << (json_output ? answer.body : wave_line(answer.body)) << std::endl;
        if (state == "finished") {
            return exit_code::done;
        }
        if (state != "running") {
            return exit_code::wave_not_finished;
        }
        std::this_thread::sleep_for(watch_interval);
    }
}

exit_code rules_check(const context& call)
{
    return print_answer(call.api.call("POST", "/v1/rules/check", read_file(call.flags.file)),
                        call.flags);
}

exit_code rules_explain(const context& call)
{
    const std::string facts = call.flags.file.empty() ? "" : read_file(call.flags.file);
    return print_answer(call.api.call("POST", "/v1/rules/explain", facts), call.flags);
}

exit_code job_submit(const context& call)
{
    const std::string target = "/v1/jobs?file=" + percent_encoded(call.flags.file);
    return print_answer(call.api.call("POST", target, read_file(call.flags.file)), call.flags);
}

exit_code job_cancel_matching(const context& call)
{
    const job_selector& jobs = call.flags.jobs;
    const json body{{"pool", jobs.pool},
                    {"team", jobs.team},
                    {"class", jobs.work_class},
                    {"kind", jobs.kind},
                    {"reason", call.flags.reason}};
    return print_answer(call.api.call("POST", "/v1/jobs/cancel", body.dump()), call.flags);
}

exit_code job_cancel(const context& call)
{
    const std::string target = "/v1/jobs/" + percent_encoded(call.arguments[0]) + "/cancel";
    return print_answer(call.api.call("POST", target, reason_body(call)), call.flags);
}

exit_code job_get(const context& call)
{
    return print_answer(call.api.call("GET", "/v1/jobs/" + percent_encoded(call.arguments[0])),
                        call.flags);
}

exit_code journal(const context& call)
{
    const auto answer =
        call.api.call("GET", "/v1/journal?limit=" + std::to_string(call.flags.limit));
    if (answer.status >= first_error_status) {
        return report_failure(answer, call.flags.format);
    }
    std::cout << (call.flags.format == output_format::json ? answer.body + "\n"
                                                           : items_table("journal", answer.body));
    return exit_code::done;
}

constexpr std::array<command, 22> commands{{
    {"apply", "-f FILE [--dry-run]", 0, &apply, "make the fleet match a file"},
    {"get", "KIND", 1, &get,
     "list teams|pools|services|instances|waves|budgets|rules|entries|jobs, or print the fleet "
     "file"},
    {"status", "", 0, &status, "show the status of the entry that answers"},
    {"drain", "INSTANCE", 1, &drain, "drain an instance when all availability budgets allow it"},
    {"undrain", "INSTANCE", 1, &undrain, "admit an instance to service again"},
    {"move", "INSTANCE --to POOL", 1, &move, "drain an instance and move it to a pool"},
    {"lend", "INSTANCE --to POOL [--minutes N]", 1, &lend,
     "lend an instance to a pool for a limited time"},
    {"return", "INSTANCE", 1, &return_instance, "return a lent instance to its pool"},
    {"wave start", "WAVE --pools A,B [--max-parallel N]", 1, &wave_start,
     "start a maintenance wave over all instances of the pools"},
    {"wave pause", "WAVE", 1, &wave_action<action_pause>,
     "pause a wave: take no further instances out of service"},
    {"wave resume", "WAVE", 1, &wave_action<action_resume>, "resume a paused wave"},
    {"wave abort", "WAVE", 1, &wave_action<action_abort>, "abort a wave and undo its drains"},
    {"wave watch", "WAVE", 1, &wave_watch, "print progress until the wave ends or pauses"},
    {"rules check", "-f FILE", 0, &rules_check, "check a file's rules without applying them"},
    {"rules explain", "[-f FACTS]", 0, &rules_explain, "show which rule matches, and why"},
    {"job submit", "-f FILE", 0, &job_submit, "submit a job, or a list of jobs"},
    {"job cancel", "JOB", 1, &job_cancel, "cancel a job"},
    {"job cancel-matching", "[--pool P] [--team T] [--class C] [--kind K]", 0, &job_cancel_matching,
     "cancel all jobs that match"},
    {"job get", "JOB", 1, &job_get, "show a job"},
    {"journal", "[--limit N]", 0, &journal, "show what the system did and why"},
    {"fleet", "", 0,
     [](const context& call) {
         std::cout << call.api.call("GET", "/v1/fleet").body;
         return exit_code::done;
     },
     "print the fleet as a file that can be edited and applied"},
    {"ready", "", 0,
     [](const context& call) {
         const auto answer = call.api.call("GET", "/ready");
         std::cout << answer.body;
         return answer.status < first_error_status ? exit_code::done : exit_code::refused;
     },
     "check whether the entry is ready"},
}};

std::size_t word_count(std::string_view words)
{
    return static_cast<std::size_t>(std::ranges::count(words, ' ')) + 1;
}

bool starts_with(const std::vector<std::string>& words, std::string_view command_words)
{
    const std::size_t count = word_count(command_words);
    if (words.size() < count) {
        return false;
    }
    std::string joined = words[0];
    for (std::size_t at = 1; at < count; ++at) {
        joined += " " + words[at];
    }
    return joined == command_words;
}

} // namespace

exit_code run_command(const std::vector<std::string>& words, const command_flags& flags,
                      const api_client& api)
{
    const auto found = std::ranges::find_if(
        commands, [&](const command& each) { return starts_with(words, each.words); });
    if (found == commands.end()) {
        throw usage_error("unknown command; see --help");
    }
    const auto argument_start = static_cast<std::ptrdiff_t>(word_count(found->words));
    context call{
        .arguments = {words.begin() + argument_start, words.end()}, .flags = flags, .api = api};
    if (call.arguments.size() != found->argument_count) {
        throw usage_error(fmt::format("usage: plantainctl {} {}", found->words, found->arguments));
    }
    return found->run(call);
}

std::string command_help()
{
    std::string out = "Commands:\n";
    for (const command& each : commands) {
        out += fmt::format("  {:<50} {}\n", fmt::format("{} {}", each.words, each.arguments),
                           each.help);
    }
    return out;
}

} // namespace plantaindoor::ctl
