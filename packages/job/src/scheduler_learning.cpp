#include "plantaindoor/job/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::job {

namespace {

/// Tail latency, in percent of its target, above which best-effort runs are throttled, and below
/// which their share is raised again.
constexpr std::int64_t throttle_above_percent = 85;
constexpr std::int64_t unthrottle_below_percent = 55;
constexpr std::uint32_t full_share_percent = 100;
constexpr std::uint32_t share_step_up = 25;
constexpr std::uint32_t min_share_percent = 13;

} // namespace

void scheduler::refresh_learned(time_point now)
{
    const learned_changes changes = m_learner.refresh(now);
    for (const policy::worker_speed_change& change : changes.workers) {
        for (auto& [id, worker] : m_workers) {
            if (learned_key(id) == change.worker) {
                worker.slow = change.slow;
                decision& noted = m_decisions.emplace_back();
                noted.kind = decision_kind::worker_slow;
                noted.worker = id;
                noted.speed = change;
            }
        }
    }
    for (const policy::interference_change& change : changes.pairs) {
        decision& noted = m_decisions.emplace_back();
        noted.kind = decision_kind::interference;
        noted.pair = change;
        noted.slowed = describe_kind(change.slowed);
        noted.slowing = describe_kind(change.slowing);
    }
}

std::string scheduler::describe_kind(policy::kind_key kind) const
{
    for (const auto& [id, job] : m_open) {
        for (std::uint32_t step = 0; step < job->spec().steps.size(); ++step) {
            if (kind_of(*job, step) == kind) {
                const std::string& image = job->spec().steps[step].image;
                return image.empty() ? fmt::format("{} step {}", job->queue().name, step) : image;
            }
        }
    }
    return fmt::format("{:016x}", kind);
}

learned_figures scheduler::learned() const
{
    return {.slow_workers = m_learner.slow_workers(),
            .interfering_pairs = m_learner.interference().known_count(),
            .strongest_slow_down = m_learner.interference().strongest(),
            .placements_changed = m_placements_changed};
}

void scheduler::throttle_best_effort(time_point /*now*/)
{
    if (m_open_with_best_effort == 0) {
        return;
    }
    for (auto& [id, worker] : m_workers) {
        if (!std::exchange(worker.has_new_loads, false)) {
            continue;
        }
        std::int64_t worst_percent = 0;
        bool any_best_effort = false;
        std::vector<policy::kind_key> serving;
        std::vector<policy::kind_key> pressed;
        for (const auto& [name, run] : worker.runs) {
            const job_record* const job = find(name.task.job);
            if (job == nullptr || run.phase != run_phase::running) {
                continue;
            }
            const step_spec& step = job->spec().steps[name.task.step];
            any_best_effort = any_best_effort || step.best_effort;
            if (step.tail_target.count() > 0) {
                const std::int64_t percent =
                    run.load * full_share_percent / step.tail_target.count();
                worst_percent = std::max(worst_percent, percent);
                serving.push_back(run.pace.kind);
                if (percent > throttle_above_percent) {
                    pressed.push_back(run.pace.kind);
                }
            }
        }
        if (!any_best_effort) {
            continue;
        }
        const auto harms = [&](const worker_run& run, const std::vector<policy::kind_key>& kinds) {
            return std::any_of(kinds.begin(), kinds.end(), [&](policy::kind_key kind) {
                return m_learner.interference().slow_down(kind, run.pace.kind) > 0;
            });
        };
        // The runs known to harm are slowed first, and get their share back last.
        bool harmful_have_share = false;
        bool harmless_lack_share = false;
        for (const auto& [name, run] : worker.runs) {
            const job_record* const job = find(name.task.job);
            if (job != nullptr && run.phase == run_phase::running &&
                job->spec().steps[name.task.step].best_effort) {
                harmful_have_share =
                    harmful_have_share || (run.share_percent > 0 && harms(run, pressed));
                harmless_lack_share =
                    harmless_lack_share ||
                    (run.share_percent < full_share_percent && !harms(run, serving));
            }
        }
        for (auto& [name, run] : worker.runs) {
            const job_record* const job = find(name.task.job);
            if (job == nullptr || run.phase != run_phase::running ||
                !job->spec().steps[name.task.step].best_effort) {
                continue;
            }
            std::uint32_t wanted = run.share_percent;
            if (worst_percent > throttle_above_percent) {
                if (!harmful_have_share || harms(run, pressed)) {
                    wanted = wanted <= min_share_percent ? 0 : wanted / 2;
                }
            }
            else if (worst_percent < unthrottle_below_percent &&
                     (!harmless_lack_share || !harms(run, serving))) {
                wanted = std::min(full_share_percent, wanted + share_step_up);
            }
            if (wanted != run.share_percent) {
                run.share_percent = wanted;
                m_orders.throttles.push_back({id, name, wanted});
            }
        }
    }
}

} // namespace plantaindoor::job
