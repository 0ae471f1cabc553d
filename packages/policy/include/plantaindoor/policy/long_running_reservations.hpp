// Decides which workers are kept free of short tasks for long-running ones, and which runs are
// stopped for them.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::policy {

/// Runs are stopped for a long-running task that would otherwise wait for longer than this.
inline constexpr milliseconds max_reserved_wait{3500};

/// A run that ends by itself.
struct short_run {
    resources footprint;
    /// Processor time and accelerators that it uses; the footprint has less for best-effort runs.
    resources use;
    milliseconds age{0};
    milliseconds estimate{0};
    /// Progress at the age of `progress_age`; zero if none is known.
    std::uint32_t percent = 0;
    milliseconds progress_age{0};
    /// Resumes elsewhere where it was stopped.
    bool checkpointing = false;
    /// Number of tasks whose runs end with this one.
    std::uint32_t gang_width = 1;
    /// Its stop has been requested.
    bool stopping = false;
};

/// A worker on which the task may run once it has room there.
struct reservable_worker {
    instance_id worker;
    /// Negative if reserved for more than is free.
    resources free;
    std::vector<short_run> runs;
    bool is_slow = false;
};

struct waiting_long_running {
    /// Identifies the task.
    std::string task;
    resources need;
    time_point since{};
};

struct worker_reservation {
    instance_id worker;
    /// The runs to stop now, by their position in reservable_worker::runs.
    std::vector<std::size_t> stops;
};

/// Time until the run is expected to end. Thread-safe.
[[nodiscard]] milliseconds expected_remaining(const short_run& run, milliseconds stop_time);
/// What is thrown away if the run is stopped, in core-seconds. Thread-safe.
[[nodiscard]] double stop_cost(const short_run& run);

/// Reserves a worker for each long-running task that finds no room, until the task starts. It
/// waits for the short runs there to end as long as that is in time, and otherwise stops those that
/// cost least. Deterministic; not thread-safe.
class long_running_reservations {
public:
    /// `stop_time`: how long a worker takes to stop a run.
    explicit long_running_reservations(milliseconds stop_time) : m_stop_time(stop_time) {}

    /// Begins a round of placement.
    void begin_round(time_point now);
    /// Reserves a worker for a task that has found no room in this round: the same as in the last
    /// round while that suits. Returns nullopt if the task fits on none of the workers even without
    /// their runs.
    [[nodiscard]] std::optional<worker_reservation>
    reserve(const waiting_long_running& task, const std::vector<const reservable_worker*>& workers);
    /// Reserves that worker for a task that is to move there.
    void keep(const std::string& task, const instance_id& worker) { m_renewed[task] = worker; }
    /// Ends the round: what was not reserved again is released.
    void end_round();

    /// Whether the worker was reserved in the last complete round.
    [[nodiscard]] bool is_reserved(const instance_id& worker) const;
    [[nodiscard]] std::size_t count() const noexcept { return m_reserved.size(); }

private:
    struct prospect;
    /// The worker that is reserved for the task, if it is among these.
    [[nodiscard]] const reservable_worker*
    find_kept(const waiting_long_running& task,
              const std::vector<const reservable_worker*>& workers) const;
    [[nodiscard]] prospect prospect_of(const waiting_long_running& task,
                                       const reservable_worker& worker) const;

    milliseconds m_stop_time;
    time_point m_now{};
    /// By task; of the last round, and of the current one.
    std::map<std::string, instance_id> m_reserved;
    std::map<std::string, instance_id> m_renewed;
};

} // namespace plantaindoor::policy
