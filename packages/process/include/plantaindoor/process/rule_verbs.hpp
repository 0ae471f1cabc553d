// The operators' verbs on rules: checking a file, and explaining what the rules decide and why.
#pragma once

#include "plantaindoor/connection/operator_router.hpp"
#include "plantaindoor/process/duty_runner.hpp"
#include "plantaindoor/process/rule_runner.hpp"
#include "plantaindoor/process/table_journal.hpp"
#include "plantaindoor/version/change_log.hpp"

namespace plantaindoor::process {

struct rule_verbs_options {
    connection::operator_router& router;
    version::change_log& log;
    instance_list& list;
    const time_source& time;
    const duty_runner& duties;
    const rule_runner& runner;
    table_journal& journal;
};

/// Adds the routes; what the options refer to must outlive the router. Loop thread only.
void add_rule_verbs(const rule_verbs_options& options);

} // namespace plantaindoor::process
