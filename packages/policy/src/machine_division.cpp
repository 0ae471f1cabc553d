#include "plantaindoor/policy/machine_division.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace plantaindoor::policy {

namespace {

/// Absorbs the rounding of quotients.
constexpr double rounding_error = 1e-6;

/// May exceed the range of a single pool's demand.
std::uint64_t total(const std::vector<pool_need>& pools, machine_demand demand)
{
    return std::accumulate(pools.begin(), pools.end(), std::uint64_t{0},
                           [&](std::uint64_t sum, const auto& each) { return sum + each[demand]; });
}

machine_demand after(machine_demand demand)
{
    return static_cast<machine_demand>(static_cast<std::size_t>(demand) + 1);
}

} // namespace

std::vector<pool_share> machine_division::divide(const std::vector<pool_need>& pools,
                                                 std::uint32_t machines) const
{
    if (total(pools, machine_demand::all) <= machines) {
        std::vector<pool_share> shares;
        for (const pool_need& pool : pools) {
            const std::uint32_t needed = pool[machine_demand::all];
            shares.push_back({.keeps = needed, .receives_up_to = needed});
        }
        return shares;
    }
    return total(pools, machine_demand::required) > machines ? divide_required(pools, machines)
                                                             : divide_fairly(pools, machines);
}

std::vector<pool_share> machine_division::divide_fairly(const std::vector<pool_need>& pools,
                                                        std::uint32_t machines) const
{
    machine_demand met = machine_demand::required;
    while (total(pools, after(met)) <= machines) {
        met = after(met);
    }
    const machine_demand short_of = after(met);
    const double part =
        double(machines - total(pools, met)) / double(total(pools, short_of) - total(pools, met));
    std::vector<double> fair;
    for (const pool_need& pool : pools) {
        fair.push_back(pool[met] + double(pool[short_of] - pool[met]) * part);
    }
    const std::vector<std::uint32_t> whole = whole_shares(pools, fair, machines);
    std::vector<pool_share> shares;
    for (std::size_t pool = 0; pool < pools.size(); ++pool) {
        const std::uint32_t present = pools[pool].present;
        const double tolerated = std::max(1.0, fair[pool] * m_options.tolerated_shortfall);
        const bool receives = pools[pool].receiving ||
                              present < pools[pool][machine_demand::required] ||
                              present + tolerated <= fair[pool] + rounding_error;
        shares.push_back(
            {.keeps = whole[pool],
             .receives_up_to = receives ? whole[pool] : std::min(whole[pool], present)});
    }
    return shares;
}

std::vector<std::uint32_t> machine_division::whole_shares(const std::vector<pool_need>& pools,
                                                          const std::vector<double>& fair,
                                                          std::uint32_t machines)
{
    std::vector<std::uint32_t> whole;
    std::vector<std::size_t> by_remainder;
    for (std::size_t pool = 0; pool < pools.size(); ++pool) {
        whole.push_back(static_cast<std::uint32_t>(std::floor(fair[pool] + rounding_error)));
        machines -= whole.back();
        by_remainder.push_back(pool);
    }
    // Of equal remainders, that of a pool which has the machine already goes first.
    const auto rank = [&](std::size_t pool) {
        const pool_need& need = pools[pool];
        return std::tuple(std::round((whole[pool] - fair[pool]) / rounding_error),
                          need.present <= whole[pool], -need.short_for, need.up_to, need.present);
    };
    std::stable_sort(by_remainder.begin(), by_remainder.end(),
                     [&](auto left, auto right) { return rank(left) < rank(right); });
    for (std::uint32_t each = 0; each < machines; ++each) {
        ++whole[by_remainder[each]];
    }
    return whole;
}

std::vector<pool_share> machine_division::divide_required(const std::vector<pool_need>& pools,
                                                          std::uint32_t machines) const
{
    std::vector<std::uint32_t> given(pools.size(), 0);
    const auto lacks = [&](std::size_t pool) {
        return given[pool] < pools[pool][machine_demand::required];
    };
    // The pool with the smallest part of what it requires comes first; of those with the same, the
    // one that has been short for longest, where one that has the machine already counts as such.
    const auto rank = [&](std::size_t pool) {
        const pool_need& need = pools[pool];
        const bool has_it = need.present > given[pool];
        const milliseconds wait = need.short_for + (has_it ? m_options.turn : milliseconds(0));
        return std::tuple(double(given[pool]) / need[machine_demand::required], -wait, !has_it,
                          need.up_to, need.present);
    };
    for (std::uint32_t left = machines; left > 0; --left) {
        std::size_t next = pools.size();
        for (std::size_t pool = 0; pool < pools.size(); ++pool) {
            if (lacks(pool) && (next == pools.size() || rank(pool) < rank(next))) {
                next = pool;
            }
        }
        ++given[next];
    }
    std::vector<pool_share> shares;
    for (const std::uint32_t each : given) {
        shares.push_back({.keeps = each, .receives_up_to = each});
    }
    return shares;
}

} // namespace plantaindoor::policy
