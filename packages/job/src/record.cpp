#include "plantaindoor/job/record.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace plantaindoor::job {

namespace {

/// Larger objectives count as this, a multiple of which still fits into a time_point.
constexpr milliseconds max_objective = std::chrono::years(30);

void set_lost_crashes(occurrence_record& occurrence, std::uint32_t count)
{
    for (step_record& step : occurrence.steps) {
        for (task_record& task : step.tasks) {
            task.lost_crashes = count;
        }
    }
}

} // namespace

std::string to_text(const job_status& status)
{
    std::string text(name_of(status.state));
    if (status.failure != failure_reason::none) {
        text += ' ';
        text += name_of(status.failure);
    }
    return text;
}

std::optional<job_status> parse_job_status(std::string_view text)
{
    const std::size_t space = text.find(' ');
    const auto state = parse_enum<job_state>(text.substr(0, space));
    if (!state) {
        return std::nullopt;
    }
    if (space == std::string_view::npos) {
        return job_status{.state = *state};
    }
    const auto failure = parse_enum<failure_reason>(text.substr(space + 1));
    return failure ? std::optional(job_status{.state = *state, .failure = *failure}) : std::nullopt;
}

bool task_record::runs_on(const instance_id& worker, std::uint32_t attempt) const noexcept
{
    return std::any_of(runs.begin(), runs.end(), [&](const task_run& run) {
        return run.attempt == attempt && run.worker == worker;
    });
}

void task_record::remove_run(const instance_id& worker, std::uint32_t attempt)
{
    std::erase_if(
        runs, [&](const task_run& run) { return run.attempt == attempt && run.worker == worker; });
}

bool occurrence_record::is_complete() const noexcept
{
    return std::all_of(steps.begin(), steps.end(),
                       [](const step_record& step) { return step.is_complete(); });
}

job_record::job_record(job_id id, queue_policy queue, std::shared_ptr<const job_spec> spec,
                       time_point submitted)
    : m_id(std::move(id)),
      m_queue(std::move(queue)),
      m_spec(std::move(spec)),
      m_submitted(submitted),
      m_critical_paths(critical_paths(*m_spec)),
      m_critical_path(*std::max_element(m_critical_paths.begin(), m_critical_paths.end())),
      m_long_running(m_spec->is_long_running())
{
    if (!m_spec->repeats) {
        m_occurrences.emplace(0, make_occurrence());
        m_started_occurrences = 1;
    }
}

bool job_record::set_queue(queue_policy queue)
{
    const bool changed = m_queue.update(std::move(queue));
    m_queue_changed = m_queue_changed || changed;
    return changed;
}

milliseconds job_record::remaining_path() const
{
    milliseconds longest{0};
    for (const auto& [number, occurrence] : m_occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (!occurrence.steps[step].is_complete()) {
                longest = std::max(longest, m_critical_paths[step]);
            }
        }
    }
    return longest;
}

time_point job_record::objective() const
{
    const double stretched = m_queue.stretch * double(critical_path().count());
    const milliseconds allowed_time(
        static_cast<std::int64_t>(std::clamp(stretched, 0.0, double(max_objective.count()))));
    const milliseconds latency = std::min(m_queue.target_latency, max_objective);
    return m_submitted + std::min(allowed_time + latency, max_objective);
}

std::optional<wall_time> job_record::next_due() const
{
    if (!m_spec->repeats || m_started_occurrences >= m_spec->repeats->count) {
        return std::nullopt;
    }
    return m_spec->repeats->first + m_spec->repeats->interval * m_started_occurrences;
}

bool job_record::start_due(wall_time now)
{
    bool started = false;
    auto due = next_due();
    for (; due && *due <= now && has_room_for_occurrence(); due = next_due()) {
        start_next_occurrence();
        started = true;
    }
    if (!due || *due > now) {
        m_predecessors = 0;
    }
    return started;
}

bool job_record::start_reported(std::uint32_t occurrence, wall_time latest_due)
{
    if (!m_spec->repeats || occurrence < m_started_occurrences ||
        occurrence >= m_spec->repeats->count || is_terminal(m_state)) {
        return false;
    }
    const std::size_t added = occurrence - m_started_occurrences + std::size_t{1};
    // A predecessor may have completed others that aren't known as complete.
    const bool has_room =
        (m_occurrences.size() + added) * m_spec->task_count() <= 2 * max_tasks_per_job;
    if (m_spec->repeats->first + m_spec->repeats->interval * occurrence > latest_due || !has_room) {
        return false;
    }
    while (m_started_occurrences <= occurrence) {
        start_next_occurrence();
    }
    return true;
}

void job_record::start_next_occurrence()
{
    m_occurrences.emplace(m_started_occurrences, make_occurrence());
    ++m_started_occurrences;
}

bool job_record::has_room_for_occurrence() const
{
    return m_occurrences.empty() ||
           (m_occurrences.size() + 1) * m_spec->task_count() <= max_tasks_per_job;
}

void job_record::note_predecessors(std::uint32_t count)
{
    m_predecessors = count;
    for (auto& [number, occurrence] : m_occurrences) {
        set_lost_crashes(occurrence, count);
    }
}

bool job_record::remove_complete_occurrences()
{
    if (!m_spec->repeats) {
        return m_occurrences.begin()->second.is_complete();
    }
    std::erase_if(m_occurrences, [](const auto& each) { return each.second.is_complete(); });
    return m_occurrences.empty() && m_started_occurrences >= m_spec->repeats->count;
}

bool job_record::has_crashes() const
{
    return std::any_of(m_occurrences.begin(), m_occurrences.end(), [](const auto& occurrence) {
        const auto& steps = occurrence.second.steps;
        return std::any_of(steps.begin(), steps.end(), [](const step_record& step) {
            return std::any_of(step.tasks.begin(), step.tasks.end(),
                               [](const task_record& task) { return task.crash_count() > 0; });
        });
    });
}

std::optional<task_name> job_record::find_blamed_waiting() const
{
    for (const auto& [number, occurrence] : m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            const auto found = std::find_if(tasks.begin(), tasks.end(), [](const auto& task) {
                return task.is_waiting() && task.is_blamed();
            });
            if (found != tasks.end()) {
                const auto index = static_cast<std::uint32_t>(found - tasks.begin());
                return task_name{m_id, number, step, index};
            }
        }
    }
    return std::nullopt;
}

task_record* job_record::find(const task_name& name)
{
    const auto occurrence = m_occurrences.find(name.occurrence);
    if (occurrence == m_occurrences.end() || name.step >= occurrence->second.steps.size()) {
        return nullptr;
    }
    auto& tasks = occurrence->second.steps[name.step].tasks;
    return name.index < tasks.size() ? &tasks[name.index] : nullptr;
}

step_record& job_record::step_of(const task_name& name)
{
    return m_occurrences.at(name.occurrence).steps.at(name.step);
}

const step_record& job_record::step_of(const task_name& name) const
{
    return m_occurrences.at(name.occurrence).steps.at(name.step);
}

bool job_record::is_unblocked(const occurrence_record& occurrence, std::uint32_t step) const
{
    const auto& depends_on = m_spec->steps[step].depends_on;
    return std::all_of(depends_on.begin(), depends_on.end(), [&](std::uint32_t earlier) {
        return occurrence.steps[earlier].is_complete();
    });
}

bool job_record::note_done(const task_name& name)
{
    task_record* const task = find(name);
    if (task == nullptr || task->done) {
        return false;
    }
    step_record& step = step_of(name);
    if (task->runs.empty()) {
        --step.waiting;
    }
    task->done = true;
    ++step.done;
    return true;
}

bool job_record::note_failed(const task_name& name, std::uint32_t attempt,
                             const instance_id& worker)
{
    task_record* const task = find(name);
    if (task == nullptr || task->done) {
        return false;
    }
    auto& attempts = task->failed_attempts;
    if (std::find(attempts.begin(), attempts.end(), attempt) != attempts.end()) {
        return false;
    }
    task->avoided.push_back(worker);
    if (m_spec->steps[name.step].long_running) {
        return false;
    }
    attempts.push_back(attempt);
    return true;
}

bool job_record::note_crash(const task_name& name, task_crash crash)
{
    task_record* const task = find(name);
    if (task == nullptr || task->done) {
        return false;
    }
    auto& crashes = task->crashes;
    if (std::any_of(crashes.begin(), crashes.end(),
                    [&](const task_crash& each) { return each.worker == crash.worker; })) {
        return false;
    }
    crashes.push_back(std::move(crash));
    return true;
}

bool job_record::note_explained_crash(const task_name& name)
{
    task_record* const task = find(name);
    if (task == nullptr || task->done) {
        return false;
    }
    ++task->explained_crashes;
    return true;
}

bool job_record::clear_crashes(const task_name& name)
{
    task_record* const task = find(name);
    if (task == nullptr) {
        return false;
    }
    task->lost_crashes = 0;
    if (task->crash_count() == 0) {
        return false;
    }
    task->crashes.clear();
    task->explained_crashes = 0;
    return true;
}

bool job_record::clear_crashes_if(const std::function<bool(const task_crash&)>& is_explained)
{
    bool changed = false;
    for (auto& [number, occurrence] : m_occurrences) {
        for (step_record& step : occurrence.steps) {
            for (task_record& task : step.tasks) {
                const auto cleared = std::erase_if(task.crashes, is_explained);
                task.explained_crashes += static_cast<std::uint32_t>(cleared);
                changed = changed || cleared > 0;
            }
        }
    }
    return changed;
}

void job_record::note_started(const task_name& name, task_run run)
{
    task_record& task = *find(name);
    if (task.is_waiting()) {
        --step_of(name).waiting;
    }
    task.last_attempt = std::max(task.last_attempt, run.attempt);
    task.waiting_since.reset();
    task.displaced_since.reset();
    task.wait_reported = false;
    task.run_known = true;
    task.runs.push_back(std::move(run));
    if (m_state == job_state::queued) {
        m_state = job_state::running;
    }
}

void job_record::note_not_running(const task_name& name, const task_run& run, time_point since)
{
    task_record* const task = find(name);
    if (task == nullptr || !task->runs_on(run.worker, run.attempt)) {
        return;
    }
    task->remove_run(run.worker, run.attempt);
    if (task->is_waiting()) {
        ++step_of(name).waiting;
        if (m_spec->steps[name.step].long_running) {
            task->waiting_since = since;
        }
    }
}

std::vector<task_name> job_record::waiting_tasks() const
{
    std::vector<task_name> waiting;
    for (const auto& [number, occurrence] : m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting == 0) {
                continue;
            }
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].waiting_since) {
                    waiting.push_back({m_id, number, step, index});
                }
            }
        }
    }
    return waiting;
}

void job_record::note_waiting(time_point now, wall_time wall_now)
{
    const auto start_of = [&](const task_record& task) {
        const milliseconds age = task.durable_wait ? std::clamp(wall_now - *task.durable_wait,
                                                                milliseconds(0), max_inherited_wait)
                                                   : milliseconds(0);
        return std::max(now - age, std::min(now, m_submitted));
    };
    for (auto& [number, occurrence] : m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (!m_spec->steps[step].long_running || occurrence.steps[step].waiting == 0 ||
                !is_unblocked(occurrence, step)) {
                continue;
            }
            for (task_record& task : occurrence.steps[step].tasks) {
                if (task.is_waiting() && !task.waiting_since) {
                    task.waiting_since = start_of(task);
                }
            }
        }
    }
}

bool job_record::end_durable_wait(const task_name& name)
{
    task_record* const task = find(name);
    return task != nullptr && std::exchange(task->durable_wait, std::nullopt).has_value();
}

task_counts job_record::count_tasks() const noexcept
{
    task_counts counts;
    for (const auto& [number, occurrence] : m_occurrences) {
        for (const step_record& step : occurrence.steps) {
            const auto all = static_cast<std::uint32_t>(step.tasks.size());
            counts.all += all;
            counts.done += step.done;
            counts.running += all - step.done - step.waiting;
        }
    }
    return counts;
}

std::optional<task_name> job_record::find_waiting() const
{
    for (const auto& [number, occurrence] : m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting == 0 || !is_unblocked(occurrence, step)) {
                continue;
            }
            const auto& tasks = occurrence.steps[step].tasks;
            const auto found = std::find_if(tasks.begin(), tasks.end(),
                                            [](const auto& task) { return task.is_waiting(); });
            return task_name{m_id, number, step, static_cast<std::uint32_t>(found - tasks.begin())};
        }
    }
    return std::nullopt;
}

occurrence_record job_record::make_occurrence() const
{
    occurrence_record created;
    created.steps.resize(m_spec->steps.size());
    for (std::size_t step = 0; step < created.steps.size(); ++step) {
        created.steps[step].tasks.resize(m_spec->steps[step].count);
        created.steps[step].waiting = m_spec->steps[step].count;
    }
    set_lost_crashes(created, m_predecessors);
    return created;
}

} // namespace plantaindoor::job
