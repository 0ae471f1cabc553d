#include "plantaindoor/process/paced_instance_list.hpp"

#include "plantaindoor/process/reading_pace.hpp"

#include <utility>

namespace plantaindoor::process {

paced_instance_list::paced_instance_list(event_loop& loop, instance_list& inner,
                                         paced_instance_list_options options)
    : m_loop(loop), m_inner(inner), m_options(options)
{
}

paced_instance_list::~paced_instance_list()
{
    m_loop.cancel(m_timer);
}

void paced_instance_list::list(list_callback done)
{
    m_waiting.push_back(std::move(done));
    start_when_due();
}

void paced_instance_list::start_when_due()
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

void paced_instance_list::start()
{
    m_reading = true;
    m_started = m_loop.now();
    m_inner.list([this, callers = std::exchange(m_waiting, {}),
                  alive = std::weak_ptr(m_alive)](const reading& listed) {
        if (!alive.expired()) {
            deliver(callers, listed);
        }
    });
}

void paced_instance_list::deliver(const std::vector<list_callback>& callers, const reading& listed)
{
    m_reading = false;
    m_next = m_started + period_after(listed ? listed->size() : 0);
    for (const list_callback& each : callers) {
        each(listed);
    }
    start_when_due();
}

milliseconds paced_instance_list::period_after(std::size_t lines) const
{
    const reading_pace pace{.least = m_options.least_period,
                            .most = m_options.most_period,
                            .bytes_per_second = m_options.bytes_per_second};
    return pace.period_after(lines * m_options.bytes_per_line);
}

} // namespace plantaindoor::process
