// Places a pool's jobs on its workers: which job starts where, which gives way, and which can't be
// done. Decisions only; the job book carries them out.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/process/job.hpp"
#include "plantaindoor/process/learned_sizes.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace plantaindoor::process {

/// Quota in use.
struct team_usage {
    double processors = 0;
    std::uint32_t accelerators = 0;
};

/// What rules ask of the classes of jobs.
struct class_limits {
    std::set<version::priority> throttled;
    std::set<version::priority> checkpointed;
    std::set<version::priority> stopped;
    std::set<version::priority> refused;
};

/// What a pool's jobs look like at one moment. All of it outlives the call.
struct job_view {
    wall_time now{};
    const version::fleet& whole;
    pool_id pool;
    /// The jobs of the pool that are not over.
    const std::map<job_id, job>& jobs;
    const learned_sizes& learned;
    /// Of each team, in the other pools.
    const std::map<team_id, team_usage>& used_elsewhere;
    class_limits limits;
    /// Share of the pool's request slots that interactive and urgent requests hold, 0 to 1.
    double interactive_load = 0;
};

struct start_job {
    job_id job;
    instance_id worker;
};

/// The job can never run here as the fleet is; `type` and `message` as of a typed error.
struct refuse_job {
    job_id job;
    std::string type;
    std::string message;
};

/// End the run; with `save` it is checkpointed first. The job waits again.
struct vacate_job {
    job_id job;
    bool save = true;
    std::string reason;
};

struct set_job_pace {
    job_id job;
    job_pace pace = job_pace::full;
    std::string reason;
};

/// The worker fails what it starts; judged against budgets by whoever carries it out.
struct quarantine_worker {
    instance_id worker;
    std::string reason;
};

/// The job will miss its deadline although everything possible is done; told as early as known.
struct warn_deadline {
    job_id job;
    /// When it is expected to finish.
    wall_time expected{};
};

using job_decision =
    std::variant<start_job, refuse_job, vacate_job, set_job_pace, quarantine_worker, warn_deadline>;

/// What one pool's scheduler keeps between rounds. Losing it costs time, never safety.
struct job_scheduler_memory {
    /// Jobs that failed on a worker since its last success.
    std::map<instance_id, std::set<job_id>> failed_here;
    /// Workers on which a job that is not over failed.
    std::map<job_id, std::set<instance_id>> failed_on;
    /// Jobs whose missed deadline was told.
    std::set<job_id> warned;
    /// Jobs that got near their deadline; they stay unthrottled, so that their pace doesn't flap.
    std::set<job_id> hurried;
    /// Whether background jobs are throttled for interactive load.
    bool throttling = false;
};

/// One pool's placement. Pure; not synchronised.
class job_scheduler {
public:
    struct options {
        /// Rounds tell at most this many starts, so that a round's work is bounded.
        std::size_t max_starts = 200;
        /// A worker is quarantined after this many failures in a row, of different jobs.
        std::uint32_t worker_failures = 3;
        /// Share of interactive load from which background jobs are throttled, and to which it
        /// must fall before they go on.
        double throttle_from = 0.8;
        double throttle_until = 0.6;
        /// Added to the expected run time of a job with a deadline.
        double deadline_margin = 0.2;
        /// A job rises to the interactive class, and isn't throttled for load, from this share of
        /// its expected run time (margin included) before the latest moment to begin.
        double rise_ahead = 0.5;
        /// A job that waited so long goes before the younger ones of its class, and a worker is
        /// kept free of them for it if it fits nowhere.
        milliseconds patience{600000};
        /// The same for urgent and interactive jobs.
        milliseconds interactive_patience{30000};
    };

    explicit job_scheduler(options how) : m_options(how) {}

    /// What to do now, in the order in which to do it.
    [[nodiscard]] std::vector<job_decision> decide(const job_view& view);

    /// Takes in the end of a run.
    void on_run_ended(const job_id& job, const instance_id& worker, bool failed);

private:
    options m_options;
    job_scheduler_memory m_memory;
};

} // namespace plantaindoor::process
