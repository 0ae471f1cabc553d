// Conversion of rows and jobs from and to the platform's formats; provided by the platform's
// adapter.
#pragma once

#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/worker.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace plantaindoor::fleet {

/// Content of an operator's row; monostate for a row that is invalid or has no content.
using operator_row = std::variant<std::monostate, fleet_config, wave_request>;

struct platform_codec {
    std::string workers_table;
    std::string operator_table;
    /// Throws job::spec_error if the body isn't a valid job.
    std::function<std::shared_ptr<const job::job_spec>(std::string_view body)> parse_job;
    /// Returns no value for a row that names no usable worker.
    std::function<std::optional<job::worker_listing>(const stored_row& row)> parse_worker;
    std::function<operator_row(const stored_row& row)> parse_operator_row;
    /// Creates the row that shows operators the status of a wave.
    std::function<row_write(std::uint64_t wave, bool completed)> wave_status;
};

} // namespace plantaindoor::fleet
