#include "plantaindoor/connection/traffic_meter.hpp"

namespace plantaindoor::connection {

void traffic_meter::add(std::string_view part, const traffic& bytes)
{
    counters& into = of(part);
    into.sent.add(bytes.sent);
    into.received.add(bytes.received);
    into.exchanges.add();
}

traffic_meter::counters& traffic_meter::of(std::string_view part)
{
    const auto known = m_parts.find(part);
    if (known != m_parts.end()) {
        return known->second;
    }
    const std::string name(part);
    const auto bytes = [&](const char* direction) -> metric_counter& {
        return m_metrics.counter({.name = "control_bytes_total",
                                  .help = "Bytes exchanged with the platform, by part.",
                                  .labels = {{"part", name}, {"direction", direction}}});
    };
    metric_counter& exchanges =
        m_metrics.counter({.name = "control_exchanges_total",
                           .help = "Calls to the platform that ended, by part.",
                           .labels = {{"part", name}}});
    return m_parts.emplace(name, counters{bytes("sent"), bytes("received"), exchanges})
        .first->second;
}

} // namespace plantaindoor::connection
