#include "plantaindoor/process/dispatched_targets.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace plantaindoor::process {

dispatched_targets::dispatched_targets(event_loop& loop, version::change_log& log,
                                       instance_list& list,
                                       const dispatched_targets_options& options)
    : m_loop(loop),
      m_log(log),
      m_list(list),
      m_list_period(options.list_period),
      m_dispatcher(options.decisions)
{
}

dispatched_targets::~dispatched_targets()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_list_timer);
}

void dispatched_targets::start()
{
    m_dispatcher.update(m_log.current(), m_loop.now());
    m_load.update(m_log.current());
    m_log.subscribe([this](const version::fleet_ptr& fleet) {
        m_dispatcher.update(fleet, m_loop.now());
        m_load.update(fleet);
        carry_out();
    });
    read_list();
}

void dispatched_targets::read_list()
{
    m_list.list([this](const std::optional<std::vector<listed_instance>>& listed) {
        if (listed) {
            take_list(*listed);
        }
        m_list_timer = m_loop.call_after(m_list_period, [this] { read_list(); });
    });
}

void dispatched_targets::take_list(const std::vector<listed_instance>& listed)
{
    std::set<instance_id> leaving;
    for (const listed_instance& each : listed) {
        if (each.role == listed_role::target && each.state == listed_state::leaving) {
            leaving.insert(instance_id(each.id));
        }
    }
    m_dispatcher.set_leaving(std::move(leaving));
    carry_out();
}

request::ticket_id dispatched_targets::submit(const request::caller_request& request,
                                              const request::tried_targets& tried, callback done)
{
    request::ticket_id ticket = request::ticket_id::none;
    try {
        ticket = m_dispatcher.submit(request, tried, m_loop.now());
    }
    catch (const request::refusal& refused) {
        // What the caller is told is whole in the base.
        target_offer offer;
        offer.refused = std::make_shared<const request::refusal>(refused);
        done(std::move(offer));
        return ticket;
    }
    m_waiting.emplace(ticket, std::move(done));
    carry_out();
    return ticket;
}

void dispatched_targets::cancel(request::ticket_id ticket)
{
    if (m_waiting.erase(ticket) == 0) {
        return;
    }
    m_dispatcher.cancel(ticket);
    carry_out();
}

void dispatched_targets::hold(const request::target_grant& grant, request::attempt_result result)
{
    m_dispatcher.hold(grant.ticket, result, m_loop.now());
    carry_out();
}

void dispatched_targets::release(const request::target_grant& grant, request::attempt_result result)
{
    m_dispatcher.release(grant.ticket, result, m_loop.now());
    carry_out();
}

void dispatched_targets::may_still_run(const instance_id& target, time_point until)
{
    std::erase_if(m_may_still_run,
                  [now = m_loop.now()](const auto& each) { return each.second <= now; });
    time_point& last = m_may_still_run[target];
    last = std::max(last, until);
}

std::vector<instance_id> dispatched_targets::busy_targets() const
{
    const auto granted = m_dispatcher.busy_targets();
    std::set<instance_id> busy(granted.begin(), granted.end());
    for (const auto& [target, until] : m_may_still_run) {
        if (until > m_loop.now()) {
            busy.insert(target);
        }
    }
    return {busy.begin(), busy.end()};
}

void dispatched_targets::set_entries(std::vector<entry_id> live)
{
    m_dispatcher.set_entries(std::move(live), m_loop.now());
    carry_out();
}

void dispatched_targets::hear(const request::demand_report& report)
{
    m_dispatcher.hear(report, m_loop.now());
    m_load.hear(report, m_loop.now());
    carry_out();
}

std::vector<request::service_demand> dispatched_targets::report_demand()
{
    auto demand = m_dispatcher.report_demand(m_loop.now());
    m_load.reported(demand, m_loop.now());
    return demand;
}

double dispatched_targets::interactive_load(const pool_id& pool) const
{
    return m_load.of(pool, m_loop.now());
}

void dispatched_targets::carry_out()
{
    // Callbacks submit and release; what follows from that is carried out by the outer call.
    if (std::exchange(m_carrying_out, true)) {
        return;
    }
    for (auto actions = m_dispatcher.advance(m_loop.now()); !actions.empty();
         actions = m_dispatcher.advance(m_loop.now())) {
        for (request::dispatch_action& action : actions) {
            carry_out_one(std::move(action));
        }
    }
    m_carrying_out = false;
    set_timer();
}

void dispatched_targets::carry_out_one(request::dispatch_action action)
{
    target_offer offer;
    if (auto* grant = std::get_if<request::target_grant>(&action)) {
        const request::ticket_id ticket = grant->ticket;
        offer.grant = std::move(*grant);
        finish(ticket, std::move(offer));
        return;
    }
    auto& refused = std::get<request::ticket_refusal>(action);
    offer.refused = std::move(refused.why);
    finish(refused.ticket, std::move(offer));
}

void dispatched_targets::finish(request::ticket_id ticket, target_offer offer)
{
    const auto waiting = m_waiting.find(ticket);
    if (waiting == m_waiting.end()) {
        // Cancelled after the decision: nothing was sent.
        m_dispatcher.release(ticket, request::attempt_result::abandoned, m_loop.now());
        return;
    }
    const callback done = std::move(waiting->second);
    m_waiting.erase(waiting);
    done(std::move(offer));
}

void dispatched_targets::set_timer()
{
    m_loop.cancel(std::exchange(m_timer, timer_id::none));
    const time_point next = m_dispatcher.next_advance();
    if (next == time_point::max()) {
        return;
    }
    const nanoseconds delay = std::max<nanoseconds>(next - m_loop.now(), milliseconds{1});
    m_timer = m_loop.call_after(delay, [this] {
        m_timer = timer_id::none;
        carry_out();
    });
}

} // namespace plantaindoor::process
