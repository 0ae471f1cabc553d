// How much a job is worth to its callers by the time at which it can be completed.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/record.hpp"

#include <cstdint>

namespace plantaindoor::job {

/// In the order in which jobs get capacity. A job beyond its workspace's rate ranks behind all
/// others that have value, but before those that have none any more: capacity spent on these serves
/// nobody.
enum class job_tier : std::uint32_t { long_running, on_time, late, beyond_rate, zero_value };

/// Thread-safe.
[[nodiscard]] job_tier tier_of(const job_record& job, time_point now);

} // namespace plantaindoor::job
