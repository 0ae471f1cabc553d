#include "plantaindoor/job/spec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace plantaindoor::job {

namespace {

void check_step(const step_spec& step, std::size_t number)
{
    const std::string where = "step " + std::to_string(number);
    if (step.count == 0 || step.count > max_tasks_per_step) {
        throw spec_error(where + ": count", "between 1 and " + std::to_string(max_tasks_per_step));
    }
    if (step.need.cpu_millis < 0 || step.need.memory_mb < 0 || step.need.accelerators < 0 ||
        step.estimate < milliseconds(0) || step.tail_target < milliseconds(0)) {
        throw spec_error(where, "free of negative figures");
    }
    for (const std::uint32_t earlier : step.depends_on) {
        if (earlier >= number) {
            throw spec_error(where + ": after", "a list of earlier steps");
        }
    }
}

double core_days_of(const job_spec& spec)
{
    constexpr double millis_per_core = 1000;
    constexpr double day_seconds = std::chrono::duration<double>(std::chrono::days(1)).count();
    const double work = std::accumulate(
        spec.steps.begin(), spec.steps.end(), 0.0, [](double sum, const step_spec& step) {
            return step.long_running ? sum : sum + step.work_of(step.count);
        });
    return work / millis_per_core / day_seconds;
}

} // namespace

bool job_spec::is_long_running() const noexcept
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const step_spec& step) { return step.long_running; });
}

std::size_t job_spec::task_count() const noexcept
{
    return std::accumulate(steps.begin(), steps.end(), std::size_t{0},
                           [](std::size_t sum, const step_spec& step) { return sum + step.count; });
}

void check_spec(const job_spec& spec)
{
    if (spec.payload.size() > max_payload_bytes) {
        throw spec_error("spec", "at most " + std::to_string(max_payload_bytes) + " bytes long");
    }
    if (spec.steps.empty() || spec.steps.size() > max_steps) {
        throw spec_error("steps", "a list of 1 to " + std::to_string(max_steps));
    }
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        check_step(spec.steps[number], number);
    }
    if (spec.repeats && (spec.repeats->count == 0 || spec.repeats->count > max_occurrences ||
                         spec.repeats->interval < milliseconds(0))) {
        throw spec_error("repetition", "a bounded count with an interval of zero or more");
    }
}

void check_size(const job_spec& spec)
{
    if (spec.task_count() > max_tasks_per_job) {
        throw spec_error("steps", fmt::format("of at most {} tasks together", max_tasks_per_job));
    }
    if (core_days_of(spec) > double(max_core_days)) {
        throw spec_error("steps",
                         fmt::format("at most {} core days of estimated work", max_core_days));
    }
}

std::vector<milliseconds> critical_paths(const job_spec& spec)
{
    std::vector<milliseconds> path_lengths(spec.steps.size(), milliseconds(0));
    for (std::size_t number = spec.steps.size(); number-- > 0;) {
        // Steps depend only on earlier ones, so all that depend on this step have been processed.
        path_lengths[number] += spec.steps[number].estimate;
        for (const std::uint32_t earlier : spec.steps[number].depends_on) {
            path_lengths[earlier] = std::max(path_lengths[earlier], path_lengths[number]);
        }
    }
    return path_lengths;
}

milliseconds critical_path_length(const job_spec& spec)
{
    const auto path_lengths = critical_paths(spec);
    return *std::max_element(path_lengths.begin(), path_lengths.end());
}

bool queue_policy::update(queue_policy later)
{
    const bool changed = later.service != service || later.max_attempts != max_attempts;
    later.former_services.merge(former_services);
    later.former_services.insert(service);
    later.former_services.erase(later.service);
    *this = std::move(later);
    return changed;
}

} // namespace plantaindoor::job
