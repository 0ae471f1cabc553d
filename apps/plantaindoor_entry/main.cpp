// Main program of an entry on a platform that provides a store: reads the settings and runs one
// entry until SIGTERM or SIGINT.
#include "plantaindoor/common/document.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/fleet/fleet_entry.hpp"
#include "plantaindoor/platform/caller_api.hpp"
#include "plantaindoor/platform/codec.hpp"
#include "plantaindoor/platform/machine_client.hpp"
#include "plantaindoor/platform/settings.hpp"
#include "plantaindoor/platform/store_client.hpp"
#include "plantaindoor/platform/worker_client.hpp"
#include "plantaindoor/process/logging.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace {

using namespace plantaindoor;

constexpr process::log_part entry_log("entry");

constexpr int exit_success = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_unavailable = 503;

/// How long a worker runs its tasks without contact with the leader.
constexpr milliseconds worker_lease{5000};
/// One connection waits for a poll's report while the others carry orders.
constexpr long max_connections_per_worker = 3;
/// Added to the time for which callers may query a job that has ended.
constexpr seconds retention_margin{10};
/// An entry with less processor or link capacity than this delays claiming leadership by
/// weak_entry_delay for each of the two, so that stronger entries may claim it first.
constexpr double weak_entry_cores = 0.25;
constexpr double weak_entry_link_mbps = 50;
constexpr milliseconds weak_entry_delay{450};
/// Weak entries are many where there are strong ones, and rarely the next leader, so they probe the
/// leaders less often.
constexpr milliseconds weak_entry_probe_interval{1500};
/// A stopping entry still answers callers for this time, in which the load balancer detects the
/// stop.
constexpr milliseconds drain_time{2500};
constexpr milliseconds stop_check_interval{100};
/// Reserve between the forced end of the event loop and the kill by the platform.
constexpr milliseconds stop_reserve{1000};

/// How long the store may hide a change from a watch call, with a margin for rounding.
constexpr milliseconds store_lag_reserve{1200};
/// Where the platform doesn't bound how long a removed key may be admitted.
constexpr milliseconds unbounded_key_age{std::chrono::hours(24)};

/// Includes time during which the system was suspended, unlike the event loop's clock.
time_point boot_clock_now()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + nanoseconds(now.tv_nsec));
}

std::string random_incarnation(std::mt19937_64& random)
{
    return fmt::format("{:016x}", random());
}

/// Owns the event loop, the clients, the entry and its servers.
class program {
public:
    explicit program(const platform::entry_settings& settings);

    void run();

private:
    connection::http_server make_server(const connection::endpoint& listen,
                                        connection::http_handler handler);
    void begin_stop();
    void check_stop(time_point latest, time_point earliest);

    platform::entry_settings m_settings;
    std::mt19937_64 m_random{std::random_device{}()};
    process::reactor_loop m_loop;
    metrics_registry m_metrics;
    connection::http_client m_client{m_loop};
    connection::http_client m_worker_http_client{
        m_loop, nullptr, {.connections_per_endpoint = max_connections_per_worker}};
    platform::store_client m_store;
    platform::worker_client m_workers;
    platform::machine_client m_machines;
    fleet::platform_codec m_codec = platform::codec(m_random());
    fleet::fleet_entry m_entry;
    platform::caller_api m_caller_api;
    connection::http_server m_caller_server;
    connection::http_server m_ready_server;
    connection::http_server m_metrics_server;
    bool m_resigned = false;
    bool m_stopping = false;
};

fleet::fleet_entry_options entry_options(const platform::entry_settings& settings,
                                         std::mt19937_64& random)
{
    fleet::fleet_entry_options options;
    options.peers = settings.peers;
    options.keys = {.revocation_bound = settings.key_revocation.value_or(unbounded_key_age),
                    .reserve = settings.key_revocation ? store_lag_reserve : milliseconds(0)};
    fleet::leader_elector_options& leadership = options.shards.election;
    leadership.name = settings.entry;
    leadership.incarnation = random_incarnation(random);
    leadership.peer_address = settings.peers.str();
    const bool few_cores = settings.cores < weak_entry_cores;
    const bool slow_link = settings.link_mbps < weak_entry_link_mbps;
    leadership.tracking.delay += few_cores ? weak_entry_delay : milliseconds(0);
    leadership.tracking.delay += slow_link ? weak_entry_delay : milliseconds(0);
    if (few_cores || slow_link) {
        options.probe_interval = weak_entry_probe_interval;
    }
    leadership.scheduling.lease = std::min(worker_lease, settings.max_lease);
    leadership.scheduling.max_lease = settings.max_lease;
    leadership.scheduling.stop_time = settings.stop_time;
    leadership.planning.stop_time = settings.stop_time;
    leadership.scheduling.learn_worker_speed = settings.tasks_interfere;
    leadership.scheduling.learn_interference = settings.tasks_interfere;
    leadership.scheduling.unavailable_after = settings.unavailable_after;
    leadership.machine_transfers = settings.machine_transfers;
    leadership.state_retention = settings.state_retention + retention_margin;
    return options;
}

program::program(const platform::entry_settings& settings)
    : m_settings(settings),
      m_store(m_loop, m_client, settings.store, m_metrics),
      m_workers(m_worker_http_client),
      m_machines(m_client, settings.machines),
      m_entry(fleet::session_context{.loop = m_loop,
                                     .store = m_store,
                                     .workers = m_workers,
                                     .machines = m_machines,
                                     .metrics = m_metrics,
                                     .codec = m_codec,
                                     .clock = &boot_clock_now},
              m_client, entry_options(settings, m_random), [this] { return m_random(); }),
      m_caller_api(m_loop, m_entry, m_metrics),
      m_caller_server(make_server(settings.callers,
                                  [this](const connection::http_request& request,
                                         const connection::http_responder& respond) {
                                      m_caller_api.handle(request, respond);
                                  })),
      m_ready_server(
          make_server(settings.ready,
                      [this](const connection::http_request& /*request*/,
                             const connection::http_responder& respond) {
                          respond({.status = m_entry.is_ready() ? status_ok : status_unavailable});
                      })),
      m_metrics_server(
          make_server(settings.metrics, [this](const connection::http_request& /*request*/,
                                               const connection::http_responder& respond) {
              m_metrics.advance(m_loop.now());
              respond({.status = status_ok, .body = m_metrics.text()});
          }))
{
}

connection::http_server program::make_server(const connection::endpoint& listen,
                                             connection::http_handler handler)
{
    return {m_loop, {.listen = listen, .on_request = std::move(handler), .on_overflow = [] {
                         return connection::http_response{.status = 413};
                     }}};
}

void program::run()
{
    m_loop.on_signal(SIGTERM, [this] { begin_stop(); });
    m_loop.on_signal(SIGINT, [this] { begin_stop(); });
    m_loop.on_signal(SIGHUP,
                     [] { entry_log.info("SIGHUP ignored: settings are read only at start"); });
    entry_log.info(fmt::format("entry {} started, listening for callers on {}", m_settings.entry,
                               m_settings.callers.str()));
    m_loop.run();
    entry_log.info("stopped");
}

void program::begin_stop()
{
    if (std::exchange(m_stopping, true)) {
        return;
    }
    entry_log.info("stopping");
    m_entry.resign([this] { m_resigned = true; });
    const time_point now = m_loop.now();
    check_stop(now + m_settings.stop_grace - stop_reserve, now + drain_time);
}

void program::check_stop(time_point latest, time_point earliest)
{
    const time_point now = m_loop.now();
    const bool idle = m_resigned && m_caller_server.in_progress() == 0;
    if (now >= latest || (idle && now >= earliest)) {
        m_loop.stop();
        return;
    }
    m_loop.call_after(stop_check_interval,
                      [this, latest, earliest] { check_stop(latest, earliest); });
}

cxxopts::Options command_line()
{
    cxxopts::Options options("plantaindoor_entry",
                             "Runs one entry of plantaindoor on a platform.\n");
    auto add = options.add_options();
    add("c,config", "settings file, rendered from platform/settings.yaml.template",
        cxxopts::value<std::string>()->default_value("settings.yaml"), "FILE");
    add("check-settings", "only report what is wrong with the settings file");
    add("h,help", "show this help");
    return options;
}

int main_of(int argc, char** argv)
{
    auto options = command_line();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return exit_success;
    }
    const auto settings = platform::load_settings(arguments["config"].as<std::string>());
    if (arguments.count("check-settings") != 0) {
        std::cout << "settings are correct\n";
        return exit_success;
    }
    const process::log_output logs({.format = process::log_format::json,
                                    .level = process::log_level::info,
                                    .stream = &std::cout});
    program(settings).run();
    return exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return main_of(argc, argv);
    }
    catch (const document_error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_bad_settings;
    }
    catch (const std::exception& failure) {
        std::cerr << "plantaindoor_entry: " << failure.what() << '\n';
        return exit_failed;
    }
}
