#include "plantaindoor/request/admission.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace plantaindoor::request {

namespace {

constexpr milliseconds shortest_retry_after{10};
constexpr milliseconds longest_retry_after{60000};

std::size_t level_of(version::priority priority)
{
    return static_cast<std::size_t>(priority);
}

milliseconds as_retry_after(nanoseconds wait)
{
    const auto rounded = std::chrono::ceil<milliseconds>(wait);
    return std::clamp(rounded, shortest_retry_after, longest_retry_after);
}

std::size_t count_through(const std::array<std::set<ticket_id>, priority_count>& queues,
                          std::size_t level)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i <= level; ++i) {
        count += queues.at(i).size();
    }
    return count;
}

} // namespace

nanoseconds expected_wait(std::size_t ahead, const service_capacity& capacity,
                          nanoseconds mean_service_time)
{
    const std::size_t slots = std::max<std::size_t>(capacity.slots, 1);
    const std::size_t free = slots - std::min<std::size_t>(capacity.in_use, slots);
    if (ahead < free) {
        return nanoseconds{0};
    }
    const std::size_t completions = ahead + 1 - free;
    return mean_service_time * completions / slots;
}

void admission::update(const version::fleet& fleet)
{
    for (auto& [id, team] : m_teams) {
        if (!fleet.teams.contains(id)) {
            team.max_in_progress = 0;
            team.max_per_second = 0;
        }
    }
    for (const auto& [id, settings] : fleet.teams) {
        team_state& team = m_teams[id];
        if (team.max_per_second != settings.max_requests_per_second) {
            team.max_per_second = settings.max_requests_per_second;
            team.tokens = part_of_quota(team.max_per_second);
        }
        team.max_in_progress = settings.max_in_progress;
    }
    std::erase_if(m_services, [&fleet](const auto& item) {
        const bool idle = item.second.granted == 0 && item.second.by_deadline.empty();
        return idle && !fleet.services.contains(item.first);
    });
}

void admission::set_entry_count(std::size_t entries)
{
    m_entries = static_cast<std::uint32_t>(std::max<std::size_t>(entries, 1));
}

std::uint32_t admission::part_of_quota(std::uint32_t quota) const
{
    return (quota + m_entries - 1) / m_entries;
}

void admission::refill(team_state& team, time_point now) const
{
    const double rate = part_of_quota(team.max_per_second);
    const double elapsed = std::chrono::duration<double>(now - team.refilled).count();
    team.tokens = std::min(rate, team.tokens + rate * std::max(elapsed, 0.0));
    team.refilled = std::max(now, team.refilled);
}

void admission::check_team(const caller_request& request, time_point now)
{
    team_state& team = m_teams[request.team];
    const std::uint32_t most = part_of_quota(team.max_in_progress);
    if (most > 0 && team.in_progress >= most) {
        const nanoseconds mean = learned(request.service).mean();
        throw quota_refusal(request.team, "max-in-progress", most,
                            as_retry_after(mean / std::max(team.in_progress, 1U)));
    }
    if (team.max_per_second == 0) {
        return;
    }
    refill(team, now);
    if (team.tokens < 1) {
        const double rate = part_of_quota(team.max_per_second);
        const std::chrono::duration<double> missing((1 - team.tokens) / rate);
        throw quota_refusal(request.team, "max-requests-per-second",
                            part_of_quota(team.max_per_second),
                            as_retry_after(std::chrono::ceil<nanoseconds>(missing)));
    }
}

bool admission::is_idle(const service_queue& queue, std::size_t waiting)
{
    return queue.granted == 0 && queue.by_deadline.size() == waiting;
}

void admission::check_deadline(const caller_request& request, const service_queue& queue,
                               const service_capacity& capacity, time_point now) const
{
    const nanoseconds allowed = request.deadline - now;
    if (is_idle(queue, 0) && allowed > nanoseconds{0}) {
        // The only way to learn that a service that was slow no longer is.
        return;
    }
    const std::size_t level = level_of(request.priority);
    const std::size_t lower = queue.by_deadline.size() - count_through(queue.queues, level);
    // One of a lower, starved class may go first.
    const std::size_t ahead = count_through(queue.queues, level) + (lower > 0 ? 1 : 0);
    const nanoseconds expected =
        expected_wait(ahead, capacity, queue.learned.mean()) + queue.learned.upper();
    if (expected > allowed || allowed <= nanoseconds{0}) {
        throw deadline_refusal(request.service, expected, allowed,
                               as_retry_after(expected - std::max(allowed, nanoseconds{0})));
    }
}

std::vector<ticket_refusal> admission::enqueue(ticket_id ticket, const caller_request& request,
                                               bool is_retry, const service_capacity& capacity,
                                               time_point now)
{
    if (!is_retry) {
        check_team(request, now);
    }
    service_queue& queue = m_services[request.service];
    check_deadline(request, queue, capacity, now);
    std::vector<ticket_refusal> evicted = make_room(request, queue, capacity);

    const std::size_t level = level_of(request.priority);
    queue.queues.at(level).insert(ticket);
    queue.by_deadline.emplace(request.deadline, ticket);
    m_by_class.emplace(request.priority, ticket);
    m_waiting.insert(request.service);
    m_waiting_bytes += request.body_bytes;
    team_state& team = m_teams[request.team];
    ++team.in_progress;
    if (!is_retry && team.max_per_second > 0) {
        team.tokens -= 1;
    }
    m_tickets.emplace(ticket, ticket_state{.service = request.service,
                                           .team = request.team,
                                           .priority = request.priority,
                                           .since = now,
                                           .deadline = request.deadline,
                                           .bytes = request.body_bytes});
    return evicted;
}

ticket_refusal admission::refuse_for_room(ticket_id ticket, std::string_view limit,
                                          const service_capacity& capacity)
{
    const service_id service = m_tickets.at(ticket).service;
    const service_queue& queue = m_services.at(service);
    const nanoseconds wait =
        expected_wait(queue.by_deadline.size(), capacity, queue.learned.mean());
    return {ticket, std::make_shared<queue_full_refusal>(service, limit, as_retry_after(wait))};
}

std::vector<ticket_refusal> admission::make_room(const caller_request& request,
                                                 service_queue& queue,
                                                 const service_capacity& capacity)
{
    // Chooses all victims before ending any, so that a refused request changes nothing.
    std::vector<std::pair<ticket_id, std::string_view>> victims;
    std::size_t bytes = m_waiting_bytes + request.body_bytes;
    std::size_t count = m_by_class.size() + 1;
    const auto give_up = [&](std::string_view limit) {
        const nanoseconds wait =
            expected_wait(queue.by_deadline.size(), capacity, queue.learned.mean());
        throw queue_full_refusal(request.service, limit, as_retry_after(wait));
    };
    const auto choose = [&](ticket_id ticket, std::string_view limit) {
        victims.emplace_back(ticket, limit);
        bytes -= m_tickets.at(ticket).bytes;
        --count;
    };
    if (queue.by_deadline.size() >= m_options.max_waiting_per_service) {
        std::size_t lowest = priority_count - 1;
        while (lowest > 0 && queue.queues.at(lowest).empty()) {
            --lowest;
        }
        if (lowest <= level_of(request.priority)) {
            give_up("requests-of-service");
        }
        choose(*queue.queues.at(lowest).rbegin(), "requests-of-service");
    }
    auto last = m_by_class.rbegin();
    while (count > m_options.max_waiting || bytes > m_options.max_waiting_bytes) {
        const std::string_view limit = count > m_options.max_waiting ? "requests" : "bytes";
        if (last == m_by_class.rend() || last->first <= request.priority) {
            give_up(limit);
        }
        if (victims.empty() || victims.front().first != last->second) {
            choose(last->second, limit);
        }
        ++last;
    }
    std::vector<ticket_refusal> refusals;
    for (const auto& [ticket, limit] : victims) {
        refusals.push_back(refuse_for_room(ticket, limit, capacity));
        finished(ticket, std::nullopt);
    }
    return refusals;
}

nanoseconds admission::tail_finish(const service_queue& queue, std::size_t level, std::size_t extra,
                                   const service_capacity& capacity) const
{
    const std::size_t ahead = count_through(queue.queues, level) - 1 + extra;
    return expected_wait(ahead, capacity, queue.learned.mean()) + queue.learned.mean();
}

std::vector<ticket_refusal> admission::expire(const service_id& service,
                                              const service_capacity& capacity, time_point now)
{
    std::vector<ticket_refusal> refusals;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return refusals;
    }
    service_queue& queue = found->second;
    const auto refuse = [&](ticket_id ticket, nanoseconds expected) {
        const nanoseconds allowed = m_tickets.at(ticket).deadline - now;
        const nanoseconds excess = expected - std::max(allowed, nanoseconds{0});
        refusals.push_back({ticket, std::make_shared<deadline_refusal>(service, expected, allowed,
                                                                       as_retry_after(excess))});
        finished(ticket, std::nullopt);
    };
    if (is_idle(queue, 1) && queue.by_deadline.begin()->first > now) {
        return refusals;
    }
    const nanoseconds mean = queue.learned.mean();
    while (!queue.by_deadline.empty() && queue.by_deadline.begin()->first < now + mean) {
        refuse(queue.by_deadline.begin()->second, mean);
    }
    // Later requests of higher classes push the ends of the lower queues back.
    for (std::size_t level = priority_count; level-- > 0 && capacity.slots > 0;) {
        const auto& tickets = queue.queues.at(level);
        while (!tickets.empty()) {
            const nanoseconds expected = tail_finish(queue, level, 0, capacity);
            const ticket_id tail = *tickets.rbegin();
            if (now + expected <= m_tickets.at(tail).deadline) {
                break;
            }
            refuse(tail, expected);
        }
    }
    return refusals;
}

bool admission::starved(const service_queue& queue, std::size_t level, time_point now) const
{
    const auto& tickets = queue.queues.at(level);
    if (tickets.empty()) {
        return false;
    }
    const time_point head_since = m_tickets.at(*tickets.begin()).since;
    const time_point since = std::max(head_since, queue.last_grant.at(level));
    return now - since >= m_options.starvation_limit;
}

bool admission::higher_stay_in_time(const service_queue& queue, std::size_t level,
                                    const service_capacity& capacity, time_point now) const
{
    for (std::size_t higher = 0; higher < level; ++higher) {
        const auto& tickets = queue.queues.at(higher);
        if (tickets.empty()) {
            continue;
        }
        const time_point deadline = m_tickets.at(*tickets.rbegin()).deadline;
        if (now + tail_finish(queue, higher, 1, capacity) > deadline) {
            return false;
        }
    }
    return true;
}

std::vector<version::priority>
admission::order(const service_id& service, const service_capacity& capacity, time_point now) const
{
    std::vector<version::priority> result;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return result;
    }
    const service_queue& queue = found->second;
    std::optional<std::size_t> first;
    for (std::size_t level = 1; level < priority_count && !first; ++level) {
        if (starved(queue, level, now) && higher_stay_in_time(queue, level, capacity, now)) {
            first = level;
            result.push_back(static_cast<version::priority>(level));
        }
    }
    for (std::size_t level = 0; level < priority_count; ++level) {
        if (!queue.queues.at(level).empty() && first != level) {
            result.push_back(static_cast<version::priority>(level));
        }
    }
    return result;
}

const std::set<ticket_id>& admission::waiting(const service_id& service,
                                              version::priority priority) const
{
    static const std::set<ticket_id> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second.queues.at(level_of(priority));
}

void admission::unqueue(ticket_id ticket, const ticket_state& state)
{
    service_queue& queue = m_services.at(state.service);
    queue.queues.at(level_of(state.priority)).erase(ticket);
    queue.by_deadline.erase({state.deadline, ticket});
    m_by_class.erase({state.priority, ticket});
    m_waiting_bytes -= state.bytes;
    if (queue.by_deadline.empty()) {
        m_waiting.erase(state.service);
    }
}

void admission::granted(ticket_id ticket, time_point now)
{
    ticket_state& state = m_tickets.at(ticket);
    unqueue(ticket, state);
    state.granted = true;
    service_queue& queue = m_services.at(state.service);
    ++queue.granted;
    queue.last_grant.at(level_of(state.priority)) = now;
}

void admission::finished(ticket_id ticket, std::optional<nanoseconds> occupied)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end()) {
        return;
    }
    const ticket_state& state = found->second;
    service_queue& queue = m_services.at(state.service);
    if (state.granted) {
        --queue.granted;
    }
    else {
        unqueue(ticket, state);
    }
    if (occupied) {
        queue.learned.add(*occupied);
    }
    --m_teams[state.team].in_progress;
    m_tickets.erase(found);
}

waiting_counts admission::waiting_of(const service_id& service) const
{
    waiting_counts counts{};
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        for (std::size_t level = 0; level < priority_count; ++level) {
            counts.at(level) = found->second.queues.at(level).size();
        }
    }
    return counts;
}

std::uint32_t admission::granted_of(const service_id& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.granted;
}

service_time admission::learned(const service_id& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? service_time{} : found->second.learned;
}

time_point admission::next_expiry() const
{
    time_point next = time_point::max();
    for (const service_id& service : m_waiting) {
        const service_queue& queue = m_services.at(service);
        const time_point deadline = queue.by_deadline.begin()->first;
        const nanoseconds needed = is_idle(queue, 1) ? nanoseconds{0} : queue.learned.mean();
        next = std::min(next, deadline - needed + nanoseconds{1});
    }
    return next;
}

} // namespace plantaindoor::request
