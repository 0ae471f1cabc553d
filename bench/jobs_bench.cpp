// Compares the scheduler with first fit on the same job arrivals in virtual time, and measures the
// cost of a placement round.
#include "arguments.hpp"

#include "job_simulation.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::process;
using version::priority;

namespace {

constexpr std::size_t min_workers = 8;
constexpr std::size_t max_workers = 56;
constexpr std::size_t workers_step = 4;
constexpr std::size_t compared_workers = 28;

constexpr std::array scenarios{
    scenario{.name = "declared sizes right"},
    scenario{.name = "declared sizes off", .wrong_sizes = true},
    scenario{.name = "off, 2 failing workers", .wrong_sizes = true, .failing_workers = 2},
    scenario{.name = "off, rebuild beside load", .wrong_sizes = true, .load = true}};

struct placement_strategy {
    const char* name = "";
    std::unique_ptr<placement_policy> (*make)() = nullptr;
    std::uint32_t reserve = 0;
};

constexpr std::array placement_strategies{
    placement_strategy{.name = "first fit",
                       .make = []() -> std::unique_ptr<placement_policy> {
                           return std::make_unique<first_fit_policy>();
                       }},
    placement_strategy{.name = "scheduler",
                       .make = []() -> std::unique_ptr<placement_policy> {
                           return std::make_unique<scheduler_policy>();
                       }},
    placement_strategy{.name = "scheduler, reserve 1",
                       .make = []() -> std::unique_ptr<placement_policy> {
                           return std::make_unique<scheduler_policy>();
                       },
                       .reserve = 1}};

simulation_result simulate(const scenario& conditions, const placement_strategy& strategy,
                           std::size_t workers)
{
    const arrival_list arrivals(conditions.wrong_sizes);
    const std::unique_ptr<placement_policy> policy = strategy.make();
    return simulation(conditions, *policy, workers, strategy.reserve).run(arrivals.all());
}

/// Returns the smallest number of workers, in steps of `workers_step`, with which all goals are met
/// (see `simulation_result::meets_goals`), or zero if `max_workers` isn't enough.
std::size_t workers_needed(const scenario& conditions, const placement_strategy& strategy)
{
    for (std::size_t workers = min_workers; workers <= max_workers; workers += workers_step) {
        if (simulate(conditions, strategy, workers).meets_goals()) {
            return workers;
        }
    }
    return 0;
}

struct round_shape {
    const char* name = "";
    std::size_t pools = 1;
    std::size_t workers = 0;
    std::size_t waiting = 0;
    /// Every worker is full, so that no job can be placed.
    bool full = false;
};

/// Mean time in milliseconds of one round over all pools, measured on an unchanging view of one
/// pool and multiplied by the number of pools.
double round_ms(const round_shape& shape)
{
    std::mt19937 random(20261203);
    version::fleet whole = fleet_of(shape.workers / shape.pools);
    const std::size_t own_workers = whole.instances.size();
    // The scheduler iterates over the instances of other pools as well.
    for (std::size_t n = own_workers; n < shape.workers; ++n) {
        const instance_id id(fmt::format("x{:04}", n));
        whole.instances[id] = {.id = id, .pool = pool_id("other"), .processors = 16};
    }
    std::map<job_id, job> jobs;
    const auto add = [&](std::string name, double processors) -> job& {
        const job_id id(std::move(name));
        return jobs[id] = {.spec = {.id = id,
                                    .pool = pool_name,
                                    .team = team_name,
                                    .work_class = static_cast<priority>(1 + random() % 2),
                                    .kind = std::to_string(random() % 20),
                                    .declared = {.processors = processors,
                                                 .memory_mb = 500 + random() % 8000,
                                                 .run_time = seconds(60 + random() % 600)}},
                           .submitted = wall_time(seconds(random() % 100))};
    };
    for (std::size_t n = 0; n < shape.waiting / shape.pools; ++n) {
        add(fmt::format("job-{:06}", n), 1 + static_cast<double>(random() % 80) / 10);
    }
    if (shape.full) {
        for (const auto& [id, each] : whole.instances) {
            if (each.pool != pool_name) {
                continue;
            }
            job& running = add("running-" + id.str(), worker_processors - 0.5);
            running.state = job_state::placed;
            running.worker = id;
        }
    }
    const learned_sizes learned;
    const std::map<team_id, team_usage> no_usage;
    constexpr int rounds = 20;
    job_scheduler scheduler{{}};
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < rounds; ++n) {
        static_cast<void>(scheduler.decide({.now = wall_time(seconds(100)),
                                            .whole = whole,
                                            .pool = pool_name,
                                            .jobs = jobs,
                                            .learned = learned,
                                            .used_elsewhere = no_usage,
                                            .limits = {},
                                            .interactive_load = 0}));
    }
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / rounds * static_cast<double>(shape.pools);
}

constexpr std::array round_shapes{round_shape{"61 pools, room", 61, 1708, 2500},
                                  round_shape{"61 pools, room", 61, 1708, 5000},
                                  round_shape{"61 pools, room", 61, 1708, 10000},
                                  round_shape{"61 pools, full", 61, 1708, 10000, true},
                                  round_shape{"one pool, room", 1, 1700, 2500},
                                  round_shape{"one pool, room", 1, 1700, 5000},
                                  round_shape{"one pool, room", 1, 1700, 10000},
                                  round_shape{"one pool, room", 1, 1700, 20000},
                                  round_shape{"one pool, full", 1, 1700, 2500, true},
                                  round_shape{"one pool, full", 1, 1700, 5000, true},
                                  round_shape{"one pool, full", 1, 1700, 10000, true},
                                  round_shape{"one pool, full", 1, 1700, 20000, true},
                                  round_shape{"one pool, full", 1, 425, 10000, true},
                                  round_shape{"one pool, full", 1, 850, 10000, true}};

nlohmann::json compare(bool print)
{
    nlohmann::json rows;
    if (print) {
        fmt::print("{:<26}{:<22}{:>8}{:>8}{:>8}{:>7}{:>8}{:>12}{:>17}{:>11}{:>8}\n", "list", "way",
                   "workers", "missed", "warned", "moves", "failed", "urgent p99",
                   "interactive p99", "in load %", "needed");
    }
    for (const scenario& conditions : scenarios) {
        for (const placement_strategy& strategy : placement_strategies) {
            const simulation_result result = simulate(conditions, strategy, compared_workers);
            const std::size_t needed = workers_needed(conditions, strategy);
            rows.push_back({{"list", conditions.name},
                            {"way", strategy.name},
                            {"workers", result.workers},
                            {"missed", result.missed_deadlines},
                            {"warned", result.deadline_warnings},
                            {"moves", result.moves},
                            {"failed", result.failed},
                            {"undone", result.unfinished},
                            {"urgent_p99_ms", result.urgent_p99_ms},
                            {"interactive_p99_s", result.interactive_p99_s},
                            {"background_in_load", result.background_in_load},
                            {"workers_needed", needed}});
            if (print) {
                fmt::print(
                    "{:<26}{:<22}{:>8}{:>8}{:>8}{:>7}{:>8}{:>10.2f} s{:>15.2f} s{:>11.0f}{:>8}\n",
                    conditions.name, strategy.name, result.workers, result.missed_deadlines,
                    result.deadline_warnings, result.moves, result.failed,
                    result.urgent_p99_ms / 1000, result.interactive_p99_s,
                    result.background_in_load * 100,
                    needed > 0 ? std::to_string(needed) : fmt::format("> {}", max_workers));
            }
        }
    }
    return rows;
}

nlohmann::json time_rounds(bool print)
{
    nlohmann::json rows;
    for (const round_shape& shape : round_shapes) {
        const double elapsed = round_ms(shape);
        rows.push_back({{"shape", shape.name},
                        {"workers", shape.workers},
                        {"waiting", shape.waiting},
                        {"milliseconds", elapsed}});
        if (print) {
            fmt::print("round, {}, {} workers, {} waiting: {:.2f} ms, {:.0f} ns a job\n",
                       shape.name, shape.workers, shape.waiting, elapsed,
                       elapsed * 1e6 / static_cast<double>(shape.waiting));
        }
    }
    return rows;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("jobs_bench", "Placement of jobs against first fit, and its cost");
    options.add_options()("json", "print JSON")("rounds", "only the cost of rounds");
    const auto arguments = plantaindoor::bench::parse_or_exit(options, argc, argv);
    const bool print = arguments.count("json") == 0;
    nlohmann::json out;
    out["rounds"] = time_rounds(print);
    if (arguments.count("rounds") == 0) {
        out["placement"] = compare(print);
    }
    if (!print) {
        std::cout << out.dump(2) << '\n';
    }
    return 0;
}
