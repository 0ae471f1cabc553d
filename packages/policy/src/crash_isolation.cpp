#include "plantaindoor/policy/crash_isolation.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plantaindoor::policy {

namespace {

/// One in this many workers of a full pool, and at least one, is kept for isolated tasks.
constexpr std::size_t full_divisor = 4;
/// The same while tasks that aren't suspected wait for room.
constexpr std::size_t overload_divisor = 10;
/// The same in a pool that has room, where these tasks wait because of the isolated ones.
constexpr std::size_t contended_divisor = 2;

std::size_t max_kept(const isolation_pool& pool)
{
    const std::size_t divisor = pool.full ? (pool.others_wait ? overload_divisor : full_divisor)
                                          : (pool.others_wait ? contended_divisor : 1);
    return std::max<std::size_t>(pool.workers / divisor, 1);
}

} // namespace

void crash_isolation::note_culprit(const job_id& job, const std::vector<instance_id>& crashes)
{
    for (const instance_id& crash : crashes) {
        m_explained.emplace(crash, job);
    }
}

void crash_isolation::forget(const job_id& job)
{
    std::erase_if(m_explained, [&](const auto& each) { return each.second == job; });
}

std::vector<waiting_suspect> crash_isolation::begin_round(std::vector<waiting_suspect> waiting,
                                                          time_point now)
{
    m_now = now;
    m_reserved.clear();
    m_started_on.clear();
    std::map<job_id, wait_state> waits;
    for (const waiting_suspect& each : waiting) {
        const auto known = m_waits.find(each.job);
        wait_state& wait = waits
                               .emplace(each.job, known == m_waits.end() ? wait_state{.since = now}
                                                                         : known->second)
                               .first->second;
        wait.reason = isolation_wait::none;
    }
    m_waits = std::move(waits);
    std::stable_sort(waiting.begin(), waiting.end(), [&](const auto& left, const auto& right) {
        const auto rank = [&](const waiting_suspect& each) {
            const bool overdue = waited(each.job) >= overdue_wait;
            return std::pair(!overdue, overdue ? m_waits.at(each.job).since : time_point{});
        };
        return rank(left) < rank(right);
    });
    m_order = waiting;
    return waiting;
}

milliseconds crash_isolation::waited(const job_id& job) const
{
    const auto wait = m_waits.find(job);
    return wait == m_waits.end()
               ? milliseconds(0)
               : std::chrono::duration_cast<milliseconds>(m_now - wait->second.since);
}

bool crash_isolation::is_taken(const waiting_suspect& suspect, const instance_id& worker) const
{
    const auto started = m_started_on.find(worker);
    return started != m_started_on.end() && started->second != suspect.job;
}

bool crash_isolation::may_start_on(const waiting_suspect& suspect, const isolation_host& host,
                                   bool full) const
{
    if (!host.has_room || is_taken(suspect, host.worker)) {
        return false;
    }
    if (host.other_runs == 0) {
        return true;
    }
    const milliseconds wait = waited(suspect.job);
    if (host.has_last_start) {
        return false;
    }
    if (host.has_isolated) {
        return !full && wait >= last_resort_wait && host.youngest_age >= crash_on_start_time;
    }
    if (host.youngest_age >= crash_suspicion_time) {
        return wait >= settled_neighbour_wait;
    }
    return !full && wait >= overdue_wait && host.youngest_age >= crash_on_start_time;
}

bool crash_isolation::may_reserve(const waiting_suspect& suspect, const isolation_host& host,
                                  bool overdue) const
{
    if (const auto reserved = m_reserved.find(host.worker); reserved != m_reserved.end()) {
        return reserved->second == suspect.job;
    }
    return !m_started_on.contains(host.worker) && !host.has_isolated && (!overdue || host.has_room);
}

isolation_choice crash_isolation::choose(const waiting_suspect& suspect, const isolation_pool& pool)
{
    const auto may_use = [&](const isolation_host& host) {
        const auto reserved = m_reserved.find(host.worker);
        return (reserved == m_reserved.end() || reserved->second == suspect.job) &&
               may_start_on(suspect, host, pool.full);
    };
    const bool overdue = !pool.full && !pool.others_wait && waited(suspect.job) >= overdue_wait;
    const bool may_keep_more = overdue || pool.kept < max_kept(pool);
    const auto is_kept = [&](const isolation_host& host) {
        return host.has_own || host.has_isolated || is_reserved(host.worker);
    };
    const auto cost_of = [&](const isolation_host& host) {
        return std::tuple(!host.has_own, host.has_isolated, host.other_runs > 0,
                          host.has_long_running, host.other_runs, host.far);
    };
    const isolation_host* best = nullptr;
    for (const isolation_host& host : pool.hosts) {
        if (may_use(host) && (may_keep_more || is_kept(host)) &&
            (best == nullptr || cost_of(host) < cost_of(*best))) {
            best = &host;
        }
    }
    if (best != nullptr) {
        return {.worker = best->worker, .start = true};
    }
    wait_state& wait = m_waits[suspect.job];
    wait.reason =
        may_keep_more ? isolation_wait::no_free_worker : isolation_wait::too_many_isolated;
    const bool may_reserve_more = (!pool.full && waited(suspect.job) >= overdue_wait) ||
                                  pool.kept < std::max<std::size_t>(pool.workers / full_divisor, 1);
    if (!may_keep_more || !may_reserve_more) {
        return {};
    }
    const auto delay_of = [&](const isolation_host& host) {
        return std::tuple(!is_reserved(host.worker), host.has_long_running,
                          overdue ? -host.youngest_age : milliseconds(0), host.other_runs,
                          host.far);
    };
    for (const isolation_host& host : pool.hosts) {
        if (may_reserve(suspect, host, overdue) &&
            (best == nullptr || delay_of(host) < delay_of(*best))) {
            best = &host;
        }
    }
    if (best == nullptr) {
        return {};
    }
    m_reserved.emplace(best->worker, suspect.job);
    return {.worker = best->worker};
}

void crash_isolation::note_started(const waiting_suspect& suspect, const instance_id& worker)
{
    m_waits.at(suspect.job).started = true;
    m_started_on.emplace(worker, suspect.job);
}

void crash_isolation::note_not_durable(const waiting_suspect& suspect)
{
    if (const auto wait = m_waits.find(suspect.job); wait != m_waits.end()) {
        wait->second.reason = isolation_wait::not_durable;
    }
}

std::vector<suspect_position> crash_isolation::end_round()
{
    // A job that has started a task waits anew if another one of its tasks has to.
    std::erase_if(m_waits, [](const auto& each) { return each.second.started; });
    std::erase_if(m_order,
                  [this](const waiting_suspect& each) { return !m_waits.contains(each.job); });
    std::map<service_id, std::size_t> counts;
    for (const waiting_suspect& each : m_order) {
        m_waits.at(each.job).position = ++counts[each.service];
    }
    std::vector<suspect_position> reported;
    for (const waiting_suspect& each : m_order) {
        wait_state& wait = m_waits.at(each.job);
        wait.count = counts[each.service];
        if (!wait.reported && waited(each.job) >= reported_wait) {
            wait.reported = true;
            reported.push_back(*position_of(each.job));
        }
    }
    return reported;
}

std::optional<suspect_position> crash_isolation::position_of(const job_id& job) const
{
    const auto wait = m_waits.find(job);
    if (wait == m_waits.end()) {
        return std::nullopt;
    }
    return suspect_position{.job = job,
                            .position = wait->second.position,
                            .count = wait->second.count,
                            .waited = waited(job),
                            .reason = wait->second.reason};
}

} // namespace plantaindoor::policy
