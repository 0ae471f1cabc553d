#include "plantaindoor/fleet/leader_tracker.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

using nlohmann::json;

std::string to_text(const duty_claim& claim)
{
    return json{{"entry", claim.entry},
                {"peer", claim.peer_address},
                {"incarnation", claim.incarnation},
                {"generation", claim.generation},
                {"released", claim.released}}
        .dump();
}

std::optional<duty_claim> parse_duty_claim(std::string_view text)
{
    const json read = json::parse(text, nullptr, false);
    if (!read.is_object()) {
        return std::nullopt;
    }
    try {
        return duty_claim{.entry = read.at("entry"),
                          .peer_address = read.at("peer"),
                          .incarnation = read.at("incarnation"),
                          .generation = read.at("generation"),
                          .released = read.at("released")};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

row_address duty_claim_address()
{
    return {std::string(duty_table), std::string(control_partition), "claim"};
}

row_address duty_renewal_address()
{
    return {std::string(duty_table), std::string(control_partition), "renewal"};
}

row_address duty_chain_address()
{
    return {"duty-chain", std::string(control_partition), "chain"};
}

duty_tracker::duty_tracker(duty_options options, std::string incarnation)
    : m_options(options), m_incarnation(std::move(incarnation))
{
}

void duty_tracker::note_claim(std::optional<duty_claim> claim, row_version version, time_point now)
{
    if (m_known && version < m_version) {
        return;
    }
    const bool changed = !m_known || version != m_version;
    m_known = true;
    m_claim = std::move(claim);
    m_version = version;
    if (changed) {
        m_renewed = now;
        m_vacant.reset();
        if (!m_claim || m_claim->released) {
            m_vacant = now;
        }
    }
}

void duty_tracker::note_renewal(time_point now)
{
    m_renewed = now;
}

void duty_tracker::note_store(time_point now)
{
    if (!m_store_answers) {
        m_store_answers = true;
        // The holder couldn't renew either, and needs a moment.
        m_renewed = std::max(m_renewed, now - m_options.lease + m_options.regained_grace);
    }
}

void duty_tracker::note_store_lost()
{
    m_store_answers = false;
}

void duty_tracker::note_holder_gone(const std::string& incarnation, time_point now)
{
    if (m_claim && m_claim->incarnation == incarnation && !m_vacant) {
        m_vacant = now;
    }
}

bool duty_tracker::holds() const
{
    return m_claim && !m_claim->released && m_claim->incarnation == m_incarnation;
}

bool duty_tracker::may_take(time_point now) const
{
    if (!m_known || !m_store_answers || holds()) {
        return false;
    }
    if (m_vacant) {
        return now >= *m_vacant + m_options.delay;
    }
    return now >= m_renewed + m_options.lease + m_options.delay;
}

} // namespace plantaindoor::fleet
