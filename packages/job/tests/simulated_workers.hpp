// A scheduler with simulated workers on which tasks slow each other down or the worker is slow.
#pragma once

#include "plantaindoor/job/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::job {

/// Advances in steps of 50 ms; workers report at the end of a run and twice a second.
class simulated_workers {
public:
    struct run {
        run_name name;
        step_spec step;
        double work_ms = 0;
        double done = 0;
        std::uint32_t share = 100;
    };
    struct worker {
        double slow_down = 1;
        std::vector<run> runs;
        std::vector<ended_run> ended;
        std::uint64_t sequence = 0;
        time_point next_report{};
    };

    simulated_workers(std::size_t count, scheduler_options options, std::uint64_t seed = 1)
        : subject(options, time_point(seconds(1000))), random(seed)
    {
        subject.set_queues({{.name = "q", .service = service_id("s"), .max_attempts = 2},
                            {.name = "urgent", .service = service_id("s"), .max_attempts = 2},
                            {.name = "later", .service = service_id("s"), .priority = 3}});
        for (std::size_t number = 0; number < count; ++number) {
            const instance_id id(fmt::format("w{:02}", number));
            subject.note_worker_listed({.id = id,
                                        .service = service_id("s"),
                                        .address = id.str(),
                                        .capacity = {.cpu_millis = 4000, .memory_mb = 4000}},
                                       now);
            workers[id];
        }
        subject.note_live_workers({}, list_extent::complete, now);
        advance(milliseconds(100));
    }

    job_id submit(step_spec step, const std::string& queue = "later")
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(std::move(step));
        job_id id(fmt::format("j{:06}", ++m_jobs));
        subject.submit(id, {.queue = queue, .spec = std::move(spec), .at = now});
        return id;
    }

    void advance(milliseconds time)
    {
        for (const time_point until = now + time; now < until;) {
            now += tick;
            for (auto& [id, each] : workers) {
                advance_worker(id, each);
            }
            apply(subject.plan(now, wall_time{}));
            for (decision& each : subject.take_decisions()) {
                decisions.push_back(std::move(each));
            }
        }
    }

    /// Number of starts of an image ("" counts all) on a worker.
    std::size_t starts_on(const instance_id& id, const std::string& image = "")
    {
        return starts[{id, image}];
    }
    /// Mean slow-down of the measured runs, by time, since the last call.
    double take_mean_slow_down()
    {
        const double mean = m_slow_down_sum / std::max(m_slow_down_count, 1.0);
        m_slow_down_sum = 0;
        m_slow_down_count = 0;
        return mean;
    }
    double slow_down_of(const worker& on, const run& slowed) const
    {
        double factor = on.slow_down;
        for (const run& other : on.runs) {
            const auto found = slow_downs.find({slowed.step.image, other.step.image});
            if (found != slow_downs.end() && other.name != slowed.name) {
                factor = std::max(factor, 1 + (found->second - 1) * other.share / 100.0);
            }
        }
        return factor;
    }

    static constexpr milliseconds tick{50};
    time_point now{seconds(1000)};
    scheduler subject;
    std::map<instance_id, worker> workers;
    std::mt19937_64 random;
    std::map<std::pair<std::string, std::string>, double> slow_downs;
    std::map<std::pair<instance_id, std::string>, std::size_t> starts;
    std::vector<decision> decisions;
    std::vector<throttle_order> throttles;

private:
    void advance_worker(const instance_id& id, worker& each)
    {
        bool any_ended = false;
        for (run& running : each.runs) {
            if (!running.step.long_running) {
                const double factor = slow_down_of(each, running);
                running.done += double(tick.count()) / (running.work_ms * factor);
                any_ended = any_ended || running.done >= 1;
                m_slow_down_sum += factor;
                ++m_slow_down_count;
            }
        }
        if (any_ended || now >= each.next_report) {
            report(id, each);
        }
    }

    void report(const instance_id& id, worker& each)
    {
        each.next_report = now + milliseconds(500);
        worker_report sent{.worker_clock = milliseconds(1)};
        for (const run& running : each.runs) {
            if (running.done >= 1) {
                each.ended.push_back({.sequence = ++each.sequence,
                                      .run = running.name,
                                      .end_reason = run_end_reason::done});
            }
        }
        std::erase_if(each.runs, [](const run& running) { return running.done >= 1; });
        for (const run& running : each.runs) {
            const auto target = running.step.tail_target.count();
            sent.running.push_back(
                {.run = running.name,
                 .percent = running.step.long_running ? 100 : std::uint32_t(running.done * 100),
                 .load = std::int64_t(double(target) / 2 * slow_down_of(each, running))});
        }
        sent.ended.runs = each.ended;
        subject.note_report(id, sent, now - milliseconds(2), now);
        (void)subject.begin_persist();
        subject.note_persisted();
        each.ended.clear();
    }

    void apply(const orders& given)
    {
        for (const start_order& each : given.starts) {
            const step_spec& step = each.spec->steps[each.run.task.step];
            const double unevenness = std::uniform_real_distribution<double>(0.7, 1.3)(random);
            workers[each.worker].runs.push_back(
                {.name = each.run,
                 .step = step,
                 .work_ms = double(step.estimate.count()) * unevenness});
            ++starts[{each.worker, ""}];
            ++starts[{each.worker, step.image}];
            subject.note_start(each.worker, each.run, order_answer::accepted, now);
        }
        for (const stop_order& each : given.stops) {
            std::erase_if(workers[each.worker].runs,
                          [&](const run& running) { return running.name == each.run; });
            subject.note_stop(each.worker, each.run, order_answer::accepted, now);
        }
        for (const throttle_order& each : given.throttles) {
            throttles.push_back(each);
            for (run& running : workers[each.worker].runs) {
                running.share = running.name == each.run ? each.percent : running.share;
            }
        }
    }

    std::uint64_t m_jobs = 0;
    double m_slow_down_sum = 0;
    double m_slow_down_count = 0;
};

} // namespace plantaindoor::job
