// The log of accepted changes as the rest of the system uses it: the snapshot now in force, and
// appending the next version. Every planned change, an operator's or the system's own, goes through
// append(), so that racing writers meet at the log's head.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/version/delta.hpp"

#include <array>
#include <exception>
#include <functional>
#include <string>
#include <vector>

namespace plantaindoor::version {

enum class append_outcome {
    accepted,    ///< in the log, by this call; in force at this entry
    refused,     ///< the proposal threw a typed error against the newest version
    fenced,      ///< a guard row changed: the caller's lease is no longer its own
    unavailable, ///< not in the log; the table didn't answer in time
    unknown,     ///< the table was lost after sending; may be read back later in the log
};

struct append_request {
    std::string author;
    std::string reason;
    /// Lease rows that must be unchanged.
    std::vector<row_condition> guards;
    /// Rows written in the same transaction, beside the log's own.
    std::vector<row_write> also;
    /// Makes the changes for the version after `newest`; called again after a lost race. Throws a
    /// typed error to refuse. An empty list appends nothing and counts as accepted.
    std::function<std::vector<change>(const fleet& newest)> propose;
};

struct append_result {
    append_outcome outcome = append_outcome::unknown;
    /// After accepted: the new version.
    version_number version = 0;
    /// After refused: the typed error.
    std::exception_ptr refusal;
};

/// The log of versions. Loop thread only; callbacks run later, never from inside the call.
class change_log {
public:
    using append_callback = std::function<void(append_result)>;
    using version_callback = std::function<void(fleet_ptr)>;

    change_log() = default;
    change_log(const change_log&) = delete;
    change_log& operator=(const change_log&) = delete;
    virtual ~change_log() = default;

    /// The newest version in force at this entry. Never null, never older than returned before.
    [[nodiscard]] virtual fleet_ptr current() const = 0;
    /// Appends the next version. The callback runs exactly once.
    virtual void append(append_request request, append_callback done) = 0;
    /// Calls back after every step to a newer version, in the order of subscribing.
    virtual void subscribe(version_callback on_version) = 0;
};

} // namespace plantaindoor::version

namespace plantaindoor {

template<>
struct enum_names<version::append_outcome> {
    static constexpr std::array<enum_name<version::append_outcome>, 5> table{{
        {version::append_outcome::accepted, "accepted"},
        {version::append_outcome::refused, "refused"},
        {version::append_outcome::fenced, "fenced"},
        {version::append_outcome::unavailable, "unavailable"},
        {version::append_outcome::unknown, "unknown"},
    }};
};

} // namespace plantaindoor
