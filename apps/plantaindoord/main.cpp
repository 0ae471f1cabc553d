// The entry's program: reads settings, runs one entry until SIGTERM or SIGINT.
#include "plantaindoor/common/error.hpp"
#include "plantaindoor/process/entry.hpp"
#include "plantaindoor/process/logging.hpp"
#include "plantaindoor/process/reactor_loop.hpp"
#include "plantaindoor/process/settings.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <string>
#include <utility>

namespace {

using namespace plantaindoor;

constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

std::uint64_t random_incarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string first_line(const std::filesystem::path& file)
{
    std::string line;
    if (!file.empty()) {
        std::ifstream in(file);
        std::getline(in, line);
    }
    return line;
}

void set_attempts(process::entry_options& options, const process::attempt_settings& given)
{
    options.attempts.max_attempts = given.most;
    options.attempts.connect_timeout = given.connect_timeout;
    options.attempts.later_share_percent = given.later_share_percent;
    options.retries.burst = given.retry_burst;
    options.retries.per_thousand_successes = given.retries_per_thousand;
}

void set_claims(process::entry_options& options, const process::claim_settings& given)
{
    options.claim_wait = given.wait;
    options.claims.max_waiting = given.queue;
    options.claims.max_group = given.group_rows;
    options.claims.transactions_per_second = given.transactions_per_second;
    options.claims.shared_transactions_per_second = given.shared_transactions_per_second;
    options.claims.rows_per_second = given.rows_per_second;
    options.claims.max_answer_bytes = given.answer_bytes;
    options.claim_sweep.lifetime = given.lifetime;
    options.claim_sweep.page_rows = given.sweep_rows;
    options.claim_sweep.page_period = given.sweep_period;
}

constexpr process::wave_weights weights_of(process::wave_saving save)
{
    switch (save) {
    case process::wave_saving::buffer:
        return process::buffer_saving_weights;
    case process::wave_saving::moves:
        return process::move_saving_weights;
    case process::wave_saving::balanced:
        break;
    }
    return {};
}

void set_waves(process::entry_options& options, const process::wave_settings& given)
{
    options.waves.weights = weights_of(given.save);
    options.waves.one_at_a_time = given.one_at_a_time;
    options.waves.max_loans_per_pool = given.loans_per_pool;
    options.wave_times.loan_term = given.loan_term;
    options.wave_times.max_failed_in_wave = given.most_failed;
    options.wave_times.return_timeout = given.return_timeout;
    options.wave_times.lost_after = given.lost_after;
}

process::entry_options entry_options_of(const process::settings& settings)
{
    process::entry_options options;
    options.cluster = settings.cluster;
    options.id = settings.entry;
    options.zone = settings.availability_zone;
    options.incarnation = random_incarnation();
    options.callers = settings.listen.callers;
    options.operators = settings.listen.operators;
    options.peers = settings.listen.peers;
    options.platform = settings.platform;
    options.known_peers = settings.peers;
    options.operator_token = first_line(settings.operator_token_file);
    options.body_limit_bytes = settings.limits.body_bytes;
    options.answer_limit_bytes = settings.limits.answer_bytes;
    options.head_poll = settings.timings.head_poll;
    options.list_lag = settings.timings.list_lag;
    options.list_poll = settings.timings.list_poll;
    options.lease = settings.timings.lease;
    options.renew = settings.timings.renew;
    options.drain_timeout = settings.timings.drain_timeout;
    options.queue_requests = settings.limits.queue_requests;
    options.queue_requests_per_service = settings.limits.queue_requests_per_service;
    options.queue_bytes = settings.limits.queue_bytes;
    set_attempts(options, settings.attempts);
    set_claims(options, settings.claims);
    set_waves(options, settings.waves);
    options.trace_ring = settings.traces.ring;
    options.trace_file = settings.traces.file;
    return options;
}

int run(const process::settings& settings)
{
    const process::log_output logs({.format = settings.logs.format, .level = settings.logs.level});
    process::reactor_loop loop;
    process::entry entry(loop, entry_options_of(settings));
    for (const int signal : {SIGTERM, SIGINT}) {
        loop.on_signal(signal, [&] { entry.end([&] { loop.stop(); }); });
    }
    entry.start();
    std::cout << "callers " << entry.callers_endpoint().str() << "\noperators "
              << entry.operators_endpoint().str() << "\npeers " << entry.peers_endpoint().str()
              << std::endl;
    loop.run();
    return exit_success;
}

cxxopts::Options command_line()
{
    cxxopts::Options options("plantaindoord", "Runs one entry of plantaindoor.\n");
    auto add = options.add_options();
    add("c,config", "settings file; docs/SETTINGS.md describes every key",
        cxxopts::value<std::string>()->default_value("plantaindoord.yaml"), "FILE");
    add("check-settings", "only report what is wrong with the settings file");
    add("h,help", "show this help");
    return options;
}

int main_of(int argc, char** argv)
{
    auto options = command_line();
    const auto given = options.parse(argc, argv);
    if (given.count("help") != 0) {
        std::cout << options.help();
        return exit_success;
    }
    const auto settings = process::load_settings(given["config"].as<std::string>());
    if (given.count("check-settings") != 0) {
        std::cout << "settings are correct\n";
        return exit_success;
    }
    return run(settings);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return main_of(argc, argv);
    }
    catch (const process::settings_error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_bad_settings;
    }
    catch (const std::exception& failure) {
        std::cerr << "plantaindoord: " << failure.what() << '\n';
        return exit_failure;
    }
}
