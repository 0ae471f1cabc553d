// Decisions of the scheduler that operators and later analyses need to know of.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/task_name.hpp"
#include "plantaindoor/job/worker.hpp"
#include "plantaindoor/policy/crash_isolation.hpp"
#include "plantaindoor/policy/interference.hpp"
#include "plantaindoor/policy/resources.hpp"
#include "plantaindoor/policy/worker_speed.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace plantaindoor::job {

enum class decision_kind {
    first_start,       ///< the first start of one of the job's tasks has been ordered
    run_ended,         ///< a run has ended without completing its task
    run_lost,          ///< a run's worker has ended, or was unresponsive past its lease
    job_ended,         ///< the job has reached a terminal state
    crash_noted,       ///< a worker has crashed, for which the task may be to blame
    isolation_awaited, ///< a suspected task has waited for some time to be started in isolation
    task_waits,        ///< a long-running task has waited for some time for a worker
    task_restarted,    ///< a long-running task has been started again
    task_adopted,      ///< a worker has reported a run of a long-running task that is new here
    worker_slow,       ///< a worker begins or ceases to count as slow; concerns no job
    interference,      ///< a pair of kinds begins or ceases to count; concerns no job
    job_waits,         ///< nothing of a job has run for some time though a task's turn had come
    job_wait_ended,    ///< such a job has a run
};

/// Why the workers of a service don't take a task, each counted once.
struct placement_obstacles {
    /// A predecessor may still run the task.
    bool in_doubt = false;
    std::uint32_t workers = 0;
    /// Draining, cordoned, quarantined, or not answering.
    std::uint32_t unusable = 0;
    std::uint32_t lacking_label = 0;
    /// Workers that have max_per_worker tasks of the step.
    std::uint32_t at_limit = 0;
    std::uint32_t lacking_capacity = 0;
    /// A task of the job waits at the cap of its workspace.
    bool workspace_at_cap = false;
};

/// Where a job waits for a run, and what for.
struct job_wait_place {
    service_id pool;
    std::uint32_t shard = 0;
    /// Of one task, and the number of its step's tasks that wait.
    policy::resources need;
    std::uint32_t tasks = 0;
    /// Waits and ends of waits that were left out since the previous decision of the kind.
    std::size_t omitted = 0;
};

/// A decision about one job, with the details that operators need.
struct decision {
    decision_kind kind = decision_kind::job_ended;
    job_id job;
    run_name run;
    instance_id worker;
    run_end_reason end_reason = run_end_reason::stopped;
    /// Of a lost run: how the end of its worker was detected, and how long after the run's start
    /// the worker stopped answering.
    worker_end worker_end_cause = worker_end::lease_expired;
    milliseconds run_age{0};
    job_state state = job_state::queued;
    failure_reason failure = failure_reason::none;
    /// Of a noted crash: all crashes of the task, the last one being the newest.
    std::vector<task_crash> crashes;
    /// Of a long-running task that waits or is started again, and what a waiting one is kept from.
    milliseconds waited{0};
    placement_obstacles obstacles;
    /// Of a job that waits or has waited for a run, as are `waited` and the obstacles.
    job_wait_place place;
    /// Of an awaited isolation.
    policy::suspect_position isolation;
    /// Of a worker that begins or ceases to count as slow.
    policy::worker_speed_change speed;
    /// Of a pair that begins or ceases to count, and the names of its kinds.
    policy::interference_change pair;
    std::string slowed;
    std::string slowing;
    /// Time since the job was submitted.
    milliseconds age{0};
    /// Time from submission to the job's objective.
    milliseconds objective{0};
};

} // namespace plantaindoor::job

namespace plantaindoor {

template<>
struct enum_names<job::decision_kind> {
    static constexpr std::array<enum_name<job::decision_kind>, 13> table{{
        {job::decision_kind::first_start, "first-start"},
        {job::decision_kind::run_ended, "run-ended"},
        {job::decision_kind::run_lost, "run-lost"},
        {job::decision_kind::job_ended, "over"},
        {job::decision_kind::crash_noted, "crash-noted"},
        {job::decision_kind::isolation_awaited, "isolation-awaited"},
        {job::decision_kind::task_waits, "task-waits"},
        {job::decision_kind::task_restarted, "task-restarted"},
        {job::decision_kind::task_adopted, "task-adopted"},
        {job::decision_kind::worker_slow, "worker-slow"},
        {job::decision_kind::interference, "interference"},
        {job::decision_kind::job_waits, "job-waits"},
        {job::decision_kind::job_wait_ended, "job-wait-ended"},
    }};
};

} // namespace plantaindoor
