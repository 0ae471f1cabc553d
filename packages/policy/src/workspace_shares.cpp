#include "plantaindoor/policy/workspace_shares.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaindoor::policy {

namespace {

/// Without this reserve a workspace at exactly its rate would lose each chance excess forever, and
/// would be at the limit most of the time.
constexpr double rate_reserve = 1.1;
/// Submissions are independent of each other, and so is the shard that a job's hash selects. The
/// number of jobs in a time then varies by its square root. Tolerated are three times the deviation
/// of a count over this time; longer ones would hide an excess that lasts some seconds.
constexpr double tolerance_seconds = 10;
constexpr double tolerance_deviations = 3;
/// A count has decayed after this time, for rates down to one job in 20 s at a shard.
constexpr seconds idle_time{60};

/// Largest number of counted jobs over all shards with which another job is within the rate.
double tolerated(double jobs_per_second, double shards)
{
    const double per_shard = jobs_per_second / shards;
    return shards * tolerance_deviations * std::sqrt(per_shard * tolerance_seconds);
}

double decayed(double jobs, double jobs_per_second, time_point from, time_point until)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(until - from).count());
    return std::max(0.0, jobs - jobs_per_second * rate_reserve * elapsed);
}

double part(std::int64_t used, std::int64_t capacity)
{
    return capacity > 0 ? double(used) / double(capacity) : 0;
}

} // namespace

bool submission_rates::note_submission(const workspace_id& workspace, double jobs_per_second,
                                       std::uint32_t shards, time_point at)
{
    if (is_beyond(workspace, jobs_per_second, shards, at)) {
        return true;
    }
    count& counted = m_counted[workspace];
    counted.jobs = decayed(counted.jobs, jobs_per_second, counted.at, at) + double(shards);
    counted.at = std::max(counted.at, at);
    return false;
}

bool submission_rates::is_beyond(const workspace_id& workspace, double jobs_per_second,
                                 std::uint32_t shards, time_point at) const
{
    const auto counted = m_counted.find(workspace);
    if (!(jobs_per_second > 0) || counted == m_counted.end()) {
        return false;
    }
    return decayed(counted->second.jobs, jobs_per_second, counted->second.at, at) >
           tolerated(jobs_per_second, double(shards));
}

void submission_rates::remove_idle(time_point now)
{
    std::erase_if(m_counted, [now](const auto& each) { return now - each.second.at > idle_time; });
}

void workspace_shares::add_use(const workspace_id& workspace, double weight, const resources& used)
{
    const auto [at, added] = m_competitors.try_emplace(workspace);
    if (added) {
        at->second.weight = std::max(weight, 0.0);
        m_total_weight += at->second.weight;
    }
    at->second.used += used;
}

bool workspace_shares::is_above(const workspace_id& workspace) const
{
    const auto found = m_competitors.find(workspace);
    if (found == m_competitors.end()) {
        return false;
    }
    const competitor& each = found->second;
    // A workspace that competes alone has no share to exceed.
    return m_competitors.size() > 1 && dominant_share(each.used) * m_total_weight >= each.weight;
}

double workspace_shares::dominant_share(const workspace_id& workspace) const
{
    const auto found = m_competitors.find(workspace);
    return found == m_competitors.end() ? 0 : dominant_share(found->second.used);
}

double workspace_shares::dominant_share(const resources& used) const noexcept
{
    return std::max({part(used.cpu_millis, m_capacity.cpu_millis),
                     part(used.memory_mb, m_capacity.memory_mb),
                     part(used.accelerators, m_capacity.accelerators)});
}

} // namespace plantaindoor::policy
