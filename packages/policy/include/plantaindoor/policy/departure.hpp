// The time that is left on a worker that has announced that it leaves.
#pragma once

#include "plantaindoor/common/time.hpp"

#include <optional>

namespace plantaindoor::policy {

/// What is known of a worker's departure: until when its tasks may run on. Not thread-safe.
class departure {
public:
    explicit departure(time_point announced) : m_announced(announced) {}

    [[nodiscard]] time_point announced() const noexcept { return m_announced; }
    /// Records that the worker stays for at least that time from `now` on. The earliest end holds,
    /// as what was told may be old.
    void note_remaining(milliseconds remaining, time_point now);
    /// When a run there must be stopped at the latest in order to end before the worker does, where
    /// a stop takes `stop_time`. Until the worker has told how long it stays, it is given the time
    /// of one poll to do so.
    [[nodiscard]] time_point last_stop(milliseconds stop_time) const;

private:
    time_point m_announced;
    std::optional<time_point> m_leaves_at;
};

} // namespace plantaindoor::policy
