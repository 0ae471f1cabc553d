#include "peer_messages.hpp"

#include <algorithm>
#include <chrono>

namespace plantaindoor::connection {

namespace {

/// Ages over a day are all the same; the limit keeps foreign figures from overflowing.
constexpr std::uint64_t max_age_ms = 86'400'000;

milliseconds age_from(std::uint64_t value)
{
    return milliseconds(static_cast<std::int64_t>(std::min(value, max_age_ms)));
}

std::uint64_t age_to(milliseconds age)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

void demand_to(peer::demand_report& out, const request::demand_report& report)
{
    out.set_entry(report.entry.str());
    out.set_incarnation(report.incarnation);
    out.set_sequence(report.sequence);
    out.set_zone(report.zone.str());
    for (const request::service_demand& each : report.services) {
        peer::service_demand& service = *out.add_services();
        service.set_service(each.service.str());
        service.set_in_progress(each.in_progress);
        service.set_waiting(each.waiting);
    }
}

request::demand_report demand_from(const peer::demand_report& in)
{
    request::demand_report report{.entry = entry_id(in.entry()),
                                  .incarnation = in.incarnation(),
                                  .sequence = in.sequence(),
                                  .zone = availability_zone_id(in.zone())};
    for (const peer::service_demand& each : in.services()) {
        report.services.push_back({.service = service_id(each.service()),
                                   .in_progress = each.in_progress(),
                                   .waiting = each.waiting()});
    }
    return report;
}

} // namespace

peer::exchange_message to_wire(const peer_message& message, const std::string& cluster)
{
    peer::exchange_message out;
    out.set_cluster(cluster);
    out.set_entry(message.entry.str());
    out.set_incarnation(message.incarnation);
    out.set_version(message.version);
    out.set_version_before(message.version_before);
    for (const std::string& each : message.records) {
        out.add_records(each);
    }
    out.set_snapshot(message.snapshot);
    for (const request::demand_report& each : message.demand) {
        demand_to(*out.add_demand(), each);
    }
    out.set_head_known(message.head_age.has_value());
    out.set_head_age_ms(age_to(message.head_age.value_or(milliseconds(0))));
    out.set_serving(message.serving);
    for (const peer_heard& each : message.heard) {
        peer::heard_entry& heard = *out.add_heard();
        heard.set_entry(each.entry.str());
        heard.set_age_ms(age_to(each.age));
    }
    return out;
}

peer_message from_wire(const peer::exchange_message& in)
{
    peer_message message{.entry = entry_id(in.entry()),
                         .incarnation = in.incarnation(),
                         .version = in.version(),
                         .version_before = in.version_before(),
                         .records = {in.records().begin(), in.records().end()},
                         .snapshot = in.snapshot(),
                         .serving = in.serving()};
    for (const peer::demand_report& each : in.demand()) {
        message.demand.push_back(demand_from(each));
    }
    if (in.head_known()) {
        message.head_age = age_from(in.head_age_ms());
    }
    for (const peer::heard_entry& each : in.heard()) {
        message.heard.push_back({entry_id(each.entry()), age_from(each.age_ms())});
    }
    return message;
}

} // namespace plantaindoor::connection
