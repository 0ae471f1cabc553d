// What is counted of the callers' requests.
#pragma once

#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/request/outcome.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <array>
#include <cstdint>

namespace plantaindoor::process {

/// One request that has its final answer.
struct ended_request {
    version::priority priority = version::priority::interactive;
    request::outcome told = request::outcome::not_run;
    std::uint32_t attempts = 0;
    nanoseconds duration{0};
};

/// Looks its metrics up once. Loop thread only; the registry must outlive it.
class request_metrics {
public:
    explicit request_metrics(metrics_registry& registry);

    void record(const ended_request& ended);

private:
    static constexpr std::size_t class_count = enum_names<version::priority>::table.size();
    static constexpr std::size_t outcome_count = enum_names<request::outcome>::table.size();

    std::array<metric_summary*, class_count> m_seconds{};
    std::array<std::array<metric_counter*, outcome_count>, class_count> m_requests{};
    metric_counter& m_retries;
};

} // namespace plantaindoor::process
