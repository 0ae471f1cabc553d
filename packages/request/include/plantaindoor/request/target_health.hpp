// What one entry has seen of one target: whether it fails what it starts, or is slow.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/dispatcher.hpp"

#include <cstdint>

namespace plantaindoor::request {

/// A service's usual duration at its targets, which single slow targets hardly move.
class usual_duration {
public:
    void add(nanoseconds sample);
    /// How many times longer than usual a duration is; 1 until the first sample.
    [[nodiscard]] double times_usual(nanoseconds duration) const;

private:
    nanoseconds m_value{0};
};

enum class target_condition { healthy, failing, slow };

/// Smoothed results of a target's last attempts. Pure; not synchronised.
class target_health {
public:
    /// Takes an attempt's result. `slowness` is its duration over the service's usual one; ignored
    /// for results that say nothing about speed.
    void add(attempt_result result, double slowness);
    /// Forgets what was seen, as after a successful probe.
    void reset();

    [[nodiscard]] target_condition condition() const;
    /// Smoothed part of attempts that failed, 0 to 1.
    [[nodiscard]] double failures() const { return m_failures; }

private:
    double m_failures = 0;
    double m_slowness = 1;
};

/// Whether an attempt says something of the target's health.
[[nodiscard]] bool is_telling(attempt_result result);
/// Whether an attempt counts as the target's failure.
[[nodiscard]] bool is_failure(attempt_result result);

struct ejection_options {
    milliseconds first{1000};
    milliseconds longest{60000};
};

/// How long a target stays ejected the n-th time in a row, n from 1: doubles up to the longest.
[[nodiscard]] milliseconds ejection_time(const ejection_options& options, std::uint32_t times);

} // namespace plantaindoor::request
