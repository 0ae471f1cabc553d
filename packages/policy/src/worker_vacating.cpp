#include "plantaindoor/policy/worker_vacating.hpp"

#include <algorithm>

namespace plantaindoor::policy {

worker_vacating vacating_deadline::vacate(const std::vector<short_run>& runs, time_point now) const
{
    // A stop has no effect earlier than a stop takes.
    const milliseconds limit =
        std::max(std::chrono::duration_cast<milliseconds>(m_due - now), m_stop_time);
    // What was expected to end in time hasn't.
    const bool overdue = now > m_due;
    worker_vacating result;
    for (std::size_t at = 0; at < runs.size(); ++at) {
        const short_run& run = runs[at];
        const milliseconds remaining = expected_remaining(run, m_stop_time);
        result.wait = std::max(result.wait, remaining);
        if (!run.stopping && (overdue || remaining > limit)) {
            result.in_time = false;
            result.stops.push_back(at);
            result.cost += stop_cost(run);
        }
    }
    return result;
}

} // namespace plantaindoor::policy
