// Which machines a shard's leader may order, and with which fencing token.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/fleet/machine_transfer_rows.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

/// Derives the owner of a machine from the layout and from the rows of its shard's partition, all
/// of which only the shard's leader writes. Not thread-safe.
class machine_ownership {
public:
    /// `claim`: the version of the leader's claim.
    machine_ownership(shard_number shard, row_version claim,
                      std::shared_ptr<const shard_layout> layout);

    /// Applies all rows of the shard's partition, and returns whether they were accepted: a
    /// snapshot from before the claim may lack what a predecessor gave away after it.
    bool restore(const std::vector<stored_row>& rows, row_version snapshot);
    /// Nothing is owned until restored.
    [[nodiscard]] bool is_restored() const noexcept { return m_restored; }

    /// The leader is about to give the machine away: from now on it orders it no more, whether or
    /// not its row is ever applied.
    void note_grant(const std::string& machine) { m_given.insert(machine); }
    /// The leader has read, or written, a row of its shard's partition.
    void note_row(const stored_row& row);

    /// No value for a machine that the leader doesn't own, or must not order any more.
    [[nodiscard]] std::optional<fencing_token> token(const std::string& machine,
                                                     const rack_id& rack) const;
    [[nodiscard]] bool owns(const std::string& machine, const rack_id& rack) const
    {
        return token(machine, rack).has_value();
    }
    /// The machines that this leader or an earlier one has given away.
    [[nodiscard]] const std::set<std::string>& given() const noexcept { return m_given; }
    /// Whether the shard has received the machine, under this claim or an earlier one.
    [[nodiscard]] bool has_received(const std::string& machine) const
    {
        return m_received.contains(machine);
    }
    /// Whether the shard may give the machine away: one that it has received stays.
    [[nodiscard]] bool may_give(const std::string& machine, const rack_id& rack) const
    {
        return owns(machine, rack) && !m_received.contains(machine);
    }

private:
    shard_number m_shard;
    row_version m_claim;
    std::shared_ptr<const shard_layout> m_layout;
    bool m_restored = false;
    /// By this leader or an earlier one.
    std::set<std::string> m_given;
    /// With the token of this leader for the machine.
    std::map<std::string, fencing_token> m_received;
};

} // namespace plantaindoor::fleet
