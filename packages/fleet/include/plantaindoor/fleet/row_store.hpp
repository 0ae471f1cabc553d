// Interface to the platform's store: rows in partitions of tables, transactions within one
// partition, snapshot reads, and a change feed per table.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/list_extent.hpp"
#include "plantaindoor/common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

/// Taken from one counter that increases with each transaction.
using row_version = std::uint64_t;
/// The version of a row that doesn't exist.
inline constexpr row_version absent = 0;

struct row_address {
    std::string table;
    std::string partition;
    std::string key;

    friend auto operator<=>(const row_address&, const row_address&) = default;
};

struct stored_row {
    row_address at;
    std::string value;
    row_version version = absent;
    /// The row has been removed; only in change feeds.
    bool removed = false;
};

/// Holds if the row has this version.
struct row_condition {
    row_address at;
    row_version version = absent;
};

/// Sets a row's value, or removes the row where there is no value.
struct row_write {
    row_address at;
    std::optional<std::string> value;
};

/// Applied atomically. All rows must be in one partition.
struct row_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

inline constexpr std::size_t max_transaction_entries = 100;
inline constexpr std::size_t max_transaction_bytes = 700U << 10U; // Stays below 1 MB in Base64.

enum class commit_outcome {
    applied,
    conflict, ///< a condition didn't hold; nothing was written
    refused,  ///< nothing was written
    unknown,  ///< the writes may have been applied, or may yet be
};

struct commit_result {
    commit_outcome outcome = commit_outcome::unknown;
    /// After conflict: the current state of the rows that the conditions name.
    std::vector<stored_row> present;
    /// After applied: the version of the written rows.
    row_version version = absent;
};

struct row_query {
    std::string table;
    std::string partition;
    /// First key; empty for the beginning.
    std::string from;
    /// First key after the range; empty for the end.
    std::string until;
    std::size_t limit = 500;
};

/// Rows of one snapshot, in ascending order of their keys.
struct row_page {
    std::vector<stored_row> rows;
    /// Partial if rows were left out since they couldn't be read.
    list_extent extent = list_extent::complete;
    /// Further rows follow in the next page.
    bool more = false;
    /// The store's newest version at the time of the snapshot.
    row_version version = absent;
};

enum class row_watch_outcome {
    changed,      ///< rows may be empty if the wait timed out
    history_lost, ///< changes since `after` are no longer available; read the table again
    failed,
};

struct row_watch_result {
    row_watch_outcome outcome = row_watch_outcome::failed;
    std::vector<stored_row> rows;
    /// The version to continue watching from.
    row_version version = absent;
};

/// Access to the store. Each callback runs once, asynchronously, on the event loop's thread. Loop
/// thread only.
class row_store {
public:
    using commit_callback = std::function<void(commit_result)>;
    /// No value if the store didn't answer.
    using read_callback = std::function<void(std::optional<row_page>)>;
    using row_watch_callback = std::function<void(row_watch_result)>;

    row_store() = default;
    row_store(const row_store&) = delete;
    row_store& operator=(const row_store&) = delete;
    virtual ~row_store() = default;

    /// Applies a transaction of at most max_transaction_entries conditions and writes.
    virtual void commit(row_transaction transaction, milliseconds timeout,
                        commit_callback done) = 0;
    virtual void read(row_query query, milliseconds timeout, read_callback done) = 0;
    /// Waits for at most `wait` until a row of the table has changed since version `after`.
    virtual void watch(const std::string& table, row_version after, milliseconds wait,
                       row_watch_callback done) = 0;
};

} // namespace plantaindoor::fleet

namespace plantaindoor {

template<>
struct enum_names<fleet::commit_outcome> {
    static constexpr std::array<enum_name<fleet::commit_outcome>, 4> table{{
        {fleet::commit_outcome::applied, "applied"},
        {fleet::commit_outcome::conflict, "conflict"},
        {fleet::commit_outcome::refused, "refused"},
        {fleet::commit_outcome::unknown, "unknown"},
    }};
};

} // namespace plantaindoor
