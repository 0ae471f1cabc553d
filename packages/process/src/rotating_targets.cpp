#include "plantaindoor/process/rotating_targets.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

namespace {

constexpr milliseconds retry_advice{1000};

template<class Value>
bool contains(const std::vector<Value>& values, const Value& value)
{
    return std::ranges::find(values, value) != values.end();
}

} // namespace

const version::instance* rotating_targets::choose(const version::fleet& fleet,
                                                  const service_id& service,
                                                  const request::tried_targets& tried)
{
    const auto found = fleet.services.find(service);
    if (found == fleet.services.end()) {
        return nullptr;
    }
    std::vector<const version::instance*> other_racks;
    std::vector<const version::instance*> same_racks;
    for (const auto& [id, instance] : fleet.instances) {
        const bool usable = instance.state == version::instance_state::admitted &&
                            contains(found->second.pools, instance.pool) &&
                            !contains(tried.instances, id);
        if (usable) {
            (contains(tried.racks, instance.rack) ? same_racks : other_racks).push_back(&instance);
        }
    }
    const auto& best = other_racks.empty() ? same_racks : other_racks;
    return best.empty() ? nullptr : best[m_last_choice++ % best.size()];
}

request::ticket_id rotating_targets::submit(const request::caller_request& request,
                                            const request::tried_targets& tried, callback done)
{
    const request::ticket_id ticket{++m_last_ticket};
    const auto fleet = m_log.current();
    const version::instance* const target = choose(*fleet, request.service, tried);
    target_offer offer;
    if (target == nullptr) {
        offer.refused = std::make_shared<request::no_target_refusal>(request.service, retry_advice);
    }
    else {
        ++m_in_progress[target->id];
        offer.grant.ticket = ticket;
        offer.grant.target = target->id;
        offer.grant.rack = target->rack;
        offer.grant.address = target->address;
        offer.grant.port = target->port;
    }
    done(std::move(offer));
    return ticket;
}

void rotating_targets::cancel(request::ticket_id /*ticket*/) {}

void rotating_targets::release(const request::target_grant& grant,
                               request::attempt_result /*result*/)
{
    const auto found = m_in_progress.find(grant.target);
    if (--found->second == 0) {
        m_in_progress.erase(found);
    }
}

std::vector<instance_id> rotating_targets::busy_targets() const
{
    std::vector<instance_id> busy;
    for (const auto& [id, count] : m_in_progress) {
        busy.push_back(id);
    }
    return busy;
}

} // namespace plantaindoor::process
