// A pool without a network whose workers run short and long-running tasks, for tests of the
// scheduler.
#pragma once

#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::job {

/// Workers report each end of a run at once, and otherwise twice a second. A worker that drains
/// ends some seconds later.
class contended_pool {
public:
    struct run {
        run_name name;
        step_spec step;
        time_point started{};
        /// How long a short task works.
        milliseconds length{0};
        /// Unset: runs until it is stopped.
        std::optional<time_point> end;
        run_end_reason end_reason = run_end_reason::done;
    };
    struct worker {
        worker_listing listing;
        std::vector<run> runs;
        std::uint64_t sequence = 0;
        time_point next_report{};
        std::optional<time_point> ends_at;
    };

    static constexpr milliseconds tick{50};
    static constexpr milliseconds stop_time{300};
    static constexpr milliseconds drain_time{5000};
    static constexpr resources smallest_short_task{.cpu_millis = 3000, .memory_mb = 4000};
    static constexpr resources largest_short_task{.cpu_millis = 6000, .memory_mb = 4000};
    static inline const service_id service{"s"};

    time_point now{std::chrono::hours(1)};
    scheduler subject;
    std::map<instance_id, worker> workers;
    std::map<job_id, step_spec> jobs;
    std::mt19937_64 random;
    /// Shortest and longest run of a short task; zero: as estimated.
    milliseconds min_run{0};
    milliseconds max_run{0};
    /// Starts of the long-running tasks in order.
    std::vector<run_name> starts;
    /// When each task's last run has ended, for those that don't run.
    std::map<task_name, time_point> ended;
    std::map<task_name, milliseconds> longest_wait;
    /// Of runs that were stopped, in core-seconds.
    double lost_work = 0;
    /// Of short tasks that ended as done, in core-seconds.
    double done_work = 0;
    std::size_t stopped_short_runs = 0;
    /// Rounds after which more workers had room for any short task than long-running ones needed a
    /// place.
    std::size_t rounds_with_unused_workers = 0;
    std::vector<std::string> violations;

    explicit contended_pool(std::uint64_t seed = 1, scheduler_options options = {})
        : subject(
              [&] {
                  options.predecessor_grace = milliseconds(0);
                  return options;
              }(),
              now - seconds(60)),
          random(seed),
          m_options(options)
    {
        set_queues();
        subject.note_live_workers({}, list_extent::complete, now);
    }

    /// A new leader takes over with the persisted progress; all workers report to it.
    void replace_leader()
    {
        constexpr std::uint32_t attempts_per_leader = 1000;
        m_options.attempt_base += attempts_per_leader;
        subject = scheduler(m_options, now);
        set_queues();
        for (const auto& [id, step] : jobs) {
            submission inherited = m_submissions.at(id);
            inherited.inherited = true;
            subject.submit(id, std::move(inherited));
            if (const auto persisted = m_persisted.find(id); persisted != m_persisted.end()) {
                subject.restore(id, persisted->second);
            }
        }
        std::map<instance_id, service_id> live;
        for (const auto& [id, each] : workers) {
            live.emplace(id, service);
            subject.note_worker_listed(each.listing, now);
        }
        subject.note_live_workers(live, list_extent::complete, now);
        for (auto& [id, each] : workers) {
            report(id, each, {});
        }
    }
    /// Of the leaders' wall clock from that of the first.
    milliseconds wall_offset{0};
    [[nodiscard]] wall_time wall_now() const
    {
        return wall_time(std::chrono::duration_cast<milliseconds>(now.time_since_epoch())) +
               wall_offset;
    }
    /// Rows of long-running jobs that were persisted.
    std::size_t long_running_rows = 0;

    instance_id add_worker(resources capacity = {.cpu_millis = 16000, .memory_mb = 128000})
    {
        instance_id id("w" + std::to_string(100 + workers.size() + m_removed));
        worker& added = workers[id];
        added.listing = {.id = id,
                         .service = service,
                         .address = id.str() + ":80",
                         .machine = "m-" + id.str(),
                         .capacity = capacity};
        subject.note_worker_listed(added.listing, now);
        report(id, added, {});
        return id;
    }

    job_id submit(const step_spec& step, const std::string& queue,
                  const workspace_id& workspace = {})
    {
        job_id id("j" + std::to_string(100000 + ++m_submitted));
        jobs[id] = step;
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(step);
        const submission& submitted = m_submissions
                                          .emplace(id, submission{.queue = queue,
                                                                  .workspace = workspace,
                                                                  .spec = std::move(spec),
                                                                  .at = now})
                                          .first->second;
        subject.submit(id, submitted);
        for (std::uint32_t index = 0; step.long_running && index < step.count; ++index) {
            ended[{id, 0, 0, index}] = now;
        }
        return id;
    }

    /// Keeps this many short tasks waiting, each of 3 to 6 cores.
    void keep_backlog(std::size_t tasks)
    {
        std::size_t waiting = 0;
        for (const auto& [id, step] : jobs) {
            const job_record* const job = subject.find(id);
            waiting += !step.long_running && job->state() == job_state::queued ? 1 : 0;
        }
        for (; waiting < tasks; ++waiting) {
            resources need = smallest_short_task;
            need.cpu_millis = std::uniform_int_distribution(need.cpu_millis,
                                                            largest_short_task.cpu_millis)(random);
            submit({.need = need,
                    .estimate = short_estimate,
                    .checkpointing = std::bernoulli_distribution(checkpointing_share)(random)},
                   "urgent");
        }
    }
    milliseconds short_estimate{1400};
    double checkpointing_share = 0;
    std::size_t backlog = 0;

    /// Whether workers that drain report how long they stay.
    bool announces_remaining = false;

    void drain(const instance_id& id)
    {
        worker& draining = workers.at(id);
        draining.listing.draining = true;
        draining.ends_at = now + drain_time;
        subject.note_worker_listed(draining.listing, now);
    }
    void cordon(const instance_id& id, bool cordoned) { subject.cordon_worker(id, cordoned); }

    void advance(milliseconds time)
    {
        for (const time_point until = now + time; now < until;) {
            now += tick;
            remove_ended_workers();
            for (auto& [id, each] : workers) {
                advance_worker(id, each);
            }
            keep_backlog(backlog);
            apply(subject.plan(now, wall_now()));
            static_cast<void>(subject.take_decisions());
            forget_ended_jobs();
            measure();
        }
    }

    [[nodiscard]] std::vector<instance_id> workers_of(const job_id& job) const
    {
        std::vector<instance_id> found;
        for (const auto& [id, each] : workers) {
            for (const run& running : each.runs) {
                if (running.name.task.job == job) {
                    found.push_back(id);
                }
            }
        }
        return found;
    }
    [[nodiscard]] milliseconds worst_wait() const
    {
        milliseconds worst{0};
        for (const auto& [task, wait] : longest_wait) {
            worst = std::max(worst, wait);
        }
        return worst;
    }
    [[nodiscard]] static resources free_on(const worker& on)
    {
        resources free = on.listing.capacity;
        for (const run& each : on.runs) {
            free -= each.step.footprint();
        }
        return free;
    }
    /// The long-running tasks that wait, or whose worker leaves.
    [[nodiscard]] std::size_t unplaced() const
    {
        std::size_t found = ended.size();
        for (const auto& [id, each] : workers) {
            if (each.listing.draining) {
                found += static_cast<std::size_t>(
                    std::count_if(each.runs.begin(), each.runs.end(),
                                  [](const run& running) { return running.step.long_running; }));
            }
        }
        return found;
    }
    /// The workers with room for any of the short tasks.
    [[nodiscard]] std::size_t workers_with_room() const
    {
        return static_cast<std::size_t>(
            std::count_if(workers.begin(), workers.end(), [](const auto& each) {
                return !each.second.listing.draining &&
                       free_on(each.second).can_fit(largest_short_task);
            }));
    }

private:
    void set_queues()
    {
        subject.set_queues(
            {{.name = "serving", .service = service, .priority = 2, .target_latency = seconds(30)},
             {.name = "serving-urgent",
              .service = service,
              .priority = 1,
              .target_latency = seconds(30)},
             {.name = "urgent", .service = service, .target_latency = seconds(30)}});
    }

    void remove_ended_workers()
    {
        for (auto at = workers.begin(); at != workers.end();) {
            if (at->second.ends_at && now >= *at->second.ends_at) {
                for (const run& each : at->second.runs) {
                    note_ended(each);
                }
                subject.note_worker_unlisted(at->first, now);
                subject.note_worker_ended(at->first, worker_end::machine_moved, now);
                at = workers.erase(at);
                ++m_removed;
            }
            else {
                ++at;
            }
        }
    }

    void advance_worker(const instance_id& id, worker& each)
    {
        std::vector<ended_run> ends;
        for (const run& running : each.runs) {
            if (running.end && now >= *running.end) {
                ends.push_back({.sequence = ++each.sequence,
                                .run = running.name,
                                .end_reason = running.end_reason,
                                .checkpoint = running.step.checkpointing ? "saved" : ""});
                note_ended(running);
            }
        }
        std::erase_if(each.runs,
                      [&](const run& running) { return running.end && now >= *running.end; });
        if (!ends.empty() || now >= each.next_report) {
            report(id, each, std::move(ends));
        }
    }

    [[nodiscard]] std::uint32_t percent_of(const run& running) const
    {
        constexpr std::uint32_t full = 100;
        if (running.step.long_running) {
            return full;
        }
        return static_cast<std::uint32_t>(full * (now - running.started) / running.length);
    }

    void note_ended(const run& each)
    {
        if (each.step.long_running) {
            ended[each.name.task] = now;
            return;
        }
        const double work = std::chrono::duration<double>(now - each.started).count() *
                            double(each.step.need.cpu_millis) / 1000;
        const bool is_done =
            each.end && now >= *each.end && each.end_reason == run_end_reason::done;
        (is_done ? done_work : lost_work) += is_done || !each.step.checkpointing ? work : 0;
    }

    void report(const instance_id& id, worker& each, std::vector<ended_run> ends)
    {
        each.next_report = now + milliseconds(500);
        worker_report sent{.worker_clock = milliseconds(1)};
        for (const run& running : each.runs) {
            sent.running.push_back({.run = running.name,
                                    .checkpoint = running.step.checkpointing ? "saved" : "",
                                    .percent = percent_of(running)});
        }
        if (announces_remaining && each.ends_at) {
            sent.remaining = std::chrono::duration_cast<milliseconds>(*each.ends_at - now);
        }
        sent.ended.runs = std::move(ends);
        subject.note_report(id, sent, now - milliseconds(2), now);
        for (const job_id& persisted : subject.begin_persist()) {
            if (const job_record* const job = subject.find(persisted)) {
                m_persisted[persisted] = job->progress();
                long_running_rows += job->is_long_running() ? 1 : 0;
            }
        }
        subject.note_persisted();
    }

    void apply(const orders& given)
    {
        for (const start_order& each : given.starts) {
            const step_spec& step = each.spec->steps[each.run.task.step];
            run started{.name = each.run, .step = step, .started = now};
            if (step.long_running) {
                starts.push_back(each.run);
                ended.erase(each.run.task);
            }
            else {
                started.length = run_time_of(step);
                started.end = now + started.length;
            }
            workers.at(each.worker).runs.push_back(std::move(started));
            subject.note_start(each.worker, each.run, order_answer::accepted, now);
            check(each.worker, workers.at(each.worker), each.run);
        }
        for (const stop_order& each : given.stops) {
            for (run& running : workers.at(each.worker).runs) {
                if (running.name == each.run && running.end_reason != run_end_reason::stopped) {
                    stopped_short_runs += running.step.long_running ? 0 : 1;
                    running.end = now + stop_time;
                    running.end_reason = run_end_reason::stopped;
                }
            }
            subject.note_stop(each.worker, each.run, order_answer::accepted, now);
        }
    }

    [[nodiscard]] milliseconds run_time_of(const step_spec& step)
    {
        if (max_run == milliseconds(0)) {
            return step.estimate;
        }
        return milliseconds(
            std::uniform_int_distribution(min_run.count(), max_run.count())(random));
    }

    void check(const instance_id& id, const worker& on, const run_name& started)
    {
        resources used;
        std::map<job_id, std::uint32_t> siblings;
        for (const run& each : on.runs) {
            used += each.step.footprint();
            ++siblings[each.name.task.job];
            if (each.step.max_per_worker > 0 &&
                siblings[each.name.task.job] > each.step.max_per_worker) {
                violations.push_back("too many tasks of a step on " + id.str());
            }
        }
        if (!on.listing.capacity.can_fit(used)) {
            violations.push_back("over capacity: " + id.str());
        }
        std::size_t copies = 0;
        for (const auto& [other, each] : workers) {
            copies += static_cast<std::size_t>(
                std::count_if(each.runs.begin(), each.runs.end(), [&](const run& running) {
                    return running.name.task == started.task;
                }));
        }
        if (copies > 1) {
            violations.push_back("runs twice: " + to_string(started.task));
        }
        if (on.listing.draining) {
            violations.push_back("started on draining " + id.str());
        }
    }

    void forget_ended_jobs()
    {
        std::erase_if(jobs, [&](const auto& each) {
            const bool is_over = is_terminal(subject.find(each.first)->state());
            if (is_over) {
                subject.remove_job(each.first);
                m_submissions.erase(each.first);
                m_persisted.erase(each.first);
            }
            return is_over;
        });
    }

    void measure()
    {
        if (const std::size_t kept = workers_with_room(); backlog > 0 && kept > unplaced()) {
            ++rounds_with_unused_workers;
        }
        for (const auto& [task, since] : ended) {
            milliseconds& longest = longest_wait[task];
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - since));
        }
    }

    std::size_t m_removed = 0;
    std::size_t m_submitted = 0;
    scheduler_options m_options;
    std::map<job_id, submission> m_submissions;
    std::map<job_id, std::string> m_persisted;
};

} // namespace plantaindoor::job
