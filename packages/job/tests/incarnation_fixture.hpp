// A scheduler and workers whose incarnations start at known times.
#pragma once

#include "plantaindoor/job/scheduler.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::job::testing {

inline constexpr time_point start{std::chrono::hours(1)};
inline const service_id checks{"checks"};
inline const instance_id w1{"w1"};
inline const instance_id w2{"w2"};
inline constexpr wall_time first_start{milliseconds(1'700'000'000'000)};
inline constexpr wall_time second_start = first_start + seconds(30);
inline const step_spec small_step{.count = 1, .need = {.cpu_millis = 100, .memory_mb = 1}};

/// A scheduler and a worker that has answered it as its first incarnation.
struct incarnation_fixture {
    scheduler subject{{.lease = milliseconds(5000), .predecessor_grace = milliseconds(0)}, start};
    time_point now = start + seconds(60);

    incarnation_fixture()
    {
        subject.set_queues({{.name = "q", .service = checks, .max_attempts = 2, .stretch = 2}});
        list(w1, first_start);
        report(w1, {.worker_clock = seconds(100), .started_at = first_start});
    }

    static worker_listing listing(const instance_id& worker, std::optional<wall_time> started_at)
    {
        return {.id = worker,
                .service = checks,
                .address = worker.str() + ":80",
                .machine = "machine of " + worker.str(),
                .capacity = {.cpu_millis = 4000, .memory_mb = 4000},
                .started_at = started_at};
    }

    void list(const instance_id& worker, std::optional<wall_time> started_at)
    {
        subject.note_worker_listed(listing(worker, started_at), now);
    }

    /// Applies a report that was requested a moment before.
    void report(const instance_id& worker, const worker_report& result)
    {
        now += milliseconds(10);
        subject.note_report(worker, result, now - milliseconds(5), now);
    }

    /// Lists a second worker, which answers too.
    void add_worker()
    {
        list(w2, first_start);
        report(w2, {.worker_clock = seconds(100), .started_at = first_start});
    }

    job_id submit(const std::string& id, step_spec step = small_step)
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps.push_back(std::move(step));
        subject.submit(job_id(id), {.queue = "q", .spec = std::move(spec), .at = now});
        return job_id(id);
    }

    /// Plans without answering any order.
    orders plan()
    {
        now += milliseconds(10);
        return subject.plan(now, wall_time{});
    }

    /// Plans, and accepts all starts.
    std::vector<start_order> start_tasks()
    {
        std::vector<start_order> starts = plan().starts;
        for (const start_order& each : starts) {
            subject.note_start(each.worker, each.run, order_answer::accepted, now);
        }
        return starts;
    }

    void persist()
    {
        static_cast<void>(subject.begin_persist());
        subject.note_persisted();
    }

    [[nodiscard]] const worker_record& worker(const instance_id& id = w1) const
    {
        return subject.workers().at(id);
    }
};

inline worker_report report_of(std::optional<wall_time> started_at, milliseconds worker_clock,
                               std::vector<run_name> running = {},
                               std::vector<ended_run> ended = {})
{
    worker_report report{
        .worker_clock = worker_clock, .started_at = started_at, .ended = {std::move(ended)}};
    for (run_name& each : running) {
        report.running.push_back({.run = std::move(each), .percent = 100});
    }
    return report;
}

} // namespace plantaindoor::job::testing
