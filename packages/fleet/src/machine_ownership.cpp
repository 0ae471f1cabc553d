#include "plantaindoor/fleet/machine_ownership.hpp"

#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part shard_log("shard");

} // namespace

machine_ownership::machine_ownership(shard_number shard, row_version claim,
                                     std::shared_ptr<const shard_layout> layout)
    : m_shard(shard), m_claim(claim), m_layout(std::move(layout))
{
}

bool machine_ownership::restore(const std::vector<stored_row>& rows, row_version snapshot)
{
    if (snapshot < m_claim) {
        return false;
    }
    for (const stored_row& row : rows) {
        note_row(row);
    }
    m_restored = true;
    return true;
}

void machine_ownership::note_row(const stored_row& row)
{
    const auto machine = transferred_machine(row.at);
    if (row.removed || !machine || row.at.partition != control_partition(m_shard)) {
        return;
    }
    if (const auto receipt = parse_machine_receipt(row.value)) {
        // A row under this claim came after the giver's, and so after all of the giver's tokens;
        // every token of an earlier claim's leader is below this claim. A row under a later claim
        // belongs to a successor.
        if (receipt->claim <= m_claim) {
            m_received[*machine] = receipt->claim == m_claim ? row.version : m_claim;
        }
        return;
    }
    if (!parse_machine_grant(row.value)) {
        shard_log.error(fmt::format("shard {}: the row of machine {}, version {}, is malformed: "
                                    "the machine gets no orders",
                                    m_shard, *machine, row.version));
    }
    m_given.insert(*machine);
}

std::optional<fencing_token> machine_ownership::token(const std::string& machine,
                                                      const rack_id& rack) const
{
    if (!m_restored || m_given.contains(machine)) {
        return std::nullopt;
    }
    if (const auto received = m_received.find(machine); received != m_received.end()) {
        return received->second;
    }
    return m_layout->owner_of(rack) == m_shard ? std::optional(m_claim) : std::nullopt;
}

} // namespace plantaindoor::fleet
