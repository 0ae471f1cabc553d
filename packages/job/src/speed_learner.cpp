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
/// Workers report the tail latency of the last half second.
constexpr milliseconds latency_period{500};
/// Tail latencies of one run that are this far apart count as independent.
constexpr milliseconds latency_independence{1000};
/// Weight of a slow-down of urgent and serving runs.
constexpr double sensitive_weight = 2;
/// Cost from which keeping a pair apart is worth another machine: a slow-down by 1.5, or one by
/// 1.22 of an urgent or serving run.
const double strong_cost = std::log(1.5);
/// Costs are compared in steps, so that estimates that differ little don't spread tasks over more
/// workers.
constexpr double cost_steps = 5;
constexpr int max_cost_step = 100;

policy::step_key step_key_of(const task_name& name) noexcept
{
    const std::uint64_t number = (std::uint64_t(name.occurrence) << 32U) | name.step;
    return hash64(name.job.str(), number + 1);
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

policy::kind_key kind_of(const job_record& job, std::uint32_t step) noexcept
{
    const step_spec& spec = job.spec().steps[step];
    return spec.image.empty() ? hash64(job.queue().name, std::uint64_t(step) + 1)
                              : hash64(spec.image);
}

bool is_sensitive(const job_record& job, std::uint32_t step) noexcept
{
    return job.queue().priority == 0 || job.spec().steps[step].tail_target.count() > 0;
}

policy::worker_key learned_key(const instance_id& worker) noexcept
{
    return hash64(worker.str());
}

void speed_learner::begin(worker_run& run, const job_record& job, const task_record& task,
                          std::uint32_t step)
{
    const step_spec& spec = job.spec().steps[step];
    run.pace.kind = kind_of(job, step);
    run.pace.serving = spec.long_running && spec.tail_target.count() > 0;
    run.pace.sensitive = is_sensitive(job, step);
    const bool ends = !spec.long_running && !spec.gang;
    run.pace.measured = !spec.best_effort && (run.pace.serving ? m_options.interference : ends);
    const auto typical = run.pace.serving ? spec.tail_target : spec.estimate;
    run.pace.log_estimate = std::log(std::max<double>(1, static_cast<double>(typical.count())));
    if (ends && !run.adopted && task.checkpoint.empty()) {
        run.pace.since = run.ordered;
    }
}

void speed_learner::note_progress(const worker_record& worker, const run_name& name,
                                  worker_run& run, time_point now)
{
    run_pace& pace = run.pace;
    if (pace.serving) {
        note_tail_latency(worker, name, run, now);
        return;
    }
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
        learn(worker, name, sample_of(worker, name, pace, progress, now), *pace.since, now);
        mark();
    }
    else if (now - *pace.since >= stall_time) {
        // One percent more than reported, so that the rounding doesn't make the run seem slow.
        const auto sample = sample_of(worker, name, pace, progress + 1, now);
        const auto compared = m_peers.compare(sample);
        if (compared && compared->deviation >= certain_slow_down) {
            learn(worker, name, sample, *pace.since, now);
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
        learn(worker, name, sample_of(worker, name, pace, whole - pace.since_percent, now),
              *pace.since, now);
    }
}

void speed_learner::note_left(worker_record& worker, const worker_run& run, time_point now)
{
    worker.ended_runs.add({.kind = run.pace.kind, .begin = run.ordered, .end = now});
}

void speed_learner::note_tail_latency(const worker_record& worker, const run_name& name,
                                      worker_run& run, time_point now)
{
    run_pace& pace = run.pace;
    const bool due = !pace.since || now - *pace.since >= latency_period;
    if (!pace.measured || !due || run.load <= 0 || run.percent < whole) {
        return;
    }
    pace.since = now;
    const policy::step_key step = step_key_of(name.task);
    const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / latency_independence);
    learn(worker, name,
          {.kind = pace.kind,
           .step = step,
           .run = step + (std::uint64_t(name.task.index) << 32U) + period,
           .worker = learned_key(worker.listing.id),
           .log_time = std::log(static_cast<double>(run.load)) - pace.log_estimate},
          now - latency_period, now);
}

void speed_learner::learn(const worker_record& worker, const run_name& name,
                          policy::pace_sample sample, time_point from, time_point now)
{
    double known = 0;
    m_beside.clear();
    if (m_options.interference) {
        const time_point middle = from + (now - from) / 2;
        for (const auto& [other, run] : worker.runs) {
            if (run.ordered <= middle && run.pace.kind != 0 && other != name) {
                constexpr double full_share = 100;
                policy::add_neighbour(m_beside, {run.pace.kind, run.share_percent / full_share});
            }
        }
        worker.ended_runs.collect(m_beside, middle);
        known = m_interference.slow_down(sample.kind, m_beside);
    }
    const auto found = worker.runs.find(name);
    const bool serving = found != worker.runs.end() && found->second.pace.serving;
    if (auto compared = m_peers.compare(sample)) {
        if (m_options.interference) {
            m_interference.note(sample.kind, sample.worker, *compared, m_beside, now);
        }
        // Tail latencies depend on the load too much to tell about a worker.
        if (m_options.worker_speed && !serving) {
            compared->deviation -= known;
            m_workers.note(sample.worker, *compared, now);
        }
    }
    sample.log_time -= known;
    m_peers.add(sample);
}

learned_changes speed_learner::refresh(time_point now)
{
    m_workers.refresh(now);
    m_interference.refresh(now);
    return {.workers = m_workers.take_changes(), .pairs = m_interference.take_changes()};
}

const std::vector<policy::interference_partner>*
speed_learner::partners_of(const job_record& job, std::uint32_t step) const
{
    return m_interference.known_count() == 0 ? nullptr
                                             : m_interference.partners(kind_of(job, step));
}

interference_cost speed_learner::cost_of(const std::vector<policy::interference_partner>& partners,
                                         bool sensitive, const worker_record& worker)
{
    const auto weight = [](bool weighs_more) { return weighs_more ? sensitive_weight : 1; };
    double suffered = 0;
    double inflicted = 0;
    for (const auto& [name, run] : worker.runs) {
        for (const policy::interference_partner& each : partners) {
            if (each.other == run.pace.kind) {
                suffered = std::max(suffered, each.suffers * weight(sensitive));
                inflicted += each.inflicts * weight(run.pace.sensitive);
            }
        }
    }
    const double cost = suffered + inflicted;
    const int step =
        static_cast<int>(std::min(std::ceil(cost * cost_steps), double(max_cost_step)));
    if (cost >= strong_cost) {
        return {.strong = step};
    }
    // A mild slow-down isn't worth an empty worker, which could be moved out of the pool.
    return {.mild = worker.runs.empty() ? max_cost_step : step};
}

} // namespace plantaindoor::job
