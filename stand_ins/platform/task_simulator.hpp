// Simulates tasks on workers under leases. A task is stored as the commands that it received; its
// status at any time is computed from them, so a lagging report is the status at an earlier time.
#pragma once

#include "instance_simulator.hpp"

#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::stand_in {

/// A task's status at one point in time.
struct task_status {
    task_state state = task_state::running;
    /// Progress, counted in run time at full speed.
    milliseconds run{0};
    /// The part of `run` that a checkpoint has saved: a later start of the job resumes from there.
    milliseconds saved{0};
    /// The operation that started the task.
    std::string started_by;
};

/// A throttled task progresses at a quarter of its speed.
inline constexpr int throttle_divisor = 4;

/// Not synchronised. A `start` for a task that is running renews its lease; so do `resume` and
/// `throttle` with a lease, which start no task. A `stop` where nothing runs fences older epochs.
class task_simulator {
public:
    /// Age of the reports that reports() returns.
    milliseconds lag{0};
    milliseconds default_run_time{5000};
    milliseconds checkpoint_time{100};
    /// Run times of individual jobs, overriding the default.
    std::map<std::string, milliseconds> run_times;
    /// Workers that fail every task as soon as it starts.
    std::set<std::string> failing_workers;

    operation_result command(const task_command& request, const std::string& operation,
                             std::uint64_t epoch, time_point now)
    {
        task* active_task = find_active(request, now);
        const bool needs_task =
            request.action != task_action::start && request.action != task_action::stop;
        if (active_task == nullptr && needs_task) {
            return m_fence.is_accepted(operation) ? operation_result::already_accepted
                                                  : operation_result::unknown_subject;
        }
        const operation_result result = m_fence.admit(operation, request.job.str(), epoch);
        if (result != operation_result::started) {
            return result;
        }
        if (active_task == nullptr && request.action == task_action::stop) {
            return result;
        }
        if (active_task == nullptr) {
            m_tasks.push_back(make_task(request, operation, now));
            active_task = &m_tasks.back();
        }
        active_task->commands.push_back({now, request});
        return result;
    }

    /// Every task's report as it was `lag` ago.
    [[nodiscard]] std::vector<std::pair<task_command, task_status>> reports(time_point now) const
    {
        std::vector<std::pair<task_command, task_status>> all;
        for (const task& each : m_tasks) {
            if (each.commands.front().received <= now - lag) {
                all.emplace_back(each.commands.front().request, status_at(each, now - lag));
            }
        }
        return all;
    }

private:
    struct timed_command {
        time_point received{};
        task_command request;
    };

    struct task {
        std::vector<timed_command> commands;
        std::string started_by;
        milliseconds run_time{0};
        milliseconds resumed_from{0};
        bool fails = false;
    };

    /// Replays a task's commands to compute its state over time.
    class task_replay {
    public:
        task_replay(const task& subject, milliseconds checkpoint_time)
            : m_task(subject), m_checkpoint_time(checkpoint_time)
        {
            status.run = subject.resumed_from;
            status.saved = subject.resumed_from;
            status.started_by = subject.started_by;
            m_time = subject.commands.front().received;
        }

        void advance(time_point until)
        {
            while (active(status.state) && m_time < until) {
                advance_to_event(std::min({until, m_lease_until, finish_time(), checkpoint_end()}));
            }
        }

        void apply(const timed_command& timed)
        {
            advance(timed.received);
            if (!active(status.state)) {
                return;
            }
            m_time = timed.received;
            switch (timed.request.action) {
            case task_action::start:
                m_lease_until = timed.received + milliseconds(timed.request.lease_ms);
                status.state = m_task.fails ? task_state::failed : status.state;
                return;
            case task_action::checkpoint:
                status.state = task_state::checkpointing;
                m_checkpoint_from = timed.received;
                return;
            case task_action::throttle:
                status.state = task_state::throttled;
                renew(timed);
                return;
            case task_action::resume:
                status.state = task_state::running;
                renew(timed);
                return;
            case task_action::stop:
                status.state = task_state::stopped;
                return;
            }
        }

        task_status status;

    private:
        void renew(const timed_command& timed)
        {
            if (timed.request.lease_ms != 0) {
                m_lease_until = timed.received + milliseconds(timed.request.lease_ms);
            }
        }

        [[nodiscard]] int divisor() const
        {
            return status.state == task_state::throttled ? throttle_divisor : 1;
        }

        [[nodiscard]] time_point finish_time() const
        {
            return m_time + (m_task.run_time - status.run) * divisor();
        }

        [[nodiscard]] time_point checkpoint_end() const
        {
            return status.state == task_state::checkpointing ? m_checkpoint_from + m_checkpoint_time
                                                             : time_point::max();
        }

        void advance_to_event(time_point until)
        {
            const time_point finish = finish_time();
            const time_point saved_at = checkpoint_end();
            status.run += std::chrono::round<milliseconds>((until - m_time) / divisor());
            m_time = until;
            if (until >= finish) {
                status.run = m_task.run_time;
                status.state = task_state::finished;
            }
            else if (until >= m_lease_until) {
                status.state = task_state::stopped;
            }
            else if (until >= saved_at) {
                status.saved = status.run;
                status.state = task_state::running;
            }
        }

        const task& m_task;
        milliseconds m_checkpoint_time;
        time_point m_time{};
        time_point m_lease_until = time_point::max();
        time_point m_checkpoint_from{};
    };

    static bool active(task_state state)
    {
        return state == task_state::running || state == task_state::checkpointing ||
               state == task_state::throttled;
    }

    [[nodiscard]] task_status status_at(const task& subject, time_point when) const
    {
        task_replay replayed(subject, checkpoint_time);
        for (const timed_command& each : subject.commands) {
            if (each.received <= when) {
                replayed.apply(each);
            }
        }
        replayed.advance(when);
        return replayed.status;
    }

    task* find_active(const task_command& request, time_point now)
    {
        for (task& each : m_tasks) {
            const task_command& first = each.commands.front().request;
            if (first.job == request.job && first.worker == request.worker &&
                active(status_at(each, now).state)) {
                return &each;
            }
        }
        return nullptr;
    }

    [[nodiscard]] task make_task(const task_command& request, const std::string& operation,
                                 time_point now) const
    {
        task created{.started_by = operation,
                     .run_time = default_run_time,
                     .fails = failing_workers.contains(request.worker.str())};
        if (const auto found = run_times.find(request.job.str()); found != run_times.end()) {
            created.run_time = found->second;
        }
        for (const task& each : m_tasks) {
            if (each.commands.front().request.job == request.job) {
                created.resumed_from = std::max(created.resumed_from, status_at(each, now).saved);
            }
        }
        return created;
    }

    std::vector<task> m_tasks;
    operation_fence m_fence;
};

} // namespace plantaindoor::stand_in
