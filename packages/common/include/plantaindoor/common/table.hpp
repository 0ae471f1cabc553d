// The platform's transactional table service as the system uses it: rows with versions, reads,
// ordered scans, and transactions over several rows that apply wholly or not at all.
#pragma once

#include "plantaindoor/common/enum_names.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor {

/// A row's version: grows with each write of any row. absent_row for a row that doesn't exist.
using row_version = std::uint64_t;
inline constexpr row_version absent_row = 0;

struct table_row {
    std::string key;
    std::string value;
    row_version version = absent_row;

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// Holds if the row's present version equals this one; absent_row requires that it doesn't exist.
struct row_condition {
    std::string key;
    row_version version = absent_row;

    friend bool operator==(const row_condition&, const row_condition&) = default;
};

/// Sets the row's value, or deletes the row where there is no value.
struct row_write {
    std::string key;
    std::optional<std::string> value;

    friend bool operator==(const row_write&, const row_write&) = default;
};

/// Applied atomically: all writes if every condition holds, else none.
struct table_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

enum class transact_outcome {
    applied,     ///< every write took effect
    conflict,    ///< a condition did not hold; nothing was written
    unknown,     ///< the reply was lost; the writes may or may not have taken effect
    unavailable, ///< the request never reached the service; nothing was written
};

template<>
struct enum_names<transact_outcome> {
    static constexpr std::array<enum_name<transact_outcome>, 4> table{{
        {transact_outcome::applied, "applied"},
        {transact_outcome::conflict, "conflict"},
        {transact_outcome::unknown, "unknown"},
        {transact_outcome::unavailable, "unavailable"},
    }};
};

struct transact_result {
    transact_outcome outcome = transact_outcome::unknown;
    /// After conflict: the present state of every row that a condition named. Absent rows are left
    /// out.
    std::vector<table_row> present;
    /// After applied: the version that every written row now has.
    row_version version = absent_row;
};

/// Rows of one consistent reading; no value when the service did not answer.
using read_result = std::optional<std::vector<table_row>>;

struct scan_options {
    std::string prefix;
    /// Only keys greater than this one; empty for the beginning.
    std::string after;
    std::size_t limit = 1000;
};

/// The table service. Calls return at once; each callback runs exactly once, later, on the event
/// loop's thread, never from inside the call. Loop thread only.
class table {
public:
    using read_callback = std::function<void(read_result)>;
    using transact_callback = std::function<void(transact_result)>;

    table() = default;
    table(const table&) = delete;
    table& operator=(const table&) = delete;
    virtual ~table() = default;

    /// Reads rows by key in one consistent reading; absent rows are left out.
    virtual void read(std::vector<std::string> keys, read_callback done) = 0;
    /// Reads rows by prefix in key order, in one consistent reading of at most `limit` rows.
    virtual void scan(scan_options options, read_callback done) = 0;
    /// Applies a transaction. After `unknown` the caller must read back before trying again.
    virtual void transact(table_transaction transaction, transact_callback done) = 0;
};

} // namespace plantaindoor
