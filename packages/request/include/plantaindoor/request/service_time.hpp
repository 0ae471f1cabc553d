// How long a service's requests take at targets, learned from those that ended.
#pragma once

#include "plantaindoor/common/time.hpp"

#include <algorithm>

namespace plantaindoor::request {

/// Smoothed mean and deviation, as in the retransmission timers of TCP. Not synchronised.
class service_time {
public:
    /// Takes the duration of one attempt that occupied a slot.
    void add(nanoseconds sample)
    {
        if (!m_known) {
            m_known = true;
            m_mean = sample;
            m_deviation = sample / 2;
            return;
        }
        const nanoseconds error = sample - m_mean;
        m_mean += error / 8;
        m_deviation += (std::max(error, -error) - m_deviation) / 4;
    }

    [[nodiscard]] bool known() const { return m_known; }
    /// Zero until the first sample.
    [[nodiscard]] nanoseconds mean() const { return m_mean; }
    /// What all but few requests stay under.
    [[nodiscard]] nanoseconds upper() const { return m_mean + m_deviation; }

private:
    nanoseconds m_mean{0};
    nanoseconds m_deviation{0};
    bool m_known = false;
};

} // namespace plantaindoor::request
