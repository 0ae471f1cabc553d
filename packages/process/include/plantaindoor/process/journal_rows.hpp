// The journal's rows in the platform's table: keys in order of time, one entry as JSON in each.
#pragma once

#include "plantaindoor/common/journal.hpp"
#include "plantaindoor/common/table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::process {

/// Prefix of every row of the journal; the key goes on with the padded time in ms, the entry, and
/// the entry's own count.
inline constexpr std::string_view journal_prefix = "journal/";

/// The least key of an entry at this time or later. Thread-safe.
[[nodiscard]] std::string journal_key_from(wall_time when);
/// The entry's key; `number` counts the actor's entries. Thread-safe.
[[nodiscard]] std::string journal_key(const journal_entry& entry, std::uint64_t number);
/// Thread-safe; decode gives nothing for bytes that are not an entry.
[[nodiscard]] std::string encode(const journal_entry& entry);
[[nodiscard]] std::optional<journal_entry> decode_journal_entry(std::string_view bytes);

} // namespace plantaindoor::process
