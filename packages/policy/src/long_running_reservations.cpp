#include "plantaindoor/policy/long_running_reservations.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace plantaindoor::policy {

namespace {

/// Progress below this tells little of the pace.
constexpr std::uint32_t min_known_percent = 10;
constexpr std::int64_t full_percent = 100;
constexpr milliseconds shortest_remaining{50};
/// As many cores cost as much as one accelerator.
constexpr double cores_per_accelerator = 8;
constexpr double millis_per_core = 1000;

bool fits_after(const resources& free, const resources& need, const resources& ended)
{
    resources available = free;
    available += ended;
    return available.can_fit(need);
}

} // namespace

milliseconds expected_remaining(const short_run& run, milliseconds stop_time)
{
    if (run.stopping) {
        return stop_time;
    }
    if (run.percent >= min_known_percent) {
        const milliseconds total = run.progress_age * full_percent / run.percent;
        return std::max(total - run.age, shortest_remaining);
    }
    // An estimate that has proved too low tells nothing; the age is a measure of what is left.
    const milliseconds overrun = run.age / 2;
    return std::max({run.estimate - run.age, run.age >= run.estimate ? overrun : milliseconds(0),
                     shortest_remaining});
}

double stop_cost(const short_run& run)
{
    if (run.stopping || run.checkpointing) {
        return 0;
    }
    const double cores = double(run.use.cpu_millis) / millis_per_core +
                         double(run.use.accelerators) * cores_per_accelerator;
    return cores * std::chrono::duration<double>(run.age).count() * double(run.gang_width);
}

namespace {

/// Which of the `late` runs to stop so that the task fits once `freed` is free as well.
std::vector<std::size_t> cheapest_stops(const reservable_worker& worker, const resources& need,
                                        std::vector<std::size_t> late, resources freed)
{
    const auto& runs = worker.runs;
    std::stable_sort(late.begin(), late.end(), [&](std::size_t left, std::size_t right) {
        return std::pair(stop_cost(runs[left]), runs[left].age) <
               std::pair(stop_cost(runs[right]), runs[right].age);
    });
    std::vector<std::size_t> stops;
    for (const std::size_t each : late) {
        if (fits_after(worker.free, need, freed)) {
            break;
        }
        freed += runs[each].footprint;
        stops.push_back(each);
    }
    // The runs chosen last may make some of the cheaper ones unnecessary.
    for (std::size_t at = stops.size(); at-- > 0;) {
        resources without = freed;
        without -= runs[stops[at]].footprint;
        if (fits_after(worker.free, need, without)) {
            freed = without;
            stops.erase(stops.begin() + std::ptrdiff_t(at));
        }
    }
    return stops;
}

} // namespace

/// What reserving a worker would lead to.
struct long_running_reservations::prospect {
    /// The task fits once all runs have ended.
    bool suits = false;
    /// It is expected to fit in time without a stop.
    bool in_time = false;
    /// Until it fits without a stop.
    milliseconds wait{0};
    /// The runs to stop so that it fits in time, and what they cost.
    std::vector<std::size_t> stops;
    double cost = 0;
};

long_running_reservations::prospect
long_running_reservations::prospect_of(const waiting_long_running& task,
                                       const reservable_worker& worker) const
{
    const auto& runs = worker.runs;
    // A stop has no effect earlier than a stop takes.
    const milliseconds limit =
        std::max(std::chrono::duration_cast<milliseconds>(task.since + max_reserved_wait - m_now),
                 m_stop_time);
    // What was expected to end in time hasn't.
    const bool overdue = m_now > task.since + max_reserved_wait;
    std::vector<milliseconds> remaining;
    for (const short_run& each : runs) {
        const milliseconds expected = expected_remaining(each, m_stop_time);
        remaining.push_back(overdue && !each.stopping ? std::max(expected, limit + milliseconds(1))
                                                      : expected);
    }
    std::vector<std::size_t> order(runs.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return remaining[left] < remaining[right];
    });
    prospect result;
    resources ended;
    std::vector<std::size_t> late;
    resources ended_in_time;
    result.suits = worker.free.can_fit(task.need);
    for (const std::size_t each : order) {
        ended += runs[each].footprint;
        if (remaining[each] <= limit) {
            ended_in_time = ended;
        }
        else {
            late.push_back(each);
        }
        if (!result.suits && fits_after(worker.free, task.need, ended)) {
            result.suits = true;
            result.wait = remaining[each];
        }
    }
    result.in_time = result.suits && result.wait <= limit;
    if (!result.suits || result.in_time) {
        return result;
    }
    result.stops = cheapest_stops(worker, task.need, std::move(late), ended_in_time);
    for (const std::size_t each : result.stops) {
        result.cost += stop_cost(runs[each]);
    }
    return result;
}

void long_running_reservations::begin_round(time_point now)
{
    m_now = now;
    m_renewed.clear();
}

std::optional<worker_reservation>
long_running_reservations::reserve(const waiting_long_running& task,
                                   const std::vector<const reservable_worker*>& workers)
{
    // Until then another worker may get room without a stop.
    const bool may_stop = m_now + m_stop_time >= task.since + max_reserved_wait;
    const reservable_worker* best = find_kept(task, workers);
    prospect of_best = best == nullptr ? prospect{} : prospect_of(task, *best);
    if (!of_best.suits || (may_stop && !of_best.in_time)) {
        const reservable_worker* const kept = best;
        best = of_best.suits ? best : nullptr;
        const auto rank = [&](const reservable_worker* worker, const prospect& each) {
            return std::tuple(!each.in_time, worker->is_slow, each.cost, worker != kept, each.wait);
        };
        for (const reservable_worker* const worker : workers) {
            prospect each = prospect_of(task, *worker);
            if (each.suits && (best == nullptr || rank(worker, each) < rank(best, of_best))) {
                best = worker;
                of_best = std::move(each);
            }
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    m_renewed[task.task] = best->worker;
    if (!may_stop) {
        of_best.stops.clear();
    }
    return worker_reservation{.worker = best->worker, .stops = std::move(of_best.stops)};
}

const reservable_worker*
long_running_reservations::find_kept(const waiting_long_running& task,
                                     const std::vector<const reservable_worker*>& workers) const
{
    const auto known = m_reserved.find(task.task);
    if (known == m_reserved.end()) {
        return nullptr;
    }
    const auto kept = std::find_if(workers.begin(), workers.end(),
                                   [&](const auto* each) { return each->worker == known->second; });
    return kept == workers.end() ? nullptr : *kept;
}

void long_running_reservations::end_round()
{
    m_reserved.swap(m_renewed);
    m_renewed.clear();
}

bool long_running_reservations::is_reserved(const instance_id& worker) const
{
    return std::any_of(m_reserved.begin(), m_reserved.end(),
                       [&](const auto& each) { return each.second == worker; });
}

} // namespace plantaindoor::policy
