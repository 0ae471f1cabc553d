#include "plantaindoor/job/job_waits.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::job {

namespace {

using located_run = std::pair<run_name, instance_id>;

bool is_confirmed(const std::map<instance_id, worker_record>& workers, const located_run& run)
{
    const auto worker = workers.find(run.second);
    if (worker == workers.end()) {
        return false;
    }
    const auto known = worker->second.runs.find(run.first);
    return known != worker->second.runs.end() && known->second.confirmed != time_point{};
}

std::optional<located_run> find_confirmed_run(const job_record& job,
                                              const std::map<instance_id, worker_record>& workers)
{
    for (const auto& [number, occurrence] : job.occurrences()) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                for (const task_run& each : tasks[index].runs) {
                    located_run run{{{job.id(), number, step, index}, each.attempt}, each.worker};
                    if (is_confirmed(workers, run)) {
                        return run;
                    }
                }
            }
        }
    }
    return std::nullopt;
}

milliseconds waited_by(const job_record& job, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - *job.wait().since);
}

} // namespace

bool job_waits::begin_round(time_point now)
{
    if (now - m_sampled < sample_interval) {
        return false;
    }
    m_sampled = now;
    const bool new_second = now - m_second_began >= seconds(1);
    if (new_second) {
        m_second_began = now;
        m_reported = 0;
    }
    for (service_state& each : m_services) {
        each.waits = {};
        each.longest = nullptr;
        each.longest_reported = new_second ? milliseconds(0) : each.longest_reported;
    }
    return true;
}

void job_waits::follow(job_record& job, const std::map<instance_id, worker_record>& workers,
                       time_point now)
{
    const task_counts counts = job.count_tasks();
    job_wait& wait = job.wait();
    if (wait.since && wait.done_tasks != counts.done) {
        // A run was confirmed and has ended since the last round.
        end_wait(job, std::nullopt, now);
    }
    if (counts.running > 0) {
        if (!wait.since) {
            return;
        }
        if (auto run = find_confirmed_run(job, workers)) {
            end_wait(job, std::move(run), now);
            return;
        }
    }
    else if (counts.done == counts.all) {
        return; // The next occurrence isn't due yet.
    }
    if (!wait.since) {
        wait.since = now;
        wait.done_tasks = counts.done;
    }
    if (wait.service >= m_services.size() ||
        m_services[wait.service].service != job.queue().service) {
        wait.service = index_of(job.queue().service);
    }
    service_state& service = m_services[wait.service];
    const milliseconds waited = waited_by(job, now);
    ++service.waits.jobs;
    const bool start_in_flight = counts.running > 0;
    if (service.waits.jobs == 1 || waited > service.waits.longest) {
        service.waits.longest = waited;
        service.longest = start_in_flight ? nullptr : &job;
    }
    if (waited >= report_delay && !start_in_flight && !wait.reported && !wait.omitted) {
        m_due.emplace_back(waited, &job);
    }
}

void job_waits::end_wait(job_record& job, std::optional<located_run> run, time_point now)
{
    const job_wait wait = std::exchange(job.wait(), {});
    const milliseconds waited = std::chrono::duration_cast<milliseconds>(now - *wait.since);
    if (waited < report_delay) {
        return;
    }
    if (wait.reported || admit(wait.service, waited)) {
        m_ended.push_back({.job = &job, .waited = waited, .ended = true, .run = std::move(run)});
    }
    else {
        ++m_omitted;
    }
}

std::vector<wait_event> job_waits::end_round()
{
    std::vector<wait_event> events = std::exchange(m_ended, {});
    auto due = std::exchange(m_due, {});
    for (const service_state& each : m_services) {
        // One that was left out may have become the longest of its service.
        if (each.longest != nullptr && each.longest->wait().omitted) {
            due.emplace_back(each.waits.longest, each.longest);
        }
    }
    std::sort(due.begin(), due.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second->id() < right.second->id();
    });
    for (const auto& [waited, job] : due) {
        job_wait& wait = job->wait();
        if (wait.reported) {
            continue;
        }
        if (admit(wait.service, waited)) {
            wait.reported = true;
            events.push_back({.job = job, .waited = waited});
        }
        else if (!std::exchange(wait.omitted, true)) {
            ++m_omitted;
        }
    }
    if (!events.empty()) {
        events.front().omitted = std::exchange(m_omitted, 0);
    }
    return events;
}

bool job_waits::admit(std::size_t service, milliseconds waited)
{
    milliseconds& longest = m_services[service].longest_reported;
    if (m_reported >= max_reports_per_second && waited <= longest) {
        return false;
    }
    ++m_reported;
    longest = std::max(longest, waited);
    return true;
}

std::size_t job_waits::index_of(const service_id& service)
{
    const auto found =
        std::find_if(m_services.begin(), m_services.end(),
                     [&](const service_state& each) { return each.service == service; });
    if (found == m_services.end()) {
        m_services.push_back({.service = service});
        return m_services.size() - 1;
    }
    return static_cast<std::size_t>(found - m_services.begin());
}

std::map<service_id, service_waits> job_waits::by_service() const
{
    std::map<service_id, service_waits> waits;
    for (const service_state& each : m_services) {
        waits.emplace(each.service, each.waits);
    }
    return waits;
}

} // namespace plantaindoor::job
