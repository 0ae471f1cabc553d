// Decides where and in which order the tasks start again for which a worker may have crashed.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/crash_history.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace plantaindoor::policy {

/// A suspect may start beside tasks that have outlived crash_suspicion_time after this wait. A
/// shorter wait would put them at risk although an empty worker is about to be found.
inline constexpr milliseconds settled_neighbour_wait{500};
/// A suspect is overdue after this wait: while the pool has room it may start beside any task that
/// has outlived crash_on_start_time, and reserve a worker for that. The rest of the bound of 3 s is
/// left for the reservation and for a crash of the chosen worker.
inline constexpr milliseconds overdue_wait{1200};
/// A suspect may start beside another suspect that has outlived crash_on_start_time after this
/// wait.
inline constexpr milliseconds last_resort_wait{1800};
/// A suspect that waits for this long is reported.
inline constexpr milliseconds reported_wait{1000};

/// A job with waiting tasks that need isolation.
struct waiting_suspect {
    job_id job;
    service_id service;
};

/// A worker on which a suspect would fit if its other tasks, except long-running ones, had ended.
struct isolation_host {
    instance_id worker;
    /// The suspect fits now.
    bool has_room = false;
    /// Runs of other jobs. Long-running ones that aren't isolated don't count, nor do isolated ones
    /// that were started in this round.
    std::size_t other_runs = 0;
    /// Time since the last start of these; must be set if there are any.
    milliseconds youngest_age{0};
    /// Some of these are isolated.
    bool has_isolated = false;
    /// Some of these are isolated for their last start, after which they would be given up.
    bool has_last_start = false;
    /// The worker has isolated runs of the suspect's job.
    bool has_own = false;
    bool has_long_running = false;
    /// Not on the rack that the task prefers.
    bool far = false;
};

/// The workers of a service, as seen by one suspect.
struct isolation_pool {
    std::vector<isolation_host> hosts;
    /// All usable workers of the service, and how many of them have isolated runs or are reserved.
    std::size_t workers = 0;
    std::size_t kept = 0;
    /// There is no room for the suspect's waiting tasks twice over.
    bool full = false;
    /// Tasks that aren't suspected found no room in the last round.
    bool others_wait = false;
};

/// Why a suspect waits.
enum class isolation_wait {
    none,
    no_free_worker,    ///< each worker that suits runs tasks that must not be put at risk
    too_many_isolated, ///< the pool is full, and more workers may not be isolated
    not_durable,       ///< its crashes are not persisted yet
};

struct isolation_choice {
    /// The worker on which the task starts, or that is reserved for it; nullopt if it gets none.
    std::optional<instance_id> worker;
    bool start = false;
};

/// A suspect that waits, with its place in the order of all suspects of its service.
struct suspect_position {
    job_id job;
    std::size_t position = 0;
    std::size_t count = 0;
    milliseconds waited{0};
    isolation_wait reason = isolation_wait::none;
};

/// Tells the culprits among the suspects of crashes from the others. A suspect starts isolated: on
/// a worker without tasks of other jobs, which gets none for a time. The longer a suspect waits,
/// the more neighbours it may have. Deterministic; not thread-safe.
class crash_isolation {
public:
    /// Records that a task of the job is to blame for the crashes of these workers.
    void note_culprit(const job_id& job, const std::vector<instance_id>& crashes);
    /// Whether a culprit has been found for the crash of this worker.
    [[nodiscard]] bool is_explained(const instance_id& crash) const
    {
        return m_explained.contains(crash);
    }
    /// Forgets what a job that is no longer known explains.
    void forget(const job_id& job);

    /// Begins a round of placement. Takes all suspects that wait, in the order of their jobs, and
    /// returns them in the order in which they may choose: overdue ones first.
    std::vector<waiting_suspect> begin_round(std::vector<waiting_suspect> waiting, time_point now);
    /// Chooses a worker for a task of a suspect of this round, and reserves it if the task can't
    /// start there yet.
    [[nodiscard]] isolation_choice choose(const waiting_suspect& suspect,
                                          const isolation_pool& pool);
    /// Records that a task of the suspect was started on the worker in this round.
    void note_started(const waiting_suspect& suspect, const instance_id& worker);
    /// Records that a suspect of this round may not start, as its crashes aren't durable.
    void note_not_durable(const waiting_suspect& suspect);
    /// Ends the round; returns the suspects whose wait is to be reported, each once for each wait.
    [[nodiscard]] std::vector<suspect_position> end_round();

    /// Whether the worker is kept free for a suspect in this round.
    [[nodiscard]] bool is_reserved(const instance_id& worker) const
    {
        return m_reserved.contains(worker);
    }
    /// Returns nullopt for a job that isn't a waiting suspect.
    [[nodiscard]] std::optional<suspect_position> position_of(const job_id& job) const;

private:
    struct wait_state {
        time_point since{};
        /// A task of the job was started in this round.
        bool started = false;
        bool reported = false;
        isolation_wait reason = isolation_wait::none;
        std::size_t position = 0;
        std::size_t count = 0;
    };
    [[nodiscard]] milliseconds waited(const job_id& job) const;
    /// Whether another suspect was started on the worker in this round.
    [[nodiscard]] bool is_taken(const waiting_suspect& suspect, const instance_id& worker) const;
    [[nodiscard]] bool may_start_on(const waiting_suspect& suspect, const isolation_host& host,
                                    bool full) const;
    [[nodiscard]] bool may_reserve(const waiting_suspect& suspect, const isolation_host& host,
                                   bool overdue) const;

    /// By crashed worker: the job with the task to blame.
    std::map<instance_id, job_id> m_explained;
    std::map<job_id, wait_state> m_waits;
    // Of the current round.
    time_point m_now{};
    std::vector<waiting_suspect> m_order;
    std::map<instance_id, job_id> m_reserved;
    std::map<instance_id, job_id> m_started_on;
};

} // namespace plantaindoor::policy

namespace plantaindoor {

template<>
struct enum_names<policy::isolation_wait> {
    static constexpr std::array<enum_name<policy::isolation_wait>, 4> table{{
        {policy::isolation_wait::none, "none"},
        {policy::isolation_wait::no_free_worker, "no-free-worker"},
        {policy::isolation_wait::too_many_isolated, "too-many-isolated"},
        {policy::isolation_wait::not_durable, "not-durable"},
    }};
};

} // namespace plantaindoor
