// Follows how long jobs have had nothing running though a task's turn had come.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/worker.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace plantaindoor::job {

/// The jobs of a service that wait for a run.
struct service_waits {
    std::size_t jobs = 0;
    milliseconds longest{0};
};

/// A wait that has lasted for job_waits::report_delay, or the end of one that had.
struct wait_event {
    const job_record* job = nullptr;
    milliseconds waited{0};
    bool ended = false;
    /// The run that has ended the wait; nullopt if it is over.
    std::optional<std::pair<run_name, instance_id>> run;
    /// Events that were left out since the previous one.
    std::size_t omitted = 0;
};

/// Follows the open jobs without long-running tasks. Their number isn't bounded, so that only so
/// many begun waits a second are reported, but always the longest of each service; the end of a
/// reported wait is reported too. Not thread-safe.
class job_waits {
public:
    static constexpr milliseconds report_delay{2000};
    static constexpr std::size_t max_reports_per_second = 20;
    /// Bounds the processor time where rounds follow each other quickly.
    static constexpr milliseconds sample_interval{50};

    /// Whether the jobs are to be passed to follow() in this round; end_round() follows then.
    [[nodiscard]] bool begin_round(time_point now);
    /// Updates the wait of a job. A start that comes to nothing doesn't end it.
    void follow(job_record& job, const std::map<instance_id, worker_record>& workers,
                time_point now);
    /// Returns what is to be reported. The jobs must not have been removed since begin_round().
    [[nodiscard]] std::vector<wait_event> end_round();

    /// As of the last round, of each service that has had a waiting job.
    [[nodiscard]] std::map<service_id, service_waits> by_service() const;

private:
    struct service_state {
        service_id service;
        service_waits waits;
        job_record* longest = nullptr;
        /// The longest wait reported in this second.
        milliseconds longest_reported{0};
    };

    /// Index of a service's state.
    [[nodiscard]] std::size_t index_of(const service_id& service);
    void end_wait(job_record& job, std::optional<std::pair<run_name, instance_id>> run,
                  time_point now);
    /// Whether another event may be reported.
    [[nodiscard]] bool admit(std::size_t service, milliseconds waited);

    std::vector<service_state> m_services;
    time_point m_sampled{};
    time_point m_second_began{};
    std::size_t m_reported = 0;
    std::size_t m_omitted = 0;
    std::vector<wait_event> m_ended;
    /// Waits that have reached report_delay.
    std::vector<std::pair<milliseconds, job_record*>> m_due;
};

} // namespace plantaindoor::job
