#include "plantaindoor/policy/quota_share.hpp"

#include "plantaindoor/common/hash.hpp"

#include <algorithm>

namespace plantaindoor::policy {

namespace {

/// The amount that a share stands for, rounded down.
std::int64_t amount_of(std::int64_t units, std::int64_t cap) noexcept
{
    const std::int64_t bounded = std::clamp<std::int64_t>(cap, 0, max_quota_amount);
    return std::clamp<std::int64_t>(units, 0, quota_units) * bounded / quota_units;
}

std::int64_t units_of(std::int64_t amount, std::int64_t cap) noexcept
{
    if (cap <= 0) {
        return 0;
    }
    const std::int64_t bounded = std::min(cap, max_quota_amount);
    const std::int64_t used = std::clamp<std::int64_t>(amount, 0, bounded);
    return (used * quota_units + bounded - 1) / bounded;
}

bool can_add(std::int64_t amount, std::int64_t need, std::int64_t units, std::int64_t cap,
             bool may_exceed) noexcept
{
    if (cap <= 0 || need <= 0) {
        return true;
    }
    return (need <= cap && amount <= amount_of(units, cap) - need) ||
           (may_exceed && units >= quota_units && amount < cap);
}

} // namespace

quota_share& quota_share::operator+=(const quota_share& other) noexcept
{
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
}

quota_share& quota_share::operator-=(const quota_share& other) noexcept
{
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
}

quota_share smaller_of(const quota_share& left, const quota_share& right) noexcept
{
    return {.cpu = std::min(left.cpu, right.cpu),
            .memory = std::min(left.memory, right.memory),
            .accelerators = std::min(left.accelerators, right.accelerators)};
}

quota_share larger_of(const quota_share& left, const quota_share& right) noexcept
{
    return {.cpu = std::max(left.cpu, right.cpu),
            .memory = std::max(left.memory, right.memory),
            .accelerators = std::max(left.accelerators, right.accelerators)};
}

bool is_empty(const quota_share& share) noexcept
{
    return share == quota_share{};
}

quota_share base_share(const workspace_id& workspace, std::uint32_t shard, std::uint32_t shards)
{
    // The remainder goes to different shards for different workspaces.
    const auto first = static_cast<std::uint32_t>(hash64(workspace.str()) % shards);
    const std::uint32_t position = (shard + shards - first) % shards;
    const std::int64_t units = quota_units / shards + (position < quota_units % shards ? 1 : 0);
    return {.cpu = units, .memory = units, .accelerators = units};
}

bool can_add(const resources& amounts, const resources& need, const quota_share& share,
             const resources& cap, bool may_exceed) noexcept
{
    return can_add(amounts.cpu_millis, need.cpu_millis, share.cpu, cap.cpu_millis, may_exceed) &&
           can_add(amounts.memory_mb, need.memory_mb, share.memory, cap.memory_mb, may_exceed) &&
           can_add(amounts.accelerators, need.accelerators, share.accelerators, cap.accelerators,
                   may_exceed);
}

quota_share units_of(const resources& amounts, const resources& cap) noexcept
{
    return {.cpu = units_of(amounts.cpu_millis, cap.cpu_millis),
            .memory = units_of(amounts.memory_mb, cap.memory_mb),
            .accelerators = units_of(amounts.accelerators, cap.accelerators)};
}

resources amounts_of(const quota_share& share, const resources& cap) noexcept
{
    return {.cpu_millis = amount_of(share.cpu, cap.cpu_millis),
            .memory_mb = amount_of(share.memory, cap.memory_mb),
            .accelerators = amount_of(share.accelerators, cap.accelerators)};
}

} // namespace plantaindoor::policy
