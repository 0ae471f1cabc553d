// The rows by which shards divide the workspaces' caps.
#pragma once

#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/policy/quota_division.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::fleet {

inline constexpr std::string_view quota_table = "quota";
/// The longest interval in a row, so that requests of a shard without a leader expire.
inline constexpr milliseconds max_quota_interval{10000};

/// Beside the claim of the shard's leader, on which its writes are conditioned.
[[nodiscard]] row_address quota_address(shard_number shard);

/// `write`: differs between writes, so that a request that stays the same is seen to be recent.
[[nodiscard]] std::string to_text(const policy::quota_row& row, std::uint64_t write);
/// Returns no value for text that isn't a valid row.
[[nodiscard]] std::optional<policy::quota_row> parse_quota_row(std::string_view text);

} // namespace plantaindoor::fleet
