// Decides by the crashes of workers during a task's runs whether the task is to blame for them.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaindoor::policy {

/// A run that has outlived this isn't suspected when its worker crashes later.
inline constexpr milliseconds crash_suspicion_time{3000};
/// A worker that stops answering within this time of a start may have crashed because of it.
inline constexpr milliseconds crash_on_start_time{200};
/// A start that was followed by an accepted one after this time didn't crash the worker at once.
inline constexpr milliseconds crash_batch_time{20};
/// Crashes after which a task isn't started again, whatever else ran on the workers.
inline constexpr std::size_t max_crashes = 4;
/// The same if other tasks are to blame for some of them. It bounds the starts of a task after
/// three workers have crashed under it to two.
inline constexpr std::size_t max_explained_crashes = max_crashes + 1;
/// The same if predecessors may have lost any number of crashes: fewer may be mere coincidence.
inline constexpr std::size_t min_inherited_crashes = max_crashes - 1;

/// A worker that crashed while it ran a task, before the task had outlived crash_suspicion_time.
struct task_crash {
    /// Identifies the incarnation of the worker: each incarnation of an id crashes once.
    instance_id worker;
    /// The worker stopped answering within crash_on_start_time of the task's start, which was one
    /// of the last starts there.
    bool on_start = false;
    /// Tasks of no other job were suspected.
    bool alone = false;

    friend bool operator==(const task_crash&, const task_crash&) = default;
};

/// Whether the task's next run must not share its worker with tasks of other jobs at first.
/// Thread-safe.
[[nodiscard]] bool needs_isolation(const std::vector<task_crash>& crashes) noexcept;

/// How long such a run keeps tasks of other jobs off its worker: the last one before max_crashes
/// does so until it isn't suspected any more. Thread-safe.
[[nodiscard]] milliseconds isolation_after(const std::vector<task_crash>& crashes) noexcept;

/// Whether the crashes show that the task crashes its workers: two in succession on its start, the
/// last one alone, or max_crashes in all. Thread-safe.
[[nodiscard]] bool is_to_blame(const std::vector<task_crash>& crashes) noexcept;

/// After how many known crashes a task is given up, whatever the blame, if `lost` further ones may
/// not be known. Thread-safe.
[[nodiscard]] std::size_t most_known_crashes(std::uint32_t lost) noexcept;

} // namespace plantaindoor::policy
