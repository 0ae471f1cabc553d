// The rows of the log in the platform's table: one head, and one record for each version.
#pragma once

#include "plantaindoor/common/table.hpp"
#include "plantaindoor/version/delta.hpp"

#include <string>
#include <string_view>

namespace plantaindoor::version {

inline constexpr std::string_view log_head_key = "log/head";

/// Where the log ends, and where a starting entry begins to read it.
struct log_head {
    /// The newest version; 0 for an empty log.
    version_number version = 0;
    /// The newest version with a snapshot in the object store; 0 for none.
    version_number snapshot = 0;
    /// The oldest version whose record is still in the table.
    version_number oldest = 1;

    friend bool operator==(const log_head&, const log_head&) = default;
};

/// One version as the table stores it and peers pass it on.
struct log_record {
    /// Unique for each append, so that its author recognises it after a lost reply.
    std::string append_id;
    delta step;

    friend bool operator==(const log_record&, const log_record&) = default;
};

/// Key of a version's record; keys sort by version.
[[nodiscard]] std::string log_record_key(version_number version);
/// Name of a version's snapshot in the object store.
[[nodiscard]] std::string snapshot_name(version_number version);

/// Thread-safe; decoders throw decode_error. A record's append id must not contain a line feed.
[[nodiscard]] std::string encode(const log_head& head);
[[nodiscard]] std::string encode(const log_record& record);
[[nodiscard]] log_head decode_log_head(std::string_view bytes);
[[nodiscard]] log_record decode_log_record(std::string_view bytes);

} // namespace plantaindoor::version
