#include "plantaindoor/common/saturate.hpp"
#include "plantaindoor/job/missing_workers.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <optional>

namespace plantaindoor::job {

namespace {

/// Tasks that wait and have no other run, whatever a predecessor has started.
std::uint32_t waiting_with_known_run(const step_record& step)
{
    return static_cast<std::uint32_t>(
        std::count_if(step.tasks.begin(), step.tasks.end(),
                      [](const task_record& task) { return task.is_waiting() && task.run_known; }));
}

/// Since when the first waiting task of the step has had no run; the tasks of which none has been
/// known count only where the job isn't in doubt.
std::optional<time_point> waiting_since(const step_record& step, bool in_doubt)
{
    std::optional<time_point> first;
    for (const task_record& task : step.tasks) {
        if (task.is_waiting() && task.waiting_since && (task.run_known || !in_doubt)) {
            first = std::min(first.value_or(*task.waiting_since), *task.waiting_since);
        }
    }
    return first;
}

} // namespace

std::map<service_id, std::vector<resources>> scheduler::lasting_room() const
{
    std::map<service_id, std::vector<resources>> rooms;
    for (const auto& [id, worker] : m_workers) {
        if (worker.is_usable(m_now)) {
            rooms[worker.listing.service].push_back(worker.capacity_beside_long_running());
        }
    }
    return rooms;
}

std::uint32_t scheduler::workers_for_blocked(const step_spec& step, std::uint32_t tasks,
                                             const std::vector<resources>& rooms) const
{
    const resources need = step.footprint();
    const auto fits = [&](const resources& room) { return room.can_fit(need); };
    if (!step.required_label.empty() || std::any_of(rooms.begin(), rooms.end(), fits)) {
        return 0;
    }
    std::int64_t per_worker = 0;
    for (const auto& [id, worker] : m_workers) {
        // A row may be of another writer, and then there is no such worker.
        if (const resources capacity = worker.capacity();
            worker.token_acknowledged && capacity.can_fit(need)) {
            const auto by_cpu = capacity.cpu_millis / std::max<std::int64_t>(need.cpu_millis, 1);
            const auto by_memory = capacity.memory_mb / std::max<std::int64_t>(need.memory_mb, 1);
            per_worker = std::max(per_worker, std::min(by_cpu, by_memory));
        }
    }
    return per_worker == 0 ? 0 : static_cast<std::uint32_t>((tasks + per_worker - 1) / per_worker);
}

std::uint32_t scheduler::startable_tasks(const job_record& job, const task_name& first) const
{
    if (m_waiting_at_cap.contains(first)) {
        return 0;
    }
    const step_record& record = job.occurrences().at(first.occurrence).steps[first.step];
    std::uint32_t startable =
        in_doubt(job, m_now) ? waiting_with_known_run(record) : record.waiting;
    const resources& need = job.spec().steps[first.step].need;
    while (startable > 0 &&
           m_quota.check(job.workspace(), need, startable) != policy::quota_verdict::allowed) {
        --startable;
    }
    return startable;
}

std::uint32_t scheduler::movable_tasks(const job_record& job, const task_name& first,
                                       std::uint32_t displaced) const
{
    const resources& need = job.spec().steps[first.step].need;
    std::uint32_t movable = displaced;
    while (movable > 0 && m_quota.check(job.workspace(), need, 1, displaced - movable + 1) !=
                              policy::quota_verdict::allowed) {
        --movable;
    }
    return movable;
}

std::map<service_id, service_load> scheduler::loads() const
{
    std::map<service_id, service_load> loads;
    // Needed only while tasks wait.
    std::optional<std::map<service_id, std::vector<resources>>> rooms;
    const auto rooms_of = [&](const service_id& service) -> const std::vector<resources>& {
        if (!rooms) {
            rooms = lasting_room();
        }
        return (*rooms)[service];
    };
    missing_workers missing(m_workers, m_now);
    const std::map<task_name, std::uint32_t> displaced = displaced_tasks();
    for (const auto& [id, unfinished] : m_open) {
        const job_record& job = *unfinished;
        service_load& load = loads[job.queue().service];
        const job_tier tier = tier_of(job, m_now);
        const auto add = [&](double ordinary_load::*demand, double amount) {
            load.ordinary.*demand += amount;
            load.timely.*demand += tier <= job_tier::on_time ? amount : 0;
            load.valuable.*demand += tier <= job_tier::late ? amount : 0;
        };
        for (const auto& [number, occurrence] : job.occurrences()) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_spec& spec = job.spec().steps[step];
                const step_record& record = occurrence.steps[step];
                const double cpu = double(spec.footprint().cpu_millis);
                if (spec.long_running) {
                    load.long_running += cpu * spec.count;
                    const std::uint32_t limit = spec.max_per_worker;
                    load.min_workers =
                        std::max(load.min_workers, limit == 0 ? 1 : (spec.count - 1) / limit + 1);
                    const task_name first{id, number, static_cast<std::uint32_t>(step), 0};
                    const auto moving = displaced.find(first);
                    const std::uint32_t unplaced =
                        startable_tasks(job, first) +
                        (moving == displaced.end() ? 0 : movable_tasks(job, first, moving->second));
                    if (unplaced > 0 && job.is_unblocked(occurrence, first.step)) {
                        const std::uint32_t before = missing.of(job.queue().service);
                        missing.add(job, occurrence, first.step, unplaced);
                        const auto since = missing.of(job.queue().service) == before
                                               ? std::nullopt
                                               : waiting_since(record, in_doubt(job, m_now));
                        if (since) {
                            load.missing_since =
                                std::min(load.missing_since.value_or(*since), *since);
                        }
                    }
                    continue;
                }
                const std::uint32_t open = spec.count - record.done;
                add(&ordinary_load::running, cpu * (open - record.waiting));
                // More workers wouldn't let a task start that waits at its workspace's cap.
                if (m_waiting_at_cap.contains({id, number, static_cast<std::uint32_t>(step), 0})) {
                    continue;
                }
                if (job.is_unblocked(occurrence, static_cast<std::uint32_t>(step))) {
                    add(&ordinary_load::ready, cpu * record.waiting);
                    add(&ordinary_load::ready_work, spec.work_of(record.waiting));
                    if (record.waiting > 0) {
                        load.blocked_workers =
                            add_saturated(load.blocked_workers,
                                          workers_for_blocked(spec, record.waiting,
                                                              rooms_of(job.queue().service)));
                    }
                }
            }
        }
    }
    for (auto& [service, load] : loads) {
        load.missing_workers = missing.of(service);
        load.missing_with_label = missing.labelled_of(service);
        load.long_running_workers = missing.in_use(service) + load.missing_workers;
    }
    for (const auto& [service, counted] : m_submitted) {
        loads[service].submitted_work = counted.work;
        loads[service].submitted_jobs = counted.jobs;
    }
    return loads;
}

} // namespace plantaindoor::job
