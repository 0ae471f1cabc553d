// The operators' verbs on instances and waves: drain, undrain, move, lend, return, and a wave's
// start, pause, resume, abort and progress.
#pragma once

#include "plantaindoor/connection/operator_router.hpp"
#include "plantaindoor/process/duty_runner.hpp"
#include "plantaindoor/process/table_journal.hpp"
#include "plantaindoor/version/change_log.hpp"

namespace plantaindoor::process {

struct fleet_verbs_options {
    connection::operator_router& router;
    version::change_log& log;
    const time_source& time;
    const duty_runner& duties;
    table_journal& journal;
};

/// Adds the routes; what the options refer to must outlive the router. Loop thread only.
void add_fleet_verbs(const fleet_verbs_options& options);

} // namespace plantaindoor::process
