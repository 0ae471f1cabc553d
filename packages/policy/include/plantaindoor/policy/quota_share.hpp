// Shares of a workspace's cap, which are divided between the shards.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/policy/resources.hpp"

#include <cstdint>

namespace plantaindoor::policy {

/// The units into which each amount of a cap is divided. A share counts units, not amounts, so that
/// it stays valid when the cap changes. Divisible by 1 to 16, so that small caps, such as those on
/// accelerators, are divided without a remainder.
inline constexpr std::int64_t quota_units = 720720;
/// Larger amounts are treated as this one, so that neither sums nor products with quota_units
/// overflow.
inline constexpr std::int64_t max_quota_amount = 10'000'000'000;

/// A part of a workspace's cap, in units.
struct quota_share {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;

    quota_share& operator+=(const quota_share& other) noexcept;
    quota_share& operator-=(const quota_share& other) noexcept;
    friend quota_share operator-(quota_share left, const quota_share& right) noexcept
    {
        return left -= right;
    }
    friend bool operator==(const quota_share&, const quota_share&) = default;
};

/// All functions are thread-safe.
[[nodiscard]] quota_share smaller_of(const quota_share& left, const quota_share& right) noexcept;
[[nodiscard]] quota_share larger_of(const quota_share& left, const quota_share& right) noexcept;
/// Whether every count is zero.
[[nodiscard]] bool is_empty(const quota_share& share) noexcept;

/// A shard's share before any transfer. The shares of all shards add up to all units. Requires
/// `shard` < `shards`.
[[nodiscard]] quota_share base_share(const workspace_id& workspace, std::uint32_t shard,
                                     std::uint32_t shards);

/// Whether `need` can be added to the amounts. Those that aren't needed or have no cap don't
/// matter, even if they exceed the share. `may_exceed`: the amounts may exceed the cap by this need
/// where the share is the whole cap, so that no other shard starts anything, and isn't used up.
[[nodiscard]] bool can_add(const resources& amounts, const resources& need,
                           const quota_share& share, const resources& cap,
                           bool may_exceed) noexcept;
/// The share of the cap that the amounts take up, rounded up; at most the whole of each.
[[nodiscard]] quota_share units_of(const resources& amounts, const resources& cap) noexcept;
/// The amounts that a share of the cap stands for, rounded down; zero where the cap is.
[[nodiscard]] resources amounts_of(const quota_share& share, const resources& cap) noexcept;

} // namespace plantaindoor::policy
