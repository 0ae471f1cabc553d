// One accepted job: which of its tasks are done, have failed, or run where.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/task_name.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::job {

enum class job_state { queued, running, completed, failed, cancelled };

/// Whether nothing of the job runs any more. Thread-safe.
[[nodiscard]] constexpr bool is_terminal(job_state state) noexcept
{
    return state != job_state::queued && state != job_state::running;
}

/// Where a task runs, or may run.
struct task_run {
    instance_id worker;
    std::uint32_t attempt = 0;
};

struct task_record {
    bool done = false;
    /// The attempts that ended as failed.
    std::vector<std::uint32_t> failed_attempts;
    std::uint32_t last_attempt = 0;
    /// Resumes from here; empty: from the beginning.
    std::string checkpoint;
    /// Several only for speculative copies.
    std::vector<task_run> runs;
    /// Workers on which it has failed.
    std::vector<instance_id> avoided;

    [[nodiscard]] bool is_waiting() const noexcept { return !done && runs.empty(); }
    [[nodiscard]] bool runs_on(const instance_id& worker, std::uint32_t attempt) const noexcept;
    void drop_run(const instance_id& worker, std::uint32_t attempt);
};

struct step_record {
    std::vector<task_record> tasks;
    std::uint32_t done = 0;
    /// Tasks that neither run nor are done.
    std::uint32_t waiting = 0;

    [[nodiscard]] bool is_complete() const noexcept { return done == tasks.size(); }
};

/// One pass over the job's steps.
struct occurrence_record {
    std::vector<step_record> steps;

    [[nodiscard]] bool is_complete() const noexcept;
};

/// One accepted job. Not synchronised.
class job_record {
public:
    /// Requires a checked specification.
    job_record(job_id id, queue_policy queue, std::shared_ptr<const job_spec> spec,
               time_point submitted);

    [[nodiscard]] const job_id& id() const noexcept { return m_id; }
    [[nodiscard]] const queue_policy& queue() const noexcept { return m_queue; }
    void set_queue(queue_policy queue) { m_queue = std::move(queue); }
    [[nodiscard]] const job_spec& spec() const noexcept { return *m_spec; }
    [[nodiscard]] time_point submitted() const noexcept { return m_submitted; }
    [[nodiscard]] bool is_long_running() const noexcept { return m_long_running; }
    [[nodiscard]] milliseconds critical_path() const noexcept { return m_critical_path; }
    /// Longest chain that begins with a step.
    [[nodiscard]] milliseconds critical_path_from(std::uint32_t step) const
    {
        return m_critical_paths[step];
    }
    /// When the job stops earning its callers' full worth.
    [[nodiscard]] time_point objective() const;

    [[nodiscard]] job_state state() const noexcept { return m_state; }
    void set_state(job_state state) noexcept { m_state = state; }

    /// Occurrences that have begun and not ended, by number.
    [[nodiscard]] std::map<std::uint32_t, occurrence_record>& occurrences()
    {
        return m_occurrences;
    }
    [[nodiscard]] const std::map<std::uint32_t, occurrence_record>& occurrences() const
    {
        return m_occurrences;
    }
    /// Begins the next occurrences that are due; says whether any began.
    bool begin_due(wall_time now);
    /// When the next occurrence is due; nothing when all have begun.
    [[nodiscard]] std::optional<wall_time> next_due() const;
    /// Forgets complete occurrences; true when every occurrence is complete.
    bool remove_complete_occurrences();

    /// The task, or nullptr where the job has none of this name.
    [[nodiscard]] task_record* find(const task_name& name);
    [[nodiscard]] step_record& step_of(const task_name& name);
    /// Whether all steps that this one waits for are complete.
    [[nodiscard]] bool is_unblocked(const occurrence_record& occurrence, std::uint32_t step) const;

    /// Each returns whether anything changed that must be kept.
    bool note_done(const task_name& name);
    bool note_failed(const task_name& name, std::uint32_t attempt, const instance_id& worker);
    void note_started(const task_name& name, task_run run);
    void note_not_running(const task_name& name, const task_run& run);

    /// What must outlive the process, as text.
    [[nodiscard]] std::string progress() const;
    /// Applies what progress() gave. Throws spec_error where it doesn't fit the specification.
    void restore(std::string_view progress);

private:
    occurrence_record make_occurrence() const;

    job_id m_id;
    queue_policy m_queue;
    std::shared_ptr<const job_spec> m_spec;
    time_point m_submitted;
    std::vector<milliseconds> m_critical_paths;
    milliseconds m_critical_path{0};
    bool m_long_running = false;
    job_state m_state = job_state::queued;
    std::map<std::uint32_t, occurrence_record> m_occurrences;
    std::uint32_t m_begun = 0;
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

} // namespace plantaindoor
