// Measures the time from acceptance of a change until all entries have applied it, with peer
// exchange and with table polling only. Runs the production change log, follower and exchange
// policy in virtual time.
#include "arguments.hpp"

#include "fakes/delayed_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/connection/exchange_policy.hpp"
#include "plantaindoor/version/codec.hpp"
#include "plantaindoor/version/table_change_log.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace plantaindoor;
using connection::endpoint;
using version::version_number;

constexpr milliseconds message_timeout{1000};
constexpr milliseconds table_poll_period{500};
constexpr milliseconds slow_peer_delay{800};
constexpr std::size_t changes = 100;
constexpr std::size_t changes_with_many_entries = 20;
constexpr std::size_t large_entry_count = 100;
constexpr std::size_t max_records = 100;
/// Fixed part of an exchange message: names, numbers, framing and HTTP/2 headers.
constexpr std::size_t message_overhead_bytes = 160;
/// Size of a peer's demand report on five services, and of one `heard_entry` item.
constexpr std::size_t report_bytes = 150;
constexpr std::size_t heard_entry_bytes = 12;
constexpr std::size_t max_heard_entries = 40;
constexpr std::size_t max_reports = 6;

struct scenario {
    std::string name;
    std::size_t entries = 7;
    bool peers = true;
    unsigned loss_per_thousand = 0;
    bool slow_peer = false;
    bool table_down_after = false;
};

struct simulation_result {
    double p50_ms = 0;
    double p99_ms = 0;
    double max_ms = 0;
    std::size_t not_reached = 0;
    double messages_per_second = 0;
    double bytes_per_second = 0;
    /// Measured while no changes are made.
    double idle_bytes_per_second = 0;
    double reads_per_second = 0;
};

class simulation {
public:
    explicit simulation(scenario conditions)
        : m_scenario(std::move(conditions)), m_random(m_scenario.entries)
    {
        for (std::size_t each = 0; each < m_scenario.entries; ++each) {
            m_members.push_back(std::make_unique<member>(*this, each));
        }
    }

    simulation_result run()
    {
        for (const auto& each : m_members) {
            each->log.start();
            tick(*each);
        }
        m_loop.run_for(seconds(5));
        reset_counters();
        m_loop.run_for(seconds(20));
        m_idle_result = summary({}, 0);
        reset_counters();
        std::vector<double> times;
        std::size_t unreached = 0;
        const std::size_t change_count =
            m_scenario.entries > large_entry_count ? changes_with_many_entries : changes;
        for (std::size_t change = 0; change < change_count; ++change) {
            const auto delay_ms = measure_change(change);
            if (delay_ms) {
                times.push_back(*delay_ms);
            }
            unreached += delay_ms ? 0 : 1;
        }
        return summary(times, unreached);
    }

private:
    struct member {
        member(simulation& parent, std::size_t at)
            : number(at),
              table(parent.m_loop, parent.m_rows, {}, at + 1),
              log(parent.m_loop, table,
                  {.author_id = fmt::format("e{}", at),
                   .seed = at + 1,
                   .poll_period = table_poll_period}),
              policy({.seed = at + 1})
        {
            std::vector<endpoint> others;
            for (std::size_t each = 0; each < parent.m_scenario.entries; ++each) {
                if (each != at) {
                    others.push_back(address(each));
                }
            }
            policy.set_peers(others);
            if (parent.m_scenario.peers) {
                log.share_polling(parent.m_scenario.entries);
            }
            log.subscribe([&parent, this](const version::fleet_ptr& newest) {
                policy.on_version(newest->version);
                parent.begin_due_exchanges(*this);
            });
        }

        std::size_t number;
        fakes::delayed_table table;
        version::table_change_log log;
        connection::exchange_policy policy;
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    static endpoint address(std::size_t number)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(number + 1)};
    }

    std::optional<double> measure_change(std::size_t change)
    {
        const std::size_t at = m_random() % m_members.size();
        m_loop.run_for(milliseconds(m_random() % 500));
        std::optional<time_point> accepted;
        m_members[at]->log.append({.author = "bench",
                                   .propose =
                                       [change](const version::fleet&) {
                                           return std::vector<version::change>{version::put_team{
                                               {.id = team_id(fmt::format("t{}", change))}}};
                                       }},
                                  [&](const version::append_result&) {
                                      accepted = m_loop.now();
                                      set_table_down(m_scenario.table_down_after);
                                  });
        const time_point until = m_loop.now() + seconds(30);
        while (!(accepted && all_applied(change + 1)) && m_loop.run_one(until)) {
        }
        const bool reached = accepted && all_applied(change + 1);
        const std::chrono::duration<double, std::milli> delay_ms =
            reached ? m_reached_at - *accepted : nanoseconds(0);
        set_table_down(false);
        m_loop.run_for(seconds(4));
        return reached ? std::optional(std::max(0.0, delay_ms.count())) : std::nullopt;
    }

    bool all_applied(version_number version)
    {
        if (m_reached < version) {
            const bool all = std::ranges::all_of(m_members, [&](const auto& each) {
                return each->log.current()->version >= version;
            });
            if (all) {
                m_reached = version;
                m_reached_at = m_loop.now();
            }
        }
        return m_reached >= version;
    }

    void set_table_down(bool down)
    {
        for (const auto& each : m_members) {
            each->table.down = down;
        }
    }

    void tick(member& self)
    {
        begin_due_exchanges(self);
        m_loop.call_after(milliseconds(100), [this, &self] { tick(self); });
    }

    void begin_due_exchanges(member& self)
    {
        if (!m_scenario.peers) {
            return;
        }
        for (const endpoint& each : self.policy.begin_due(m_loop.now())) {
            exchange(self, each);
        }
    }

    void exchange(member& from, const endpoint& to)
    {
        member& peer = *m_members[to.port - 1U];
        const auto known = from.policy.known_version(to);
        auto records = known ? from.log.follower().records_after(*known, max_records)
                             : std::vector<version::log_record>{};
        count(from, peer, records);
        if (lost()) {
            m_loop.call_after(message_timeout,
                              [this, &from, to] { from.policy.on_failure(to, m_loop.now()); });
            return;
        }
        const version_number version = from.log.current()->version;
        m_loop.call_after(delay(from, peer), [this, &from, &peer, to, version, records] {
            answer(from, peer, to, version, records);
        });
    }

    void answer(member& from, member& peer, const endpoint& to, version_number version,
                const std::vector<version::log_record>& records)
    {
        const version_number before = peer.log.current()->version;
        peer.log.receive(records, version);
        const version_number after = peer.log.current()->version;
        auto missing = peer.log.follower().records_after(version, max_records);
        count(peer, from, missing);
        m_loop.call_after(delay(from, peer), [this, &from, to, before, after, missing] {
            from.log.receive(missing, after);
            from.policy.on_reply(to, before, after);
            begin_due_exchanges(from);
        });
    }

    bool lost() { return m_random() % 1000 < m_scenario.loss_per_thousand; }

    nanoseconds delay(const member& a, const member& b)
    {
        const bool slow = m_scenario.slow_peer && (a.number == 0 || b.number == 0);
        return slow ? slow_peer_delay : nanoseconds(milliseconds(1));
    }

    void count(member& from, member& to, const std::vector<version::log_record>& records)
    {
        std::size_t bytes = message_overhead_bytes + report_bytes;
        bytes += heard_entry_bytes * std::min(m_members.size(), max_heard_entries);
        if (m_members.size() > 7) {
            bytes += report_bytes * max_reports;
        }
        for (const auto& each : records) {
            bytes += version::encode(each).size();
        }
        for (member* each : {&from, &to}) {
            ++each->messages;
            each->bytes += bytes;
        }
    }

    void reset_counters()
    {
        m_counting_since = m_loop.now();
        for (const auto& each : m_members) {
            each->messages = 0;
            each->bytes = 0;
            each->table.reads = 0;
        }
    }

    simulation_result summary(std::vector<double> times, std::size_t unreached) const
    {
        simulation_result out{.not_reached = unreached,
                              .idle_bytes_per_second = m_idle_result.bytes_per_second};
        std::ranges::sort(times);
        if (!times.empty()) {
            out.p50_ms = times[times.size() / 2];
            out.p99_ms = times[times.size() * 99 / 100];
            out.max_ms = times.back();
        }
        const double elapsed_seconds =
            std::chrono::duration<double>(m_loop.now() - m_counting_since).count();
        for (const auto& each : m_members) {
            out.messages_per_second += static_cast<double>(each->messages);
            out.bytes_per_second += static_cast<double>(each->bytes);
            out.reads_per_second += static_cast<double>(each->table.reads);
        }
        out.reads_per_second /= elapsed_seconds;
        out.messages_per_second /= elapsed_seconds * static_cast<double>(m_members.size());
        out.bytes_per_second /= elapsed_seconds * static_cast<double>(m_members.size());
        return out;
    }

    scenario m_scenario;
    std::mt19937_64 m_random;
    fakes::virtual_loop m_loop;
    fakes::memory_table m_rows;
    std::vector<std::unique_ptr<member>> m_members;
    version_number m_reached = 0;
    time_point m_reached_at{};
    time_point m_counting_since{};
    simulation_result m_idle_result;
};

/// Mean time in milliseconds to apply one change to a fleet of the intended size, 1,700 instances.
double apply_ms()
{
    version::delta first{.version = 1, .changes = {version::put_pool{{.id = pool_id("p")}}}};
    for (int each = 0; each < 1700; ++each) {
        first.changes.push_back(version::put_instance{
            {.id = instance_id(fmt::format("w{}", each)), .pool = pool_id("p")}});
    }
    auto fleet = version::applied({}, first);
    constexpr int rounds = 200;
    const auto start = std::chrono::steady_clock::now();
    for (int each = 0; each < rounds; ++each) {
        fleet = version::applied(
            *fleet, {.version = fleet->version + 1,
                     .changes = {version::set_instance_state{
                         .id = instance_id("w7"), .state = version::instance_state::draining}}});
    }
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / rounds;
}

std::vector<scenario> scenarios()
{
    std::vector<scenario> all;
    for (const std::size_t entries : {7U, 60U, 300U}) {
        all.push_back({"polling alone", entries, false});
        all.push_back({"peers", entries, true});
        all.push_back({"peers, 10% lost", entries, true, 100});
        all.push_back({"peers, one slow", entries, true, 0, true});
        all.push_back({"peers, table down after", entries, true, 0, false, true});
        all.push_back({"peers, table down, 10% lost", entries, true, 100, false, true});
    }
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("in_force_bench", "Time from acceptance to the last entry.");
    options.add_options()("json", "print JSON");
    const bool as_json = plantaindoor::bench::parse_or_exit(options, argc, argv).count("json") != 0;
    nlohmann::json out = nlohmann::json::array();
    if (!as_json) {
        std::cout << fmt::format("apply one change to 1,700 instances: {:.2f} ms\n", apply_ms());
        std::cout << fmt::format(
            "{:<28} {:>7} {:>8} {:>8} {:>8} {:>6} {:>10} {:>12} {:>12} {:>9}\n", "scenario",
            "entries", "p50 ms", "p99 ms", "max ms", "missed", "msg/s node", "bytes/s node",
            "idle bytes/s", "reads/s");
    }
    for (const scenario& each : scenarios()) {
        const simulation_result result = simulation(each).run();
        out.push_back({{"scenario", each.name},
                       {"entries", each.entries},
                       {"p50_ms", result.p50_ms},
                       {"p99_ms", result.p99_ms},
                       {"max_ms", result.max_ms},
                       {"not_reached", result.not_reached},
                       {"messages_per_second", result.messages_per_second},
                       {"bytes_per_second", result.bytes_per_second},
                       {"idle_bytes_per_second", result.idle_bytes_per_second},
                       {"reads_per_second", result.reads_per_second}});
        if (!as_json) {
            std::cout << fmt::format("{:<28} {:>7} {:>8.0f} {:>8.0f} {:>8.0f} {:>6} {:>10.1f} "
                                     "{:>12.0f} {:>12.0f} {:>9.0f}\n",
                                     each.name, each.entries, result.p50_ms, result.p99_ms,
                                     result.max_ms, result.not_reached, result.messages_per_second,
                                     result.bytes_per_second, result.idle_bytes_per_second,
                                     result.reads_per_second)
                      << std::flush;
        }
    }
    if (as_json) {
        std::cout << out.dump(2) << '\n';
    }
    return 0;
}
