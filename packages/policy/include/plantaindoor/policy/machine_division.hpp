// Divides machines among the pools that need them.
#pragma once

#include "plantaindoor/common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaindoor::policy {

/// The demands that machines are given to, the most valuable first. When there are too few machines
/// for all, no pool gets any for a later demand before every pool has them for the earlier ones.
enum class machine_demand : std::size_t {
    /// What the pool can't do without: its long-running tasks, and one machine for any work.
    required,
    /// All work that can still be completed in time.
    timely,
    /// All work that is still worth something to its callers.
    valuable,
    /// All work.
    all,
};
inline constexpr std::size_t machine_demand_count = 4;

/// What a pool has and needs, in machines.
struct pool_need {
    std::uint32_t present = 0;
    /// Up to and including each demand, so that none is smaller than the one before.
    std::array<std::uint32_t, machine_demand_count> up_to{};
    /// How long the pool has had less than it requires.
    milliseconds short_for{0};
    /// Whether machines are being vacated for the pool.
    bool receiving = false;

    [[nodiscard]] std::uint32_t& operator[](machine_demand demand)
    {
        return up_to[static_cast<std::size_t>(demand)];
    }
    [[nodiscard]] std::uint32_t operator[](machine_demand demand) const
    {
        return up_to[static_cast<std::size_t>(demand)];
    }
};

/// A pool's part of the machines.
struct pool_share {
    /// The pool gives a machine only while it has more than these, and gets any that others don't
    /// need while it has fewer.
    std::uint32_t keeps = 0;
    /// The pool gets machines that others need while it has fewer than these; not above `keeps`.
    std::uint32_t receives_up_to = 0;
};

struct machine_division_options {
    /// A pool begins to get machines that others need only once it lacks this part of its share,
    /// and a whole machine: a machine that is moved serves nobody for a while.
    double tolerated_shortfall = 0.125;
    /// Where the pools require more machines than there are, one goes to another pool once that has
    /// been short for this much longer.
    milliseconds turn{6000};
};

/// Thread-safe, as it is immutable.
class machine_division {
public:
    explicit machine_division(machine_division_options options = {}) : m_options(options) {}

    /// Divides `machines`, which are those present in all pools and any in reserve. With enough for
    /// all, each pool's share is what it needs; otherwise the demand that can't be met for all is
    /// met for the same part of what each pool lacks. The order of the pools only decides between
    /// pools whose needs are the same.
    [[nodiscard]] std::vector<pool_share> divide(const std::vector<pool_need>& pools,
                                                 std::uint32_t machines) const;

private:
    [[nodiscard]] std::vector<pool_share> divide_required(const std::vector<pool_need>& pools,
                                                          std::uint32_t machines) const;
    [[nodiscard]] std::vector<pool_share> divide_fairly(const std::vector<pool_need>& pools,
                                                        std::uint32_t machines) const;
    /// The fair shares as whole machines, which are `machines` together.
    [[nodiscard]] static std::vector<std::uint32_t>
    whole_shares(const std::vector<pool_need>& pools, const std::vector<double>& fair,
                 std::uint32_t machines);

    machine_division_options m_options;
};

} // namespace plantaindoor::policy
