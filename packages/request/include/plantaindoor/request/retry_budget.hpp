// Bounds retries to a share of recent successes, so that an outage is not multiplied by retries.
#pragma once

#include <algorithm>
#include <cstdint>

namespace plantaindoor::request {

struct retry_budget_options {
    /// Retries that may follow one another without a success.
    std::uint32_t burst = 100;
    /// Retries earned by a thousand successes.
    std::uint32_t per_thousand_successes = 200;
};

/// A bucket of retries, filled by successes. One per service and entry. Not synchronised.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {})
        : m_options(options), m_thousandths(full())
    {
    }

    /// A target's whole answer was passed on.
    void record_success()
    {
        m_thousandths = std::min(full(), m_thousandths + m_options.per_thousand_successes);
    }

    /// Takes one retry; false when none is left.
    [[nodiscard]] bool try_take()
    {
        if (m_thousandths < one_retry) {
            return false;
        }
        m_thousandths -= one_retry;
        return true;
    }

private:
    static constexpr std::uint64_t one_retry = 1000;

    [[nodiscard]] std::uint64_t full() const { return m_options.burst * one_retry; }

    retry_budget_options m_options;
    std::uint64_t m_thousandths;
};

} // namespace plantaindoor::request
