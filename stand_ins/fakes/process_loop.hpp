// The event loop of one simulated process: callbacks are deferred while the process is suspended
// and dropped once it is terminated.
#pragma once

#include "fakes/virtual_loop.hpp"

#include <deque>
#include <memory>
#include <utility>

namespace plantaindoor::fakes {

/// Not synchronised. The underlying loop must outlive this.
class process_loop final : public event_loop {
public:
    explicit process_loop(virtual_loop& loop) : m_loop(loop) {}

    [[nodiscard]] time_point now() const override { return m_loop.now(); }
    [[nodiscard]] wall_time wall_now() const override { return m_loop.wall_now(); }
    void watch(int, io_interest, io_action) override {}
    void unwatch(int) override {}
    timer_id call_after(nanoseconds delay, action on_time) override
    {
        auto id = std::make_shared<timer_id>(timer_id::none);
        *id = m_loop.call_after(
            delay, [this, id, run_action = std::move(on_time)] { run_or_defer(*id, run_action); });
        return *id;
    }
    void cancel(timer_id timer) override
    {
        m_loop.cancel(timer);
        std::erase_if(m_deferred, [&](const auto& each) { return each.first == timer; });
    }
    void post(action on_loop) override { call_after(nanoseconds(0), std::move(on_loop)); }

    /// Defers callbacks for this time, then runs the deferred ones in order.
    void suspend_for(nanoseconds time)
    {
        m_suspended = true;
        m_loop.call_after(time, [this] {
            m_suspended = false;
            while (!m_deferred.empty() && !m_suspended) {
                auto deferred = std::move(m_deferred.front());
                m_deferred.pop_front();
                run_or_defer(deferred.first, deferred.second);
            }
        });
    }
    /// Drops every later callback.
    void terminate() { m_terminated = true; }
    [[nodiscard]] bool terminated() const { return m_terminated; }
    [[nodiscard]] bool suspended() const { return m_suspended; }

private:
    void run_or_defer(timer_id timer, const action& run_action)
    {
        if (m_suspended) {
            m_deferred.emplace_back(timer, run_action);
        }
        else if (!m_terminated) {
            run_action();
        }
    }

    virtual_loop& m_loop;
    std::deque<std::pair<timer_id, action>> m_deferred;
    bool m_suspended = false;
    bool m_terminated = false;
};

} // namespace plantaindoor::fakes
