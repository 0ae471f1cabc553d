// Log lines of a leader's decisions about jobs.
#pragma once

#include "plantaindoor/job/scheduler.hpp"

#include <string>

namespace plantaindoor::fleet {

/// The log line of a decision about a job, with the inputs that decided it. Requires that the
/// decision concerns a job. Thread-safe.
[[nodiscard]] std::string describe_job_decision(const job::decision& made);

} // namespace plantaindoor::fleet
