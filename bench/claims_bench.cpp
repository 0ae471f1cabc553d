// Measures the table writes caused by idempotency keys in virtual time: grouped claims compared
// with one transaction for each claim and for each end.
#include "arguments.hpp"

#include "fakes/delayed_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/claim_store.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <vector>

using namespace plantaindoor;

namespace {

constexpr seconds run_time{20};
constexpr milliseconds deadline{2000};
constexpr milliseconds claim_wait{500};
constexpr milliseconds service_time{50};
constexpr std::size_t no_limit = 1U << 20U;
constexpr double unlimited_rate = 1e9;

struct claim_strategy {
    const char* name;
    request::claim_options options;
};

struct run_result {
    std::string strategy;
    unsigned requests_per_second = 0;
    double transactions_per_second = 0;
    double rows_per_second = 0;
    double rows_per_transaction = 0;
    double granted_percent = 0;
    double urgent_granted_percent = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

double percentile(std::vector<double>& values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position),
                     values.end());
    return values[position];
}

/// Simulates the callers of one entry at a constant mean rate. A tenth of the requests is urgent.
class claim_run {
public:
    claim_run(const claim_strategy& tested, unsigned requests_per_second)
        : m_table(m_loop, m_rows, {}, 1),
          m_store(m_loop, m_table, tested.options),
          m_requests_per_second(requests_per_second)
    {
    }

    run_result measure(const char* name)
    {
        const time_point begin = m_loop.now();
        schedule_next(begin + run_time);
        m_loop.run_for(run_time + deadline);
        const request::claim_counts& counts = m_store.counts();
        const double requests = m_requests;
        return {.strategy = name,
                .requests_per_second = m_requests_per_second,
                .transactions_per_second = static_cast<double>(m_table.transactions) /
                                           std::chrono::duration<double>(run_time).count(),
                .rows_per_second = static_cast<double>(counts.rows) /
                                   std::chrono::duration<double>(run_time).count(),
                .rows_per_transaction =
                    static_cast<double>(counts.rows) /
                    static_cast<double>(std::max<std::uint64_t>(1, counts.transactions)),
                .granted_percent = 100 * static_cast<double>(counts.granted) / requests,
                .urgent_granted_percent = 100 * m_urgent_granted / std::max(1.0, m_urgent_requests),
                .p50_ms = percentile(m_waits_ms, 0.5),
                .p99_ms = percentile(m_waits_ms, 0.99)};
    }

private:
    void schedule_next(time_point until)
    {
        std::exponential_distribution<double> interval(m_requests_per_second);
        const std::chrono::duration<double> wait(interval(m_random));
        m_loop.call_after(std::chrono::duration_cast<nanoseconds>(wait), [this, until] {
            if (m_loop.now() < until) {
                send_claim();
                schedule_next(until);
            }
        });
    }

    void send_claim()
    {
        const time_point requested_at = m_loop.now();
        const bool urgent = m_requests % 10 == 0;
        ++m_requests;
        m_urgent_requests += urgent ? 1 : 0;
        m_store.claim(
            {.row_key = fmt::format("claim/s/{}", m_requests),
             .request_hash = "h",
             .priority = urgent ? version::priority::urgent : version::priority::interactive,
             .give_up_at = requested_at + claim_wait,
             .ends_by = m_loop.wall_now() + deadline},
            [this, requested_at, urgent](const request::claim_verdict& verdict) {
                on_verdict(verdict, requested_at, urgent);
            });
    }

    void on_verdict(const request::claim_verdict& verdict, time_point requested_at, bool urgent)
    {
        if (verdict.decision != request::claim_decision::granted) {
            return;
        }
        m_urgent_granted += urgent ? 1 : 0;
        m_waits_ms.push_back(
            std::chrono::duration<double, std::milli>(m_loop.now() - requested_at).count());
        m_loop.call_after(service_time, [this, ticket = verdict.ticket] {
            m_store.finish(ticket, {.state = request::claim_state::answered,
                                    .answer = {.status = 200, .body = std::string(200, 'x')}});
        });
    }

    fakes::virtual_loop m_loop;
    fakes::memory_table m_rows;
    fakes::delayed_table m_table;
    process::claim_store m_store;
    unsigned m_requests_per_second;
    std::mt19937_64 m_random{7};
    unsigned m_requests = 0;
    double m_urgent_requests = 0;
    double m_urgent_granted = 0;
    std::vector<double> m_waits_ms;
};

nlohmann::json to_json(const run_result& each)
{
    return {{"way", each.strategy},
            {"requests_per_second", each.requests_per_second},
            {"transactions_per_second", each.transactions_per_second},
            {"rows_per_second", each.rows_per_second},
            {"rows_per_transaction", each.rows_per_transaction},
            {"granted_percent", each.granted_percent},
            {"urgent_granted_percent", each.urgent_granted_percent},
            {"claim_wait_p50_ms", each.p50_ms},
            {"claim_wait_p99_ms", each.p99_ms}};
}

void print(const std::vector<run_result>& results)
{
    std::cout << fmt::format("{:<16}{:>12}{:>16}{:>9}{:>12}{:>11}{:>10}{:>9}{:>9}\n", "way",
                             "requests/s", "transactions/s", "rows/s", "rows/trans", "granted %",
                             "urgent %", "p50 ms", "p99 ms");
    for (const run_result& each : results) {
        std::cout << fmt::format(
            "{:<16}{:>12}{:>16.1f}{:>9.0f}{:>12.1f}{:>11.1f}{:>10.1f}{:>9.1f}{:>9.1f}\n",
            each.strategy, each.requests_per_second, each.transactions_per_second,
            each.rows_per_second, each.rows_per_transaction, each.granted_percent,
            each.urgent_granted_percent, each.p50_ms, each.p99_ms);
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("claims_bench", "Compares ways of writing claims to the table.");
    usage.add_options()("json", "print JSON");
    const auto arguments = plantaindoor::bench::parse_or_exit(usage, argc, argv);
    const std::vector<claim_strategy> strategies{
        {"each",
         {.owner_prefix = "e",
          .max_group = 1,
          .max_in_flight = no_limit,
          .transactions_per_second = unlimited_rate,
          .transaction_burst = unlimited_rate,
          .rows_per_second = unlimited_rate,
          .max_waiting = no_limit,
          .record_delay = milliseconds(0)}},
        {"each-paced",
         {.owner_prefix = "e",
          .max_group = 1,
          .max_in_flight = no_limit,
          .record_delay = milliseconds(0)}},
        {"grouped", {.owner_prefix = "e"}},
        {"grouped-60-rows", {.owner_prefix = "e", .rows_per_second = 60}}};
    std::vector<run_result> results;
    for (const unsigned requests_per_second : {50U, 200U, 500U, 1000U, 2000U, 5000U}) {
        for (const claim_strategy& tested : strategies) {
            results.push_back(claim_run(tested, requests_per_second).measure(tested.name));
        }
    }
    if (arguments.count("json") == 0) {
        print(results);
        return 0;
    }
    nlohmann::json out = nlohmann::json::array();
    for (const run_result& each : results) {
        out.push_back(to_json(each));
    }
    std::cout << out.dump(2) << '\n';
    return 0;
}
