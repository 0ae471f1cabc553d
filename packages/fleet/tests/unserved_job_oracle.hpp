// Checks that no accepted job is left without a run while its service has room for it. Judges by
// what runs on the workers of all shards, not by what a leader knows.
#pragma once

#include "model_workers.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::fleet::testing {

/// A job, or a long-running task, that had nothing running for too long with room for it.
struct unserved_job {
    job_id job;
    service_id service;
    std::uint32_t step = 0;
    /// For a long-running task only.
    std::optional<std::uint32_t> task;
    time_point since{};
    /// The workers with room and for how many tasks, as of the last sample.
    std::string room;
};

[[nodiscard]] std::string to_string(const unserved_job& unserved);

/// Not synchronised.
class unserved_job_oracle {
public:
    /// A job may have nothing running for this long though there is room for it.
    static constexpr milliseconds max_wait{3000};
    /// For a long-running task that time begins only this long after its last run.
    static constexpr milliseconds rerun_time{6000};
    /// How long after a disruption the conditions must hold.
    static constexpr milliseconds recovery_time{4000};

    /// `is_completed` tells whether a job is shown to callers as completed.
    unserved_job_oracle(const model_workers& workers,
                        std::function<bool(const job_id&)> is_completed)
        : m_workers(workers), m_is_completed(std::move(is_completed))
    {
    }

    /// Watches a job from its acceptance until it is completed or cancelled, or has failed.
    void add_job(const job_id& id, const service_id& service, time_point accepted)
    {
        m_jobs.emplace(id, watched_job{.service = service, .accepted = accepted});
    }
    /// Waits that overlap with a disruption, such as the loss of a leader, don't count.
    void note_disruption(time_point now) { m_calm_since = now + recovery_time; }
    /// To be called at least every 100 ms.
    void sample(time_point now);

    [[nodiscard]] const std::vector<unserved_job>& findings() const { return m_findings; }
    /// Longest time that any job of the service without long-running tasks had nothing running
    /// though a task could have started, with or without room.
    [[nodiscard]] milliseconds longest_wait(const service_id& service) const;
    /// Tasks of the service that could run and don't, as of the last sample.
    [[nodiscard]] std::uint32_t ready_tasks(const service_id& service) const;
    /// Tasks of the service that run, as of the last sample.
    [[nodiscard]] std::uint32_t running_tasks(const service_id& service) const;
    /// Jobs that are neither completed nor cancelled and haven't failed.
    [[nodiscard]] std::size_t open_jobs() const { return m_jobs.size(); }

private:
    struct long_running_task {
        time_point last_run{};
        std::optional<time_point> unserved_since;
    };
    struct watched_job {
        service_id service;
        time_point accepted{};
        std::optional<time_point> waiting_since;
        std::optional<time_point> unserved_since;
        std::map<job::task_name, long_running_task> long_running;
    };
    struct service_state {
        std::vector<model_workers::worker_status> workers;
        std::int64_t used = 0;
        std::int64_t capacity = 0;
        std::uint32_t ready_tasks = 0;
        std::uint32_t running_tasks = 0;

        [[nodiscard]] bool is_half_used() const { return 2 * used >= capacity; }
    };
    /// Room for tasks of a step.
    struct step_room {
        std::int64_t tasks = 0;
        std::string workers;
    };
    /// What the tasks of a job could do now.
    struct job_state {
        bool over = false;
        bool running = false;
        bool all_done = true;
        /// Steps with a task that could start; none of them is long-running.
        std::vector<std::uint32_t> ready_steps;
        std::vector<job::task_name> long_running;
    };

    [[nodiscard]] std::map<service_id, service_state> survey() const;
    [[nodiscard]] job_state state_of(const job_id& id, service_state& service) const;
    /// Adds the tasks of a step.
    void add_step(const job_id& id, std::uint32_t step, job_state& state,
                  service_state& service) const;
    /// Adds the tasks that must run again since their ends weren't noted.
    void add_discarded(const job_id& id, job_state& state, service_state& service) const;
    [[nodiscard]] bool is_done(const job_id& id, std::uint32_t step) const;
    /// The room if it suffices for the step twice over.
    [[nodiscard]] std::optional<step_room> double_room(const job_id& id, std::uint32_t step,
                                                       const service_state& service) const;
    void check_job(const job_id& id, watched_job& job, const job_state& state,
                   const service_state& service, time_point now);
    void check_long_running(const job::task_name& name, watched_job& job,
                            const service_state& service, time_point now);
    /// Counts a wait from its first sample on, and records a finding once it is too long.
    void count_unserved(std::optional<time_point>& since, unserved_job unserved, time_point now);

    const model_workers& m_workers;
    std::function<bool(const job_id&)> m_is_completed;
    std::map<job_id, watched_job> m_jobs;
    std::map<service_id, service_state> m_services;
    std::map<service_id, milliseconds> m_longest_waits;
    std::vector<unserved_job> m_findings;
    time_point m_calm_since{};
};

} // namespace plantaindoor::fleet::testing
