// Amounts of processor time, memory and accelerators.
#pragma once

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
