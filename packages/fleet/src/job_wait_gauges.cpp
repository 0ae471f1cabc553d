#include "plantaindoor/fleet/job_wait_gauges.hpp"

#include <string>

namespace plantaindoor::fleet {

job_wait_gauges::~job_wait_gauges()
{
    for (const auto& [id, gauges] : m_gauges) {
        gauges.jobs->set(0);
        gauges.longest->set(0);
    }
}

void job_wait_gauges::set(const std::map<service_id, job::service_waits>& waits)
{
    for (const auto& [id, each] : waits) {
        const service_gauges& gauges = gauges_of(id);
        gauges.jobs->set(double(each.jobs));
        gauges.longest->set(std::chrono::duration<double>(each.longest).count());
    }
}

job_wait_gauges::service_gauges& job_wait_gauges::gauges_of(const service_id& service)
{
    const auto [at, is_new] = m_gauges.try_emplace(service);
    if (is_new) {
        const auto gauge = [&](const std::string& name, const std::string& help) {
            return &m_metrics.gauge(
                {name, help, {{"service", service.str()}, {"shard", std::to_string(m_shard)}}});
        };
        at->second = {.jobs = gauge("jobs_waiting_without_a_run",
                                    "Jobs with nothing running though a task's turn has come"),
                      .longest =
                          gauge("jobs_longest_wait_seconds", "Longest present wait of such a job")};
    }
    return at->second;
}

} // namespace plantaindoor::fleet
