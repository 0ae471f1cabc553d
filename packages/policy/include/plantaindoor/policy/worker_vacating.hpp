// Decides which short runs are stopped so that a worker's machine can be moved to another pool.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/long_running_reservations.hpp"

#include <cstddef>
#include <vector>

namespace plantaindoor::policy {

/// What it takes to have all short runs of a worker ended in time.
struct worker_vacating {
    /// They end in time without a stop.
    bool in_time = true;
    /// Until the last of them ends without a stop.
    milliseconds wait{0};
    /// The runs that would end too late, by their position, and what stopping them costs, in
    /// core-seconds.
    std::vector<std::size_t> stops;
    double cost = 0;
};

/// When a worker has to be vacated for long-running tasks of another pool.
class vacating_deadline {
public:
    /// `due`: when the worker must be free; a stop takes `stop_time`.
    vacating_deadline(time_point due, milliseconds stop_time) : m_due(due), m_stop_time(stop_time)
    {
    }

    /// Thread-safe, as are the others.
    [[nodiscard]] worker_vacating vacate(const std::vector<short_run>& runs, time_point now) const;
    /// Whether a stop can't be put off any longer; until then another worker may become free
    /// without one.
    [[nodiscard]] bool may_stop(time_point now) const { return now + m_stop_time >= m_due; }

private:
    time_point m_due;
    milliseconds m_stop_time;
};

} // namespace plantaindoor::policy
