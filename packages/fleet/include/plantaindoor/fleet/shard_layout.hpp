// Divides the control of a large fleet into shards. Each shard has a leader of its own, which alone
// runs the shard's jobs on the shard's workers and orders the shard's machines.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/gateways.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::fleet {

/// Shards are numbered from 0.
using shard_number = std::uint32_t;

struct shard_layout_options {
    /// Largest number of machines that one leader controls.
    std::uint32_t machines_per_shard = 275;
    /// A pool isn't divided into smaller parts, since a step with one task per worker should find
    /// room in one part without many moves.
    std::uint32_t min_pool_part = 28;
    std::uint32_t max_shards = 64;
};

/// Which shard owns a job, and which a rack with its machines and workers. It is persisted when the
/// system first starts and never changes, so entries and leaders agree on it without further
/// messages. Immutable; thread-safe.
class shard_layout {
public:
    /// One shard that owns everything.
    shard_layout() = default;

    /// Divides the machines so that every shard has its part of each large pool, and whole small
    /// pools. The result depends on the arguments only, not on the order of the machines.
    [[nodiscard]] static shard_layout divide(const std::vector<machine_info>& machines,
                                             const fleet_config& config,
                                             const shard_layout_options& options);

    [[nodiscard]] shard_number count() const noexcept { return m_count; }
    [[nodiscard]] shard_number shard_of(const std::string& queue, const job_id& id) const;
    /// Number of shards that the queue's jobs are distributed over.
    [[nodiscard]] std::uint32_t shards_of(const std::string& queue) const;
    /// The owner of the machines in the rack and of their workers. A rack that was added later has
    /// an owner too.
    [[nodiscard]] shard_number owner_of(const rack_id& rack) const;

    friend bool operator==(const shard_layout&, const shard_layout&) = default;

private:
    friend std::string to_text(const shard_layout& layout);
    friend std::optional<shard_layout> parse_shard_layout(std::string_view text);

    shard_number m_count = 1;
    std::map<std::string, shard_number> m_racks;
    /// The shards that run each queue's jobs; those of other queues are run by all shards.
    std::map<std::string, std::vector<shard_number>> m_queues;
};

[[nodiscard]] std::string to_text(const shard_layout& layout);
/// No value for text that isn't a valid layout.
[[nodiscard]] std::optional<shard_layout> parse_shard_layout(std::string_view text);

/// A shard's share of a limit on machines that are down for one wave.
struct wave_share {
    std::uint32_t max_down = 1;
    /// Where there are fewer permits than shards, the shards take turns; a shard starts when all
    /// shards with a lower number than this have completed their part.
    shard_number first_of_turn = 0;
};

/// Divides `max_down` so that the shares of the shards of one turn add up to it, at most.
/// Thread-safe.
[[nodiscard]] wave_share share_of_wave(std::uint32_t max_down, shard_number shard,
                                       shard_number count);

} // namespace plantaindoor::fleet
