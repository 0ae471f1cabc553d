// The order in which rows enter transactions: claims by priority, and ends of requests beside them.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace plantaindoor::request {

/// Names one claim of this process; later ones are greater.
enum class claim_ticket : std::uint64_t { none = 0 };

/// Within one priority, and among ends, the oldest ticket goes first. Not synchronised.
class claim_queue {
public:
    void add_claim(version::priority priority, claim_ticket ticket);
    void add_end(claim_ticket ticket, time_point now);
    /// Does nothing for a ticket that is not queued.
    void remove(claim_ticket ticket);

    /// Takes at most `room` rows. Ends get half of the room if claims would fill it, so that the
    /// record of ends keeps up with the claims.
    [[nodiscard]] std::vector<claim_ticket> take(std::size_t room, time_point now);

    [[nodiscard]] std::size_t claims() const;
    /// Claims of this priority and above.
    [[nodiscard]] std::size_t claims_down_to(version::priority priority) const;
    [[nodiscard]] std::size_t ends() const { return m_ends.size(); }
    /// Since when the oldest end waits; meaningless without ends.
    [[nodiscard]] time_point ends_since() const { return m_ends_since; }
    /// The newest claim of the lowest priority below this one.
    [[nodiscard]] std::optional<claim_ticket> newest_below(version::priority priority) const;

private:
    static constexpr std::size_t priorities = 3;

    std::array<std::set<claim_ticket>, priorities> m_claims;
    std::set<claim_ticket> m_ends;
    time_point m_ends_since{};
    /// An odd row of room goes to claims and ends in turn.
    bool m_odd_row_for_ends = false;
};

} // namespace plantaindoor::request
