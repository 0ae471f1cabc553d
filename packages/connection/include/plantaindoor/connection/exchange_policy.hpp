// With which peers to exchange when. A new version is pushed on until enough peers already had it;
// besides, a bounded number of peers is asked periodically. Pure: times and seeds are arguments.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/connection/endpoint.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace plantaindoor::connection {

struct exchange_policy_options {
    std::uint64_t seed = 0;
    /// Time between two periodic rounds.
    milliseconds period{1000};
    /// Up to so many peers, each round asks all of them; of more, only some.
    std::size_t full_mesh = 7;
    std::size_t fan_out = 2;
    /// Most pushes of a version under way at once.
    std::size_t push_fan_out = 6;
    /// Pushes that met peers which already had the version, after which no more are begun.
    std::size_t enough_informed = 3;
    milliseconds first_back_off{500};
    milliseconds longest_back_off{8000};
};

/// The decisions. Not synchronised.
class exchange_policy {
public:
    explicit exchange_policy(exchange_policy_options options);

    /// The peers there are, without this entry itself. What is known of those that stay is kept.
    void set_peers(const std::vector<endpoint>& peers);
    /// The version in force here.
    void on_version(version::version_number version);

    /// The peers to begin an exchange with now; each counts as under way from then on.
    std::vector<endpoint> begin_due(time_point now);
    /// The peer's version before it took what was sent, and after.
    void on_reply(const endpoint& peer, version::version_number before,
                  version::version_number after);
    void on_failure(const endpoint& peer, time_point now);

    /// The version that the peer was last known to have; nothing before its first reply.
    [[nodiscard]] std::optional<version::version_number> known_version(const endpoint& peer) const;
    /// Whether the peer said that it lacks the version in force here, since that is in force and
    /// not more than two periods ago.
    [[nodiscard]] bool known_behind(const endpoint& peer) const;
    [[nodiscard]] std::size_t peers() const noexcept { return m_peers.size(); }
    /// Whether each round asks every peer.
    [[nodiscard]] bool asks_all() const noexcept { return m_peers.size() <= m_options.full_mesh; }

private:
    struct peer_state {
        std::optional<version::version_number> version;
        /// What was in force here when the peer told its version.
        version::version_number told_at = 0;
        /// The newest round's time when the peer told it.
        std::optional<time_point> told_in;
        bool under_way = false;
        bool pushed = false;
        std::size_t failures = 0;
        time_point not_before{};
    };

    [[nodiscard]] std::vector<endpoint> candidates(time_point now, bool behind_only) const;
    std::vector<endpoint> begin(std::vector<endpoint> from, std::size_t most, bool push);
    peer_state* find(const endpoint& peer);

    exchange_policy_options m_options;
    std::minstd_rand m_random;
    std::map<endpoint, peer_state> m_peers;
    version::version_number m_version = 0;
    std::size_t m_informed = 0;
    std::size_t m_pushes = 0;
    std::optional<time_point> m_last_round;
};

} // namespace plantaindoor::connection
