#include "kept_sockets.hpp"

#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace plantaindoor::connection {

void kept_sockets::add(int descriptor, connection_ends ends)
{
    m_by_ends.insert_or_assign(ends, descriptor);
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

bool kept_sockets::has_unasked_bytes(const connection_ends& ends) const
{
    const auto found = m_by_ends.find(ends);
    if (found == m_by_ends.end()) {
        return false;
    }
    char first = 0;
    return ::recv(found->second, &first, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

} // namespace plantaindoor::connection
