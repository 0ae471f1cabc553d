#include "plantaindoor/request/target_health.hpp"

#include <algorithm>

namespace plantaindoor::request {

namespace {

/// Weight of the newest result: three failures in a row pass the threshold.
constexpr double newest_result_weight = 0.3;
constexpr double failing_threshold = 0.6;
/// Weight of the newest duration: durations that differ exponentially pass the threshold about once
/// in 10^7 answers, and a target ten times slower than usual passes it with three.
constexpr double newest_duration_weight = 0.1;
constexpr double slow_threshold = 3;
/// A single attempt counts as no slower than this.
constexpr double most_slowness = 10;
/// A single duration moves the usual one no more than one this many times longer.
constexpr int longest_over_usual = 4;

} // namespace

void usual_duration::add(nanoseconds sample)
{
    if (m_value == nanoseconds{0}) {
        m_value = sample;
        return;
    }
    const nanoseconds clipped = std::min(sample, m_value * longest_over_usual);
    m_value += (clipped - m_value) / 16;
    m_value = std::max(m_value, nanoseconds{1});
}

double usual_duration::times_usual(nanoseconds duration) const
{
    if (m_value == nanoseconds{0}) {
        return 1;
    }
    return static_cast<double>(duration.count()) / static_cast<double>(m_value.count());
}

bool is_failure(attempt_result result)
{
    return result == attempt_result::failed || result == attempt_result::unreachable ||
           result == attempt_result::timed_out;
}

bool is_telling(attempt_result result)
{
    return result == attempt_result::answered || is_failure(result);
}

void target_health::add(attempt_result result, double slowness)
{
    if (!is_telling(result)) {
        return;
    }
    const double failed = is_failure(result) ? 1.0 : 0.0;
    m_failures += newest_result_weight * (failed - m_failures);
    if (result == attempt_result::answered) {
        m_slowness += newest_duration_weight * (std::min(slowness, most_slowness) - m_slowness);
    }
}

void target_health::reset()
{
    *this = target_health{};
}

target_condition target_health::condition() const
{
    if (m_failures > failing_threshold) {
        return target_condition::failing;
    }
    return m_slowness > slow_threshold ? target_condition::slow : target_condition::healthy;
}

milliseconds ejection_time(const ejection_options& options, std::uint32_t times)
{
    milliseconds result = options.first;
    for (std::uint32_t i = 1; i < times && result < options.longest; ++i) {
        result *= 2;
    }
    return std::min(result, options.longest);
}

} // namespace plantaindoor::request
