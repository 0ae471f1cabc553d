// The rows by which a shard gives a machine to another shard.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::fleet {

/// A table that no leader of an earlier release reads.
inline constexpr std::string_view machine_transfer_table = "machine_transfers";

/// In the partition of the shard that owns the machine by the layout: the machine has been given
/// away.
struct machine_grant {
    shard_number receiver = 0;

    friend bool operator==(const machine_grant&, const machine_grant&) = default;
};

/// In the partition of the receiver: the machine is the receiver's.
struct machine_receipt {
    shard_number giver = 0;
    /// The claim under which the row was written. An earlier leader of the receiver's shard doesn't
    /// own the machine.
    row_version claim = absent;

    friend bool operator==(const machine_receipt&, const machine_receipt&) = default;
};

/// A shard asks another one for machines.
struct machine_request {
    shard_number giver = 0;
    using counts = std::map<service_id, std::uint32_t>;

    /// How many, by the pool that needs them: those that long-running tasks can't do without, and
    /// those that other tasks wait for.
    counts required;
    counts wanted;

    friend bool operator==(const machine_request&, const machine_request&) = default;
};

/// A machine's row in a shard's partition, which is written once and never changed.
[[nodiscard]] row_address machine_transfer_address(shard_number shard, const std::string& machine);
/// The machine whose row has this address; no value for other rows of the table.
[[nodiscard]] std::optional<std::string> transferred_machine(const row_address& at);
/// The row with a shard's latest request.
[[nodiscard]] row_address machine_request_address(shard_number shard);

[[nodiscard]] std::string to_text(const machine_grant& grant);
[[nodiscard]] std::string to_text(const machine_receipt& receipt);
[[nodiscard]] std::string to_text(const machine_request& request);
/// No value for text that isn't a valid row of this kind.
[[nodiscard]] std::optional<machine_grant> parse_machine_grant(std::string_view text);
[[nodiscard]] std::optional<machine_receipt> parse_machine_receipt(std::string_view text);
[[nodiscard]] std::optional<machine_request> parse_machine_request(std::string_view text);

/// Writes the row of the giver. It is applied, however late, only while the claim is the giver's
/// current one and the machine has no row.
[[nodiscard]] row_transaction grant_transaction(const row_condition& claim, shard_number giver,
                                                const std::string& machine,
                                                const machine_grant& grant);
/// Writes the row of the receiver, which must have read the giver's.
[[nodiscard]] row_transaction receipt_transaction(const row_condition& claim, shard_number receiver,
                                                  const std::string& machine, shard_number giver);

} // namespace plantaindoor::fleet
