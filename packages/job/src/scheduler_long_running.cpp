#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace plantaindoor::job {

void scheduler::place_long_running(const std::vector<candidate>& ranked, time_point now)
{
    struct waiting_task {
        time_point since{};
        job_record* job = nullptr;
        task_name name;
    };
    std::vector<waiting_task> waiting;
    for (const candidate& each : ranked) {
        if (!each.long_running_first || !m_candidates.contains(each.job->queue().service)) {
            continue;
        }
        for (auto& [number, occurrence] : each.job->occurrences()) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_spec& spec = each.job->spec().steps[step];
                if (!spec.long_running || spec.gang || occurrence.steps[step].waiting == 0) {
                    continue;
                }
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].waiting_since && !tasks[index].must_be_isolated()) {
                        waiting.push_back({.since = *tasks[index].waiting_since,
                                           .job = each.job,
                                           .name = {each.job->id(), number, step, index}});
                    }
                }
            }
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto& left, const auto& right) { return left.since < right.since; });
    // Equal tasks, of which none finds a worker that another one hasn't found.
    std::set<task_name> without_worker;
    for (const waiting_task& each : waiting) {
        const task_name& name = each.name;
        const task_name first{name.job, name.occurrence, name.step, 0};
        if (without_worker.contains(first)) {
            continue;
        }
        task_record& task = *each.job->find(name);
        worker_record* const worker =
            cap_allows(*each.job, name.occurrence, name.step, 1)
                ? choose_worker(*each.job, each.job->occurrences().at(name.occurrence), name.step,
                                task, now)
                : nullptr;
        if (worker == nullptr) {
            without_worker.insert(first);
            continue;
        }
        order_start(*each.job, name, *worker, next_attempt(task), now);
    }
}

} // namespace plantaindoor::job
