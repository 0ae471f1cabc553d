// State of an accepted job: which tasks are done, which have failed, and where the others run.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/crash_history.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/task_name.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::job {

enum class job_state { queued, running, completed, failed, cancelled };

/// Whether the state is final: the job starts no more tasks. Thread-safe.
[[nodiscard]] constexpr bool is_terminal(job_state state) noexcept
{
    return state != job_state::queued && state != job_state::running;
}

enum class failure_reason {
    none,
    attempts_exhausted, ///< a task has failed max_attempts times
    crashed_workers,    ///< a task crashes the workers that start it
};

/// What callers are told about a job.
struct job_status {
    job_state state = job_state::queued;
    /// `none` unless the job has failed.
    failure_reason failure = failure_reason::none;

    friend bool operator==(const job_status&, const job_status&) = default;
};

/// Such as "running" or "failed crashed-workers". Thread-safe.
[[nodiscard]] std::string to_text(const job_status& status);
/// Returns nothing if the text is not one of to_text(). Thread-safe.
[[nodiscard]] std::optional<job_status> parse_job_status(std::string_view text);
/// The status in the state that job_record::progress() returned; nothing if it can't be read.
/// Thread-safe.
[[nodiscard]] std::optional<job_status> status_of_progress(std::string_view progress);

/// Longest wait that a leader takes over: wall clocks may jump, and a stale row may tell of a wait
/// that has ended.
inline constexpr milliseconds max_inherited_wait{60000};

/// One attempt of a task, on a worker where it runs or may run.
struct task_run {
    instance_id worker;
    std::uint32_t attempt = 0;
};

struct task_record {
    bool done = false;
    /// The attempts that ended as failed.
    std::vector<std::uint32_t> failed_attempts;
    std::uint32_t last_attempt = 0;
    /// Where the next attempt resumes; empty: from the beginning.
    std::string checkpoint;
    /// More than one only for speculative copies.
    std::vector<task_run> runs;
    /// Workers on which the task has failed.
    std::vector<instance_id> avoided;
    /// Crashes of workers for which the task may be to blame, oldest first.
    std::vector<task_crash> crashes;
    /// Crashes for which another job's task turned out to be to blame.
    std::uint32_t explained_crashes = 0;
    /// Crashes that predecessors may not have persisted. Each can lose only one: it doesn't start
    /// the task again before that is durable. Persisted, as a row that a later one of them writes
    /// doesn't show how many there were before.
    std::uint32_t lost_crashes = 0;
    /// Since when a long-running task has waited for a worker, as far as this process knows;
    /// nullopt while it runs or while its step is blocked.
    std::optional<time_point> waiting_since;
    /// The same by the wall clock, for the next leader; set once the wait has lasted, and kept
    /// until a run is confirmed.
    std::optional<wall_time> durable_wait;
    bool wait_reported = false;
    /// When the worker of the last run announced that it leaves; nullopt while the task runs.
    std::optional<time_point> displaced_since;
    /// Whether this process has known a run of the task: a predecessor has no other one then.
    bool run_known = false;

    /// All crashes that the task hasn't outlived, whatever the blame.
    [[nodiscard]] std::size_t crash_count() const noexcept
    {
        return crashes.size() + explained_crashes;
    }
    /// Whether the task crashes its workers. Explained crashes count only towards the limit on all
    /// crashes: two culprits that crash workers together explain the crashes of each other.
    [[nodiscard]] bool is_blamed() const noexcept
    {
        // Beside other suspects, the last of fewer crashes may well be the fault of another task.
        const bool last_alone = !crashes.empty() && crashes.back().alone;
        const std::size_t most = most_known_crashes(lost_crashes);
        return is_to_blame(crashes) ||
               crash_count() >= (last_alone ? most : std::max(most, max_crashes));
    }
    /// Whether a crash of the next run may be the last one before the task is given up.
    [[nodiscard]] bool is_on_last_start() const noexcept
    {
        return crash_count() + 1 >= std::min(max_crashes, most_known_crashes(lost_crashes));
    }
    /// Whether the next run must be isolated, for which explained crashes count too.
    [[nodiscard]] bool must_be_isolated() const noexcept
    {
        return needs_isolation(crashes) || is_on_last_start();
    }
    [[nodiscard]] bool is_waiting() const noexcept { return !done && runs.empty(); }
    [[nodiscard]] bool runs_on(const instance_id& worker, std::uint32_t attempt) const noexcept;
    void remove_run(const instance_id& worker, std::uint32_t attempt);
};

struct step_record {
    std::vector<task_record> tasks;
    std::uint32_t done = 0;
    /// Tasks that are neither running nor done.
    std::uint32_t waiting = 0;

    [[nodiscard]] bool is_complete() const noexcept { return done == tasks.size(); }
    [[nodiscard]] std::map<instance_id, std::uint32_t> runs_by_worker() const
    {
        std::map<instance_id, std::uint32_t> counts;
        for (const task_record& task : tasks) {
            for (const task_run& run : task.runs) {
                ++counts[run.worker];
            }
        }
        return counts;
    }
};

/// One pass over the job's steps.
struct occurrence_record {
    std::vector<step_record> steps;

    [[nodiscard]] bool is_complete() const noexcept;
};

/// Numbers of a job's tasks in its current occurrences.
struct task_counts {
    std::uint32_t all = 0;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
};

/// A job's wait for a run, which job_waits follows.
struct job_wait {
    /// Since when nothing has run though a task's turn had come; nullopt if that isn't so.
    std::optional<time_point> since;
    /// The number of done tasks then.
    std::uint32_t done_tasks = 0;
    std::size_t service = 0;
    bool reported = false;
    bool omitted = false;
};

/// State of one accepted job. Not thread-safe.
class job_record {
public:
    /// Requires a specification that has passed check_spec().
    job_record(job_id id, queue_policy queue, std::shared_ptr<const job_spec> spec,
               time_point submitted);

    [[nodiscard]] const job_id& id() const noexcept { return m_id; }
    [[nodiscard]] const queue_policy& queue() const noexcept { return m_queue; }
    /// Applies a later version of the queue's policy. Returns whether anything changed that must be
    /// persisted.
    bool set_queue(queue_policy queue);
    /// Empty for a job of no workspace.
    [[nodiscard]] const workspace_id& workspace() const noexcept { return m_workspace; }
    void set_workspace(workspace_id workspace) { m_workspace = std::move(workspace); }
    /// Whether the workspace submitted the job beyond its rate.
    [[nodiscard]] bool is_beyond_rate() const noexcept { return m_beyond_rate; }
    void set_beyond_rate() noexcept { m_beyond_rate = true; }
    [[nodiscard]] const job_spec& spec() const noexcept { return *m_spec; }
    [[nodiscard]] time_point submitted() const noexcept { return m_submitted; }
    [[nodiscard]] bool is_long_running() const noexcept { return m_long_running; }
    [[nodiscard]] milliseconds critical_path() const noexcept { return m_critical_path; }
    /// Length of the longest chain of estimates that starts with a step.
    [[nodiscard]] milliseconds critical_path_from(std::uint32_t step) const
    {
        return m_critical_paths[step];
    }
    /// Length of the longest chain of estimates of the steps that aren't complete.
    [[nodiscard]] milliseconds remaining_path() const;
    /// Time by which the job should complete; later completion is worth less to its callers.
    [[nodiscard]] time_point objective() const;

    [[nodiscard]] job_state state() const noexcept { return m_state; }
    void set_state(job_state state) noexcept { m_state = state; }
    [[nodiscard]] job_status status() const noexcept { return {m_state, m_failure}; }
    void set_failure(failure_reason reason) noexcept { m_failure = reason; }

    /// The workers whose crashes a task of this job is to blame for, if it has failed for that.
    [[nodiscard]] const std::vector<instance_id>& culprit_of() const noexcept
    {
        return m_culprit_of;
    }
    void set_culprit_of(std::vector<instance_id> workers) { m_culprit_of = std::move(workers); }

    /// Occurrences that have started and are not yet removed as complete, by number.
    [[nodiscard]] std::map<std::uint32_t, occurrence_record>& occurrences()
    {
        return m_occurrences;
    }
    [[nodiscard]] const std::map<std::uint32_t, occurrence_record>& occurrences() const
    {
        return m_occurrences;
    }
    /// Starts the occurrences that are due, as far as those started have no more than
    /// max_tasks_per_job tasks together; returns whether any was started.
    bool start_due(wall_time now);
    /// Starts the occurrences up to this one, of which a worker has reported a run, if it is due by
    /// `latest_due`; returns whether any was started.
    bool start_reported(std::uint32_t occurrence, wall_time latest_due);
    /// When the next occurrence is due; nullopt when all have started.
    [[nodiscard]] std::optional<wall_time> next_due() const;
    /// Removes the complete occurrences of a repeated job; returns whether every occurrence of the
    /// job is complete.
    bool remove_complete_occurrences();

    /// Whether a worker has crashed for which any of the tasks may be to blame.
    [[nodiscard]] bool has_crashes() const;
    /// A task that crashes its workers and doesn't run; nullopt if there is none.
    [[nodiscard]] std::optional<task_name> find_blamed_waiting() const;
    /// Returns the task, or nullptr if no current occurrence has one of this name.
    [[nodiscard]] task_record* find(const task_name& name);
    [[nodiscard]] step_record& step_of(const task_name& name);
    [[nodiscard]] const step_record& step_of(const task_name& name) const;
    /// Whether all steps that this one depends on are complete.
    [[nodiscard]] bool is_unblocked(const occurrence_record& occurrence, std::uint32_t step) const;

    /// Records how many earlier leaders may have started the job. Occurrences that become due
    /// after the first start_due() don't count as started by them.
    void note_predecessors(std::uint32_t count);

    /// The following return whether anything changed that must be persisted.
    bool note_done(const task_name& name);
    /// Records a crash of a worker, once for each worker.
    bool note_crash(const task_name& name, task_crash crash);
    /// Counts a crash for which another job's task is to blame.
    bool note_explained_crash(const task_name& name);
    /// Forgets the crashes of a task that has proved not to be to blame.
    bool clear_crashes(const task_name& name);
    /// Forgets the crashes for which `is_explained` returns true: another job's task is to blame.
    bool clear_crashes_if(const std::function<bool(const task_crash&)>& is_explained);
    bool note_failed(const task_name& name, std::uint32_t attempt, const instance_id& worker);
    void note_started(const task_name& name, task_run run);
    /// A long-running task without another run waits since `since`.
    void note_not_running(const task_name& name, const task_run& run, time_point since);
    /// Records that the long-running tasks wait whose turn has come, unless they already do: since
    /// now, or since a durable wait began, which counts for no longer than max_inherited_wait.
    void note_waiting(time_point now, wall_time wall_now);
    /// Forgets the durable wait of a task that runs; returns whether it had one, so that the job
    /// must be persisted.
    bool end_durable_wait(const task_name& name);
    /// The long-running tasks that wait for a worker, in order.
    [[nodiscard]] std::vector<task_name> waiting_tasks() const;

    [[nodiscard]] task_counts count_tasks() const noexcept;
    /// The first task that waits and whose turn has come; nullopt if there is none.
    [[nodiscard]] std::optional<task_name> find_waiting() const;
    [[nodiscard]] job_wait& wait() noexcept { return m_wait; }
    [[nodiscard]] const job_wait& wait() const noexcept { return m_wait; }

    /// Returns the state to persist, as JSON text.
    [[nodiscard]] std::string progress() const;
    /// Restores the state that progress() returned, with the queue's policy if that had changed
    /// since the job was accepted. Throws spec_error where it doesn't fit the specification.
    void restore(std::string_view progress);

private:
    occurrence_record make_occurrence() const;
    [[nodiscard]] bool has_room_for_occurrence() const;
    void start_next_occurrence();
    /// Throws also other exceptions than spec_error.
    void restore_occurrences(std::string_view progress);

    job_id m_id;
    queue_policy m_queue;
    /// The outcome depends on a later policy than that of the accepted request.
    bool m_queue_changed = false;
    workspace_id m_workspace;
    bool m_beyond_rate = false;
    std::shared_ptr<const job_spec> m_spec;
    time_point m_submitted;
    std::vector<milliseconds> m_critical_paths;
    milliseconds m_critical_path{0};
    bool m_long_running = false;
    job_state m_state = job_state::queued;
    failure_reason m_failure = failure_reason::none;
    std::vector<instance_id> m_culprit_of;
    std::map<std::uint32_t, occurrence_record> m_occurrences;
    std::uint32_t m_started_occurrences = 0;
    std::uint32_t m_predecessors = 0;
    job_wait m_wait;
};

} // namespace plantaindoor::job

namespace plantaindoor {

template<>
struct enum_names<job::job_state> {
    static constexpr std::array<enum_name<job::job_state>, 5> table{{
        {job::job_state::queued, "queued"},
        {job::job_state::running, "running"},
        {job::job_state::completed, "completed"},
        {job::job_state::failed, "failed"},
        {job::job_state::cancelled, "cancelled"},
    }};
};

template<>
struct enum_names<job::failure_reason> {
    static constexpr std::array<enum_name<job::failure_reason>, 3> table{{
        {job::failure_reason::none, "none"},
        {job::failure_reason::attempts_exhausted, "attempts-exhausted"},
        {job::failure_reason::crashed_workers, "crashed-workers"},
    }};
};

} // namespace plantaindoor
