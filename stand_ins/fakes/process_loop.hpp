// The event loop of one simulated process: callbacks are deferred while the process is frozen and
// dropped once it is dead.
#pragma once

#include "fakes/virtual_loop.hpp"

#include <deque>
#include <memory>
#include <utility>

namespace plantaindoor::fakes {

/// Not synchronised. The underlying loop must outlive this.
class gated_loop final : public event_loop {
public:
    explicit gated_loop(virtual_loop& loop) : m_loop(loop) {}

    [[nodiscard]] time_point now() const override { return m_loop.now(); }
    [[nodiscard]] wall_time wall_now() const override { return m_loop.wall_now(); }
    void watch(int, io_interest, io_action) override {}
    void unwatch(int) override {}
    timer_id call_after(nanoseconds delay, action on_time) override
    {
        auto id = std::make_shared<timer_id>(timer_id::none);
        *id = m_loop.call_after(delay,
                                [this, id, run = std::move(on_time)] { run_or_defer(*id, run); });
        return *id;
    }
    void cancel(timer_id timer) override
    {
        m_loop.cancel(timer);
        std::erase_if(m_deferred, [&](const auto& each) { return each.first == timer; });
    }
    void post(action on_loop) override { call_after(nanoseconds(0), std::move(on_loop)); }

    void freeze_for(nanoseconds time)
    {
        m_frozen = true;
        m_loop.call_after(time, [this] {
            m_frozen = false;
            while (!m_deferred.empty() && !m_frozen) {
                auto next = std::move(m_deferred.front());
                m_deferred.pop_front();
                run_or_defer(next.first, next.second);
            }
        });
    }
    void kill() { m_dead = true; }
    [[nodiscard]] bool dead() const { return m_dead; }
    [[nodiscard]] bool frozen() const { return m_frozen; }

private:
    void run_or_defer(timer_id timer, const action& run)
    {
        if (m_frozen) {
            m_deferred.emplace_back(timer, run);
        }
        else if (!m_dead) {
            run();
        }
    }

    virtual_loop& m_loop;
    std::deque<std::pair<timer_id, action>> m_deferred;
    bool m_frozen = false;
    bool m_dead = false;
};

} // namespace plantaindoor::fakes
