#include "plantaindoor/process/request_metrics.hpp"

namespace plantaindoor::process {

request_metrics::request_metrics(metrics_registry& registry)
    : m_retries(registry.counter({.name = "retries_total", .help = "Attempts after the first."}))
{
    for (const auto& priority : enum_names<version::priority>::table) {
        const auto row = static_cast<std::size_t>(priority.value);
        m_seconds.at(row) =
            &registry.summary({.name = "request_seconds",
                               .help = "Time from a request's arrival to its answer.",
                               .labels = {{"priority", std::string(priority.name)}}});
        for (const auto& outcome : enum_names<request::outcome>::table) {
            m_requests.at(row).at(static_cast<std::size_t>(outcome.value)) =
                &registry.counter({.name = "requests_total",
                                   .help = "Requests answered, by what the caller was told.",
                                   .labels = {{"priority", std::string(priority.name)},
                                              {"outcome", std::string(outcome.name)}}});
        }
    }
}

void request_metrics::record(const ended_request& ended)
{
    const auto row = static_cast<std::size_t>(ended.priority);
    m_seconds.at(row)->record(ended.duration);
    m_requests.at(row).at(static_cast<std::size_t>(ended.told))->add();
    if (ended.attempts > 1) {
        m_retries.add(ended.attempts - 1);
    }
}

} // namespace plantaindoor::process
