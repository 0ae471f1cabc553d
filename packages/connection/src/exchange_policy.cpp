#include "plantaindoor/connection/exchange_policy.hpp"

#include <algorithm>

namespace plantaindoor::connection {

exchange_policy::exchange_policy(exchange_policy_options options)
    : m_options(options), m_random(static_cast<std::minstd_rand::result_type>(options.seed))
{
}

void exchange_policy::set_peers(const std::vector<endpoint>& peers)
{
    std::map<endpoint, peer_state> next;
    for (const endpoint& each : peers) {
        const auto known = m_peers.find(each);
        next.emplace(each, known == m_peers.end() ? peer_state{} : known->second);
    }
    m_peers = std::move(next);
    m_pushes = static_cast<std::size_t>(std::ranges::count_if(
        m_peers, [](const auto& each) { return each.second.under_way && each.second.pushed; }));
}

void exchange_policy::on_version(version::version_number version)
{
    if (version > m_version) {
        m_version = version;
        m_informed = 0;
    }
}

std::vector<endpoint> exchange_policy::begin_due(time_point now)
{
    std::vector<endpoint> due;
    if (m_informed < m_options.enough_informed && m_pushes < m_options.push_fan_out) {
        due = begin(candidates(now, true), m_options.push_fan_out - m_pushes, true);
    }
    if (!m_last_round || now - *m_last_round >= m_options.period) {
        m_last_round = now;
        const std::size_t most = asks_all() ? m_peers.size() : m_options.fan_out;
        const auto round = begin(candidates(now, false), most, false);
        due.insert(due.end(), round.begin(), round.end());
    }
    return due;
}

std::vector<endpoint> exchange_policy::candidates(time_point now, bool behind_only) const
{
    std::vector<endpoint> found;
    for (const auto& [peer, state] : m_peers) {
        const bool behind = state.version.value_or(0) < m_version;
        if (!state.under_way && now >= state.not_before && (behind || !behind_only)) {
            found.push_back(peer);
        }
    }
    return found;
}

std::vector<endpoint> exchange_policy::begin(std::vector<endpoint> from, std::size_t most,
                                             bool push)
{
    std::ranges::shuffle(from, m_random);
    from.resize(std::min(from.size(), most));
    for (const endpoint& each : from) {
        peer_state& state = m_peers.at(each);
        state.under_way = true;
        state.pushed = push;
        m_pushes += push ? 1 : 0;
    }
    return from;
}

void exchange_policy::on_reply(const endpoint& peer, version::version_number before,
                               version::version_number after)
{
    peer_state* state = find(peer);
    if (state == nullptr) {
        return;
    }
    if (state->pushed && before >= m_version) {
        ++m_informed;
    }
    m_pushes -= state->pushed ? 1 : 0;
    // One that lacks the version in spite of what was sent gets it from elsewhere, or later.
    const bool stuck = known_behind(peer) && after < m_version && m_last_round;
    *state = {.version = after,
              .told_at = m_version,
              .told_in = m_last_round,
              .not_before = stuck ? *m_last_round + m_options.period : time_point{}};
}

void exchange_policy::on_failure(const endpoint& peer, time_point now)
{
    peer_state* state = find(peer);
    if (state == nullptr) {
        return;
    }
    m_pushes -= state->pushed ? 1 : 0;
    const auto doublings = std::min<std::size_t>(state->failures, 10);
    const milliseconds wait =
        std::min(m_options.longest_back_off, m_options.first_back_off * (1U << doublings));
    std::uniform_int_distribution<std::int64_t> jitter(wait.count() / 2, wait.count());
    *state = {.version = state->version,
              .told_at = state->told_at,
              .told_in = state->told_in,
              .failures = state->failures + 1,
              .not_before = now + milliseconds(jitter(m_random))};
}

std::optional<version::version_number> exchange_policy::known_version(const endpoint& peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::nullopt : found->second.version;
}

bool exchange_policy::known_behind(const endpoint& peer) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || !found->second.told_in || found->second.told_at != m_version) {
        return false;
    }
    const bool lately = *m_last_round - *found->second.told_in < 2 * m_options.period;
    return lately && found->second.version.value_or(m_version) < m_version;
}

exchange_policy::peer_state* exchange_policy::find(const endpoint& peer)
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() || !found->second.under_way ? nullptr : &found->second;
}

} // namespace plantaindoor::connection
