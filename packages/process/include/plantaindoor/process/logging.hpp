// The process's log: short sentences with a fixed prefix for each part, as text or as JSON lines.
#pragma once

#include "plantaindoor/process/settings.hpp"

#include <iosfwd>
#include <memory>
#include <string_view>

namespace plantaindoor::process {

struct log_options {
    log_format format = log_format::human;
    log_level level = log_level::info;
    /// Where lines go, and must outlive the log_output; null: standard error.
    std::ostream* stream = nullptr;
};

/// The log's output while it lives: one for each process. Lines are written by a thread of its own,
/// so that a blocked reader of the log can't block the event loop; past a bound they are dropped.
class log_output {
public:
    explicit log_output(const log_options& options);
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;
    /// Writes what is still waiting.
    ~log_output();

private:
    class sink;
    std::unique_ptr<sink> m_sink;
};

/// Writes records of one part of the system: `const log_part wave("wave"); wave.info("...")`.
/// Without a log_output nothing is written. Thread-safe. Methods never throw.
class log_part {
public:
    /// The name must outlive the part: pass a literal.
    explicit constexpr log_part(std::string_view name) noexcept : m_name(name) {}

    void debug(std::string_view sentence) const noexcept { write(log_level::debug, sentence); }
    void info(std::string_view sentence) const noexcept { write(log_level::info, sentence); }
    void warning(std::string_view sentence) const noexcept { write(log_level::warning, sentence); }
    void error(std::string_view sentence) const noexcept { write(log_level::error, sentence); }

    /// Whether a record of this level would be written, to save making its sentence.
    [[nodiscard]] static bool enabled(log_level level) noexcept;

private:
    void write(log_level level, std::string_view sentence) const noexcept;

    std::string_view m_name;
};

} // namespace plantaindoor::process
