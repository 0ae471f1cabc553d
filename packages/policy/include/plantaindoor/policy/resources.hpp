// Amounts of processor time, memory and accelerators.
#pragma once

#include <algorithm>
#include <cstdint>

namespace plantaindoor::policy {

/// Capacity of a worker, or the part of it that a task uses.
struct resources {
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    /// Whether a task that needs `need` fits into this capacity. Thread-safe.
    [[nodiscard]] bool can_fit(const resources& need) const noexcept
    {
        return need.cpu_millis <= cpu_millis && need.memory_mb <= memory_mb &&
               need.accelerators <= accelerators;
    }

    /// How many tasks that need `need` fit into this capacity; at most 1,000,000. Thread-safe.
    [[nodiscard]] std::int64_t count_fitting(const resources& need) const noexcept
    {
        std::int64_t count = 1'000'000;
        const auto limit = [&](std::int64_t free, std::int64_t needed) {
            count = needed > 0 ? std::min(count, std::max<std::int64_t>(free, 0) / needed) : count;
        };
        limit(cpu_millis, need.cpu_millis);
        limit(memory_mb, need.memory_mb);
        limit(accelerators, need.accelerators);
        return count;
    }

    resources& operator+=(const resources& other) noexcept
    {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other) noexcept
    {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator-(resources left, const resources& right) noexcept
    {
        return left -= right;
    }
    friend bool operator==(const resources&, const resources&) = default;
};

} // namespace plantaindoor::policy
