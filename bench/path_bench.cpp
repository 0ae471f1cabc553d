// Measures the latency that an entry adds, and its processor time and memory: the same client sends
// requests first directly to a target, then through the entry. scripts/bench-path starts the
// processes that this needs.
#include "arguments.hpp"

#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

namespace {

using namespace plantaindoor;
using connection::endpoint;
using nlohmann::json;

constexpr double microseconds_per_second = 1e6;

struct load_options {
    endpoint to;
    std::size_t requests_per_second = 5000;
    std::size_t requests = 50000;
    std::size_t connections = 64;
    bool idempotent = false;
};

struct load_result {
    std::vector<double> latencies_us;
    std::size_t failures = 0;
    double elapsed_s = 0;
};

/// Sends requests at a fixed rate over a bounded number of connections. Latency is measured from
/// the time at which a request was due, so that stalls are included.
class load_generator {
public:
    load_generator(process::reactor_loop& loop, load_options options)
        : m_loop(loop), m_options(std::move(options)), m_client(loop)
    {
    }

    load_result run()
    {
        m_start = m_loop.now();
        run_cycle();
        m_loop.run();
        m_result.elapsed_s = std::chrono::duration<double>(m_loop.now() - m_start).count();
        return std::move(m_result);
    }

private:
    [[nodiscard]] time_point due(std::size_t number) const
    {
        const double offset_s =
            static_cast<double>(number) / static_cast<double>(m_options.requests_per_second);
        return m_start +
               std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(offset_s));
    }

    void run_cycle()
    {
        send_due();
        if (m_done < m_options.requests) {
            // Posted rather than scheduled: timers are too coarse for the times at which requests
            // are due.
            m_loop.post([this] { run_cycle(); });
        }
        else {
            m_loop.stop();
        }
    }

    void send_due()
    {
        while (m_sent < m_options.requests && m_sent - m_done < m_options.connections &&
               due(m_sent) <= m_loop.now()) {
            send(due(m_sent));
            ++m_sent;
        }
    }

    void send(time_point when)
    {
        m_client.start(
            {.to = m_options.to,
             .request = {.method = "POST",
                         .target = "/spell/check",
                         .headers = {{"Plantaindoor-Idempotent",
                                      m_options.idempotent ? "yes" : "no"}},
                         .body = "a sentence of a pupil, as it is typed"}},
            [this, when](const connection::http_result& result) { handle_result(when, result); });
    }

    void handle_result(time_point when, const connection::http_result& result)
    {
        ++m_done;
        if (result.fault != connection::transport_fault::none || result.response.status != 200) {
            ++m_result.failures;
        }
        m_result.latencies_us.push_back(
            std::chrono::duration<double, std::micro>(m_loop.now() - when).count());
        send_due();
    }

    process::reactor_loop& m_loop;
    load_options m_options;
    connection::http_client m_client;
    time_point m_start{};
    std::size_t m_sent = 0;
    std::size_t m_done = 0;
    load_result m_result;
};

double quantile(std::vector<double>& values, double fraction)
{
    const auto at = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(at));
    return values[at];
}

double processor_seconds(int pid)
{
    std::ifstream in(fmt::format("/proc/{}/stat", pid));
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    constexpr int fields_before_user_time = 11;
    std::string skipped;
    for (int at = 0; at < fields_before_user_time; ++at) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mb(int pid)
{
    std::ifstream in(fmt::format("/proc/{}/statm", pid));
    double pages = 0;
    double resident = 0;
    in >> pages >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

json summary(load_result result)
{
    return {{"p50_us", quantile(result.latencies_us, 0.5)},
            {"p99_us", quantile(result.latencies_us, 0.99)},
            {"p99_9_us", quantile(result.latencies_us, 0.999)},
            {"failures", result.failures},
            {"requests_per_second",
             static_cast<double>(result.latencies_us.size()) / result.elapsed_s}};
}

json measure(const load_options& options, int pid)
{
    process::reactor_loop loop;
    const double before = processor_seconds(pid);
    json out = summary(load_generator(loop, options).run());
    const double processor_time_s = processor_seconds(pid) - before;
    out["entry_processor_us_per_request"] =
        processor_time_s * microseconds_per_second / static_cast<double>(options.requests);
    out["entry_resident_mb"] = resident_mb(pid);
    return out;
}

void print_table(const json& direct, const json& via_entry)
{
    std::cout << fmt::format("{:<32}{:>12}{:>12}{:>12}\n", "", "direct", "entry", "added");
    for (const char* const name : {"p50_us", "p99_us", "p99_9_us"}) {
        const double direct_us = direct.at(name).get<double>();
        const double entry_us = via_entry.at(name).get<double>();
        std::cout << fmt::format("{:<32}{:>12.0f}{:>12.0f}{:>12.0f}\n", name, direct_us, entry_us,
                                 entry_us - direct_us);
    }
    for (const char* const name : {"requests_per_second", "failures",
                                   "entry_processor_us_per_request", "entry_resident_mb"}) {
        std::cout << fmt::format("{:<32}{:>12.1f}{:>12.1f}\n", name, direct.at(name).get<double>(),
                                 via_entry.at(name).get<double>());
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("path_bench", "Measures the request path side by side.");
    auto add = options.add_options();
    add("direct", "a target", cxxopts::value<std::string>());
    add("entry", "the entry's callers' listener", cxxopts::value<std::string>());
    add("pid", "the entry's process id", cxxopts::value<int>());
    add("rate", "requests a second", cxxopts::value<std::size_t>()->default_value("5000"));
    add("seconds", "length of each part", cxxopts::value<std::size_t>()->default_value("10"));
    add("connections", "most at once", cxxopts::value<std::size_t>()->default_value("64"));
    add("idempotent", "say that requests are idempotent");
    add("json", "print JSON only");
    const auto arguments = plantaindoor::bench::parse_or_exit(options, argc, argv);

    load_options direct{.to = connection::require_endpoint(arguments["direct"].as<std::string>()),
                        .requests_per_second = arguments["rate"].as<std::size_t>(),
                        .connections = arguments["connections"].as<std::size_t>(),
                        .idempotent = arguments.count("idempotent") != 0};
    direct.requests = direct.requests_per_second * arguments["seconds"].as<std::size_t>();
    load_options via_entry = direct;
    via_entry.to = connection::require_endpoint(arguments["entry"].as<std::string>());
    const int pid = arguments["pid"].as<int>();

    const json direct_result = measure(direct, pid);
    const json entry_result = measure(via_entry, pid);
    if (arguments.count("json") == 0) {
        print_table(direct_result, entry_result);
    }
    std::cout << json{{"direct", direct_result}, {"entry", entry_result}}.dump() << '\n';
    return 0;
}
