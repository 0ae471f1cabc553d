// Shows operators how many jobs wait for a run, by service.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/job/job_waits.hpp"

#include <map>

namespace plantaindoor::fleet {

/// Gauges of one shard's leader. Not thread-safe.
class job_wait_gauges {
public:
    /// The registry must outlive the gauges.
    job_wait_gauges(metrics_registry& metrics, shard_number shard)
        : m_metrics(metrics), m_shard(shard)
    {
    }
    job_wait_gauges(const job_wait_gauges&) = delete;
    job_wait_gauges& operator=(const job_wait_gauges&) = delete;
    /// Sets them to zero: the shard's next leader counts from now on.
    ~job_wait_gauges();

    void set(const std::map<service_id, job::service_waits>& waits);

private:
    struct service_gauges {
        metric_gauge* jobs = nullptr;
        metric_gauge* longest = nullptr;
    };

    service_gauges& gauges_of(const service_id& service);

    metrics_registry& m_metrics;
    shard_number m_shard;
    std::map<service_id, service_gauges> m_gauges;
};

} // namespace plantaindoor::fleet
