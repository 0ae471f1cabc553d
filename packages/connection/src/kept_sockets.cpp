#include "kept_sockets.hpp"

#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace plantaindoor::connection {

void kept_sockets::add(int descriptor, connection_ends ends)
{
    m_by_ends.insert_or_assign(ends, kept_socket{.descriptor = descriptor});
    m_by_descriptor.insert_or_assign(descriptor, std::move(ends));
}

void kept_sockets::close(int descriptor)
{
    const auto found = m_by_descriptor.find(descriptor);
    if (found != m_by_descriptor.end()) {
        m_by_ends.erase(found->second);
        m_by_descriptor.erase(found);
    }
    ::close(descriptor);
}

std::optional<int> kept_sockets::find(const connection_ends& ends) const
{
    const auto found = m_by_ends.find(ends);
    return found == m_by_ends.end() ? std::nullopt : std::optional(found->second.descriptor);
}

void kept_sockets::note_timeout(const connection_ends& ends)
{
    for (auto each = m_by_ends.lower_bound(
             {.remote_address = ends.remote_address, .remote_port = ends.remote_port});
         each != m_by_ends.end() && each->first.has_remote_of(ends); ++each) {
        each->second.maybe_silent = true;
    }
}

void kept_sockets::note_answer(const connection_ends& ends)
{
    const auto found = m_by_ends.find(ends);
    if (found != m_by_ends.end()) {
        found->second.maybe_silent = false;
    }
}

bool kept_sockets::is_reusable(const connection_ends& ends) const
{
    const auto found = m_by_ends.find(ends);
    if (found == m_by_ends.end()) {
        return true;
    }
    char first = 0;
    return !found->second.maybe_silent &&
           ::recv(found->second.descriptor, &first, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
}

} // namespace plantaindoor::connection
