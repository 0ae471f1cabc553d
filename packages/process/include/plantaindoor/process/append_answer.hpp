// Answers an operator whose change was appended to the log, or was not.
#pragma once

#include "plantaindoor/connection/operator_router.hpp"
#include "plantaindoor/version/change_log.hpp"

#include <functional>
#include <string>
#include <vector>

namespace plantaindoor::process {

/// Answers with `body` after an accepted append, with the typed refusal after a refused one, and
/// with table_unavailable_error where nothing is known to be kept. Loop thread only.
void respond_appended(const connection::operator_responder& respond,
                      const version::append_result& result,
                      const std::function<std::string()>& body);

/// What the rules' compiler warns of, one line each, as an operator is told. Thread-safe.
[[nodiscard]] std::vector<std::string> warning_lines(const std::vector<version::rule>& rules);

} // namespace plantaindoor::process
