#include "plantaindoor/policy/quota_division.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace plantaindoor::policy {

namespace {

quota_share given_to(const quota_row& row, const workspace_id& workspace, std::uint32_t recipient)
{
    const auto by_recipient = row.given.find(workspace);
    if (by_recipient == row.given.end()) {
        return {};
    }
    const auto given = by_recipient->second.find(recipient);
    return given == by_recipient->second.end() ? quota_share{} : given->second;
}

quota_share given_by(const quota_row& row, const workspace_id& workspace)
{
    quota_share sum;
    if (const auto found = row.given.find(workspace); found != row.given.end()) {
        for (const auto& [recipient, given] : found->second) {
            sum += given;
        }
    }
    return sum;
}

/// Whether any amount with a cap has grown.
bool has_grown(const resources& before, const resources& now) noexcept
{
    return now.cpu_millis > before.cpu_millis || now.memory_mb > before.memory_mb ||
           now.accelerators > before.accelerators;
}

} // namespace

void quota_division::restore(quota_row own)
{
    m_own = std::move(own);
    // The predecessor's demand; this leader doesn't know its own yet. The excess stays, as the
    // predecessor's runs do.
    m_own.requests.clear();
    m_own.interval = {};
    m_restored = true;
}

void quota_division::note_old_row(std::uint32_t shard, quota_row row)
{
    if (shard != m_options.shard && shard < m_options.shards) {
        m_others[shard] = {std::move(row), std::nullopt};
    }
}

void quota_division::note_row(std::uint32_t shard, quota_row row, time_point now)
{
    if (shard != m_options.shard && shard < m_options.shards) {
        m_others[shard] = {.row = std::move(row), .changed = now, .answered = {}};
    }
}

quota_share quota_division::share_of(std::uint32_t shard, const workspace_id& workspace) const
{
    quota_share share = base_share(workspace, shard, m_options.shards);
    const auto apply = [&](std::uint32_t donor, const quota_row& row) {
        share += given_to(row, workspace, shard);
        if (donor == shard) {
            share -= given_by(row, workspace);
        }
    };
    apply(m_options.shard, m_own);
    for (const auto& [other, known] : m_others) {
        apply(other, known.row);
    }
    return share;
}

quota_share quota_division::share(const workspace_id& workspace) const
{
    return m_restored ? share_of(m_options.shard, workspace) : quota_share{};
}

std::vector<quota_division::requester> quota_division::requesters(const workspace_id& workspace,
                                                                  time_point now) const
{
    std::vector<requester> all;
    for (const auto& [shard, known] : m_others) {
        const auto request = known.row.requests.find(workspace);
        if (request != known.row.requests.end() && known.changed &&
            now - *known.changed <= std::max(m_options.max_request_age, 2 * known.row.interval)) {
            all.push_back({shard, request->second});
        }
    }
    std::sort(all.begin(), all.end(), [](const requester& left, const requester& right) {
        return std::tie(left.request.since, left.shard) <
               std::tie(right.request.since, right.shard);
    });
    return all;
}

bool quota_division::goes_first(const requester& other, const workspace_id& workspace) const
{
    const auto own = m_own.requests.find(workspace);
    return own == m_own.requests.end() || std::tie(other.request.since, other.shard) <
                                              std::tie(own->second.since, m_options.shard);
}

quota_share quota_division::owed_to(const requester& to, const workspace_id& workspace) const
{
    if (!goes_first(to, workspace)) {
        return {};
    }
    const auto base = [&](std::uint32_t shard) {
        return base_share(workspace, shard, m_options.shards);
    };
    const quota_share surplus = share(workspace) - base(m_options.shard);
    const quota_share lack = base(to.shard) - share_of(to.shard, workspace);
    return larger_of(smaller_of(smaller_of(surplus, lack), to.request.all), {});
}

quota_share quota_division::usable_share(const workspace_id& workspace, time_point now) const
{
    const quota_share all = share(workspace);
    const quota_share base = base_share(workspace, m_options.shard, m_options.shards);
    quota_share kept;
    for (const requester& each : requesters(workspace, now)) {
        kept += owed_to(each, workspace);
    }
    quota_share usable = all - smaller_of(kept, larger_of(all - base, {}));
    for (const auto& [shard, known] : m_others) {
        if (const auto excess = known.row.excess.find(workspace);
            excess != known.row.excess.end()) {
            usable -= excess->second;
        }
    }
    return larger_of(usable, {});
}

quota_share quota_division::give(const workspace_id& workspace, std::uint32_t recipient,
                                 const quota_share& wanted, const quota_share& free)
{
    const quota_share given = larger_of(smaller_of(wanted, free), {});
    if (!is_empty(given)) {
        m_own.given[workspace][recipient] += given;
    }
    return given;
}

void quota_division::refresh_request(const workspace_id& workspace, const quota_usage& usage,
                                     wall_time wall_now)
{
    const auto lacking = [&](const resources& amounts) {
        resources sum = usage.used();
        sum += amounts;
        return larger_of(units_of(sum, usage.cap) - share(workspace), {});
    };
    quota_request request{.next = lacking(usage.next), .all = lacking(usage.wanted)};
    const resources used = usage.used();
    const bool has_started = has_grown(std::exchange(m_used_before[workspace], used), used);
    if (is_empty(request.next) || usage.wanted == resources{}) {
        m_own.requests.erase(workspace);
        return;
    }
    const auto previous = m_own.requests.find(workspace);
    // A shard whose tasks start goes behind the others, which may wait for their first one.
    request.since =
        previous != m_own.requests.end() && !has_started
            ? previous->second.since
            : std::chrono::duration_cast<milliseconds>(wall_now.time_since_epoch()).count();
    m_own.requests[workspace] = request;
}

void quota_division::refresh_excess(const workspace_id& workspace, const quota_usage& usage,
                                    bool in_doubt)
{
    // Possible runs are left out: they are far more than what the predecessor may have started, and
    // would stop all shards at each change of a leader.
    quota_share excess =
        larger_of(units_of(usage.running, usage.cap) - share(workspace), quota_share{});
    if (const auto known = m_own.excess.find(workspace); known != m_own.excess.end() && in_doubt) {
        // Not all of the predecessor's runs have been reported yet.
        excess = larger_of(excess, known->second);
    }
    if (is_empty(excess)) {
        m_own.excess.erase(workspace);
    }
    else {
        m_own.excess[workspace] = excess;
    }
}

void quota_division::give_to_requesters(const workspace_id& workspace, const quota_usage& usage,
                                        time_point now)
{
    const bool requests = m_own.requests.contains(workspace);
    for (const requester& each : requesters(workspace, now)) {
        std::set<workspace_id>& answered = m_others.at(each.shard).answered;
        if (answered.contains(workspace)) {
            continue;
        }
        quota_usage current = usage;
        current.share = share(workspace);
        quota_share wanted = each.request.all;
        if (requests && goes_first(each, workspace)) {
            // This shard's part has no room for its first task, the two parts may have for another.
            wanted = larger_of(owed_to(each, workspace), each.request.next);
        }
        else if (usage.wanted != resources{}) {
            wanted = owed_to(each, workspace);
        }
        if (!is_empty(give(workspace, each.shard, wanted, current.free_share()))) {
            answered.insert(workspace);
        }
    }
}

bool quota_division::update(const std::map<workspace_id, quota_usage>& usages, bool may_give,
                            time_point now, wall_time wall_now)
{
    const quota_row before = m_own;
    std::erase_if(m_own.requests, [&](const auto& each) { return !usages.contains(each.first); });
    std::erase_if(m_own.excess, [&](const auto& each) { return !usages.contains(each.first); });
    std::erase_if(m_used_before, [&](const auto& each) { return !usages.contains(each.first); });
    for (const auto& [workspace, usage] : usages) {
        refresh_request(workspace, usage, wall_now);
        if (may_give) {
            give_to_requesters(workspace, usage, now);
        }
        refresh_excess(workspace, usage, !may_give);
    }
    return m_own != before;
}

} // namespace plantaindoor::policy
