// The lease under which a leader gives orders.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/gateways.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace plantaindoor::fleet {

/// Hands out the leader's authority while the lease is valid. Every order asks for it at the moment
/// when it is sent, and doesn't keep it: whatever was waited for before, such as an answer of the
/// store, may have taken until after the lease had ended and a successor had taken over. Loop
/// thread only.
class leader_lease {
public:
    /// `clock` must also advance while the system is suspended.
    leader_lease(std::function<time_point()> clock, machine_authority authority, time_point until)
        : m_clock(std::move(clock)), m_authority(std::move(authority)), m_until(until)
    {
    }

    void extend(time_point until) { m_until = std::max(m_until, until); }
    /// The token for a machine that another shard has given to this one, if it is higher than that
    /// of the claim.
    void raise_token(const std::string& machine, fencing_token token)
    {
        if (token > m_authority.token) {
            m_raised_tokens[machine] = token;
        }
    }
    /// nullopt once the lease has expired.
    [[nodiscard]] std::optional<machine_authority> authority() const
    {
        return m_clock() < m_until ? std::optional(m_authority) : std::nullopt;
    }
    /// For orders to the machine or to its worker.
    [[nodiscard]] std::optional<machine_authority> authority(const std::string& machine) const
    {
        auto result = authority();
        const auto raised = m_raised_tokens.find(machine);
        if (result && raised != m_raised_tokens.end()) {
            result->token = raised->second;
        }
        return result;
    }

private:
    std::map<std::string, fencing_token> m_raised_tokens;
    std::function<time_point()> m_clock;
    machine_authority m_authority;
    time_point m_until;
};

} // namespace plantaindoor::fleet
