#include "plantaindoor/policy/worker_holds.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plantaindoor::policy {

namespace {

/// Time until the worker is expected to have the room; nullopt if it never has.
std::optional<milliseconds> time_until_room(const reservable_worker& worker, const resources& need,
                                            milliseconds stop_time)
{
    resources free = worker.free;
    if (free.can_fit(need)) {
        return milliseconds(0);
    }
    std::vector<std::pair<milliseconds, const short_run*>> ends;
    ends.reserve(worker.runs.size());
    for (const short_run& each : worker.runs) {
        ends.emplace_back(expected_remaining(each, stop_time), &each);
    }
    std::stable_sort(ends.begin(), ends.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    for (const auto& [remaining, run] : ends) {
        free += run->footprint;
        if (free.can_fit(need)) {
            return remaining;
        }
    }
    return std::nullopt;
}

} // namespace

void worker_holds::begin_round(time_point now)
{
    m_now = now;
    m_renewed.clear();
    m_unfit.clear();
}

std::optional<instance_id> worker_holds::held_for(const job_id& job,
                                                  const service_id& service) const
{
    const auto held = m_held.find(service);
    return held != m_held.end() && held->second.job == job ? std::optional(held->second.worker)
                                                           : std::nullopt;
}

void worker_holds::hold(const job_id& job, const service_id& service, const instance_id& worker)
{
    m_renewed.insert_or_assign(service, held_worker{.job = job, .worker = worker});
}

bool worker_holds::may_choose(const service_id& service) const
{
    const auto chosen = m_chosen_at.find(service);
    return chosen == m_chosen_at.end() || chosen->second == m_now ||
           m_now - chosen->second >= choice_interval;
}

std::optional<instance_id> worker_holds::choose(const resources& need,
                                                const std::vector<reservable_worker>& workers) const
{
    const reservable_worker* best = nullptr;
    milliseconds shortest{0};
    const auto rank = [](const reservable_worker& worker, milliseconds wait) {
        return std::tuple(worker.is_slow, wait, -worker.free.cpu_millis, -worker.free.memory_mb,
                          worker.worker);
    };
    for (const reservable_worker& each : workers) {
        const auto wait = time_until_room(each, need, m_stop_time);
        if (wait && (best == nullptr || rank(each, *wait) < rank(*best, shortest))) {
            best = &each;
            shortest = *wait;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->worker);
}

void worker_holds::end_round()
{
    m_held = std::exchange(m_renewed, {});
}

bool worker_holds::is_held(const instance_id& worker) const
{
    return std::any_of(m_held.begin(), m_held.end(),
                       [&](const auto& each) { return each.second.worker == worker; });
}

void worker_holds::note_unfit(const service_id& service, const resources& need)
{
    m_unfit[service].push_back(need);
}

bool worker_holds::is_unfit(const service_id& service, const resources& need) const
{
    const auto needs = m_unfit.find(service);
    return needs != m_unfit.end() &&
           std::any_of(needs->second.begin(), needs->second.end(),
                       [&](const resources& unfit) { return need.can_fit(unfit); });
}

} // namespace plantaindoor::policy
