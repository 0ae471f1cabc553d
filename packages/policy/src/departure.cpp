#include "plantaindoor/policy/departure.hpp"

#include <algorithm>

namespace plantaindoor::policy {

namespace {

/// The longest time until a worker with runs answers a poll.
constexpr milliseconds poll_time{1100};
/// For the ways of the last report and of the stop, and for the round that decides on it.
constexpr milliseconds stop_margin{500};

} // namespace

void departure::note_remaining(milliseconds remaining, time_point now)
{
    m_leaves_at = std::min(now + remaining, m_leaves_at.value_or(time_point::max()));
}

time_point departure::last_stop(milliseconds stop_time) const
{
    return m_leaves_at ? *m_leaves_at - stop_time - stop_margin : m_announced + poll_time;
}

} // namespace plantaindoor::policy
