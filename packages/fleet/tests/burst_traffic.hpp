// Traffic of a contended fleet: each service gets little work all the time, and much in a burst.
#pragma once

#include "contended_fleet.hpp"

#include <optional>
#include <vector>

namespace plantaindoor::fleet::testing {

/// Work that arrives from `begin` to `end`, in tasks' run time per unit of time: the number of
/// tasks that run if none waits.
struct traffic_interval {
    std::size_t service = 0;
    milliseconds begin{0};
    milliseconds end{0};
    double load = 0;
    std::optional<shard_number> shard = std::nullopt;
    /// Jobs have a second step of tasks of which no two fit on one worker.
    bool has_wide_step = false;
};

/// Not synchronised.
class burst_traffic {
public:
    explicit burst_traffic(contended_fleet& fleet) : m_fleet(fleet), m_start(fleet.now()) {}

    /// Times count from the creation of this object.
    void add(const traffic_interval& interval) { m_intervals.push_back({interval, 0}); }
    /// Submits what arrives until this time, and advances the fleet.
    void run_until(milliseconds end);
    [[nodiscard]] milliseconds now() const { return m_fleet.now() - m_start; }

private:
    struct active_interval {
        traffic_interval interval;
        /// Work that has arrived in excess of what has been submitted, in milliseconds of run time.
        double due = 0;
    };

    void submit(active_interval& from);

    contended_fleet& m_fleet;
    milliseconds m_start;
    std::vector<active_interval> m_intervals;
};

} // namespace plantaindoor::fleet::testing
