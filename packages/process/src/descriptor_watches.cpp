#include "descriptor_watches.hpp"

#include "loop_error.hpp"

#include <cerrno>
#include <utility>

#include <unistd.h>

namespace plantaindoor::process {

namespace {

std::uint32_t events_of(io_interest interest)
{
    return (interest.readable ? EPOLLIN : 0U) | (interest.writable ? EPOLLOUT : 0U);
}

/// An error or hang-up wakes whoever waits, whatever he waits for.
io_interest ready_of(std::uint32_t events, io_interest interest)
{
    const bool broken = (events & (EPOLLERR | EPOLLHUP)) != 0;
    return {.readable = interest.readable && (broken || (events & EPOLLIN) != 0),
            .writable = interest.writable && (broken || (events & EPOLLOUT) != 0)};
}

} // namespace

descriptor_watches::descriptor_watches() : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll < 0) {
        throw loop_error("epoll_create1", errno);
    }
}

descriptor_watches::~descriptor_watches()
{
    ::close(m_epoll);
}

void descriptor_watches::watch(int descriptor, io_interest interest, event_loop::io_action on_ready)
{
    const bool known = m_by_descriptor.contains(descriptor);
    if (known) {
        m_entries.erase(m_by_descriptor.at(descriptor));
    }
    const watch_number number = ++m_last;
    epoll_event event{.events = events_of(interest), .data = {.u64 = number}};
    // A known descriptor may have been closed and opened anew, which ended its place in the set.
    const bool changed = known && ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event) == 0;
    if (!changed && ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        m_by_descriptor.erase(descriptor);
        throw loop_error("epoll_ctl", errno);
    }
    m_by_descriptor.insert_or_assign(descriptor, number);
    m_entries.emplace(number, entry{descriptor, interest, std::move(on_ready)});
}

void descriptor_watches::unwatch(int descriptor)
{
    const auto found = m_by_descriptor.find(descriptor);
    if (found == m_by_descriptor.end()) {
        return;
    }
    // Fails for a closed descriptor, which the set has dropped by itself.
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    m_entries.erase(found->second);
    m_by_descriptor.erase(found);
}

void descriptor_watches::run_ready()
{
    const int count = ::epoll_wait(m_epoll, m_events.data(), most_events, 0);
    for (int each = 0; each < count; ++each) {
        const epoll_event& event = m_events[static_cast<std::size_t>(each)];
        const auto found = m_entries.find(event.data.u64);
        if (found == m_entries.end()) {
            continue;
        }
        const io_interest ready = ready_of(event.events, found->second.interest);
        if (!ready.readable && !ready.writable) {
            continue;
        }
        // A copy, since the action may replace or end this watch.
        const auto on_ready = found->second.on_ready;
        on_ready(ready);
    }
}

} // namespace plantaindoor::process
