// An event loop in virtual time: timers run in order when the test advances the clock.
#pragma once

#include "plantaindoor/common/event_loop.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace plantaindoor::fakes {

/// Descriptors are never ready. Not synchronised: post() only from the test's thread.
class virtual_loop final : public event_loop {
public:
    [[nodiscard]] time_point now() const override { return m_now; }
    [[nodiscard]] wall_time wall_now() const override
    {
        return wall_time(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()));
    }

    void watch(int, io_interest, io_action) override {}
    void unwatch(int) override {}

    timer_id call_after(nanoseconds delay, action on_time) override
    {
        const auto id = timer_id(++m_last);
        m_timers.emplace(key{m_now + delay, id}, std::move(on_time));
        return id;
    }

    void cancel(timer_id timer) override
    {
        std::erase_if(m_timers, [&](const auto& each) { return each.first.second == timer; });
    }

    void post(action on_loop) override { call_after(nanoseconds(0), std::move(on_loop)); }

    /// Advances the clock to the next timer and runs it; false if there is none up to `until`.
    bool run_one(time_point until)
    {
        if (m_timers.empty() || m_timers.begin()->first.first > until) {
            return false;
        }
        auto next = m_timers.extract(m_timers.begin());
        m_now = std::max(m_now, next.key().first);
        next.mapped()();
        return true;
    }

    /// Runs all timers that are due within `time`, and advances the clock by `time`.
    void run_for(nanoseconds time)
    {
        const time_point until = m_now + time;
        while (run_one(until)) {
        }
        m_now = until;
    }

private:
    using key = std::pair<time_point, timer_id>;

    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_last = 0;
    std::map<key, action> m_timers;
};

} // namespace plantaindoor::fakes
