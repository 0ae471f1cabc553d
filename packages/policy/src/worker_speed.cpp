#include "plantaindoor/policy/worker_speed.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace plantaindoor::policy {

namespace {

/// Evidence falls to 1/e in this time. Workers are slow for seconds, and polls of a worker with
/// runs are answered at least once a second.
constexpr double memory_seconds = 1.2;
constexpr milliseconds refresh_period{100};
/// Weight of the assumption that a worker is as fast as the others, as an inverse variance.
constexpr double prior_precision = 4;
/// Limits how long many samples outlast the end of a slow phase: for some 5 s.
constexpr double max_precision = 60;
/// Logarithms of the slow-downs at which a worker begins and ceases to count as slow.
const double begin_slow = std::log(2.0);
const double end_slow = std::log(1.5);
/// A single run shows a slow worker only if it is slower than this; a straggler may be by itself.
const double begin_slow_by_one_run = std::log(3.0);
constexpr double min_samples_of_one_run = 2.4;
constexpr double min_sources = 1.5;
/// Weight of a further sample of the last one's source, whose error is mostly the same. With full
/// weight, one step with a low estimate made sound workers count as slow.
constexpr double repeated_weight = 0.25;
/// A run slowed by less than this is at its usual pace, which a slow worker doesn't allow.
const double usual_pace = std::log(1.4);
constexpr double max_usual_share_begin = 0.2;
constexpr double max_usual_share_slow = 0.5;
constexpr double min_deviation = -1;
constexpr double max_deviation = 2.5;
/// Below this precision nothing is known of a worker.
constexpr double negligible_precision = 0.02;

} // namespace

void worker_speed::fade(evidence& of, time_point now)
{
    const double age = std::chrono::duration<double>(now - of.at).count();
    if (age <= 0) {
        return;
    }
    const double left = std::exp(-age / memory_seconds);
    of.precision *= left;
    of.weighted *= left;
    of.usual *= left;
    of.samples *= left;
    of.sources *= left;
    of.at = now;
}

void worker_speed::decide(worker_key worker, evidence& of)
{
    const double slow_down = of.weighted / (of.precision + prior_precision);
    const double usual_share = of.precision > 0 ? of.usual / of.precision : 0;
    bool slow = of.slow;
    if (of.slow) {
        slow = slow_down >= end_slow && usual_share < max_usual_share_slow;
    }
    else {
        const bool shown = of.sources >= min_sources || (of.samples >= min_samples_of_one_run &&
                                                         slow_down >= begin_slow_by_one_run);
        slow = shown && slow_down >= begin_slow && usual_share <= max_usual_share_begin;
    }
    if (slow == of.slow) {
        return;
    }
    of.slow = slow;
    m_slow_count += slow ? 1 : -1;
    m_changes.push_back({.worker = worker,
                         .slow = slow,
                         .slow_down = std::exp(of.weighted / std::max(of.precision, 1e-9)),
                         .samples = of.samples,
                         .usual_share = usual_share});
}

void worker_speed::note(worker_key worker, const pace_comparison& compared, time_point now)
{
    evidence& of = m_workers[worker];
    fade(of, now);
    of.at = std::max(of.at, now);
    const bool same_source = of.last_source == compared.source;
    const double precision = (same_source ? repeated_weight : 1) / compared.variance;
    const double deviation = std::clamp(compared.deviation, min_deviation, max_deviation);
    of.precision += precision;
    of.weighted += precision * deviation;
    of.usual += deviation < usual_pace ? precision : 0;
    of.samples += 1;
    of.sources += same_source ? 0 : 1;
    of.last_source = compared.source;
    if (of.precision > max_precision) {
        const double scale = max_precision / of.precision;
        of.precision *= scale;
        of.weighted *= scale;
        of.usual *= scale;
    }
    decide(worker, of);
}

void worker_speed::refresh(time_point now)
{
    if (now < m_next_refresh) {
        return;
    }
    m_next_refresh = now + refresh_period;
    for (auto at = m_workers.begin(); at != m_workers.end();) {
        // Without a decision to review, the age is accounted for with the next sample.
        const bool outdated = now - at->second.at > seconds(10);
        if (at->second.slow || outdated) {
            fade(at->second, now);
            decide(at->first, at->second);
        }
        const bool negligible =
            !at->second.slow && outdated && at->second.precision < negligible_precision;
        at = negligible ? m_workers.erase(at) : std::next(at);
    }
}

bool worker_speed::is_slow(worker_key worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.slow;
}

std::vector<worker_speed_change> worker_speed::take_changes()
{
    return std::exchange(m_changes, {});
}

} // namespace plantaindoor::policy
