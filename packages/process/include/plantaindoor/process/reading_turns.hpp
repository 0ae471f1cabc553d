// One reading at a time, each for all who had asked before it began, none sooner than its pace
// allows.
#pragma once

#include "plantaindoor/common/event_loop.hpp"

#include <functional>
#include <utility>
#include <vector>

namespace plantaindoor::process {

/// Loop thread only; the loop must outlive it.
template<class Caller>
class reading_turns {
public:
    /// Begins a reading for these callers; its end is told by ended().
    using start_action = std::function<void(std::vector<Caller>)>;

    reading_turns(event_loop& loop, start_action start) : m_loop(loop), m_start(std::move(start)) {}
    reading_turns(const reading_turns&) = delete;
    reading_turns& operator=(const reading_turns&) = delete;
    /// Callers that still wait are forgotten.
    ~reading_turns() { m_loop.cancel(m_timer); }

    /// The caller gets a reading that is begun after this call.
    void ask(Caller who)
    {
        m_waiting.push_back(std::move(who));
        start_when_due();
    }

    /// The next reading begins no sooner than so long after the start of the last one.
    void set_period(nanoseconds period) { m_next = m_started + period; }

    /// The reading under way is over.
    void ended()
    {
        m_reading = false;
        start_when_due();
    }

private:
    void start_when_due()
    {
        if (m_reading || m_waiting.empty() || m_timer != timer_id::none) {
            return;
        }
        const nanoseconds wait = m_next - m_loop.now();
        if (wait <= nanoseconds(0)) {
            start();
            return;
        }
        m_timer = m_loop.call_after(wait, [this] {
            m_timer = timer_id::none;
            start();
        });
    }

    void start()
    {
        m_reading = true;
        m_started = m_loop.now();
        m_start(std::exchange(m_waiting, {}));
    }

    event_loop& m_loop;
    start_action m_start;
    std::vector<Caller> m_waiting;
    bool m_reading = false;
    time_point m_started{};
    time_point m_next{};
    timer_id m_timer = timer_id::none;
};

} // namespace plantaindoor::process
