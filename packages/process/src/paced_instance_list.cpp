#include "plantaindoor/process/paced_instance_list.hpp"

#include "plantaindoor/process/reading_pace.hpp"

#include <utility>

namespace plantaindoor::process {

paced_instance_list::paced_instance_list(event_loop& loop, instance_list& inner,
                                         paced_instance_list_options options)
    : m_inner(inner),
      m_options(options),
      m_turns(loop, [this](std::vector<list_callback> callers) { read(std::move(callers)); })
{
}

void paced_instance_list::list(list_callback done)
{
    m_turns.ask(std::move(done));
}

void paced_instance_list::read(std::vector<list_callback> callers)
{
    m_inner.list([this, callers = std::move(callers),
                  alive = std::weak_ptr(m_alive)](const reading& listed) {
        if (!alive.expired()) {
            deliver(callers, listed);
        }
    });
}

void paced_instance_list::deliver(const std::vector<list_callback>& callers, const reading& listed)
{
    m_turns.set_period(period_after(listed ? listed->size() : 0));
    for (const list_callback& each : callers) {
        each(listed);
    }
    m_turns.ended();
}

milliseconds paced_instance_list::period_after(std::size_t lines) const
{
    const reading_pace pace{.least = m_options.least_period,
                            .most = m_options.most_period,
                            .bytes_per_second = m_options.bytes_per_second};
    return pace.period_after(lines * m_options.bytes_per_line);
}

} // namespace plantaindoor::process
