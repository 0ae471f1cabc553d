// A token bucket over virtual time, for what may be written to the table.
#pragma once

#include "plantaindoor/common/time.hpp"

#include <algorithm>

namespace plantaindoor::request {

/// Starts full. Not synchronised.
class write_rate {
public:
    write_rate(double per_second, double burst)
        : m_per_second(per_second), m_burst(burst), m_tokens(burst)
    {
    }

    /// Whole tokens that may be taken now. Precondition: `now` never decreases.
    [[nodiscard]] double available(time_point now)
    {
        const std::chrono::duration<double> passed = now - m_filled;
        m_tokens = std::min(m_burst, m_tokens + (passed.count() * m_per_second));
        m_filled = now;
        return m_tokens;
    }

    /// Changes the rate; what has gathered stays.
    void set_per_second(double per_second) { m_per_second = per_second; }

    /// Precondition: available() was at least `tokens`.
    void take(double tokens) { m_tokens -= tokens; }

    /// When one token will be there, as of the last call of available().
    [[nodiscard]] time_point next() const
    {
        const std::chrono::duration<double> wait(std::max(0.0, 1.0 - m_tokens) / m_per_second);
        return m_filled + std::chrono::ceil<milliseconds>(wait);
    }

private:
    double m_per_second;
    double m_burst;
    double m_tokens;
    time_point m_filled{};
};

} // namespace plantaindoor::request
