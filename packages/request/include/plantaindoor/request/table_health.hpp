// Tells an outage of the table from a passing failure, and paces the tries during it.
#pragma once

#include "plantaindoor/common/time.hpp"

#include <algorithm>
#include <cstdint>

namespace plantaindoor::request {

struct table_health_options {
    milliseconds first_backoff{50};
    milliseconds longest_backoff{2000};
    /// Failures one after another that count as an outage.
    std::uint32_t failures_to_outage = 2;
};

/// Counts failures, at most one for each back-off. Not synchronised.
class table_health {
public:
    explicit table_health(table_health_options options) : m_options(options) {}

    void failed(time_point now)
    {
        if (now < m_retry_at) {
            return;
        }
        m_backoff = m_failures == 0 ? m_options.first_backoff
                                    : std::min(m_backoff * 2, m_options.longest_backoff);
        ++m_failures;
        m_retry_at = now + m_backoff;
    }

    void recovered()
    {
        m_failures = 0;
        m_retry_at = {};
    }

    [[nodiscard]] bool outage() const { return m_failures >= m_options.failures_to_outage; }
    /// Whether the table may be called.
    [[nodiscard]] bool may_try(time_point now) const { return now >= m_retry_at; }
    [[nodiscard]] time_point retry_at() const { return m_retry_at; }

private:
    table_health_options m_options;
    std::uint32_t m_failures = 0;
    milliseconds m_backoff{0};
    time_point m_retry_at{};
};

} // namespace plantaindoor::request
