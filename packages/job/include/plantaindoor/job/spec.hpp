// What a job asks for: a graph of steps, each of one or many like tasks.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::job {

/// Capacity of a worker, or the part of it that a task takes.
struct resources {
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    /// Whether a task that takes `need` fits into this capacity. Thread-safe.
    [[nodiscard]] bool can_fit(const resources& need) const noexcept
    {
        return need.cpu_millis <= cpu_millis && need.memory_mb <= memory_mb &&
               need.accelerators <= accelerators;
    }

    resources& operator+=(const resources& other) noexcept
    {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other) noexcept
    {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator-(resources left, const resources& right) noexcept
    {
        return left -= right;
    }
    friend bool operator==(const resources&, const resources&) = default;
};

/// One step of a job: `count` like tasks.
struct step_spec {
    std::uint32_t count = 1;
    resources need;
    /// A rough estimate of one task's run time.
    milliseconds estimate{0};
    /// Numbers of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> depends_on;
    bool checkpointing = false;
    /// The tasks work only together.
    bool gang = false;
    bool same_rack = false;
    /// Empty: any worker.
    std::string required_label;
    /// Rack of the step's data; empty: none.
    std::string rack;
    /// Most tasks of one occurrence on one worker; zero: no limit.
    std::uint32_t max_per_worker = 0;
    /// Copies of one task may run in parallel.
    bool speculative = false;
    /// Runs until the job is cancelled.
    bool long_running = false;
    /// What the tasks run; tasks of one image behave alike.
    std::string image;
    /// Bound on the tail of the response times that a lasting task gives its own users; zero: none.
    milliseconds tail_target{0};
    /// Takes processor time that other tasks leave unused.
    bool best_effort = false;
    /// Tasks of a lasting step that planned work may have away at a time.
    std::uint32_t max_unavailable = 0;

    /// What a task counts against a worker's capacity.
    [[nodiscard]] resources footprint() const noexcept
    {
        return {.cpu_millis = best_effort ? 0 : need.cpu_millis,
                .memory_mb = need.memory_mb,
                .accelerators = need.accelerators};
    }
};

/// When a job's steps run again.
struct repetition {
    wall_time first{};
    milliseconds interval{0};
    std::uint32_t count = 0;
};

struct job_spec {
    /// Passed on to every task's start.
    std::string payload;
    std::vector<step_spec> steps;
    std::optional<repetition> repeats;

    /// Whether any step runs until the job is cancelled.
    [[nodiscard]] bool is_long_running() const noexcept;
};

/// A job's specification can't be run by anybody.
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
inline constexpr std::uint32_t max_occurrences = 100000;

/// Throws spec_error where a limit is passed or a step waits for itself or a later one.
/// Thread-safe.
void check_spec(const job_spec& spec);

/// The longest chain of estimates over the steps that depend on each other. Requires a checked
/// specification. Thread-safe.
[[nodiscard]] milliseconds critical_path_length(const job_spec& spec);

/// For each step the longest chain of estimates that begins with it. Requires a checked
/// specification. Thread-safe.
[[nodiscard]] std::vector<milliseconds> critical_paths(const job_spec& spec);

/// What a queue promises its callers.
struct queue_policy {
    std::string name;
    service_id service;
    /// Zero goes first.
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    /// The objective is this many times the longest chain, and `target_latency` more.
    double stretch = 1;
    milliseconds target_latency{0};
    /// Whether a start needs a ticket of the queue's advice service.
    bool requires_ticket = false;
    /// Services that ran the queue's tasks under earlier versions of the configuration.
    std::set<service_id> former_services;
};

} // namespace plantaindoor::job
