// Names one task of one job.
#pragma once

#include "plantaindoor/common/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::job {

/// One task of one occurrence of a job's steps.
struct task_name {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX". Thread-safe.
[[nodiscard]] std::string to_string(const task_name& name);

/// The reverse; nothing for any other text. Thread-safe.
[[nodiscard]] std::optional<task_name> parse_task_name(std::string_view text);

/// One run of a task on a worker.
struct run_name {
    task_name task;
    std::uint32_t attempt = 0;

    friend auto operator<=>(const run_name&, const run_name&) = default;
};

} // namespace plantaindoor::job
