// The figures of jobs that /metrics prints.
#pragma once

#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/process/job.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace plantaindoor::process {

/// How many jobs there are in each state.
using job_counts = std::map<job_state, std::size_t>;

/// Looks its metrics up once. Loop thread only; the registry must outlive it.
class job_metrics {
public:
    explicit job_metrics(metrics_registry& registry);

    void started(std::uint64_t runs) { m_starts.add(runs); }
    void failed() { m_failures.add(); }
    void finished(bool late);
    /// Of the jobs that are not over, in the pools held here.
    void set(const job_counts& counts);

private:
    static constexpr std::size_t state_count = enum_names<job_state>::table.size();

    std::array<metric_gauge*, state_count> m_jobs{};
    metric_counter& m_starts;
    metric_counter& m_failures;
    metric_counter& m_finished;
    metric_counter& m_late;
};

} // namespace plantaindoor::process
