#include "plantaindoor/fleet/leader_tracker.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

using nlohmann::json;

namespace {

constexpr std::string_view claim_key = "claim";
/// What a leader knows of a task depends on a few predecessors only.
constexpr std::size_t max_earlier_claims = 8;

} // namespace

std::string to_text(const leader_claim& claim)
{
    return json{{"entry", claim.entry},
                {"peer", claim.peer_address},
                {"incarnation", claim.incarnation},
                {"generation", claim.generation},
                {"released", claim.released},
                {"earlier", claim.earlier}}
        .dump();
}

std::optional<leader_claim> parse_leader_claim(std::string_view text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    try {
        return leader_claim{.entry = parsed.at("entry"),
                            .peer_address = parsed.at("peer"),
                            .incarnation = parsed.at("incarnation"),
                            .generation = parsed.at("generation"),
                            .released = parsed.at("released"),
                            .earlier = parsed.value("earlier", std::vector<row_version>())};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<row_version> claims_until(const leader_claim& claim, row_version version)
{
    std::vector<row_version> versions = claim.earlier;
    if (!claim.released) {
        versions.push_back(version);
    }
    if (versions.size() > max_earlier_claims) {
        versions.erase(versions.begin());
    }
    return versions;
}

std::uint32_t predecessors_since(const leader_claim& claim, row_version claim_version,
                                 row_version since)
{
    const auto later = std::count_if(claim.earlier.begin(), claim.earlier.end(),
                                     [since](row_version each) { return each > since; });
    // Each claim that is later than that has ended the leadership before it.
    return static_cast<std::uint32_t>(later) + (claim_version > since ? 1 : 0);
}

std::string control_partition(shard_number shard)
{
    return shard == 0 ? "control" : "control-" + std::to_string(shard);
}

std::vector<std::string> all_control_partitions(shard_number count)
{
    std::vector<std::string> all;
    for (shard_number shard = 0; shard < count; ++shard) {
        all.push_back(control_partition(shard));
    }
    return all;
}

row_address leader_claim_address(shard_number shard)
{
    return {std::string(leader_table), control_partition(shard), std::string(claim_key)};
}

bool is_leader_claim(const row_address& at)
{
    return at.table == leader_table && at.key == claim_key;
}

row_address leader_renewal_address(shard_number shard)
{
    return {std::string(leader_table), control_partition(shard), "renewal"};
}

row_address leader_sequence_address(shard_number shard)
{
    return {"duty-chain", control_partition(shard), "chain"};
}

leader_tracker::leader_tracker(leader_tracker_options options, std::string incarnation)
    : m_options(options), m_incarnation(std::move(incarnation))
{
}

void leader_tracker::note_claim(std::optional<leader_claim> claim, row_version version,
                                time_point now)
{
    if (m_claim_known && version < m_version) {
        return;
    }
    const bool changed = !m_claim_known || version != m_version;
    m_claim_known = true;
    m_claim = std::move(claim);
    m_version = version;
    if (changed) {
        m_renewed_at = now;
        m_vacant_since.reset();
        if (!m_claim || m_claim->released) {
            m_vacant_since = now;
        }
    }
}

void leader_tracker::note_renewal(time_point now)
{
    m_renewed_at = now;
}

void leader_tracker::note_store_reachable(time_point now)
{
    if (!m_store_reachable) {
        m_store_reachable = true;
        // The leader couldn't renew either while the store was unreachable, and needs time to.
        m_renewed_at =
            std::max(m_renewed_at, now - m_options.lease + m_options.store_recovery_grace);
    }
}

void leader_tracker::note_store_unreachable()
{
    m_store_reachable = false;
}

void leader_tracker::note_leader_ended(const std::string& incarnation, time_point now)
{
    if (m_claim && m_claim->incarnation == incarnation && !m_vacant_since) {
        m_vacant_since = now;
    }
}

bool leader_tracker::is_leader() const
{
    return m_claim && !m_claim->released && m_claim->incarnation == m_incarnation;
}

bool leader_tracker::may_claim(time_point now, milliseconds extra_delay) const
{
    const milliseconds delay = m_options.delay + extra_delay;
    if (!m_claim_known || !m_store_reachable || is_leader()) {
        return false;
    }
    if (m_vacant_since) {
        return now >= *m_vacant_since + delay;
    }
    return now >= m_renewed_at + m_options.lease + delay;
}

} // namespace plantaindoor::fleet
