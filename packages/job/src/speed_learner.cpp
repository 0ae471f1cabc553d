#include "plantaindoor/job/speed_learner.hpp"

#include "plantaindoor/common/hash.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaindoor::job {

namespace {

/// A part of a run is measured once it has progressed by this; the rounding of percentages is
/// then an error of at most an eighth.
constexpr std::uint32_t min_progress = 8;
constexpr std::uint32_t whole = 100;
/// A run with less progress in this time may be slow already.
constexpr milliseconds stall_time{600};
/// Logarithm of the slow-down of such a run that is certain, at which it is measured all the same.
const double certain_slow_down = std::log(2.0);

policy::step_key step_key_of(const task_name& name) noexcept
{
    const std::uint64_t number = (std::uint64_t(name.occurrence) << 32U) | name.step;
    return hash64(name.job.str(), number + 1);
}

policy::kind_key kind_of(const job_record& job, std::uint32_t step) noexcept
{
    const step_spec& spec = job.spec().steps[step];
    return spec.image.empty() ? hash64(job.queue().name, std::uint64_t(step) + 1)
                              : hash64(spec.image);
}

policy::pace_sample sample_of(const worker_record& worker, const run_name& name,
                              const run_pace& pace, double progress, time_point now)
{
    const double taken = std::chrono::duration<double, std::milli>(now - *pace.since).count();
    const policy::step_key step = step_key_of(name.task);
    return {.kind = pace.kind,
            .step = step,
            .run = step + (std::uint64_t(name.task.index) << 32U) + name.attempt,
            .worker = learned_key(worker.listing.id),
            .log_time = std::log(std::max(taken, 1.0) * whole / progress) - pace.log_estimate};
}

} // namespace

policy::worker_key learned_key(const instance_id& worker) noexcept
{
    return hash64(worker.str());
}

void speed_learner::begin(worker_run& run, const job_record& job, const task_record& task,
                          std::uint32_t step)
{
    const step_spec& spec = job.spec().steps[step];
    run.pace.kind = kind_of(job, step);
    run.pace.measured =
        m_options.worker_speed && !spec.long_running && !spec.gang && !spec.best_effort;
    run.pace.log_estimate =
        std::log(std::max<double>(1, static_cast<double>(spec.estimate.count())));
    if (!run.adopted && task.checkpoint.empty()) {
        run.pace.since = run.ordered;
    }
}

void speed_learner::note_progress(const worker_record& worker, const run_name& name,
                                  worker_run& run, time_point now)
{
    run_pace& pace = run.pace;
    // A run that reports no progress, or is about to end, is measured by its end alone.
    if (!pace.measured || run.percent == 0 || run.percent >= whole) {
        return;
    }
    const auto mark = [&] {
        pace.since = now;
        pace.since_percent = run.percent;
    };
    if (!pace.since || run.percent < pace.since_percent) {
        mark();
        return;
    }
    const std::uint32_t progress = run.percent - pace.since_percent;
    if (progress >= min_progress) {
        learn(sample_of(worker, name, pace, progress, now), now);
        mark();
    }
    else if (now - *pace.since >= stall_time) {
        // One percent more than reported, so that the rounding doesn't make the run seem slow.
        const auto sample = sample_of(worker, name, pace, progress + 1, now);
        const auto compared = m_peers.compare(sample);
        if (compared && compared->deviation >= certain_slow_down) {
            learn(sample, now);
            mark();
        }
    }
}

void speed_learner::note_done(const worker_record& worker, const run_name& name, time_point now)
{
    const auto found = worker.runs.find(name);
    if (found == worker.runs.end()) {
        return;
    }
    const run_pace& pace = found->second.pace;
    if (pace.measured && pace.since && pace.since_percent + min_progress <= whole) {
        learn(sample_of(worker, name, pace, whole - pace.since_percent, now), now);
    }
}

void speed_learner::learn(const policy::pace_sample& sample, time_point now)
{
    if (const auto compared = m_peers.compare(sample)) {
        m_workers.note(sample.worker, *compared, now);
    }
    m_peers.add(sample);
}

std::vector<policy::worker_speed_change> speed_learner::refresh(time_point now)
{
    m_workers.refresh(now);
    return m_workers.take_changes();
}

} // namespace plantaindoor::job
