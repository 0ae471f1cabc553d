#include "plantaindoor/policy/peer_pace.hpp"

#include <algorithm>

namespace plantaindoor::policy {

namespace {

/// Several times the steps that run at a time at 2,400 starts a second.
constexpr std::size_t step_slots = 4096;
constexpr std::size_t kind_slots = 4096;
/// Of the logarithm of the times of one step's tasks: 0.03 where they differ by 0.3, and the
/// rounding of their progress.
constexpr double task_variance = 0.04;
/// Steps of a kind before it serves as a comparison. With fewer, the tasks that have ended are the
/// short ones, and the others seem slow.
constexpr double min_kind_steps = 8;
/// What a further sample of the last one's step counts in steps.
constexpr double same_step_weight = 0.25;
/// Assumed of a kind until its steps show otherwise, with the weight of this many steps. Estimates
/// that are off by up to 0.9 of themselves give 0.55.
constexpr double kind_variance = 0.7;
constexpr double kind_variance_weight = 8;
/// Weight of a further sample of a kind, once there are many.
constexpr double kind_weight = 1.0 / 64;
/// Outliers count no more than this towards what others are compared with.
constexpr double max_step_excess = 0.7;
constexpr double max_kind_excess = 1.5;

} // namespace

peer_pace::peer_pace() : m_steps(step_slots), m_kinds(kind_slots) {}

peer_pace::others peer_pace::others_of(const pace_sample& sample) const
{
    const step_pace& slot = m_steps[sample.step % step_slots];
    if (slot.step != sample.step) {
        return {};
    }
    double sum = slot.sum;
    std::uint32_t count = slot.count;
    for (const part& each : slot.parts) {
        if (each.worker == sample.worker) {
            sum -= each.sum;
            count -= each.count;
        }
    }
    return count == 0 ? others{} : others{.mean = sum / count, .count = count};
}

std::optional<pace_comparison> peer_pace::compare(const pace_sample& sample) const
{
    if (const others elsewhere = others_of(sample); elsewhere.count > 0) {
        return pace_comparison{.deviation = sample.log_time - elsewhere.mean,
                               .variance = task_variance * (1 + 1.0 / elsewhere.count),
                               .source = sample.run};
    }
    const kind_pace& kind = m_kinds[sample.kind % kind_slots];
    if (kind.kind != sample.kind || kind.steps < min_kind_steps) {
        return std::nullopt;
    }
    return pace_comparison{.deviation = sample.log_time - kind.mean,
                           .variance = 2 * std::max(kind.variance, task_variance),
                           .source = sample.step};
}

void peer_pace::add(const pace_sample& sample)
{
    const others elsewhere = others_of(sample);
    const double limited = elsewhere.count == 0
                               ? sample.log_time
                               : std::min(sample.log_time, elsewhere.mean + max_step_excess);
    step_pace& slot = m_steps[sample.step % step_slots];
    if (slot.step != sample.step) {
        slot = {.step = sample.step};
    }
    slot.sum += limited;
    ++slot.count;
    const auto own = std::find_if(slot.parts.begin(), slot.parts.end(), [&](const part& each) {
        return each.count == 0 || each.worker == sample.worker;
    });
    if (own != slot.parts.end()) {
        own->worker = sample.worker;
        own->sum += limited;
        ++own->count;
    }
    kind_pace& kind = m_kinds[sample.kind % kind_slots];
    if (kind.kind != sample.kind) {
        kind = {.kind = sample.kind, .variance = kind_variance};
    }
    const double counted = kind.last_step == sample.step ? same_step_weight : 1;
    kind.last_step = sample.step;
    kind.steps += counted;
    const double excess = sample.log_time - kind.mean;
    const double limited_excess =
        kind.steps <= 1 ? excess : std::clamp(excess, -max_kind_excess, max_kind_excess);
    kind.mean += std::max(counted / kind.steps, kind_weight) * limited_excess;
    const double squared = kind.steps <= 1 ? kind_variance : limited_excess * limited_excess;
    kind.variance += std::max(counted / (kind.steps + kind_variance_weight), kind_weight) *
                     (squared - kind.variance);
}

} // namespace plantaindoor::policy
