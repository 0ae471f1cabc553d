// An entry's registration row: its lease, the version that it has in force, and the instances that
// are planned out at that version and still have its requests in progress. One scan of these rows
// is both the membership and every entry's drain confirmation.
#pragma once

#include "plantaindoor/version/fleet.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::version {

/// Prefix of registration rows; the key is the prefix, the entry, '@', and the incarnation.
inline constexpr std::string_view registration_prefix = "entry/";

struct registration {
    entry_id entry;
    /// Random per start: a restarted process is another member.
    std::uint64_t incarnation = 0;
    availability_zone_id zone;
    /// Numeric address and port that peers connect to.
    std::string peer_address;
    std::uint16_t peer_port = 0;
    /// The version in force at the entry when it wrote this row.
    version_number applied = 0;
    /// Instances not admitted at `applied` at which this entry still has requests in progress.
    std::vector<instance_id> busy;
    wall_time lease_until{};

    friend bool operator==(const registration&, const registration&) = default;
};

/// The row's key.
[[nodiscard]] std::string registration_key(const registration& row);
/// Thread-safe; decode throws decode_error.
[[nodiscard]] std::string encode(const registration& row);
[[nodiscard]] registration decode_registration(std::string_view bytes);

} // namespace plantaindoor::version
