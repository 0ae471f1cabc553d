#include "plantaindoor/job/queue_policy.hpp"
#include "plantaindoor/job/record.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

namespace plantaindoor::job {

namespace {

using nlohmann::json;

/// One character per task keeps the stored row short and readable.
constexpr char done_mark = 'd';
constexpr char not_done_mark = '.';

json crashes_json(const std::vector<task_crash>& crashes)
{
    json result = json::array();
    for (const task_crash& each : crashes) {
        result.push_back(
            {{"worker", each.worker.str()}, {"on_start", each.on_start}, {"alone", each.alone}});
    }
    return result;
}

std::vector<task_crash> crashes_of(const json& from)
{
    std::vector<task_crash> crashes;
    for (const json& each : from) {
        crashes.push_back({.worker = instance_id(each.at("worker").get<std::string>()),
                           .on_start = each.at("on_start").get<bool>(),
                           .alone = each.at("alone").get<bool>()});
    }
    return crashes;
}

/// What can't be read is left out: the job's state is known without it.
std::vector<instance_id> culprit_of_progress(std::string_view progress)
{
    const json parsed = json::parse(progress, nullptr, false);
    std::vector<instance_id> workers;
    if (const auto found = parsed.find("culprit_of"); found != parsed.end() && found->is_array()) {
        for (const json& each : *found) {
            if (each.is_string()) {
                workers.emplace_back(each.get<std::string>());
            }
        }
    }
    return workers;
}

/// The values of the tasks that aren't done as [value, first task, number of tasks]: tasks of a
/// step often have the same one. Tasks without a value are left out.
template<typename ValueOf>
json ranges_json(const std::vector<task_record>& tasks, ValueOf value_of)
{
    json result = json::array();
    std::optional<std::int64_t> previous;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const std::optional<std::int64_t> value =
            tasks[index].done ? std::nullopt : value_of(tasks[index]);
        if (value && value == previous) {
            json& count = result.back().back();
            count = count.get<std::size_t>() + 1;
        }
        else if (value) {
            result.push_back(json::array({*value, index, 1}));
        }
        previous = value;
    }
    return result;
}

template<typename Restore>
void restore_ranges(std::vector<task_record>& tasks, const json& from, Restore restore)
{
    for (const json& each : from) {
        const auto value = each.at(0).get<std::int64_t>();
        const auto first = each.at(1).get<std::size_t>();
        const auto count = each.at(2).get<std::size_t>();
        for (std::size_t offset = 0; offset < count; ++offset) {
            restore(tasks.at(first + offset), value);
        }
    }
}

std::optional<std::int64_t> durable_wait_of(const task_record& task)
{
    return task.durable_wait ? std::optional(task.durable_wait->time_since_epoch().count())
                             : std::nullopt;
}

std::optional<std::int64_t> lost_crashes_of(const task_record& task)
{
    return task.lost_crashes > 0 ? std::optional<std::int64_t>(task.lost_crashes) : std::nullopt;
}

json step_json(const step_record& step)
{
    std::string marks;
    json failures = json::object();
    json crashes = json::object();
    json explained = json::object();
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const task_record& task = step.tasks[index];
        marks += task.done ? done_mark : not_done_mark;
        if (!task.failed_attempts.empty()) {
            failures[std::to_string(index)] = task.failed_attempts;
        }
        if (!task.done && !task.crashes.empty()) {
            crashes[std::to_string(index)] = crashes_json(task.crashes);
        }
        if (!task.done && task.explained_crashes > 0) {
            explained[std::to_string(index)] = task.explained_crashes;
        }
    }
    json result{{"tasks", marks}};
    if (!failures.empty()) {
        result["failed"] = failures;
    }
    if (!crashes.empty()) {
        result["crashes"] = crashes;
    }
    if (!explained.empty()) {
        result["explained"] = explained;
    }
    if (json waits = ranges_json(step.tasks, durable_wait_of); !waits.empty()) {
        result["waits"] = std::move(waits);
    }
    if (json lost = ranges_json(step.tasks, lost_crashes_of); !lost.empty()) {
        result["lost_crashes"] = std::move(lost);
    }
    return result;
}

void restore_step(step_record& step, const json& from)
{
    const auto marks = from.at("tasks").get<std::string>();
    if (marks.size() != step.tasks.size()) {
        throw spec_error("progress", "a list of marks for all tasks of its step");
    }
    for (std::size_t index = 0; index < marks.size(); ++index) {
        if (marks[index] == done_mark) {
            step.tasks[index].done = true;
            ++step.done;
            --step.waiting;
        }
    }
    const json crashes_by_task = from.value("crashes", json::object());
    for (const auto& [index, crashes] : crashes_by_task.items()) {
        step.tasks.at(std::stoul(index)).crashes = crashes_of(crashes);
    }
    const json explained_by_task = from.value("explained", json::object());
    for (const auto& [index, count] : explained_by_task.items()) {
        step.tasks.at(std::stoul(index)).explained_crashes = count.get<std::uint32_t>();
    }
    restore_ranges(step.tasks, from.value("waits", json::array()),
                   [](task_record& task, std::int64_t since) {
                       task.durable_wait = wall_time(milliseconds(since));
                   });
    // Those of the predecessors since this was written are counted already.
    restore_ranges(step.tasks, from.value("lost_crashes", json::array()),
                   [](task_record& task, std::int64_t count) {
                       task.lost_crashes += static_cast<std::uint32_t>(count);
                   });
    const json failures_by_task = from.value("failed", json::object());
    for (const auto& [index, attempts] : failures_by_task.items()) {
        task_record& task = step.tasks.at(std::stoul(index));
        task.failed_attempts = attempts.get<std::vector<std::uint32_t>>();
        for (const std::uint32_t attempt : task.failed_attempts) {
            task.last_attempt = std::max(task.last_attempt, attempt);
        }
    }
}

} // namespace

std::optional<job_status> status_of_progress(std::string_view progress)
{
    const json parsed = json::parse(progress, nullptr, false);
    const auto text_of = [&](const char* name) {
        const auto found = parsed.find(name);
        return found != parsed.end() && found->is_string() ? found->get<std::string>()
                                                           : std::string();
    };
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const auto state = parse_enum<job_state>(text_of("state"));
    if (!state) {
        return std::nullopt;
    }
    return job_status{
        .state = *state,
        .failure = parse_enum<failure_reason>(text_of("reason")).value_or(failure_reason::none)};
}

std::string job_record::progress() const
{
    json result{{"state", name_of(m_state)}};
    if (m_failure != failure_reason::none) {
        result["reason"] = name_of(m_failure);
    }
    if (!m_culprit_of.empty()) {
        json workers = json::array();
        for (const instance_id& each : m_culprit_of) {
            workers.push_back(each.str());
        }
        result["culprit_of"] = std::move(workers);
    }
    if (!is_terminal(m_state)) {
        json occurrences = json::object();
        for (const auto& [number, occurrence] : m_occurrences) {
            json steps = json::array();
            for (const step_record& step : occurrence.steps) {
                steps.push_back(step_json(step));
            }
            occurrences[std::to_string(number)] = std::move(steps);
        }
        if (m_queue_changed) {
            result["policy"] = to_json(m_queue);
        }
        result["begun"] = m_started_occurrences;
        result["occurrences"] = std::move(occurrences);
    }
    return result.dump();
}

void job_record::restore(std::string_view progress)
{
    const auto status = status_of_progress(progress);
    if (!status) {
        throw spec_error("progress: state", expected_names<job_state>());
    }
    m_state = status->state;
    m_failure = status->failure;
    if (is_terminal(m_state)) {
        m_culprit_of = culprit_of_progress(progress);
        return;
    }
    try {
        restore_occurrences(progress);
    }
    catch (const json::exception& failure) {
        throw spec_error("progress", fmt::format("readable ({})", failure.what()));
    }
    catch (const std::logic_error& failure) { // std::stoul(), at()
        throw spec_error("progress", fmt::format("readable ({})", failure.what()));
    }
}

void job_record::restore_occurrences(std::string_view progress)
{
    const json parsed = json::parse(progress);
    if (const auto policy = parsed.find("policy"); policy != parsed.end()) {
        set_queue(parse_queue_policy(m_queue.name, *policy));
    }
    m_started_occurrences = parsed.at("begun").get<std::uint32_t>();
    m_occurrences.clear();
    for (const auto& [number, steps] : parsed.at("occurrences").items()) {
        occurrence_record occurrence = make_occurrence();
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            restore_step(occurrence.steps[step], steps.at(step));
        }
        m_occurrences.emplace(static_cast<std::uint32_t>(std::stoul(number)),
                              std::move(occurrence));
    }
}

} // namespace plantaindoor::job
