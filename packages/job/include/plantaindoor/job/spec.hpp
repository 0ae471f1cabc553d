// Specification of a job: a graph of steps, each with one or more identical tasks.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::job {

using policy::resources;

/// One step of a job: `count` identical tasks.
struct step_spec {
    std::uint32_t count = 1;
    resources need;
    /// Rough estimate of the run time of one task.
    milliseconds estimate{0};
    /// Numbers of earlier steps; all their tasks must be done before this step starts.
    std::vector<std::uint32_t> depends_on;
    bool checkpointing = false;
    /// All tasks must run at the same time: they are started together or not at all.
    bool gang = false;
    bool same_rack = false;
    /// Empty: any worker.
    std::string required_label;
    /// Preferred rack, which holds the step's data; empty: none.
    std::string rack;
    /// Maximum number of tasks of one occurrence on one worker; zero: no limit.
    std::uint32_t max_per_worker = 0;
    /// Copies of one task may run in parallel.
    bool speculative = false;
    /// Runs until the job is cancelled.
    bool long_running = false;
    /// What the tasks run; tasks of the same image behave alike.
    std::string image;
    /// Bound on the tail latency at which a long-running task serves its own users; zero: none.
    milliseconds tail_target{0};
    /// Runs on processor time that other tasks leave unused.
    bool best_effort = false;
    /// Number of tasks of a long-running step that planned work may make unavailable at a time;
    /// zero counts as one.
    std::uint32_t max_unavailable = 0;

    /// The part of a worker's capacity that is reserved for one task.
    [[nodiscard]] resources footprint() const noexcept
    {
        return {.cpu_millis = best_effort ? 0 : need.cpu_millis,
                .memory_mb = need.memory_mb,
                .accelerators = need.accelerators};
    }
    /// Estimated work of this many tasks, in thousandths of a core times seconds.
    [[nodiscard]] double work_of(std::uint32_t tasks) const
    {
        return double(tasks) * double(footprint().cpu_millis) *
               std::chrono::duration<double>(estimate).count();
    }
};

/// Schedule on which a job's steps are repeated.
struct repetition {
    wall_time first{};
    milliseconds interval{0};
    std::uint32_t count = 0;
};

struct job_spec {
    /// Passed to each task when it starts.
    std::string payload;
    std::vector<step_spec> steps;
    std::optional<repetition> repeats;

    /// Whether any step runs until the job is cancelled.
    [[nodiscard]] bool is_long_running() const noexcept;
    /// Number of tasks of one occurrence.
    [[nodiscard]] std::size_t task_count() const noexcept;
};

/// A job's specification or its persisted progress is invalid.
class spec_error : public error {
public:
    spec_error(const std::string& where, const std::string& expected)
        : error("job-spec", where + " is not " + expected,
                {{"where", where}, {"expected", expected}})
    {
    }
};

inline constexpr std::size_t max_payload_bytes = 4000;
inline constexpr std::size_t max_steps = 64;
inline constexpr std::uint32_t max_tasks_per_step = 4096;
/// Of all steps of one occurrence, and of all occurrences that are started at a time.
inline constexpr std::size_t max_tasks_per_job = 16384;
/// Estimated work of one occurrence, in days of one core.
inline constexpr std::int64_t max_core_days = 10'000'000;
inline constexpr std::uint32_t max_occurrences = 100000;

/// Throws spec_error where a limit of a step is exceeded or a step depends on itself or a later
/// one. Thread-safe.
void check_spec(const job_spec& spec);

/// Throws spec_error for more tasks or work than a new job may have. Requires a specification that
/// has passed check_spec(). Not for accepted jobs, which have to run. Thread-safe.
void check_size(const job_spec& spec);

/// Returns the sum of estimates along the critical path, the longest chain of dependent steps.
/// Requires a specification that has passed check_spec(). Thread-safe.
[[nodiscard]] milliseconds critical_path_length(const job_spec& spec);

/// Returns for each step the sum of estimates along the longest chain of dependent steps that
/// starts with it. Requires a specification that has passed check_spec(). Thread-safe.
[[nodiscard]] std::vector<milliseconds> critical_paths(const job_spec& spec);

/// Service objective of a queue, and how its jobs are run.
struct queue_policy {
    std::string name;
    service_id service;
    /// Zero is the highest.
    std::uint32_t priority = 0;
    /// Failed attempts of one task after which its job fails; no limit for long-running tasks.
    std::uint32_t max_attempts = 1;
    /// A job's objective is `stretch` times its critical path length plus `target_latency` after
    /// submission.
    double stretch = 1;
    milliseconds target_latency{0};
    /// Whether a start requires a ticket from the queue's advice service.
    bool requires_ticket = false;
    /// Services that ran the queue's tasks in earlier versions of the configuration.
    std::set<service_id> former_services;

    /// Replaces the policy by that of a later version of the configuration. Returns whether
    /// anything changed on which the outcome of the queue's jobs depends.
    bool update(queue_policy later);
};

} // namespace plantaindoor::job
