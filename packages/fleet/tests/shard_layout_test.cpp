#include "plantaindoor/fleet/shard_layout.hpp"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

constexpr std::uint32_t machines_per_rack = 8;

struct pool_size {
    std::string name;
    std::uint32_t machines = 0;
};

std::vector<machine_info> machines_of(const std::vector<pool_size>& pools)
{
    std::vector<machine_info> machines;
    for (const pool_size& pool : pools) {
        for (std::uint32_t machine = 0; machine < pool.machines; ++machine) {
            machines.push_back(
                {.machine = fmt::format("{}-{}", pool.name, machine),
                 .pool = service_id(pool.name),
                 .rack = rack_id(fmt::format("r-{}-{}", pool.name, machine / machines_per_rack))});
        }
    }
    return machines;
}

fleet_config config_with_queues(const std::vector<pool_size>& pools)
{
    fleet_config config;
    for (const pool_size& pool : pools) {
        config.routes.push_back(
            {.queue = {.name = "q-" + pool.name, .service = service_id(pool.name)}});
    }
    return config;
}

using part_sizes = std::map<service_id, std::map<shard_number, std::uint32_t>>;

part_sizes parts_of(const std::vector<machine_info>& machines, const shard_layout& layout)
{
    part_sizes parts;
    for (const machine_info& machine : machines) {
        ++parts[machine.pool][layout.owner_of(machine.rack)];
    }
    return parts;
}

job_id job_number(std::uint32_t number)
{
    return job_id(fmt::format("{:016x}", number));
}

} // namespace

TEST_CASE("a fleet that one leader can control isn't divided")
{
    const std::vector<pool_size> pools{{"a", 60}, {"b", 60}, {"c", 60}, {"d", 60}, {"e", 35}};
    const shard_layout layout =
        shard_layout::divide(machines_of(pools), config_with_queues(pools), {});
    CHECK(layout.count() == 1);
    CHECK(layout == shard_layout());
}

TEST_CASE("a fleet a little larger than that has two shards, with half of each pool")
{
    const std::vector<pool_size> pools{{"a", 62}, {"b", 70}, {"c", 77}, {"d", 85}, {"e", 56}};
    const auto machines = machines_of(pools);
    const shard_layout layout = shard_layout::divide(machines, config_with_queues(pools), {});
    REQUIRE(layout.count() == 2);
    for (const auto& [pool, parts] : parts_of(machines, layout)) {
        INFO(pool);
        CHECK(parts.size() == 2);
        for (const auto& [shard, size] : parts) {
            CHECK(size >= 24);
        }
    }
}

TEST_CASE("each shard gets an even part of every large pool, in whole racks")
{
    const std::vector<pool_size> pools{{"a", 195}, {"b", 219}, {"c", 243}, {"d", 266}, {"e", 177}};
    const auto machines = machines_of(pools);
    const shard_layout layout = shard_layout::divide(machines, config_with_queues(pools), {});
    REQUIRE(layout.count() == 4);
    for (const auto& [pool, parts] : parts_of(machines, layout)) {
        INFO(pool);
        CHECK(parts.size() == 4);
        for (const auto& [shard, size] : parts) {
            CHECK(size >= 40);
        }
        const auto [smallest, largest] = std::minmax_element(
            parts.begin(), parts.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        CHECK(largest->second - smallest->second <= machines_per_rack);
    }
}

TEST_CASE("small pools stay whole, and their jobs are where their machines are")
{
    std::vector<pool_size> pools;
    for (std::uint32_t number = 0; number < 61; ++number) {
        pools.push_back({fmt::format("p{}", number), 28});
    }
    const auto machines = machines_of(pools);
    const shard_layout layout = shard_layout::divide(machines, config_with_queues(pools), {});
    REQUIRE(layout.count() == 7);
    std::map<shard_number, std::uint32_t> sizes;
    for (const auto& [pool, parts] : parts_of(machines, layout)) {
        REQUIRE(parts.size() == 1);
        CHECK(layout.shards_of("q-" + pool.str()) == 1);
        sizes[parts.begin()->first] += parts.begin()->second;
        for (std::uint32_t number = 0; number < 20; ++number) {
            CHECK(layout.shard_of("q-" + pool.str(), job_number(number)) == parts.begin()->first);
        }
    }
    for (const auto& [shard, size] : sizes) {
        CHECK(size >= 224);
        CHECK(size <= 252);
    }
}

TEST_CASE("spare machines, in a pool that no queue uses, are divided among all shards")
{
    const std::vector<pool_size> pools{{"a", 500}, {"b", 500}};
    auto machines = machines_of(pools);
    for (const machine_info& spare : machines_of({{"spare", 40}})) {
        machines.push_back(spare);
    }
    const shard_layout layout = shard_layout::divide(machines, config_with_queues(pools), {});
    REQUIRE(layout.count() == 4);
    CHECK(parts_of(machines, layout).at(service_id("spare")).size() == 4);
}

TEST_CASE("the division doesn't depend on the order of the machines")
{
    const std::vector<pool_size> pools{{"a", 300}, {"b", 500}, {"c", 30}};
    auto machines = machines_of(pools);
    const shard_layout first = shard_layout::divide(machines, config_with_queues(pools), {});
    std::shuffle(machines.begin(), machines.end(), std::mt19937_64(1));
    CHECK(shard_layout::divide(machines, config_with_queues(pools), {}) == first);
}

TEST_CASE("jobs spread over the shards of their queue, and over all for a queue added later")
{
    const std::vector<pool_size> pools{{"a", 500}, {"b", 500}};
    const shard_layout layout =
        shard_layout::divide(machines_of(pools), config_with_queues(pools), {});
    REQUIRE(layout.count() == 4);
    for (const std::string queue : {"q-a", "added later"}) {
        CHECK(layout.shards_of(queue) == 4);
        std::map<shard_number, int> jobs;
        for (std::uint32_t number = 0; number < 4000; ++number) {
            ++jobs[layout.shard_of(queue, job_number(number))];
        }
        for (shard_number shard = 0; shard < 4; ++shard) {
            CHECK(jobs[shard] > 850);
        }
    }
}

TEST_CASE("a layout is read back as written; text that isn't a valid one is refused")
{
    const std::vector<pool_size> pools{{"a", 400}, {"b", 300}};
    const shard_layout layout =
        shard_layout::divide(machines_of(pools), config_with_queues(pools), {});
    CHECK(parse_shard_layout(to_text(layout)) == layout);
    for (const std::string_view text : {"", "[]", "{}", R"({"shards":0,"racks":{},"queues":{}})",
                                        R"({"shards":2,"racks":{"r":2},"queues":{}})",
                                        R"({"shards":2,"racks":{},"queues":{"q":[]}})",
                                        R"({"shards":2,"racks":{},"queues":{"q":[0,2]}})",
                                        R"({"shards":"two","racks":{},"queues":{}})"}) {
        INFO(text);
        CHECK_FALSE(parse_shard_layout(text));
    }
}

TEST_CASE("the shards' shares of a wave's limit never exceed it while they run together")
{
    for (std::uint32_t max_down = 1; max_down < 30; ++max_down) {
        for (shard_number count = 1; count < 12; ++count) {
            std::map<shard_number, std::uint32_t> down_by_turn;
            for (shard_number shard = 0; shard < count; ++shard) {
                const wave_share share = share_of_wave(max_down, shard, count);
                CHECK(share.max_down >= 1);
                CHECK(share.first_of_turn <= shard);
                down_by_turn[share.first_of_turn] += share.max_down;
            }
            for (const auto& [turn, down] : down_by_turn) {
                CHECK(down <= max_down);
            }
            CHECK(down_by_turn.begin()->second == max_down);
        }
    }
}
