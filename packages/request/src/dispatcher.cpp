#include "plantaindoor/request/dispatcher.hpp"

#include "plantaindoor/request/admission.hpp"
#include "plantaindoor/request/router.hpp"
#include "plantaindoor/request/slot_shares.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace plantaindoor::request {

namespace {

/// Changed shares are taken into account at most this often.
constexpr milliseconds share_refresh_interval{50};
/// How many waiting requests are tried where the first ones can't use the free slots.
constexpr std::size_t look_ahead = 16;
/// When a service has no usable target in the plan, a change of the plan is awaited.
constexpr milliseconds plan_change_time{1000};

bool occupied_slot(attempt_result result)
{
    return result == attempt_result::answered || result == attempt_result::failed ||
           result == attempt_result::timed_out;
}

router_options routing_of(const dispatcher_options& options)
{
    return {.zone = options.zone, .seed = options.seed};
}

admission_options admission_of(const dispatcher_options& options)
{
    return {.max_waiting_per_service = options.max_waiting_per_service,
            .max_waiting = options.max_waiting,
            .max_waiting_bytes = options.max_waiting_bytes,
            .starvation_limit = options.starvation_limit};
}

} // namespace

class dispatcher::state {
public:
    state(const dispatcher_options& options, std::unique_ptr<slot_shares> shares)
        : m_self(options.self),
          m_admission(admission_of(options)),
          m_router(routing_of(options), std::move(shares))
    {
    }

    void update(version::fleet_ptr fleet, time_point now);
    void set_leaving(std::set<instance_id> leaving);
    void set_entries(std::vector<entry_id> live, time_point now);
    void hear(const demand_report& report, time_point now);
    std::vector<service_demand> report_demand(time_point now);
    ticket_id submit(const caller_request& request, const tried_targets& tried, time_point now);
    void cancel(ticket_id ticket);
    void hold(ticket_id ticket, attempt_result result, time_point now);
    void release(ticket_id ticket, attempt_result result, time_point now);
    std::vector<dispatch_action> advance(time_point now);
    [[nodiscard]] time_point next_advance() const;
    [[nodiscard]] const router& routes() const { return m_router; }

private:
    struct waiting_ticket {
        service_id service;
        bool idempotent = false;
        tried_targets tried;
    };
    struct granted_ticket {
        service_id service;
        target_index target = 0;
        time_point since{};
        /// The attempt has ended; only the slot is still taken.
        bool held = false;
    };

    void end_attempt(ticket_id ticket, const granted_ticket& granted, attempt_result result,
                     time_point now);
    void wake(const service_id& service) { m_awake.insert(service); }
    void wake_all();
    void refuse(ticket_refusal refused);
    void refuse_without_target();
    void refuse_late(time_point now);
    void refresh_shares(time_point now);
    void grant_starved(time_point now);
    void grant_class(version::priority priority, time_point now);
    bool grant_one(const service_id& service, version::priority priority, time_point now);
    bool try_grant(ticket_id ticket, time_point now);

    entry_id m_self;
    admission m_admission;
    router m_router;
    version::fleet_ptr m_fleet = std::make_shared<version::fleet>();
    std::unordered_map<ticket_id, waiting_ticket> m_waiting;
    std::unordered_map<ticket_id, granted_ticket> m_granted;
    /// Waiting tickets that must not go to some targets.
    std::set<ticket_id> m_choosy;
    /// Services for which something may be granted.
    std::set<service_id> m_awake;
    std::vector<dispatch_action> m_actions;
    time_point m_shares_refreshed{};
    bool m_shares_pending = false;
    bool m_plan_changed = false;
    std::uint64_t m_last_ticket = 0;
};

void dispatcher::state::wake_all()
{
    const auto& waiting = m_admission.services_waiting();
    m_awake.insert(waiting.begin(), waiting.end());
}

void dispatcher::state::update(version::fleet_ptr fleet, time_point now)
{
    m_fleet = std::move(fleet);
    m_router.update(*m_fleet, now);
    m_admission.update(*m_fleet);
    m_plan_changed = true;
    wake_all();
}

void dispatcher::state::set_leaving(std::set<instance_id> leaving)
{
    m_router.set_leaving(std::move(leaving));
    m_plan_changed = true;
    wake_all();
}

void dispatcher::state::set_entries(std::vector<entry_id> live, time_point now)
{
    if (std::ranges::find(live, m_self) == live.end()) {
        live.push_back(m_self);
    }
    m_admission.set_entry_count(live.size());
    m_router.set_entries(live, now);
    wake_all();
}

void dispatcher::state::hear(const demand_report& report, time_point now)
{
    m_router.shares().hear(report, now);
    m_shares_pending = true;
}

std::vector<service_demand> dispatcher::state::report_demand(time_point now)
{
    std::vector<service_demand> result;
    for (const auto& [id, service] : m_fleet->services) {
        const waiting_counts waiting = m_admission.waiting_of(id);
        service_demand demand{.service = id, .in_progress = m_admission.granted_of(id)};
        for (const std::size_t count : waiting) {
            demand.waiting += static_cast<std::uint32_t>(count);
        }
        if (demand.in_progress + demand.waiting > 0) {
            result.push_back(std::move(demand));
        }
    }
    m_router.shares().reported(result, now);
    m_shares_pending = true;
    return result;
}

ticket_id dispatcher::state::submit(const caller_request& request, const tried_targets& tried,
                                    time_point now)
{
    if (!m_router.knows(request.service)) {
        throw unknown_service_refusal(request.service);
    }
    if (!m_router.has_untried(request.service, tried)) {
        throw no_target_refusal(request.service, plan_change_time);
    }
    const bool is_retry = !tried.instances.empty() || !tried.racks.empty();
    const auto ticket = static_cast<ticket_id>(m_last_ticket + 1);
    auto evicted =
        m_admission.enqueue(ticket, request, is_retry, m_router.capacity(request.service), now);
    ++m_last_ticket;
    for (ticket_refusal& each : evicted) {
        refuse(std::move(each));
    }
    m_waiting.emplace(ticket, waiting_ticket{.service = request.service,
                                             .idempotent = request.idempotent,
                                             .tried = tried});
    if (is_retry) {
        m_choosy.insert(ticket);
    }
    wake(request.service);
    return ticket;
}

void dispatcher::state::cancel(ticket_id ticket)
{
    if (m_waiting.erase(ticket) > 0) {
        m_choosy.erase(ticket);
        m_admission.finished(ticket, std::nullopt);
    }
}

void dispatcher::state::end_attempt(ticket_id ticket, const granted_ticket& granted,
                                    attempt_result result, time_point now)
{
    const nanoseconds duration = now - granted.since;
    m_router.end_attempt(granted.target, granted.service, result, duration, now);
    m_admission.finished(ticket, occupied_slot(result) ? std::optional(duration) : std::nullopt);
}

void dispatcher::state::hold(ticket_id ticket, attempt_result result, time_point now)
{
    const auto found = m_granted.find(ticket);
    if (found == m_granted.end() || found->second.held) {
        return;
    }
    found->second.held = true;
    end_attempt(ticket, found->second, result, now);
    for (const service_id& service : m_router.services_at(found->second.target)) {
        wake(service);
    }
}

void dispatcher::state::release(ticket_id ticket, attempt_result result, time_point now)
{
    const auto found = m_granted.find(ticket);
    if (found == m_granted.end()) {
        return;
    }
    const granted_ticket granted = std::move(found->second);
    m_granted.erase(found);
    m_router.free_slot(granted.target);
    if (!granted.held) {
        end_attempt(ticket, granted, result, now);
    }
    for (const service_id& service : m_router.services_at(granted.target)) {
        wake(service);
    }
}

void dispatcher::state::refuse(ticket_refusal refused)
{
    m_waiting.erase(refused.ticket);
    m_choosy.erase(refused.ticket);
    m_actions.emplace_back(std::move(refused));
}

void dispatcher::state::refuse_without_target()
{
    std::vector<ticket_id> suspects(m_choosy.begin(), m_choosy.end());
    if (std::exchange(m_plan_changed, false)) {
        suspects.clear();
        for (const auto& [ticket, waiting] : m_waiting) {
            suspects.push_back(ticket);
        }
        std::ranges::sort(suspects);
    }
    for (const ticket_id ticket : suspects) {
        const waiting_ticket& waiting = m_waiting.at(ticket);
        if (m_router.has_untried(waiting.service, waiting.tried)) {
            continue;
        }
        m_admission.finished(ticket, std::nullopt);
        refuse({ticket, std::make_shared<no_target_refusal>(waiting.service, plan_change_time)});
    }
}

void dispatcher::state::refuse_late(time_point now)
{
    const bool due = m_admission.next_expiry() <= now;
    const std::set<service_id> affected = due ? m_admission.services_waiting() : m_awake;
    for (const service_id& service : affected) {
        auto late = m_admission.expire(service, m_router.capacity(service), now);
        for (ticket_refusal& each : late) {
            refuse(std::move(each));
        }
    }
}

void dispatcher::state::refresh_shares(time_point now)
{
    if (now - m_shares_refreshed < share_refresh_interval) {
        return;
    }
    m_shares_refreshed = now;
    m_shares_pending = false;
    m_router.refresh_shares(now);
    wake_all();
}

bool dispatcher::state::try_grant(ticket_id ticket, time_point now)
{
    const auto waiting = m_waiting.find(ticket);
    const auto chosen = m_router.choose({.service = waiting->second.service,
                                         .idempotent = waiting->second.idempotent,
                                         .tried = &waiting->second.tried},
                                        now);
    if (!chosen) {
        return false;
    }
    const target_state& target = m_router.target(*chosen);
    m_admission.granted(ticket, now);
    m_granted.emplace(
        ticket,
        granted_ticket{.service = waiting->second.service, .target = *chosen, .since = now});
    m_waiting.erase(waiting);
    m_choosy.erase(ticket);
    m_actions.emplace_back(target_grant{.ticket = ticket,
                                        .target = target.id,
                                        .rack = target.rack,
                                        .address = target.address,
                                        .port = target.port});
    return true;
}

bool dispatcher::state::grant_one(const service_id& service, version::priority priority,
                                  time_point now)
{
    std::size_t tried = 0;
    for (const ticket_id ticket : m_admission.waiting(service, priority)) {
        if (try_grant(ticket, now)) {
            return true;
        }
        if (++tried == look_ahead ||
            m_router.capacity(service).in_use == m_router.capacity(service).slots) {
            return false;
        }
    }
    return false;
}

void dispatcher::state::grant_starved(time_point now)
{
    for (const service_id& service : m_awake) {
        const auto order = m_admission.order(service, m_router.capacity(service), now);
        if (order.size() > 1 && order[0] > order[1]) {
            grant_one(service, order[0], now);
        }
    }
}

void dispatcher::state::grant_class(version::priority priority, time_point now)
{
    // One slot for each service in turn, so that none takes all slots of a shared pool.
    std::vector<service_id> turn(m_awake.begin(), m_awake.end());
    while (!turn.empty()) {
        std::erase_if(
            turn, [&](const service_id& service) { return !grant_one(service, priority, now); });
    }
}

std::vector<dispatch_action> dispatcher::state::advance(time_point now)
{
    refresh_shares(now);
    refuse_without_target();
    refuse_late(now);
    grant_starved(now);
    for (const auto& row : enum_names<version::priority>::table) {
        grant_class(row.value, now);
    }
    m_awake.clear();
    return std::exchange(m_actions, {});
}

time_point dispatcher::state::next_advance() const
{
    if (!m_actions.empty() || !m_awake.empty()) {
        return time_point::min();
    }
    time_point next = m_admission.next_expiry();
    if (m_shares_pending || !m_waiting.empty()) {
        next = std::min(next, m_shares_refreshed + share_refresh_interval);
    }
    return next;
}

dispatcher::dispatcher(const dispatcher_options& options)
    : dispatcher(options, make_demand_shares(
                              {.self = options.self, .report_lifetime = options.report_lifetime}))
{
}

dispatcher::dispatcher(const dispatcher_options& options, std::unique_ptr<slot_shares> shares)
    : m_state(std::make_unique<state>(options, std::move(shares)))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::update(version::fleet_ptr fleet, time_point now)
{
    m_state->update(std::move(fleet), now);
}

void dispatcher::set_leaving(std::set<instance_id> leaving)
{
    m_state->set_leaving(std::move(leaving));
}

void dispatcher::set_entries(std::vector<entry_id> live, time_point now)
{
    m_state->set_entries(std::move(live), now);
}

void dispatcher::hear(const demand_report& report, time_point now)
{
    m_state->hear(report, now);
}

std::vector<service_demand> dispatcher::report_demand(time_point now)
{
    return m_state->report_demand(now);
}

ticket_id dispatcher::submit(const caller_request& request, const tried_targets& tried,
                             time_point now)
{
    return m_state->submit(request, tried, now);
}

void dispatcher::cancel(ticket_id ticket)
{
    m_state->cancel(ticket);
}

void dispatcher::hold(ticket_id ticket, attempt_result result, time_point now)
{
    m_state->hold(ticket, result, now);
}

void dispatcher::release(ticket_id ticket, attempt_result result, time_point now)
{
    m_state->release(ticket, result, now);
}

std::vector<dispatch_action> dispatcher::advance(time_point now)
{
    return m_state->advance(now);
}

time_point dispatcher::next_advance() const
{
    return m_state->next_advance();
}

std::uint32_t dispatcher::in_progress(const instance_id& target) const
{
    const auto index = m_state->routes().find(target);
    return index ? m_state->routes().target(*index).in_progress : 0;
}

std::vector<instance_id> dispatcher::busy_targets() const
{
    return m_state->routes().busy_targets();
}

std::vector<instance_id> dispatcher::ejected_targets() const
{
    return m_state->routes().ejected_targets();
}

std::vector<service_ejections> dispatcher::ejections() const
{
    return m_state->routes().ejections();
}

} // namespace plantaindoor::request
