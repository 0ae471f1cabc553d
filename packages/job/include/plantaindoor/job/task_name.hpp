// Names of tasks and of their runs.
#pragma once

#include "plantaindoor/common/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::job {

/// Identifies one task of one occurrence of a job's steps.
struct task_name {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    /// Stands for the step itself where tasks are counted by step.
    [[nodiscard]] task_name first_of_step() const { return {job, occurrence, step, 0}; }

    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// Returns "JOB.OCCURRENCE.STEP.INDEX". Thread-safe.
[[nodiscard]] std::string to_string(const task_name& name);

/// Parses the result of to_string(); returns nullopt for any other text. Thread-safe.
[[nodiscard]] std::optional<task_name> parse_task_name(std::string_view text);

/// Identifies one attempt to run a task on a worker.
struct run_name {
    task_name task;
    std::uint32_t attempt = 0;

    friend auto operator<=>(const run_name&, const run_name&) = default;
};

} // namespace plantaindoor::job
