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
        const ledger books(whole);
        drains += planner.plan(whole, books, whole.waves.at(wave_name)).drains.size();
    }
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - begin;
    return drains == 0 ? 0 : taken.count() / rounds;
}

struct acquisition_figures {
    std::string way;
    double all_held_seconds = 0;
    std::size_t transactions = 0;
    std::size_t conflicts = 0;
    std::size_t most_duties = 0;
};

/// Seven entries acquire the duty leases of 61 pools, none of which is held at first.
acquisition_figures acquire_all_leases(const char* name, milliseconds step_aside)
{
    fakes::virtual_loop loop;
    fakes::memory_table rows;
    acquisition_figures result{.way = name};
    std::set<pool_id> pools;
    for (std::size_t p = 0; p < 61; ++p) {
        pools.emplace(numbered("p", p));
    }
    struct contender {
        duty_leases leases;
        std::unique_ptr<fakes::delayed_table> table;
    };
    std::vector<contender> all;
    for (std::size_t n = 0; n < 7; ++n) {
        all.push_back({duty_leases({.self = entry_id(numbered("e", n)), .step_aside = step_aside}),
                       std::make_unique<fakes::delayed_table>(
                           loop, rows, fakes::delayed_table_options{}, n + 1)});
    }
    std::function<void(std::size_t)> cycle = [&](std::size_t n) {
        contender& self = all[n];
        const time_point asked = loop.now();
        if (auto renewal = self.leases.renewal(asked)) {
            self.table->transact(renewal->transaction, [&, asked](const transact_result& done) {
                self.leases.on_renewed(done.outcome, asked, loop.now());
            });
        }
        self.table->scan({.prefix = std::string(lease_prefix)}, [&, asked](const read_result& got) {
            self.leases.observe(*got, pools, asked, loop.now());
            for (const auto& each : self.leases.acquisitions(loop.now())) {
                ++result.transactions;
                self.table->transact(each.transaction, [&](const transact_result& done) {
                    result.conflicts += done.outcome == transact_outcome::conflict ? 1 : 0;
                });
            }
        });
        loop.call_after(seconds(1), [&, n] { cycle(n); });
    };
    for (std::size_t n = 0; n < all.size(); ++n) {
        loop.call_after(milliseconds(20 * n), [&, n] { cycle(n); });
    }
    const time_point begin = loop.now();
    for (std::size_t held = 0; held < pools.size() && loop.now() < begin + seconds(60);) {
        loop.run_for(milliseconds(50));
        held = 0;
        result.most_duties = 0;
        for (const contender& each : all) {
            const std::size_t own = each.leases.held(loop.now()).size();
            held += own;
            result.most_duties = std::max(result.most_duties, own);
        }
    }
    result.all_held_seconds = std::chrono::duration<double>(loop.now() - begin).count();
    return result;
}

void print_table(const std::vector<figures>& rows)
{
    fmt::print("{:<34}{:<22}{:>9}{:>8}{:>7}{:>11}{:>8}{:>6}\n", "fleet", "way", "minutes", "spare",
               "moves", "2 zones %", "breaks", "left");
    for (const figures& each : rows) {
        fmt::print("{:<34}{:<22}{:>9.1f}{:>8.1f}{:>7}{:>11.1f}{:>8}{:>6}\n", each.fleet, each.way,
                   each.roll_out_minutes, each.idle_spare, each.moves, each.two_zones_percent,
                   each.budget_breaks, each.left);
    }
}

nlohmann::json to_json(const figures& each)
{
    return {{"fleet", each.fleet},
            {"way", each.way},
            {"roll_out_minutes", each.roll_out_minutes},
            {"idle_spare", each.idle_spare},
            {"moves", each.moves},
            {"two_zones_percent", each.two_zones_percent},
            {"budget_breaks", each.budget_breaks},
            {"left", each.left}};
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("wave_bench", "Waves, planning time and take-over of duties");
    options.add_options()("json", "print JSON");
    const bool json_wanted =
        plantaindoor::bench::parse_or_exit(options, argc, argv).count("json") > 0;
    std::vector<figures> rows;
    for (const fleet_shape& shape :
         {today(), today_without_spare(), one_tight_pool(), large(1700, 61)}) {
        for (const way& each : ways) {
            rows.push_back(roll_out(shape, each).run());
        }
    }
    const std::vector<std::pair<std::size_t, double>> planning{
        {50, planning_us(today())},
        {500, planning_us(large(500, 18))},
        {1700, planning_us(large(1700, 61))}};
    const std::vector<acquisition_figures> duties{
        acquire_all_leases("racing", milliseconds(0)),
        acquire_all_leases("hash order", milliseconds(700))};
    if (json_wanted) {
        nlohmann::json out;
        for (const figures& each : rows) {
            out["waves"].push_back(to_json(each));
        }
        for (const auto& [workers, us] : planning) {
            out["planning"].push_back({{"workers", workers}, {"microseconds", us}});
        }
        for (const acquisition_figures& each : duties) {
            out["duties"].push_back({{"way", each.way},
                                     {"all_held_seconds", each.all_held_seconds},
                                     {"transactions", each.transactions},
                                     {"conflicts", each.conflicts},
                                     {"most_duties", each.most_duties}});
        }
        std::cout << out.dump(2) << '\n';
        return 0;
    }
    print_table(rows);
    for (const auto& [workers, us] : planning) {
        fmt::print("planning, {} workers: {:.0f} us\n", workers, us);
    }
    for (const acquisition_figures& each : duties) {
        fmt::print("duties, {}: all held after {:.2f} s, {} transactions, {} conflicts, most {}\n",
                   each.way, each.all_held_seconds, each.transactions, each.conflicts,
                   each.most_duties);
    }
    return 0;
}
