// Compares strategies for sharing the targets' slots among entries, on the same list of arrivals.
#include "arguments.hpp"

#include "slot_sharing.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

using namespace plantaindoor;
using namespace plantaindoor::bench;

namespace {

struct sharing_strategy {
    const char* name = nullptr;
    share_factory make_shares = nullptr;
};

constexpr std::array<sharing_strategy, 4> strategies{{
    {"fixed", request::make_fixed_shares},
    {"demand", request::make_demand_shares},
    {"optimistic", request::make_optimistic_shares},
    {"borrowing", request::make_borrowing_shares},
}};

constexpr double required_goodput = 0.999;

struct trial_row {
    const char* name = nullptr;
    trial_options options;
    bool overload = false;
};

const std::array<trial_row, 8> trials{{
    {"none", {}},
    {"report-1s", {.report_period = milliseconds{1000}}},
    {"freeze", {.injected_fault = fault::freeze}},
    {"peers-cut", {.injected_fault = fault::peers_disconnected}},
    {"death", {.injected_fault = fault::crash}},
    {"overload", {}, true},
    {"queueing", {.targets_queue = true}},
    {"q-overload", {.targets_queue = true}, true},
}};

struct size_row {
    const char* name = nullptr;
    std::size_t entries;
    std::size_t targets;
    double busy_slots;
};

trial_result run(const sharing_strategy& strategy, const size_row& size,
                 const std::vector<arrival>& workload, trial_options options = {})
{
    options.entries = size.entries;
    options.targets = size.targets;
    slot_trial trial(options, strategy.make_shares);
    return trial.run(workload);
}

/// Returns the smallest number of spare slots, in steps of whole targets, that reaches
/// `required_goodput`. Stops at three times the busy slots.
std::size_t spare_slots(const sharing_strategy& strategy, size_row size,
                        const std::vector<arrival>& workload)
{
    const auto busy = static_cast<std::size_t>(size.busy_slots);
    size.targets = busy / 8 + 1;
    while (size.targets * 8 < 3 * busy &&
           run(strategy, size, workload).goodput() < required_goodput) {
        ++size.targets;
    }
    return size.targets * 8 - busy;
}

nlohmann::json row(const char* size, const char* strategy, const char* trial_name,
                   const trial_result& result)
{
    return {{"size", size},
            {"way", strategy},
            {"fault", trial_name},
            {"goodput", result.goodput()},
            {"beyond_slots", result.beyond_slots},
            {"refused_by_entries", result.refused_by_entries},
            {"p50_wait_ms", result.p50_wait_ms},
            {"p99_wait_ms", result.p99_wait_ms},
            {"p99_urgent_wait_ms", result.p99_urgent_wait_ms},
            {"messages_per_second", result.messages_per_second}};
}

void print(const nlohmann::json& each)
{
    fmt::print("{:7} {:11} {:10} {:8.4f} {:8} {:8} {:8.2f} {:8.2f} {:8.2f} {:8.0f}\n",
               each["size"].get<std::string>(), each["way"].get<std::string>(),
               each["fault"].get<std::string>(), each["goodput"].get<double>(),
               each["beyond_slots"].get<std::size_t>(),
               each["refused_by_entries"].get<std::size_t>(), each["p50_wait_ms"].get<double>(),
               each["p99_wait_ms"].get<double>(), each["p99_urgent_wait_ms"].get<double>(),
               each["messages_per_second"].get<double>());
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("slots_bench", "Compares ways of sharing slots among entries.");
    usage.add_options()("json", "Print JSON.")("seconds", "Virtual length of a trial.",
                                               cxxopts::value<int>()->default_value("30"));
    const auto arguments = plantaindoor::bench::parse_or_exit(usage, argc, argv);
    const seconds length{arguments["seconds"].as<int>()};
    const std::array<size_row, 2> sizes{{{"today", 7, 10, 60}, {"target", 20, 28, 168}}};
    nlohmann::json all = nlohmann::json::array();
    if (arguments.count("json") == 0) {
        fmt::print("{:7} {:11} {:10} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n", "size", "way",
                   "trial", "goodput", "beyond", "refused", "p50 ms", "p99 ms", "urgent99",
                   "msg/s");
    }
    const auto add_result = [&](nlohmann::json each) {
        if (arguments.count("json") == 0) {
            print(each);
        }
        all.push_back(std::move(each));
    };
    for (const size_row& size : sizes) {
        const auto workload = make_workload(
            {.entries = size.entries, .busy_slots = size.busy_slots, .length = length});
        const auto overload = make_workload(
            {.entries = size.entries, .busy_slots = 3 * size.busy_slots, .length = length});
        for (const sharing_strategy& strategy : strategies) {
            for (const trial_row& each : trials) {
                trial_options options = each.options;
                options.length = length;
                add_result(row(size.name, strategy.name, each.name,
                               run(strategy, size, each.overload ? overload : workload, options)));
            }
            const std::size_t spare = spare_slots(strategy, size, workload);
            fmt::print(stderr, "{} {}: {} spare slots for goodput {}\n", size.name, strategy.name,
                       spare, required_goodput);
            all.push_back({{"size", size.name}, {"way", strategy.name}, {"spare_slots", spare}});
        }
    }
    if (arguments.count("json") > 0) {
        fmt::print("{}\n", all.dump(2));
    }
    return 0;
}
