// Metrics of claims and ejections, taken over from the decisions' own counts at each reading.
#pragma once

#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/request/claim_batcher.hpp"
#include "plantaindoor/request/dispatcher.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace plantaindoor::process {

/// Loop thread only; the registry must outlive it.
class path_metrics {
public:
    /// Services with series of their own, in the order in which they were first seen; later ones
    /// share the series of the service "(other)", since a registry forgets no series.
    static constexpr std::size_t most_services = 300;

    explicit path_metrics(metrics_registry& registry);

    void read_claims(const request::claim_counts& counts, std::size_t unsettled);
    void read_ejections(const std::vector<request::service_ejections>& services);

private:
    struct service_series {
        metric_gauge* ejected = nullptr;
        metric_counter* ejections = nullptr;
        /// Ejections at the last reading; a service that was removed and comes anew begins at zero.
        std::uint64_t last = 0;
    };

    service_series& series_of(const service_id& service);

    metrics_registry& m_registry;
    metric_counter& m_granted;
    metric_counter& m_replayed;
    metric_counter& m_refused;
    metric_counter& m_unknown;
    metric_counter& m_transactions;
    metric_counter& m_rows;
    metric_gauge& m_unsettled;
    std::map<service_id, service_series> m_services;
    metric_gauge& m_other_ejected;
    metric_counter& m_other_ejections;
};

} // namespace plantaindoor::process
