#include "plantaindoor/process/path_metrics.hpp"

#include <string>

namespace plantaindoor::process {

namespace {

void raise(metric_counter& counter, std::uint64_t count)
{
    counter.add(count - counter.value());
}

metric_counter& verdict_counter(metrics_registry& registry, const char* verdict)
{
    return registry.counter({.name = "claims_total",
                             .help = "Verdicts on claims of idempotency keys.",
                             .labels = {{"verdict", verdict}}});
}

metric_gauge& ejected_gauge(metrics_registry& registry, const std::string& service)
{
    return registry.gauge({.name = "ejected_targets",
                           .help = "Admitted targets that this entry has ejected.",
                           .labels = {{"service", service}}});
}

metric_counter& ejections_counter(metrics_registry& registry, const std::string& service)
{
    return registry.counter({.name = "ejections_total",
                             .help = "Ejections by this entry, failed probes included.",
                             .labels = {{"service", service}}});
}

constexpr const char* other_services = "(other)";

} // namespace

path_metrics::path_metrics(metrics_registry& registry)
    : m_registry(registry),
      m_granted(verdict_counter(registry, "granted")),
      m_replayed(verdict_counter(registry, "replayed")),
      m_refused(verdict_counter(registry, "refused")),
      m_unknown(verdict_counter(registry, "unknown")),
      m_transactions(registry.counter(
          {.name = "claim_transactions_total", .help = "Transactions of claims and their ends."})),
      m_rows(registry.counter(
          {.name = "claim_rows_total", .help = "Rows in the transactions of claims."})),
      m_unsettled(registry.gauge(
          {.name = "claims_unsettled", .help = "Claims and ends not settled in the table yet."})),
      m_other_ejected(ejected_gauge(registry, other_services)),
      m_other_ejections(ejections_counter(registry, other_services))
{
}

void path_metrics::read_claims(const request::claim_counts& counts, std::size_t unsettled)
{
    raise(m_granted, counts.granted);
    raise(m_replayed, counts.replayed);
    raise(m_refused, counts.refused - counts.unknown);
    raise(m_unknown, counts.unknown);
    raise(m_transactions, counts.transactions);
    raise(m_rows, counts.rows);
    m_unsettled.set(static_cast<double>(unsettled));
}

path_metrics::service_series& path_metrics::series_of(const service_id& service)
{
    const auto known = m_services.find(service);
    if (known != m_services.end()) {
        return known->second;
    }
    service_series& series = m_services[service];
    const bool own = m_services.size() <= most_services;
    series.ejected = own ? &ejected_gauge(m_registry, service.str()) : &m_other_ejected;
    series.ejections = own ? &ejections_counter(m_registry, service.str()) : &m_other_ejections;
    return series;
}

void path_metrics::read_ejections(const std::vector<request::service_ejections>& services)
{
    for (auto& [id, series] : m_services) {
        series.ejected->set(0);
    }
    for (const request::service_ejections& each : services) {
        service_series& series = series_of(each.service);
        series.ejected->add(static_cast<double>(each.ejected));
        const std::uint64_t before = each.ejections < series.last ? 0 : series.last;
        series.ejections->add(each.ejections - before);
        series.last = each.ejections;
    }
}

} // namespace plantaindoor::process
