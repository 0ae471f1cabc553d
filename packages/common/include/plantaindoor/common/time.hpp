// Time as decisions see it: always an argument, never read from a clock inside a decision.
#pragma once

#include <chrono>

namespace plantaindoor {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// A point of the process's monotonic clock. Not comparable between processes.
using time_point = std::chrono::steady_clock::time_point;

/// A point of civil time, for what is recorded in the table and shown to operators.
using wall_time = std::chrono::sys_time<milliseconds>;

/// Source of both times, injected where a process needs the present.
class time_source {
public:
    time_source() = default;
    time_source(const time_source&) = delete;
    time_source& operator=(const time_source&) = delete;
    virtual ~time_source() = default;

    /// The monotonic present. Thread-safe.
    [[nodiscard]] virtual time_point now() const = 0;
    /// The civil present. Thread-safe.
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

} // namespace plantaindoor
