// A pool of workers without a network, some of which crash, for tests of the scheduler.
#pragma once

#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>

namespace plantaindoor::job {

inline constexpr milliseconds plan_interval{100};
/// An accepted job without a running task for this long, while there is room for it twice over,
/// counts as lost.
inline constexpr milliseconds wait_bound{3000};
inline const service_id checks{"checks"};
inline const resources worker_capacity{.cpu_millis = 4000, .memory_mb = 4000};

/// A pool whose workers run every task to its end and crash a moment after the start of a culprit,
/// or when told to; a successor starts on the machine some seconds later. It measures how long each
/// healthy job waits while there is room for it twice over.
struct crash_pool {
    struct submitted_job {
        std::shared_ptr<const job_spec> spec;
        /// Of each task; none: that of the pool.
        std::optional<milliseconds> run_time;
        time_point waiting_since{};
        milliseconds longest_wait{0};
    };
    struct active_run {
        reported_run run;
        time_point since;
    };

    std::optional<scheduler> subject;
    time_point now{std::chrono::hours(1)};
    std::map<std::string, instance_id> workers;
    std::map<instance_id, std::vector<active_run>> running;
    std::map<instance_id, std::uint64_t> sequences;
    std::map<std::string, time_point> back_at;
    std::map<job_id, submitted_job> jobs;
    /// The tasks that crash their workers.
    std::set<task_name> crashing;
    milliseconds run_time{800};
    std::vector<decision> decisions;
    std::map<task_name, std::uint32_t> starts;
    std::map<task_name, std::uint32_t> crashes;
    std::uint32_t incarnations = 0;
    std::uint32_t leaders = 0;
    bool store_answers = true;

    explicit crash_pool(std::uint32_t machines)
    {
        begin_leader();
        for (std::uint32_t each = 0; each < machines; ++each) {
            start_worker("m" + std::to_string(each));
        }
    }

    void begin_leader()
    {
        subject.emplace(scheduler_options{.lease = milliseconds(5000),
                                          .predecessor_grace = milliseconds(0),
                                          .attempt_base = 1000 * leaders++},
                        now - seconds(60));
        subject->set_queues({{.name = "q", .service = checks, .max_attempts = 2, .stretch = 2}});
    }

    /// Replaces the leader by one that reads what is persisted.
    void replace_leader()
    {
        std::map<job_id, std::string> rows;
        for (const auto& [id, job] : jobs) {
            rows[id] = subject->find(id)->progress();
        }
        begin_leader();
        for (const auto& [id, job] : jobs) {
            subject->submit(id, {.queue = "q", .spec = job.spec, .at = now, .inherited = true});
            subject->restore(id, rows[id]);
        }
        for (const auto& [machine, worker] : workers) {
            subject->note_worker_listed(listing(machine, worker), now);
            report(worker);
        }
    }

    static worker_listing listing(const std::string& machine, const instance_id& worker)
    {
        return {.id = worker,
                .service = checks,
                .address = machine + ":80",
                .machine = machine,
                .capacity = worker_capacity};
    }

    void start_worker(const std::string& machine)
    {
        workers[machine] = instance_id("w" + std::to_string(++incarnations));
        subject->note_worker_listed(listing(machine, workers[machine]), now);
        report(workers[machine]);
    }

    void report(const instance_id& worker, std::vector<ended_run> ended = {})
    {
        worker_report result{.worker_clock = milliseconds(1000), .ended = {std::move(ended)}};
        for (const active_run& each : running[worker]) {
            result.running.push_back(each.run);
        }
        subject->note_report(worker, result, now, now);
    }

    /// The first task of a culprit crashes its workers.
    job_id submit(const std::string& id, step_spec step,
                  std::optional<milliseconds> own_run_time = std::nullopt, bool culprit = false)
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(std::move(step));
        jobs[job_id(id)] = {.spec = spec, .run_time = own_run_time, .waiting_since = now};
        if (culprit) {
            crashing.insert({job_id(id), 0, 0, 0});
        }
        subject->submit(job_id(id), {.queue = "q", .spec = spec, .at = now});
        return job_id(id);
    }

    void crash(const std::string& machine, milliseconds down = seconds(3))
    {
        const instance_id worker = workers.at(machine);
        workers.erase(machine);
        for (const active_run& each : running[worker]) {
            ++crashes[each.run.run.task];
        }
        running.erase(worker);
        back_at[machine] = now + down;
        subject->note_missed_poll(worker, now);
        subject->note_worker_ended(worker, worker_end::machine_down, now);
    }

    void crash_all()
    {
        const auto living = workers;
        for (const auto& each : living) {
            crash(each.first);
        }
    }

    void plan()
    {
        const orders due = subject->plan(now, wall_time{});
        for (const start_order& each : due.starts) {
            ++starts[each.run.task];
            jobs.at(each.run.task.job).waiting_since = now;
            subject->note_start(each.worker, each.run, order_answer::accepted, now);
            running[each.worker].push_back({{.run = each.run, .percent = 100}, now});
        }
        for (const stop_order& each : due.stops) {
            subject->note_stop(each.worker, each.run, order_answer::accepted, now);
            std::erase_if(running[each.worker],
                          [&](const auto& run) { return run.run.run == each.run; });
        }
        for (decision& each : subject->take_decisions()) {
            decisions.push_back(std::move(each));
        }
        if (store_answers) {
            static_cast<void>(subject->begin_persist());
            subject->note_persisted();
        }
    }

    /// The number of tasks like this one for which the living workers have room.
    [[nodiscard]] std::int64_t room_for(const resources& need) const
    {
        std::int64_t slots = 0;
        for (const auto& [machine, worker] : workers) {
            resources free = worker_capacity;
            if (const auto active = running.find(worker); active != running.end()) {
                for (const active_run& each : active->second) {
                    free -= jobs.at(each.run.run.task.job).spec->steps[0].footprint();
                }
            }
            slots += std::min(free.cpu_millis / std::max<std::int64_t>(need.cpu_millis, 1),
                              free.memory_mb / std::max<std::int64_t>(need.memory_mb, 1));
        }
        return slots;
    }

    /// Counts the wait of each job while there is room for all waiting jobs twice over.
    void measure_waits()
    {
        std::set<job_id> active;
        std::int64_t free_cpu = std::int64_t(workers.size()) * worker_capacity.cpu_millis;
        for (const auto& [worker, runs] : running) {
            for (const active_run& each : runs) {
                active.insert(each.run.run.task.job);
                free_cpu -= jobs.at(each.run.run.task.job).spec->steps[0].footprint().cpu_millis;
            }
        }
        std::int64_t waiting_cpu = 0;
        for (const auto& [id, job] : jobs) {
            const step_spec& step = job.spec->steps[0];
            const bool waits = !active.contains(id) && !is_terminal(state(id)) &&
                               room_for(step.footprint()) >= step.count;
            waiting_cpu += waits ? step.footprint().cpu_millis * step.count : 0;
        }
        for (auto& [id, job] : jobs) {
            const step_spec& step = job.spec->steps[0];
            if (active.contains(id) || is_terminal(state(id)) || free_cpu < 2 * waiting_cpu ||
                room_for(step.footprint()) < 2 * std::int64_t(step.count)) {
                job.waiting_since = now;
                continue;
            }
            const auto waited = std::chrono::duration_cast<milliseconds>(now - job.waiting_since);
            job.longest_wait = std::max(job.longest_wait, waited);
        }
    }

    /// Lets the time pass that workers need for the next event.
    void step()
    {
        plan();
        now += milliseconds(10);
        const auto living = workers;
        for (const auto& [machine, worker] : living) {
            const auto& runs = running[worker];
            if (std::any_of(runs.begin(), runs.end(), [&](const active_run& each) {
                    return crashing.contains(each.run.run.task);
                })) {
                crash(machine);
            }
        }
        now += plan_interval - milliseconds(10);
        for (const auto& each : workers) {
            const instance_id& worker = each.second;
            std::vector<ended_run> ended;
            std::erase_if(running[worker], [&](const active_run& run) {
                const auto& own_run_time = jobs.at(run.run.run.task.job).run_time;
                const bool over = now - run.since >= own_run_time.value_or(run_time);
                if (over) {
                    ended.push_back({.sequence = ++sequences[worker],
                                     .run = run.run.run,
                                     .end_reason = run_end_reason::done});
                }
                return over;
            });
            report(worker, std::move(ended));
        }
        const auto due = back_at;
        for (const auto& [machine, at] : due) {
            if (at <= now) {
                back_at.erase(machine);
                start_worker(machine);
            }
        }
        measure_waits();
    }

    void run_for(milliseconds time)
    {
        for (const time_point end = now + time; now < end;) {
            step();
        }
    }

    [[nodiscard]] job_state state(const job_id& id) const { return subject->find(id)->state(); }

    [[nodiscard]] bool is_culprit(const job_id& id) const
    {
        return crashing.contains({id, 0, 0, 0});
    }

    [[nodiscard]] milliseconds longest_healthy_wait() const
    {
        milliseconds longest{0};
        for (const auto& [id, job] : jobs) {
            longest = std::max(longest, is_culprit(id) ? milliseconds(0) : job.longest_wait);
        }
        return longest;
    }

    /// The most crashes of workers under one task of the job.
    [[nodiscard]] std::uint32_t crashes_under(const job_id& id) const
    {
        std::uint32_t most = 0;
        for (const auto& [name, count] : crashes) {
            most = name.job == id ? std::max(most, count) : most;
        }
        return most;
    }

    [[nodiscard]] std::size_t healthy_jobs_not_completed() const
    {
        return static_cast<std::size_t>(
            std::count_if(jobs.begin(), jobs.end(), [&](const auto& job) {
                return !is_culprit(job.first) && !job.second.spec->steps[0].long_running &&
                       state(job.first) != job_state::completed;
            }));
    }
};

inline step_spec tasks(std::uint32_t count, std::int64_t cpu_millis)
{
    return {.count = count, .need = {.cpu_millis = cpu_millis, .memory_mb = 100}};
}

} // namespace plantaindoor::job
