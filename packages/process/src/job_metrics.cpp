#include "plantaindoor/process/job_metrics.hpp"

#include <string>

namespace plantaindoor::process {

job_metrics::job_metrics(metrics_registry& registry)
    : m_starts(registry.counter(
          {.name = "job_starts_total", .help = "Runs of jobs begun by this entry."})),
      m_failures(
          registry.counter({.name = "job_failures_total", .help = "Runs of jobs that failed."})),
      m_finished(
          registry.counter({.name = "jobs_finished_total", .help = "Jobs that ran to their end."})),
      m_late(registry.counter(
          {.name = "jobs_late_total", .help = "Jobs that ended after their deadline."}))
{
    for (const auto& each : enum_names<job_state>::table) {
        if (!is_over(each.value)) {
            m_jobs.at(static_cast<std::size_t>(each.value)) =
                &registry.gauge({.name = "jobs",
                                 .help = "Jobs of the pools whose duty this entry holds.",
                                 .labels = {{"state", std::string(each.name)}}});
        }
    }
}

void job_metrics::finished(bool late)
{
    m_finished.add();
    m_late.add(late ? 1 : 0);
}

void job_metrics::set(const job_counts& counts)
{
    for (std::size_t at = 0; at < m_jobs.size(); ++at) {
        if (m_jobs.at(at) != nullptr) {
            const auto found = counts.find(static_cast<job_state>(at));
            m_jobs.at(at)->set(found == counts.end() ? 0 : static_cast<double>(found->second));
        }
    }
}

} // namespace plantaindoor::process
