// Compares the planner with simpler strategies on maintenance waves in virtual time, and measures
// the cost of a planning round and of acquiring all duty leases.
#include "arguments.hpp"

#include "wave_roll_out.hpp"

#include "fakes/delayed_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/duty_lease.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <set>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::bench;

namespace {

/// Mean time in microseconds to build one ledger and one plan.
double planning_us(const fleet_shape& shape)
{
    const fleet whole = fleet_of(shape);
    const wave_planner planner({});
    constexpr int rounds = 50;
    std::size_t drains = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < rounds; ++n) {
        const ledger budgets(whole);
        drains += planner.plan(whole, budgets, whole.waves.at(wave_name)).drains.size();
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - begin;
    return drains == 0 ? 0 : elapsed.count() / rounds;
}

struct acquisition_result {
    std::string strategy;
    double seconds_until_all_held = 0;
    std::size_t transactions = 0;
    std::size_t conflicts = 0;
    std::size_t max_duties_per_entry = 0;
};

/// Seven entries acquire the duty leases of 61 pools, none of which is held at first.
acquisition_result acquire_all_leases(const char* name, milliseconds step_aside)
{
    fakes::virtual_loop loop;
    fakes::memory_table rows;
    acquisition_result result{.strategy = name};
    std::set<pool_id> pools;
    for (std::size_t p = 0; p < 61; ++p) {
        pools.emplace(numbered("p", p));
    }
    struct contender {
        duty_leases leases;
        std::unique_ptr<fakes::delayed_table> table;
    };
    std::vector<contender> contenders;
    for (std::size_t n = 0; n < 7; ++n) {
        contenders.push_back(
            {duty_leases({.self = entry_id(numbered("e", n)), .step_aside = step_aside}),
             std::make_unique<fakes::delayed_table>(loop, rows, fakes::delayed_table_options{},
                                                    n + 1)});
    }
    std::function<void(std::size_t)> cycle = [&](std::size_t n) {
        contender& self = contenders[n];
        const time_point requested_at = loop.now();
        if (auto renewal = self.leases.renewal(requested_at)) {
            self.table->transact(renewal->transaction,
                                 [&, requested_at](const transact_result& done) {
                                     self.leases.on_renewed(done.outcome, requested_at, loop.now());
                                 });
        }
        self.table->scan(
            {.prefix = std::string(lease_prefix)}, [&, requested_at](const read_result& rows_read) {
                self.leases.observe(*rows_read, pools, requested_at, loop.now());
                for (const auto& each : self.leases.acquisitions(loop.now())) {
                    ++result.transactions;
                    self.table->transact(each.transaction, [&](const transact_result& done) {
                        result.conflicts += done.outcome == transact_outcome::conflict ? 1 : 0;
                    });
                }
            });
        loop.call_after(seconds(1), [&, n] { cycle(n); });
    };
    for (std::size_t n = 0; n < contenders.size(); ++n) {
        loop.call_after(milliseconds(20 * n), [&, n] { cycle(n); });
    }
    const time_point begin = loop.now();
    for (std::size_t held = 0; held < pools.size() && loop.now() < begin + seconds(60);) {
        loop.run_for(milliseconds(50));
        held = 0;
        result.max_duties_per_entry = 0;
        for (const contender& each : contenders) {
            const std::size_t held_by_entry = each.leases.held(loop.now()).size();
            held += held_by_entry;
            result.max_duties_per_entry = std::max(result.max_duties_per_entry, held_by_entry);
        }
    }
    result.seconds_until_all_held = std::chrono::duration<double>(loop.now() - begin).count();
    return result;
}

void print_table(const std::vector<wave_result>& rows)
{
    fmt::print("{:<34}{:<22}{:>9}{:>8}{:>7}{:>11}{:>8}{:>6}\n", "fleet", "way", "minutes", "spare",
               "moves", "2 zones %", "breaks", "left");
    for (const wave_result& each : rows) {
        fmt::print("{:<34}{:<22}{:>9.1f}{:>8.1f}{:>7}{:>11.1f}{:>8}{:>6}\n", each.fleet,
                   each.strategy, each.roll_out_minutes, each.idle_spare, each.moves,
                   each.two_zones_percent, each.budget_violations, each.unmaintained);
    }
}

nlohmann::json to_json(const wave_result& each)
{
    return {{"fleet", each.fleet},
            {"way", each.strategy},
            {"roll_out_minutes", each.roll_out_minutes},
            {"idle_spare", each.idle_spare},
            {"moves", each.moves},
            {"two_zones_percent", each.two_zones_percent},
            {"budget_breaks", each.budget_violations},
            {"left", each.unmaintained}};
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("wave_bench", "Waves, planning time and take-over of duties");
    options.add_options()("json", "print JSON");
    const bool json_wanted =
        plantaindoor::bench::parse_or_exit(options, argc, argv).count("json") > 0;
    std::vector<wave_result> rows;
    for (const fleet_shape& shape : {current_shape(), current_shape_without_spare(),
                                     single_pool_shape(), large_shape(1700, 61)}) {
        for (const planning_strategy& each : planning_strategies) {
            rows.push_back(wave_simulation(shape, each).run());
        }
    }
    const std::vector<std::pair<std::size_t, double>> planning{
        {50, planning_us(current_shape())},
        {500, planning_us(large_shape(500, 18))},
        {1700, planning_us(large_shape(1700, 61))}};
    const std::vector<acquisition_result> duties{
        acquire_all_leases("racing", milliseconds(0)),
        acquire_all_leases("hash order", milliseconds(700))};
    if (json_wanted) {
        nlohmann::json out;
        for (const wave_result& each : rows) {
            out["waves"].push_back(to_json(each));
        }
        for (const auto& [workers, us] : planning) {
            out["planning"].push_back({{"workers", workers}, {"microseconds", us}});
        }
        for (const acquisition_result& each : duties) {
            out["duties"].push_back({{"way", each.strategy},
                                     {"all_held_seconds", each.seconds_until_all_held},
                                     {"transactions", each.transactions},
                                     {"conflicts", each.conflicts},
                                     {"most_duties", each.max_duties_per_entry}});
        }
        std::cout << out.dump(2) << '\n';
        return 0;
    }
    print_table(rows);
    for (const auto& [workers, us] : planning) {
        fmt::print("planning, {} workers: {:.0f} us\n", workers, us);
    }
    for (const acquisition_result& each : duties) {
        fmt::print("duties, {}: all held after {:.2f} s, {} transactions, {} conflicts, most {}\n",
                   each.strategy, each.seconds_until_all_held, each.transactions, each.conflicts,
                   each.max_duties_per_entry);
    }
    return 0;
}
