// Observes the pace of runs for what is learned from it: which workers are slow.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/worker.hpp"
#include "plantaindoor/policy/peer_pace.hpp"
#include "plantaindoor/policy/worker_speed.hpp"

#include <vector>

namespace plantaindoor::job {

struct speed_learner_options {
    bool worker_speed = true;
};

/// Hash under which a worker is known to the learning components. Thread-safe.
[[nodiscard]] policy::worker_key learned_key(const instance_id& worker) noexcept;

/// Turns reports about runs into samples of their pace. Only runs that end by themselves are
/// measured, without those of gangs, which proceed together, and best-effort ones, whose pace
/// depends on what others leave. Not thread-safe.
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

    /// Lets knowledge fade; returns the changes since the last call, in order.
    [[nodiscard]] std::vector<policy::worker_speed_change> refresh(time_point now);
    [[nodiscard]] std::size_t slow_workers() const noexcept { return m_workers.slow_count(); }

private:
    void learn(const policy::pace_sample& sample, time_point now);

    speed_learner_options m_options;
    policy::peer_pace m_peers;
    policy::worker_speed m_workers;
};

} // namespace plantaindoor::job
