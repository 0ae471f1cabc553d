// Formats answers for operators as tables and short lines.
#pragma once

#include <string>

namespace plantaindoor::ctl {

enum class output_format { table, json };

/// A list answer {"items":[…]} as a table with the kind's columns. Returns the answer
/// unchanged, with a newline, if it has no items or the kind has no columns. Thread-safe.
[[nodiscard]] std::string items_table(const std::string& kind, const std::string& answer);

/// An answer that is one object, as lines "name: value". Thread-safe.
[[nodiscard]] std::string object_lines(const std::string& answer);

/// A typed error's answer as "type: message". Thread-safe.
[[nodiscard]] std::string error_line(const std::string& answer);

/// A wave's progress as one line. Thread-safe.
[[nodiscard]] std::string wave_line(const std::string& answer);

/// The state in a wave's progress; empty where there is none. Thread-safe.
[[nodiscard]] std::string wave_state(const std::string& answer);

} // namespace plantaindoor::ctl
