// Observes the pace of runs for what is learned from it: which workers are slow, and which kinds of
// tasks slow down which others.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/worker.hpp"
#include "plantaindoor/policy/interference.hpp"
#include "plantaindoor/policy/peer_pace.hpp"
#include "plantaindoor/policy/worker_speed.hpp"

#include <vector>

namespace plantaindoor::job {

struct speed_learner_options {
    bool worker_speed = true;
    bool interference = true;
};

/// Hash under which a worker is known to the learning components. Thread-safe.
[[nodiscard]] policy::worker_key learned_key(const instance_id& worker) noexcept;

/// The kind of a step's tasks: its image, else its queue and number. Thread-safe.
[[nodiscard]] policy::kind_key kind_of(const job_record& job, std::uint32_t step) noexcept;

/// Whether a slow-down of the step's tasks weighs more: they are urgent or serve users.
/// Thread-safe.
[[nodiscard]] bool is_sensitive(const job_record& job, std::uint32_t step) noexcept;

struct learned_changes {
    std::vector<policy::worker_speed_change> workers;
    std::vector<policy::interference_change> pairs;
};

/// Cost of placing a task beside the runs of a worker; zero without known interference.
struct interference_cost {
    /// Goes before the preference for workers with long-running runs.
    int strong = 0;
    /// Goes after it.
    int mild = 0;
};

/// Turns reports about runs into samples of their pace, and for serving runs of their tail latency.
/// Gangs aren't measured, whose tasks proceed together, nor best-effort runs, whose pace depends on
/// what others leave. Not thread-safe.
class speed_learner {
public:
    explicit speed_learner(speed_learner_options options) noexcept : m_options(options) {}

    /// Prepares the observation of a run that has just been ordered, or of an adopted one.
    void begin(worker_run& run, const job_record& job, const task_record& task, std::uint32_t step);
    /// Records the run's progress as last reported.
    void note_progress(const worker_record& worker, const run_name& name, worker_run& run,
                       time_point now);
    /// Records that the run has completed its task.
    void note_done(const worker_record& worker, const run_name& name, time_point now);
    /// Records that the run is no longer on the worker, for the pace of its neighbours.
    static void note_left(worker_record& worker, const worker_run& run, time_point now);

    /// Lets knowledge fade; returns the changes since the last call, in order.
    [[nodiscard]] learned_changes refresh(time_point now);
    [[nodiscard]] std::size_t slow_workers() const noexcept { return m_workers.slow_count(); }
    [[nodiscard]] const policy::interference& interference() const noexcept
    {
        return m_interference;
    }

    /// The known partners of a step's kind, or nullptr if it has none.
    [[nodiscard]] const std::vector<policy::interference_partner>*
    partners_of(const job_record& job, std::uint32_t step) const;
    /// The cost of placing a task with these partners on the worker.
    [[nodiscard]] static interference_cost
    cost_of(const std::vector<policy::interference_partner>& partners, bool sensitive,
            const worker_record& worker);

private:
    void note_tail_latency(const worker_record& worker, const run_name& name, worker_run& run,
                           time_point now);
    /// Learns from a sample of the run's pace from `from` on.
    void learn(const worker_record& worker, const run_name& name, policy::pace_sample sample,
               time_point from, time_point now);

    speed_learner_options m_options;
    policy::peer_pace m_peers;
    policy::worker_speed m_workers;
    policy::interference m_interference;
    /// The neighbours of the sample being learned from; kept for its memory.
    std::vector<policy::neighbour> m_beside;
};

} // namespace plantaindoor::job
