#include "plantaindoor/process/team_quotas.hpp"

namespace plantaindoor::process {

void team_quotas::observe(const std::vector<table_row>& rows)
{
    for (const table_row& row : rows) {
        const team_id team(row.key.substr(job_quota_prefix.size()));
        state& known = m_known[team];
        const auto usage = decode_quota_usage(row.value);
        if (usage && row.version > known.version && !m_writing.contains(team)) {
            known = {.version = row.version, .usage = *usage};
        }
    }
}

std::map<team_id, team_usage> team_quotas::used_elsewhere(const version::fleet& whole) const
{
    std::map<team_id, team_usage> out;
    for (const auto& [team, known] : m_known) {
        for (const auto& [pool, used] : known.usage) {
            if (pool != m_pool && whole.pools.contains(pool)) {
                out[team].processors += used.processors;
                out[team].accelerators += used.accelerators;
            }
        }
    }
    return out;
}

bool team_quotas::add_changes(std::map<team_id, team_usage> own, table_transaction& into)
{
    for (const team_id& team : m_limited) {
        const state& known = m_known[team];
        const auto before = known.usage.find(m_pool);
        const team_usage used = own[team];
        const team_usage told = before == known.usage.end() ? team_usage{} : before->second;
        if (used.processors == told.processors && used.accelerators == told.accelerators) {
            continue;
        }
        quota_usage fresh = known.usage;
        fresh[m_pool] = used;
        into.conditions.push_back({job_quota_key(team), known.version});
        into.writes.push_back({job_quota_key(team), encode(fresh)});
        m_writing.emplace(team, std::move(fresh));
    }
    return !m_writing.empty();
}

void team_quotas::on_written(bool applied, row_version version)
{
    for (auto& [team, usage] : m_writing) {
        if (applied) {
            m_known[team] = {.version = version, .usage = std::move(usage)};
        }
    }
    m_writing.clear();
}

} // namespace plantaindoor::process
