// What keeps a task from workers, whatever room they have at present.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/worker.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace plantaindoor::job {

/// The limits of one task of a step. Refers to its arguments, which must outlive it. Thread-safe
/// while they don't change.
class task_limits {
public:
    /// `siblings`: the tasks of the step by worker, needed only where its number on one worker is
    /// limited; `candidates`: the usable workers of its service.
    task_limits(const step_spec& spec, const task_record& task,
                const std::map<instance_id, std::uint32_t>& siblings,
                const std::vector<worker_record*>& candidates);

    /// Whether the task may run on the worker by its label, by the number of tasks of the step
    /// there, and by the task's failures there.
    [[nodiscard]] bool allow(const worker_record& worker) const;
    /// Whether the task has failed on the worker.
    [[nodiscard]] bool is_avoided(const worker_record& worker) const;
    /// Whether no further attempt is spent on the workers on which the task has failed.
    [[nodiscard]] bool exclude_avoided() const noexcept { return m_exclude_avoided; }

private:
    [[nodiscard]] bool has_label(const worker_record& worker) const;

    const step_spec& m_spec;
    const task_record& m_task;
    const std::map<instance_id, std::uint32_t>& m_siblings;
    bool m_exclude_avoided;
};

} // namespace plantaindoor::job
