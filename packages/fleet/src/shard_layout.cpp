#include "plantaindoor/fleet/shard_layout.hpp"

#include "plantaindoor/common/hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>
#include <set>

namespace plantaindoor::fleet {

namespace {

using nlohmann::json;

/// The lower bits of a job's hash select its partition in the store.
constexpr unsigned shard_hash_shift = 32;

using rack_sizes = std::map<std::string, std::uint32_t>;

/// The shards with the fewest machines so far.
std::vector<shard_number> least_loaded(const std::vector<std::uint32_t>& loads, std::size_t wanted)
{
    std::vector<shard_number> shards(loads.size());
    std::iota(shards.begin(), shards.end(), 0);
    std::stable_sort(shards.begin(), shards.end(), [&](shard_number left, shard_number right) {
        return loads[left] < loads[right];
    });
    shards.resize(wanted);
    std::sort(shards.begin(), shards.end());
    return shards;
}

} // namespace

shard_layout shard_layout::divide(const std::vector<machine_info>& machines,
                                  const fleet_config& config, const shard_layout_options& options)
{
    shard_layout layout;
    const auto machine_count = static_cast<std::uint32_t>(machines.size());
    const std::uint32_t wanted =
        (machine_count + options.machines_per_shard - 1) / options.machines_per_shard;
    const bool racks_known = std::none_of(machines.begin(), machines.end(),
                                          [](const auto& each) { return each.rack.empty(); });
    layout.m_count = racks_known ? std::clamp(wanted, 1U, options.max_shards) : 1U;
    if (layout.m_count == 1) {
        return layout;
    }
    std::map<service_id, rack_sizes> pools;
    for (const machine_info& machine : machines) {
        ++pools[machine.pool][machine.rack.str()];
    }
    std::set<service_id> serving;
    for (const queue_route& route : config.routes) {
        serving.insert(route.queue.service);
    }
    std::vector<std::uint32_t> loads(layout.m_count);
    std::map<service_id, std::vector<shard_number>> shards_of_pool;
    for (const auto& [pool, racks] : pools) {
        const auto size =
            std::accumulate(racks.begin(), racks.end(), 0U,
                            [](std::uint32_t sum, const auto& each) { return sum + each.second; });
        // Machines of a pool without queues are spare ones, which every shard may need.
        const auto parts = serving.contains(pool)
                               ? std::clamp(size / options.min_pool_part, 1U, layout.m_count)
                               : layout.m_count;
        const auto& shards = shards_of_pool[pool] = least_loaded(loads, parts);
        std::map<shard_number, std::uint32_t> part_sizes;
        for (const auto& [rack, machines_in_rack] : racks) {
            const shard_number smallest = *std::min_element(
                shards.begin(), shards.end(), [&](shard_number left, shard_number right) {
                    return part_sizes[left] < part_sizes[right];
                });
            const shard_number owner = layout.m_racks.try_emplace(rack, smallest).first->second;
            part_sizes[owner] += machines_in_rack;
            loads[owner] += machines_in_rack;
        }
    }
    for (const queue_route& route : config.routes) {
        if (const auto pool = shards_of_pool.find(route.queue.service);
            pool != shards_of_pool.end()) {
            layout.m_queues[route.queue.name] = pool->second;
        }
    }
    return layout;
}

shard_number shard_layout::shard_of(const std::string& queue, const job_id& id) const
{
    const auto hash = hash64(id.str()) >> shard_hash_shift;
    const auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        return static_cast<shard_number>(hash % m_count);
    }
    return found->second[hash % found->second.size()];
}

std::uint32_t shard_layout::shards_of(const std::string& queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? m_count : static_cast<std::uint32_t>(found->second.size());
}

shard_number shard_layout::owner_of(const rack_id& rack) const
{
    const auto found = m_racks.find(rack.str());
    return found != m_racks.end() ? found->second
                                  : static_cast<shard_number>(hash64(rack.str()) % m_count);
}

std::string to_text(const shard_layout& layout)
{
    return json{{"shards", layout.m_count}, {"racks", layout.m_racks}, {"queues", layout.m_queues}}
        .dump();
}

std::optional<shard_layout> parse_shard_layout(std::string_view text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    shard_layout layout;
    try {
        parsed.at("shards").get_to(layout.m_count);
        parsed.at("racks").get_to(layout.m_racks);
        parsed.at("queues").get_to(layout.m_queues);
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    const auto exists = [&](shard_number shard) { return shard < layout.m_count; };
    const bool valid =
        layout.m_count > 0 &&
        std::all_of(layout.m_racks.begin(), layout.m_racks.end(),
                    [&](const auto& each) { return exists(each.second); }) &&
        std::all_of(layout.m_queues.begin(), layout.m_queues.end(), [&](const auto& each) {
            return !each.second.empty() &&
                   std::all_of(each.second.begin(), each.second.end(), exists);
        });
    return valid ? std::optional(std::move(layout)) : std::nullopt;
}

wave_share share_of_wave(std::uint32_t max_down, shard_number shard, shard_number count)
{
    const std::uint32_t permits = std::max(max_down, 1U);
    if (permits < count) {
        return {.max_down = 1, .first_of_turn = shard / permits * permits};
    }
    return {.max_down = permits / count + (shard < permits % count ? 1U : 0U), .first_of_turn = 0};
}

} // namespace plantaindoor::fleet
