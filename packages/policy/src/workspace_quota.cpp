#include "plantaindoor/policy/workspace_quota.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::policy {

namespace {

/// Amounts of `tasks` tasks; bounded, so that sums don't overflow.
resources amounts_for(const resources& need, std::uint32_t tasks) noexcept
{
    const auto times = [&](std::int64_t amount) {
        return std::clamp<std::int64_t>(amount, 0, max_quota_amount) * tasks;
    };
    return {.cpu_millis = times(need.cpu_millis),
            .memory_mb = times(need.memory_mb),
            .accelerators = times(need.accelerators)};
}

/// Whether the cap has room for the amounts.
bool allows(const resources& cap, const resources& amounts) noexcept
{
    const auto fits = [](std::int64_t limit, std::int64_t amount) {
        return limit <= 0 || amount <= limit;
    };
    return fits(cap.cpu_millis, amounts.cpu_millis) && fits(cap.memory_mb, amounts.memory_mb) &&
           fits(cap.accelerators, amounts.accelerators);
}

} // namespace

resources quota_usage::used() const noexcept
{
    resources sum = running;
    sum += possible;
    return sum;
}

quota_share quota_usage::free_share() const noexcept
{
    return larger_of(share - units_of(used(), cap), {});
}

void workspace_quota::set_workspaces(const std::vector<workspace_policy>& workspaces)
{
    m_has_caps = false;
    for (auto& [id, each] : m_entries) {
        each.configured = false;
        each.usage.cap = {};
    }
    for (const workspace_policy& workspace : workspaces) {
        const auto [at, is_new] = m_entries.try_emplace(workspace.id);
        at->second.configured = true;
        at->second.usage.cap = workspace.cap;
        m_has_caps = m_has_caps || at->second.usage.has_cap();
        if (is_new && !m_awaits_shares) {
            const quota_share base = base_share(workspace.id, m_options.shard, m_options.shards);
            at->second.usage.share = base;
            at->second.usage.usable = base;
        }
    }
    std::erase_if(m_entries, [](const auto& each) {
        return !each.second.configured && each.second.usage.running == resources{};
    });
}

void workspace_quota::await_shares()
{
    m_awaits_shares = true;
    for (auto& [id, each] : m_entries) {
        each.usage.share = {};
        each.usage.usable = {};
    }
}

void workspace_quota::set_share(const workspace_id& workspace, const quota_share& share,
                                const quota_share& usable)
{
    if (const auto found = m_entries.find(workspace); found != m_entries.end()) {
        found->second.usage.share = share;
        found->second.usage.usable = usable;
    }
}

void workspace_quota::add_run(const workspace_id& workspace, const resources& need, bool starting)
{
    if (workspace.empty()) {
        return;
    }
    const auto [at, is_new] = m_entries.try_emplace(workspace);
    if (is_new && !m_awaits_shares) {
        const quota_share base = base_share(workspace, m_options.shard, m_options.shards);
        at->second.usage.share = base;
        at->second.usage.usable = base;
    }
    at->second.usage.running += amounts_for(need, 1);
    at->second.usage.starting += starting ? 1 : 0;
}

void workspace_quota::note_arrived(const workspace_id& workspace)
{
    if (const auto found = m_entries.find(workspace); found != m_entries.end()) {
        --found->second.usage.starting;
    }
}

void workspace_quota::remove_run(const workspace_id& workspace, const resources& need,
                                 bool starting)
{
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end()) {
        return;
    }
    found->second.usage.running -= amounts_for(need, 1);
    found->second.usage.starting -= starting ? 1 : 0;
    if (!found->second.configured && found->second.usage.running == resources{}) {
        m_entries.erase(found);
    }
}

void workspace_quota::begin_round()
{
    for (auto& [id, each] : m_entries) {
        each.usage.possible = {};
        each.usage.waiting_tasks = 0;
        each.usage.waiting = {};
        each.usage.next = {};
        each.usage.wanted = {};
    }
}

void workspace_quota::add_possible(const workspace_id& workspace, const resources& need,
                                   std::uint32_t tasks)
{
    if (const auto found = m_entries.find(workspace); found != m_entries.end()) {
        found->second.usage.possible += amounts_for(need, tasks);
    }
}

quota_verdict workspace_quota::check(const workspace_id& workspace, const resources& need,
                                     std::uint32_t tasks, std::uint32_t ended) const
{
    const quota_usage* const usage = find(workspace);
    if (usage == nullptr) {
        return quota_verdict::allowed;
    }
    const resources all = amounts_for(need, tasks);
    if (!allows(usage->cap, all)) {
        return quota_verdict::larger_than_cap;
    }
    // The rule for caps allows one task more than the cap; a gang has to fit. A run that starts
    // late, after the one that exceeds the cap, would be a second one.
    const bool may_exceed = tasks == 1 && usage->starting == 0 && usage->possible == resources{};
    resources used = usage->used();
    used -= amounts_for(need, ended);
    return can_add(used, all, usage->usable, usage->cap, may_exceed) ? quota_verdict::allowed
                                                                     : quota_verdict::part_in_use;
}

void workspace_quota::add_waiting(const workspace_id& workspace, quota_verdict reason,
                                  const resources& need, std::uint32_t tasks, std::uint32_t width,
                                  bool has_room)
{
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end() || tasks == 0) {
        return;
    }
    quota_usage& usage = found->second.usage;
    if (usage.waiting_tasks == 0) {
        found->second.reason = reason;
    }
    usage.waiting_tasks += tasks;
    usage.waiting += amounts_for(need, tasks);
    if (reason != quota_verdict::part_in_use) {
        return;
    }
    const bool is_first = usage.wanted == resources{};
    if (is_first) {
        usage.next = amounts_for(need, width);
    }
    if (has_room) {
        usage.wanted += amounts_for(need, tasks);
    }
    else if (is_first) {
        // A task without room becomes load, for which machines are ordered, only once its shard has
        // the part for it.
        usage.wanted += usage.next;
    }
}

void workspace_quota::end_round(time_point now)
{
    for (auto& [id, each] : m_entries) {
        const bool waits = each.usage.waiting_tasks > 0;
        if (waits) {
            each.last_waited = now;
        }
        if (waits && !each.reported) {
            each.reported = true;
            m_events.push_back({id, true, each.reason, each.usage});
        }
        else if (!waits && each.reported && now - each.last_waited >= m_options.report_after) {
            each.reported = false;
            m_events.push_back({id, false, each.reason, each.usage});
        }
    }
}

const quota_usage* workspace_quota::find(const workspace_id& workspace) const
{
    const auto found = m_entries.find(workspace);
    return found == m_entries.end() || !found->second.usage.has_cap() ? nullptr
                                                                      : &found->second.usage;
}

std::map<workspace_id, quota_usage> workspace_quota::usages() const
{
    std::map<workspace_id, quota_usage> all;
    for (const auto& [id, each] : m_entries) {
        if (each.usage.has_cap()) {
            all.emplace(id, each.usage);
        }
    }
    return all;
}

std::vector<quota_event> workspace_quota::take_events()
{
    return std::exchange(m_events, {});
}

} // namespace plantaindoor::policy
