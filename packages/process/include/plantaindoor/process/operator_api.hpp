// The operators' verbs on versions: reading what is in force, and applying a fleet file. Other
// parts add their own verbs to the same router.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/connection/operator_router.hpp"
#include "plantaindoor/request/claim_batcher.hpp"
#include "plantaindoor/version/change_log.hpp"

#include <functional>
#include <string>

namespace plantaindoor::process {

/// What `status` shows of this entry.
struct entry_status {
    entry_id entry;
    availability_zone_id zone;
    std::uint64_t incarnation = 0;
    /// Empty: ready.
    std::string not_ready_reason;
    std::size_t requests_in_progress = 0;
    request::claim_counts claims;
    std::size_t claims_unsettled = 0;
};

struct operator_api_options {
    connection::operator_router& router;
    version::change_log& log;
    table& rows;
    std::function<entry_status()> status;
};

/// Adds the routes; what the options refer to must outlive the router. Loop thread only.
void add_operator_routes(const operator_api_options& options);

} // namespace plantaindoor::process
