// How the platform writes what the system reads there; the platform's adapter provides it.
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

/// What an operator's row says; monostate for one that can't be read or says nothing.
using operator_row = std::variant<std::monostate, fleet_config, wave_request>;

struct platform_codec {
    std::string workers_table;
    std::string operator_table;
    /// Throws job::spec_error for anything that isn't a job.
    std::function<std::shared_ptr<const job::job_spec>(std::string_view body)> parse_job;
    /// Nothing for an entry that names no worker to use.
    std::function<std::optional<job::worker_listing>(const stored_row& row)> parse_worker;
    std::function<operator_row(const stored_row& row)> parse_operator_row;
    /// The row that tells operators how far a wave is.
    std::function<row_write(std::uint64_t wave, bool completed)> wave_status;
};

} // namespace plantaindoor::fleet
