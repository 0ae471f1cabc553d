#include "plantaindoor/process/duty_lease.hpp"

#include "plantaindoor/common/hash.hpp"

#include <algorithm>
#include <charconv>

namespace plantaindoor::process {

namespace {

/// A row that was not renewed for so many terms, and that no duty names, is deleted.
constexpr int forgotten_terms = 20;

} // namespace

std::string encode(const duty_row& row)
{
    return std::to_string(row.epoch) + " " + row.holder;
}

std::optional<duty_row> decode_duty_row(std::string_view bytes)
{
    duty_row row;
    const char* end = bytes.data() + bytes.size();
    const auto [after, failure] = std::from_chars(bytes.data(), end, row.epoch);
    if (failure != std::errc{} || after == end || *after != ' ') {
        return std::nullopt;
    }
    row.holder.assign(after + 1, end);
    return row;
}

duty_leases::duty_leases(options how) : m_options(std::move(how))
{
    m_own_key = std::string(holder_prefix) + m_options.self.str() + "@" +
                std::to_string(m_options.incarnation);
}

void duty_leases::observe(const std::vector<table_row>& rows, const std::set<pool_id>& pools,
                          time_point asked, time_point now)
{
    observe_holders(rows, now);
    observe_duties(rows, pools, now);
    m_scanned = m_scanned || asked >= m_scan_needed;
}

void duty_leases::observe_holders(const std::vector<table_row>& rows, time_point now)
{
    std::map<std::string, seen_holder> seen;
    for (const table_row& row : rows) {
        if (!row.key.starts_with(holder_prefix)) {
            continue;
        }
        const auto known = m_holders.find(row.key);
        const bool unchanged = known != m_holders.end() && known->second.version == row.version;
        seen[row.key] = unchanged ? known->second : seen_holder{row.version, now};
    }
    m_holders = std::move(seen);
}

void duty_leases::observe_duties(const std::vector<table_row>& rows, const std::set<pool_id>& pools,
                                 time_point now)
{
    std::map<pool_id, seen_duty> seen;
    for (const pool_id& pool : pools) {
        seen[pool] = {};
    }
    for (const table_row& row : rows) {
        if (!row.key.starts_with(duty_prefix)) {
            continue;
        }
        const auto decoded = decode_duty_row(row.value);
        const auto duty = seen.find(pool_id(row.key.substr(duty_prefix.size())));
        if (decoded && duty != seen.end()) {
            duty->second = {.row = *decoded, .version = row.version};
        }
    }
    for (auto& [pool, duty] : seen) {
        const auto known = m_duties.find(pool);
        const bool is_free = duty.row.holder.empty() || lapsed(duty.row.holder, now);
        if (is_free) {
            const bool was_free = known != m_duties.end() && known->second.free_since;
            duty.free_since = was_free ? known->second.free_since : now;
        }
    }
    m_duties = std::move(seen);
}

bool duty_leases::lapsed(const std::string& holder, time_point now) const
{
    const auto found = m_holders.find(holder);
    return found == m_holders.end() || now - found->second.since >= m_options.term;
}

std::set<std::string> duty_leases::live_holders(time_point now) const
{
    std::set<std::string> live{m_own_key};
    for (const auto& [holder, seen] : m_holders) {
        if (!lapsed(holder, now)) {
            live.insert(holder);
        }
    }
    return live;
}

std::optional<duty_leases::request> duty_leases::renewal(time_point now) const
{
    if (m_renewed && now - *m_renewed < m_options.term / 3) {
        return std::nullopt;
    }
    return request{.transaction = {.writes = {{.key = m_own_key, .value = "renewed"}}}};
}

std::vector<duty_leases::request> duty_leases::acquisitions(time_point now) const
{
    std::vector<request> wanted;
    if (!own_lease_valid(now)) {
        return wanted;
    }
    const std::set<std::string> holders = live_holders(now);
    for (const auto& [pool, duty] : m_duties) {
        if (!duty.free_since || duty.row.holder == m_own_key) {
            continue;
        }
        const auto rank = static_cast<std::int64_t>(rank_of(m_own_key, pool, holders));
        if (now - *duty.free_since < m_options.step_aside * rank) {
            continue;
        }
        const std::string key = std::string(duty_prefix) + pool.str();
        request taking{.pool = pool};
        taking.transaction.conditions.push_back({.key = key, .version = duty.version});
        if (!duty.row.holder.empty()) {
            // The lapsed holder may renew at this moment; then it keeps the duty.
            const auto old = m_holders.find(duty.row.holder);
            taking.transaction.conditions.push_back(
                {.key = duty.row.holder,
                 .version = old == m_holders.end() ? absent_row : old->second.version});
        }
        taking.transaction.writes.push_back(
            {.key = key,
             .value = encode(duty_row{.holder = m_own_key, .epoch = duty.row.epoch + 1})});
        wanted.push_back(std::move(taking));
    }
    add_clean_up(wanted, now);
    return wanted;
}

void duty_leases::add_clean_up(std::vector<request>& wanted, time_point now) const
{
    for (const auto& [key, seen] : m_holders) {
        const std::string& holder = key;
        const bool named = std::any_of(m_duties.begin(), m_duties.end(), [&](const auto& item) {
            return item.second.row.holder == holder;
        });
        if (!named && now - seen.since >= m_options.term * forgotten_terms) {
            wanted.push_back(
                {.transaction = {.conditions = {{.key = holder, .version = seen.version}},
                                 .writes = {{.key = holder}}}});
        }
    }
}

std::vector<duty_leases::request> duty_leases::releases() const
{
    std::vector<request> all;
    for (const auto& [pool, duty] : m_duties) {
        if (duty.row.holder != m_own_key) {
            continue;
        }
        const std::string key = std::string(duty_prefix) + pool.str();
        all.push_back(
            {.pool = pool,
             .transaction = {
                 .conditions = {{.key = key, .version = duty.version}},
                 .writes = {{.key = key, .value = encode(duty_row{.epoch = duty.row.epoch})}}}});
    }
    return all;
}

void duty_leases::on_renewed(transact_outcome outcome, time_point sent, time_point now)
{
    if (outcome != transact_outcome::applied) {
        return;
    }
    const bool had_lapsed = !own_lease_valid(now);
    m_renewed = sent;
    if (had_lapsed) {
        // Another entry may have taken duties before this renewal was applied.
        m_scanned = false;
        m_scan_needed = now;
    }
}

bool duty_leases::own_lease_valid(time_point now) const
{
    return m_renewed && now - *m_renewed < m_options.term - m_options.margin;
}

bool duty_leases::holds(const pool_id& pool, time_point now) const
{
    const auto found = m_duties.find(pool);
    return m_scanned && own_lease_valid(now) && found != m_duties.end() &&
           found->second.row.holder == m_own_key;
}

row_condition duty_leases::guard(const pool_id& pool) const
{
    return {.key = std::string(duty_prefix) + pool.str(), .version = m_duties.at(pool).version};
}

std::vector<pool_id> duty_leases::held(time_point now) const
{
    std::vector<pool_id> pools;
    for (const auto& [pool, duty] : m_duties) {
        if (holds(pool, now)) {
            pools.push_back(pool);
        }
    }
    return pools;
}

void duty_leases::drop(const pool_id& pool)
{
    m_duties.erase(pool);
}

std::size_t duty_leases::rank_of(const std::string& holder, const pool_id& pool,
                                 const std::set<std::string>& holders)
{
    const std::uint64_t own = hash64(pool.str(), hash64(holder));
    return static_cast<std::size_t>(
        std::count_if(holders.begin(), holders.end(), [&](const std::string& other) {
            const std::uint64_t theirs = hash64(pool.str(), hash64(other));
            return other != holder && (theirs > own || (theirs == own && other < holder));
        }));
}

} // namespace plantaindoor::process
