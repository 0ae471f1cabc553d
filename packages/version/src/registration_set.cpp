#include "plantaindoor/version/registration_set.hpp"

#include <algorithm>
#include <iterator>

namespace plantaindoor::version {

namespace {

bool confirms(const registration& row, const instance_id& instance, version_number state_version)
{
    return row.applied >= state_version && std::ranges::find(row.busy, instance) == row.busy.end();
}

/// The newest row version of the entry's other incarnations.
row_version newest_other(const registration_row& row, std::span<const registration_row> rows)
{
    row_version newest = absent_row;
    for (const registration_row& each : rows) {
        if (each.value.entry == row.value.entry &&
            each.value.incarnation != row.value.incarnation) {
            newest = std::max(newest, each.version);
        }
    }
    return newest;
}

} // namespace

std::vector<registration_row> registration_rows(std::span<const table_row> rows)
{
    std::vector<registration_row> decoded;
    decoded.reserve(rows.size());
    for (const table_row& each : rows) {
        decoded.push_back({decode_registration(each.value), each.version});
    }
    return decoded;
}

std::vector<entry_id> unconfirmed(std::span<const registration_row> rows,
                                  const std::set<entry_id>& listed,
                                  const std::set<entry_id>& renewed, const instance_id& instance,
                                  version_number state_version)
{
    std::set<entry_id> waited_for;
    std::ranges::set_difference(listed, renewed, std::inserter(waited_for, waited_for.end()));
    for (const registration_row& each : rows) {
        if (!confirms(each.value, instance, state_version)) {
            waited_for.insert(each.value.entry);
        }
    }
    return {waited_for.begin(), waited_for.end()};
}

std::set<entry_id> renewal_watch::on_reading(std::span<const registration_row> rows,
                                             time_point asked, time_point arrived)
{
    std::map<std::string, seen_row> seen;
    std::set<entry_id> renewed;
    for (const registration_row& row : rows) {
        const std::string key = registration_key(row.value);
        seen_row now{row.version, m_last_asked};
        if (const auto known = m_seen.find(key);
            known != m_seen.end() && known->second.version == row.version) {
            now = known->second;
        }
        if (now.written_after && arrived - *now.written_after <= m_window) {
            renewed.insert(row.value.entry);
        }
        seen.emplace(key, now);
    }
    m_seen = std::move(seen);
    m_last_asked = asked;
    return renewed;
}

std::vector<registration_row>
registration_retirement::on_reading(std::span<const registration_row> rows,
                                    const std::set<entry_id>& listed, time_point now)
{
    std::map<std::string, suspect> suspects;
    std::vector<registration_row> retired;
    for (const registration_row& row : rows) {
        const std::string key = registration_key(row.value);
        suspect held{.version = row.version, .since = now};
        if (const auto known = m_suspects.find(key);
            known != m_suspects.end() && known->second.version == row.version) {
            held = known->second;
        }
        const row_version successor = newest_other(row, rows);
        held.unlisted = held.unlisted && !listed.contains(row.value.entry);
        if (now - held.since < m_options.list_lag) {
            held.successor = successor;
        }
        const bool long_enough = now - held.since >= m_options.list_lag + m_options.longest_request;
        if (long_enough && (held.unlisted || successor > held.successor)) {
            retired.push_back(row);
        }
        if (held.unlisted || successor != absent_row) {
            suspects.emplace(key, held);
        }
    }
    m_suspects = std::move(suspects);
    return retired;
}

} // namespace plantaindoor::version
