// Measures the cost of choosing a target at several fleet sizes, compared with a linear scan.
#include "arguments.hpp"

#include "fakes/uniform_fleet.hpp"
#include "plantaindoor/request/router.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::request;

namespace {

const service_id service("s0");

/// Mean time of one call, measured on the system's steady clock. The router is given a fixed time.
double mean_nanoseconds(std::size_t count, const auto& run)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        run(i);
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / static_cast<double>(count);
}

/// Chooses the least loaded usable target of the service by scanning the fleet.
class scanning_router {
public:
    explicit scanning_router(const version::fleet& fleet) : m_fleet(fleet) {}

    const instance_id* choose()
    {
        const version::service& requested = m_fleet.services.at(service);
        const version::instance* best = nullptr;
        std::uint32_t best_load = 0;
        for (const auto& [id, instance] : m_fleet.instances) {
            const bool serves = std::ranges::count(requested.pools, instance.pool) > 0 &&
                                instance.state == version::instance_state::admitted;
            const std::uint32_t load = serves ? m_in_progress[id] : instance.slots;
            if (load < instance.slots && (best == nullptr || load < best_load)) {
                best = &instance;
                best_load = load;
            }
        }
        ++m_in_progress[best->id];
        return &best->id;
    }
    void release(const instance_id& id) { --m_in_progress[id]; }

private:
    const version::fleet& m_fleet;
    std::map<instance_id, std::uint32_t> m_in_progress;
};

struct measurement {
    std::size_t targets = 0;
    double router_ns = 0;
    double scan_ns = 0;
    double change_us = 0;
};

router make_router(const version::fleet& fleet)
{
    router result({.zone = availability_zone_id("z0")},
                  make_fixed_shares({.self = entry_id("e0")}));
    result.update(fleet, time_point{});
    return result;
}

/// Mean time of a decision in nanoseconds. Half of the slots are in use throughout.
double measure_router(const version::fleet& fleet, std::size_t decisions)
{
    router subject = make_router(fleet);
    const tried_targets tried;
    const route_query query{.service = service, .tried = &tried};
    std::vector<target_index> slots_in_use;
    for (std::size_t i = 0; i < fleet.instances.size() * 4; ++i) {
        slots_in_use.push_back(*subject.choose(query, time_point{}));
    }
    return mean_nanoseconds(decisions, [&](std::size_t i) {
        target_index& slot = slots_in_use[i % slots_in_use.size()];
        subject.free_slot(slot);
        subject.end_attempt(slot, service, attempt_result::answered, milliseconds{20},
                            time_point{});
        slot = *subject.choose(query, time_point{});
    });
}

double measure_scan(const version::fleet& fleet, std::size_t decisions)
{
    scanning_router subject(fleet);
    std::vector<const instance_id*> slots_in_use;
    for (std::size_t i = 0; i < fleet.instances.size() * 4; ++i) {
        slots_in_use.push_back(subject.choose());
    }
    return mean_nanoseconds(decisions, [&](std::size_t i) {
        const instance_id*& slot = slots_in_use[i % slots_in_use.size()];
        subject.release(*slot);
        slot = subject.choose();
    });
}

/// Mean time in nanoseconds to apply a fleet in which one instance was drained or readmitted.
double measure_change(version::fleet fleet, std::size_t changes)
{
    router subject = make_router(fleet);
    return mean_nanoseconds(changes, [&](std::size_t i) {
        version::instance& changed = fleet.instances.begin()->second;
        changed.state =
            i % 2 == 0 ? version::instance_state::draining : version::instance_state::admitted;
        changed.state_version = ++fleet.version;
        subject.update(fleet, time_point{});
    });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("routing_bench", "Cost of routing one request.");
    usage.add_options()("json",
                        "Print JSON.")("decisions", "Decisions for each size.",
                                       cxxopts::value<std::size_t>()->default_value("1000000"));
    const auto arguments = plantaindoor::bench::parse_or_exit(usage, argc, argv);
    const auto decisions = arguments["decisions"].as<std::size_t>();
    std::vector<measurement> rows;
    for (const std::size_t targets : {std::size_t{50}, std::size_t{500}, std::size_t{1700}}) {
        const auto fleet = fakes::uniform_fleet({.instances_per_pool = targets});
        rows.push_back({.targets = targets,
                        .router_ns = measure_router(*fleet, decisions),
                        .scan_ns = measure_scan(*fleet, decisions / targets),
                        .change_us = measure_change(*fleet, 1000) / 1000});
    }
    if (arguments.count("json") > 0) {
        nlohmann::json all = nlohmann::json::array();
        for (const measurement& each : rows) {
            all.push_back({{"targets", each.targets},
                           {"router_ns", each.router_ns},
                           {"scan_ns", each.scan_ns},
                           {"change_us", each.change_us}});
        }
        fmt::print("{}\n", all.dump(2));
        return 0;
    }
    fmt::print("{:>8} {:>16} {:>16} {:>20}\n", "targets", "router ns/req", "scan ns/req",
               "one change, us");
    for (const measurement& each : rows) {
        fmt::print("{:8} {:16.0f} {:16.0f} {:20.1f}\n", each.targets, each.router_ns, each.scan_ns,
                   each.change_us);
    }
    return 0;
}
