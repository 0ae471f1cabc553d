#include "unserved_job_oracle.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet::testing {

namespace {

/// Processor time that an accelerator counts as.
constexpr std::int64_t millis_per_accelerator = 8000;

std::int64_t weight_of(const job::resources& amount)
{
    return amount.cpu_millis + millis_per_accelerator * amount.accelerators;
}

} // namespace

std::string to_string(const unserved_job& unserved)
{
    const auto since = std::chrono::duration_cast<milliseconds>(unserved.since.time_since_epoch());
    return fmt::format("job {} step {}{} of {} has nothing running since {} ms; room: {}",
                       unserved.job.str(), unserved.step,
                       unserved.task ? fmt::format(" task {}", *unserved.task) : std::string(),
                       unserved.service.str(), since.count(), unserved.room);
}

std::map<service_id, unserved_job_oracle::service_state> unserved_job_oracle::survey() const
{
    std::map<service_id, service_state> services;
    for (model_workers::worker_status& worker : m_workers.workers()) {
        service_state& service = services[worker.listing.service];
        service.used += weight_of(worker.used);
        service.capacity += weight_of(worker.listing.capacity);
        service.running_tasks += static_cast<std::uint32_t>(worker.tasks.size());
        if (!worker.listing.draining) {
            service.workers.push_back(std::move(worker));
        }
    }
    return services;
}

bool unserved_job_oracle::is_done(const job_id& id, std::uint32_t step) const
{
    for (std::uint32_t index = 0; index < m_workers.job(id).spec->steps[step].count; ++index) {
        if (!m_workers.status_of({id, 0, step, index}).done) {
            return false;
        }
    }
    return true;
}

unserved_job_oracle::job_state unserved_job_oracle::state_of(const job_id& id,
                                                             service_state& service) const
{
    job_state state;
    for (std::uint32_t step = 0; step < m_workers.job(id).spec->steps.size(); ++step) {
        add_step(id, step, state, service);
    }
    if (state.all_done) {
        state.over = m_is_completed(id);
        if (!state.over) {
            add_discarded(id, state, service);
        }
    }
    state.over = state.over || m_workers.job(id).cancelled.has_value();
    return state;
}

void unserved_job_oracle::add_step(const job_id& id, std::uint32_t step, job_state& state,
                                   service_state& service) const
{
    const job::step_spec& spec = m_workers.job(id).spec->steps[step];
    const bool turn_has_come =
        std::all_of(spec.depends_on.begin(), spec.depends_on.end(),
                    [&](std::uint32_t earlier) { return is_done(id, earlier); });
    std::uint32_t ready = 0;
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        const job::task_name name{id, 0, step, index};
        const auto task = m_workers.status_of(name);
        state.over = state.over || task.exhausted;
        state.running = state.running || task.running;
        state.all_done = state.all_done && task.done;
        ready += turn_has_come && !task.done && !task.running ? 1 : 0;
        if (turn_has_come && spec.long_running) {
            state.long_running.push_back(name);
        }
    }
    service.ready_tasks += ready;
    if (ready > 0 && !spec.long_running) {
        state.ready_steps.push_back(step);
    }
}

void unserved_job_oracle::add_discarded(const job_id& id, job_state& state,
                                        service_state& service) const
{
    const auto& steps = m_workers.job(id).spec->steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        std::uint32_t discarded = 0;
        for (std::uint32_t index = 0; index < steps[step].count; ++index) {
            const auto task = m_workers.status_of({id, 0, step, index});
            discarded += task.discarded && !task.running ? 1 : 0;
        }
        service.ready_tasks += discarded;
        if (discarded > 0) {
            state.ready_steps.push_back(step);
        }
    }
}

std::optional<unserved_job_oracle::step_room>
unserved_job_oracle::double_room(const job_id& id, std::uint32_t step,
                                 const service_state& service) const
{
    const job::step_spec& spec = m_workers.job(id).spec->steps[step];
    std::map<rack_id, step_room> rooms;
    for (const auto& worker : service.workers) {
        if (!spec.required_label.empty() && !worker.listing.has_label(spec.required_label)) {
            continue;
        }
        std::int64_t fitting =
            (worker.listing.capacity - worker.used).count_fitting(spec.footprint());
        if (spec.max_per_worker > 0) {
            const auto present =
                std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const auto& task) {
                    return task.job == id && task.step == step;
                });
            fitting = std::clamp<std::int64_t>(spec.max_per_worker - present, 0, fitting);
        }
        if (fitting > 0) {
            step_room& room = rooms[spec.same_rack ? worker.listing.rack : rack_id()];
            room.tasks += fitting;
            room.workers += fmt::format("{} {}; ", worker.listing.id.str(), fitting);
        }
    }
    const std::int64_t needed = 2 * std::int64_t(spec.gang ? spec.count : 1);
    for (auto& [rack, room] : rooms) {
        if (room.tasks >= needed) {
            return std::move(room);
        }
    }
    return std::nullopt;
}

void unserved_job_oracle::sample(time_point now)
{
    m_services = survey();
    for (auto at = m_jobs.begin(); at != m_jobs.end();) {
        auto& [id, job] = *at;
        service_state& service = m_services[job.service];
        const job_state state = state_of(id, service);
        if (state.over) {
            at = m_jobs.erase(at);
            continue;
        }
        check_job(id, job, state, service, now);
        for (const job::task_name& name : state.long_running) {
            check_long_running(name, job, service, now);
        }
        ++at;
    }
}

void unserved_job_oracle::check_job(const job_id& id, watched_job& job, const job_state& state,
                                    const service_state& service, time_point now)
{
    if (state.running || state.ready_steps.empty()) {
        job.waiting_since.reset();
        job.unserved_since.reset();
        return;
    }
    job.waiting_since = job.waiting_since.value_or(now);
    milliseconds& longest = m_longest_waits[job.service];
    longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - *job.waiting_since));
    if (now >= m_calm_since && !service.is_half_used()) {
        for (const std::uint32_t step : state.ready_steps) {
            if (auto room = double_room(id, step, service)) {
                count_unserved(job.unserved_since,
                               {.job = id,
                                .service = job.service,
                                .step = step,
                                .task = std::nullopt,
                                .since = {},
                                .room = std::move(room->workers)},
                               now);
                return;
            }
        }
    }
    job.unserved_since.reset();
}

void unserved_job_oracle::check_long_running(const job::task_name& name, watched_job& job,
                                             const service_state& service, time_point now)
{
    long_running_task& task =
        job.long_running.try_emplace(name, long_running_task{.last_run = job.accepted})
            .first->second;
    if (m_workers.status_of(name).running) {
        task.last_run = now;
    }
    std::optional<step_room> room;
    // How full the service is doesn't matter here.
    if (now >= m_calm_since && now >= task.last_run + rerun_time) {
        room = double_room(name.job, name.step, service);
    }
    if (!room) {
        task.unserved_since.reset();
        return;
    }
    count_unserved(task.unserved_since,
                   {.job = name.job,
                    .service = job.service,
                    .step = name.step,
                    .task = name.index,
                    .since = {},
                    .room = std::move(room->workers)},
                   now);
}

void unserved_job_oracle::count_unserved(std::optional<time_point>& since, unserved_job unserved,
                                         time_point now)
{
    since = since.value_or(now);
    unserved.since = *since;
    const auto same = [&](const unserved_job& other) {
        return other.job == unserved.job && other.task == unserved.task &&
               other.since == unserved.since;
    };
    if (now - *since >= max_wait && std::none_of(m_findings.begin(), m_findings.end(), same)) {
        m_findings.push_back(std::move(unserved));
    }
}

milliseconds unserved_job_oracle::longest_wait(const service_id& service) const
{
    const auto found = m_longest_waits.find(service);
    return found == m_longest_waits.end() ? milliseconds(0) : found->second;
}

std::uint32_t unserved_job_oracle::ready_tasks(const service_id& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.ready_tasks;
}

std::uint32_t unserved_job_oracle::running_tasks(const service_id& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.running_tasks;
}

} // namespace plantaindoor::fleet::testing
