#include "plantaindoor/policy/key_freshness.hpp"

#include <algorithm>

namespace plantaindoor::policy {

void key_freshness::note_read(time_point sent) noexcept
{
    // Answers on different connections may overtake each other.
    m_last_read = m_last_read ? std::max(*m_last_read, sent) : sent;
}

bool key_freshness::is_fresh(time_point now) const noexcept
{
    return m_last_read && now - *m_last_read < m_options.revocation_bound - m_options.reserve;
}

std::optional<milliseconds> key_freshness::age(time_point now) const noexcept
{
    if (!m_last_read) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *m_last_read);
}

} // namespace plantaindoor::policy
