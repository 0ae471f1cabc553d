// Tasks on workers under leases. A task is the list of commands that it received; its state at any
// moment is computed from them, so that a lagging report is a reading at an earlier moment.
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

/// A task's state at one moment.
struct task_reading {
    task_state state = task_state::running;
    milliseconds run{0};
    /// The part of `run` that a checkpoint has saved: a later start of the job resumes from there.
    milliseconds saved{0};
    /// The operation that started it.
    std::string started_by;
};

/// A throttled task progresses at a quarter of its speed.
inline constexpr int throttle_divisor = 4;

/// Not synchronised. A `start` for a task that is running renews its lease; so do `resume` and
/// `throttle` with a lease, which start no task. A `stop` where nothing runs fences older epochs.
class task_board {
public:
    milliseconds lag{0};
    milliseconds default_run_time{5000};
    milliseconds checkpoint_time{100};
    /// Run times of individual jobs, overriding the default.
    std::map<std::string, milliseconds> run_times;
    /// Workers that fail every task as soon as it starts.
    std::set<std::string> failing_workers;

    operation_answer command(const task_command& what, const std::string& operation,
                             std::uint64_t epoch, time_point now)
    {
        task* running = find_active(what, now);
        const bool needs_task =
            what.action != task_action::start && what.action != task_action::stop;
        if (running == nullptr && needs_task) {
            return m_fence.done(operation) ? operation_answer::already_done
                                           : operation_answer::unknown_subject;
        }
        const operation_answer answer = m_fence.admit(operation, what.job.str(), epoch);
        if (answer != operation_answer::started) {
            return answer;
        }
        if (running == nullptr && what.action == task_action::stop) {
            return answer;
        }
        if (running == nullptr) {
            m_tasks.push_back(make_task(what, operation, now));
            running = &m_tasks.back();
        }
        running->commands.push_back({now, what});
        return answer;
    }

    /// Every task's report as it was `lag` ago.
    [[nodiscard]] std::vector<std::pair<task_command, task_reading>> reports(time_point now) const
    {
        std::vector<std::pair<task_command, task_reading>> all;
        for (const task& each : m_tasks) {
            if (each.commands.front().at <= now - lag) {
                all.emplace_back(each.commands.front().what, reading(each, now - lag));
            }
        }
        return all;
    }

private:
    struct timed_command {
        time_point at{};
        task_command what;
    };

    struct task {
        std::vector<timed_command> commands;
        std::string started_by;
        milliseconds run_time{0};
        milliseconds resumed_from{0};
        bool fails = false;
    };

    /// Replays a task's commands to compute its state over time.
    class replay {
    public:
        replay(const task& subject, milliseconds checkpoint_time)
            : m_task(subject), m_checkpoint_time(checkpoint_time)
        {
            now.run = subject.resumed_from;
            now.saved = subject.resumed_from;
            now.started_by = subject.started_by;
            m_at = subject.commands.front().at;
        }

        void advance(time_point until)
        {
            while (active(now.state) && m_at < until) {
                step(std::min({until, m_lease_until, finish_time(), checkpoint_end()}));
            }
        }

        void apply(const timed_command& command)
        {
            advance(command.at);
            if (!active(now.state)) {
                return;
            }
            m_at = command.at;
            switch (command.what.action) {
            case task_action::start:
                m_lease_until = command.at + milliseconds(command.what.lease_ms);
                now.state = m_task.fails ? task_state::failed : now.state;
                return;
            case task_action::checkpoint:
                now.state = task_state::checkpointing;
                m_checkpoint_from = command.at;
                return;
            case task_action::throttle:
                now.state = task_state::throttled;
                renew(command);
                return;
            case task_action::resume:
                now.state = task_state::running;
                renew(command);
                return;
            case task_action::stop:
                now.state = task_state::stopped;
                return;
            }
        }

        task_reading now;

    private:
        void renew(const timed_command& command)
        {
            if (command.what.lease_ms != 0) {
                m_lease_until = command.at + milliseconds(command.what.lease_ms);
            }
        }

        [[nodiscard]] int divisor() const
        {
            return now.state == task_state::throttled ? throttle_divisor : 1;
        }

        [[nodiscard]] time_point finish_time() const
        {
            return m_at + (m_task.run_time - now.run) * divisor();
        }

        [[nodiscard]] time_point checkpoint_end() const
        {
            return now.state == task_state::checkpointing ? m_checkpoint_from + m_checkpoint_time
                                                          : time_point::max();
        }

        void step(time_point until)
        {
            const time_point finish = finish_time();
            const time_point saved_at = checkpoint_end();
            now.run += std::chrono::round<milliseconds>((until - m_at) / divisor());
            m_at = until;
            if (until >= finish) {
                now.run = m_task.run_time;
                now.state = task_state::finished;
            }
            else if (until >= m_lease_until) {
                now.state = task_state::stopped;
            }
            else if (until >= saved_at) {
                now.saved = now.run;
                now.state = task_state::running;
            }
        }

        const task& m_task;
        milliseconds m_checkpoint_time;
        time_point m_at{};
        time_point m_lease_until = time_point::max();
        time_point m_checkpoint_from{};
    };

    static bool active(task_state state)
    {
        return state == task_state::running || state == task_state::checkpointing ||
               state == task_state::throttled;
    }

    [[nodiscard]] task_reading reading(const task& subject, time_point when) const
    {
        replay play(subject, checkpoint_time);
        for (const timed_command& each : subject.commands) {
            if (each.at <= when) {
                play.apply(each);
            }
        }
        play.advance(when);
        return play.now;
    }

    task* find_active(const task_command& what, time_point now)
    {
        for (task& each : m_tasks) {
            const task_command& first = each.commands.front().what;
            if (first.job == what.job && first.worker == what.worker &&
                active(reading(each, now).state)) {
                return &each;
            }
        }
        return nullptr;
    }

    [[nodiscard]] task make_task(const task_command& what, const std::string& operation,
                                 time_point now) const
    {
        task fresh{.started_by = operation,
                   .run_time = default_run_time,
                   .fails = failing_workers.contains(what.worker.str())};
        if (const auto set = run_times.find(what.job.str()); set != run_times.end()) {
            fresh.run_time = set->second;
        }
        for (const task& each : m_tasks) {
            if (each.commands.front().what.job == what.job) {
                fresh.resumed_from = std::max(fresh.resumed_from, reading(each, now).saved);
            }
        }
        return fresh;
    }

    std::vector<task> m_tasks;
    operation_fence m_fence;
};

} // namespace plantaindoor::stand_in
