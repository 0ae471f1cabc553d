// A job: what was submitted, and what the duty of its pool has made of it. One row of the table
// each.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace plantaindoor::process {

enum class job_state {
    waiting,   ///< no run of it can be alive
    placed,    ///< its run belongs on its worker; the run may be starting, alive or just over
    stopping,  ///< its run is being ended; it waits again, or is over, once that is proved
    finished,  ///< ran to its end
    failed,    ///< failed more often than it may
    cancelled, ///< called off
    refused,   ///< can never run here; the reason tells why
};

/// Whether nothing more will happen to the job. Thread-safe.
[[nodiscard]] constexpr bool is_over(job_state state) noexcept
{
    return state >= job_state::finished;
}

/// How a placed run is to go on.
enum class job_pace { full, throttled };

/// What a run needs of its worker, and for how long.
struct job_size {
    double processors = 1;
    std::uint64_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    /// At full pace, from the beginning.
    milliseconds run_time{0};

    friend bool operator==(const job_size&, const job_size&) = default;
};

/// What the submitter said.
struct job_spec {
    job_id id;
    pool_id pool;
    team_id team;
    version::priority work_class = version::priority::background;
    /// Jobs of one team and kind teach one another's sizes.
    std::string kind;
    job_size declared;
    std::optional<wall_time> deadline;
    /// Whether a run can be checkpointed and go on elsewhere from there.
    bool checkpoints = true;

    friend bool operator==(const job_spec&, const job_spec&) = default;
};

/// A job as its row holds it.
struct job {
    job_spec spec;
    wall_time submitted{};
    job_state state = job_state::waiting;
    /// Counts the runs begun; names one run in operation ids.
    std::uint32_t run = 0;
    /// Of the present or last run.
    instance_id worker;
    wall_time placed{};
    job_pace pace = job_pace::full;
    /// Run time that checkpoints have saved, at full pace.
    milliseconds saved{0};
    std::uint32_t failures = 0;
    /// Set while a run is ended because the job was called off.
    bool cancel_asked = false;
    /// Why it is as it is, for operators.
    std::string reason;

    friend bool operator==(const job&, const job&) = default;
};

} // namespace plantaindoor::process

namespace plantaindoor {

template<>
struct enum_names<process::job_state> {
    static constexpr std::array<enum_name<process::job_state>, 7> table{{
        {process::job_state::waiting, "waiting"},
        {process::job_state::placed, "placed"},
        {process::job_state::stopping, "stopping"},
        {process::job_state::finished, "finished"},
        {process::job_state::failed, "failed"},
        {process::job_state::cancelled, "cancelled"},
        {process::job_state::refused, "refused"},
    }};
};

template<>
struct enum_names<process::job_pace> {
    static constexpr std::array<enum_name<process::job_pace>, 2> table{{
        {process::job_pace::full, "full"},
        {process::job_pace::throttled, "throttled"},
    }};
};

} // namespace plantaindoor
