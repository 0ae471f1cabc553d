// Measures what a fleet costs an entry, by fleet size: memory, applying and coding a change, coding
// a snapshot, and decoding the registration rows.
#include "arguments.hpp"

#include "plantaindoor/version/codec.hpp"
#include "plantaindoor/version/delta.hpp"
#include "plantaindoor/version/registration.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <string>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

constexpr std::size_t instances_per_rack = 4;
constexpr std::size_t zones = 3;
constexpr std::size_t maintained_at_once = 60;

struct fleet_size {
    std::size_t instances;
    std::size_t pools;
    std::size_t teams;
};

constexpr fleet_size sizes[] = {{50, 61, 230}, {500, 61, 230}, {1700, 61, 230}};
constexpr std::size_t registered_entry_counts[] = {7, 60, 300};

template<class Id>
Id numbered(const char* prefix, std::size_t number)
{
    return Id(fmt::format("{}{:05}", prefix, number));
}

/// Creates a fleet with one service per team; each service uses one pool.
fleet fleet_of(const fleet_size& size)
{
    fleet whole{.version = 1};
    for (std::size_t n = 0; n < size.pools; ++n) {
        const auto id = numbered<pool_id>("pool-", n);
        whole.pools[id] = {.id = id};
    }
    for (std::size_t n = 0; n < size.teams; ++n) {
        const auto owner = numbered<team_id>("team-", n);
        const auto id = numbered<service_id>("service-", n);
        whole.teams[owner] = {.id = owner};
        whole.services[id] = {.id = id,
                              .team = owner,
                              .pools = {numbered<pool_id>("pool-", n % size.pools)},
                              .refusal_statuses = {503}};
    }
    for (std::size_t n = 0; n < size.instances; ++n) {
        const auto id = numbered<instance_id>("worker-", n);
        const std::size_t rack = n / instances_per_rack;
        whole.instances[id] = {.id = id,
                               .pool = numbered<pool_id>("pool-", n % size.pools),
                               .zone = numbered<availability_zone_id>("zone-", rack % zones),
                               .rack = numbered<rack_id>("rack-", rack),
                               .address = "10.100.200.30",
                               .port = 8080,
                               .processors = 64,
                               .memory_mb = 262144,
                               .accelerators = 2};
    }
    return whole;
}

/// Bytes currently allocated from the heap, as reported by the allocator.
std::size_t bytes_in_use()
{
    return mallinfo2().uordblks;
}

/// Processor time of one call in microseconds: the minimum of the rounds' means.
template<class Action>
double processor_time_us(int rounds, Action run)
{
    double min_us = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::clock_t begin = std::clock();
        int calls = 0;
        while (std::clock() - begin < CLOCKS_PER_SEC / 50) {
            run();
            ++calls;
        }
        const double elapsed_us = 1e6 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        const double mean_us = elapsed_us / calls;
        min_us = round == 0 ? mean_us : std::min(min_us, mean_us);
    }
    return min_us;
}

struct fleet_costs {
    std::size_t instances = 0;
    std::size_t memory_bytes = 0;
    std::size_t snapshot_bytes = 0;
    std::size_t delta_bytes = 0;
    double apply_us = 0;
    double encode_delta_us = 0;
    double decode_delta_us = 0;
    double encode_snapshot_us = 0;
    double decode_snapshot_us = 0;
};

fleet_costs measure(const fleet_size& size)
{
    constexpr int rounds = 5;
    const std::size_t before = bytes_in_use();
    const fleet whole = fleet_of(size);
    fleet_costs result{.instances = size.instances, .memory_bytes = bytes_in_use() - before};
    const delta drain{.version = 2,
                      .author = "operator:ann",
                      .reason = "replace the power supply",
                      .changes = {set_instance_state{.id = numbered<instance_id>("worker-", 7),
                                                     .state = instance_state::draining}}};
    const std::string snapshot = encode(whole);
    const std::string encoded_delta = encode(drain);
    result.snapshot_bytes = snapshot.size();
    result.delta_bytes = encoded_delta.size();
    result.apply_us = processor_time_us(rounds, [&] { return applied(whole, drain); });
    result.encode_delta_us = processor_time_us(rounds, [&] { return encode(drain); });
    result.decode_delta_us = processor_time_us(rounds, [&] { return decode_delta(encoded_delta); });
    result.encode_snapshot_us = processor_time_us(rounds, [&] { return encode(whole); });
    result.decode_snapshot_us = processor_time_us(rounds, [&] { return decode_fleet(snapshot); });
    return result;
}

struct registration_costs {
    std::size_t entries = 0;
    std::size_t scan_bytes = 0;
    double decode_scan_us = 0;
};

/// Measures the registration rows of a number of entries, each with requests in progress on all
/// instances that a wave has taken out.
registration_costs measure_registrations(std::size_t entries)
{
    std::vector<std::string> rows;
    registration_costs result{.entries = entries};
    for (std::size_t n = 0; n < entries; ++n) {
        registration row{.entry = numbered<entry_id>("entry-", n),
                         .incarnation = 0x123456789abcdef0,
                         .zone = numbered<availability_zone_id>("zone-", n % zones),
                         .peer_address = "10.100.200.30",
                         .peer_port = 9000,
                         .applied = 400000,
                         .lease_until = wall_time(seconds(1764800000))};
        for (std::size_t busy = 0; busy < maintained_at_once; ++busy) {
            row.busy.push_back(numbered<instance_id>("worker-", busy));
        }
        rows.push_back(encode(row));
        result.scan_bytes += rows.back().size();
    }
    result.decode_scan_us = processor_time_us(3, [&] {
        for (const std::string& each : rows) {
            static_cast<void>(decode_registration(each));
        }
    });
    return result;
}

nlohmann::json to_json(const fleet_costs& each)
{
    return {{"instances", each.instances},
            {"memory_bytes", each.memory_bytes},
            {"snapshot_bytes", each.snapshot_bytes},
            {"delta_bytes", each.delta_bytes},
            {"apply_us", each.apply_us},
            {"encode_delta_us", each.encode_delta_us},
            {"decode_delta_us", each.decode_delta_us},
            {"encode_snapshot_us", each.encode_snapshot_us},
            {"decode_snapshot_us", each.decode_snapshot_us}};
}

void print_json(const std::vector<fleet_costs>& fleets, const std::vector<registration_costs>& rows)
{
    nlohmann::json out;
    for (const fleet_costs& each : fleets) {
        out["fleets"].push_back(to_json(each));
    }
    for (const registration_costs& each : rows) {
        out["registrations"].push_back({{"entries", each.entries},
                                        {"scan_bytes", each.scan_bytes},
                                        {"decode_scan_us", each.decode_scan_us}});
    }
    std::cout << out.dump(2) << '\n';
}

void print_table(const std::vector<fleet_costs>& fleets,
                 const std::vector<registration_costs>& rows)
{
    fmt::print("{:>9}{:>10}{:>12}{:>8}{:>10}{:>12}{:>12}{:>14}{:>14}\n", "instances", "memory B",
               "snapshot B", "delta B", "apply us", "enc delta", "dec delta", "enc snapshot",
               "dec snapshot");
    for (const fleet_costs& each : fleets) {
        fmt::print("{:>9}{:>10}{:>12}{:>8}{:>10.1f}{:>12.2f}{:>12.2f}{:>14.0f}{:>14.0f}\n",
                   each.instances, each.memory_bytes, each.snapshot_bytes, each.delta_bytes,
                   each.apply_us, each.encode_delta_us, each.decode_delta_us,
                   each.encode_snapshot_us, each.decode_snapshot_us);
    }
    for (const registration_costs& each : rows) {
        fmt::print("registrations of {} entries: {} bytes a scan, decoded in {:.0f} us\n",
                   each.entries, each.scan_bytes, each.decode_scan_us);
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("fleet_bench", "Fleets, changes, snapshots and registration rows");
    options.add_options()("json", "print JSON");
    const bool json_wanted =
        plantaindoor::bench::parse_or_exit(options, argc, argv).count("json") > 0;
    std::vector<fleet_costs> fleets;
    for (const fleet_size& each : sizes) {
        fleets.push_back(measure(each));
    }
    std::vector<registration_costs> rows;
    for (const std::size_t each : registered_entry_counts) {
        rows.push_back(measure_registrations(each));
    }
    if (json_wanted) {
        print_json(fleets, rows);
    }
    else {
        print_table(fleets, rows);
    }
    return 0;
}
