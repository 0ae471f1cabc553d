// The operators' verbs on jobs: submit, cancel one or many, show one, list.
#pragma once

#include "plantaindoor/common/table.hpp"
#include "plantaindoor/connection/operator_router.hpp"
#include "plantaindoor/process/job_exchange.hpp"
#include "plantaindoor/process/job_rows.hpp"
#include "plantaindoor/version/change_log.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::process {

/// Another job has this identifier.
class job_exists_error : public error {
public:
    explicit job_exists_error(const job& present);
};

/// The job needs more than any worker of its pool has, or its team's quota allows.
class job_too_large_error : public error {
public:
    job_too_large_error(const char* type, const job_spec& spec, const std::string& what,
                        const std::string& needed, const std::string& most);
};

/// The deadline is not after the submission.
class deadline_passed_error : public error {
public:
    deadline_passed_error(const job_spec& spec, wall_time now);
};

/// A rule refuses jobs of this class at present.
class class_refused_error : public error {
public:
    class_refused_error(const job_spec& spec, const rule_id& rule);
};

/// Reads a file with one job or a list of them. Throws document_error. Thread-safe.
[[nodiscard]] std::vector<job_spec> parse_jobs(const std::string& text, const std::string& file);

/// Throws a typed error where the job can't run in this fleet: not_found_error,
/// job_too_large_error, deadline_passed_error. Thread-safe.
void check_job(const job_spec& spec, const version::fleet& whole, wall_time now);

struct job_verbs_options {
    connection::operator_router& router;
    version::change_log& log;
    table& rows;
    const time_source& time;
    const job_exchange& exchange;
    /// Unlike any other entry's run.
    std::string run_name;
};

/// Adds the routes; what the options refer to must outlive the router. Loop thread only.
void add_job_verbs(const job_verbs_options& options);

} // namespace plantaindoor::process
