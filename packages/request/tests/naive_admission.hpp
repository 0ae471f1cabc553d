// Admission written as plainly as possible: one list of tickets, every figure counted afresh.
#pragma once

#include "plantaindoor/request/admission.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace plantaindoor::request::naive {

class admission {
public:
    explicit admission(admission_options options) : m_options(options) {}

    void update(const version::fleet& fleet)
    {
        m_teams = fleet.teams;
        for (const auto& [id, team] : m_teams) {
            m_tokens[id] = {team.max_requests_per_second * 1.0, time_point{}};
        }
    }

    std::vector<ticket_refusal> enqueue(ticket_id ticket, const caller_request& request,
                                        bool is_retry, const service_capacity& capacity,
                                        time_point now)
    {
        const auto team = m_teams.find(request.team);
        if (!is_retry) {
            check_team(team->second, request, now);
        }
        check_deadline(request, capacity, now);
        auto evicted = make_room(request, capacity);
        if (!is_retry && team->second.max_requests_per_second > 0) {
            m_tokens[request.team].first -= 1;
        }
        m_all.push_back({ticket, request, now, false});
        return evicted;
    }

    std::vector<ticket_refusal> expire(const service_id& service, const service_capacity& capacity,
                                       time_point now)
    {
        std::vector<ticket_refusal> refused;
        const nanoseconds mean = learned(service).mean();
        std::vector<item> of_service;
        for (const item& each : m_all) {
            if (each.request.service == service) {
                of_service.push_back(each);
            }
        }
        // The only request of a service is tried until its deadline.
        if (of_service.size() == 1 && !of_service[0].granted &&
            of_service[0].request.deadline > now) {
            return refused;
        }
        while (true) {
            const item* earliest = nullptr;
            for (const item& each : m_all) {
                const bool waits = !each.granted && each.request.service == service;
                if (waits && each.request.deadline < now + mean &&
                    (earliest == nullptr || each.request.deadline < earliest->request.deadline)) {
                    earliest = &each;
                }
            }
            if (earliest == nullptr) {
                break;
            }
            refused.push_back({earliest->ticket, nullptr});
            remove(earliest->ticket);
        }
        for (int level = 2; level >= 0; --level) {
            while (capacity.slots > 0) {
                const auto queue = waiting(service, level);
                if (queue.empty()) {
                    break;
                }
                const std::size_t ahead = count_through(service, level) - 1;
                const nanoseconds finish = expected_wait(ahead, capacity, mean) + mean;
                if (now + finish <= queue.back().request.deadline) {
                    break;
                }
                refused.push_back({queue.back().ticket, nullptr});
                remove(queue.back().ticket);
            }
        }
        return refused;
    }

    std::vector<version::priority> order(const service_id& service,
                                         const service_capacity& capacity, time_point now)
    {
        std::vector<version::priority> result;
        int first = -1;
        for (int level = 1; level <= 2 && first < 0; ++level) {
            if (starved(service, level, now) && higher_in_time(service, level, capacity, now)) {
                first = level;
                result.push_back(static_cast<version::priority>(level));
            }
        }
        for (int level = 0; level <= 2; ++level) {
            if (level != first && !waiting(service, level).empty()) {
                result.push_back(static_cast<version::priority>(level));
            }
        }
        return result;
    }

    ticket_id head(const service_id& service, version::priority level) const
    {
        return waiting(service, static_cast<int>(level)).front().ticket;
    }

    void granted(ticket_id ticket, time_point now)
    {
        for (item& each : m_all) {
            if (each.ticket == ticket) {
                each.granted = true;
                m_last_grant[{each.request.service, static_cast<int>(each.request.priority)}] = now;
            }
        }
    }

    void finished(ticket_id ticket, nanoseconds occupied)
    {
        for (const item& each : m_all) {
            if (each.ticket == ticket) {
                m_samples[each.request.service].push_back(occupied);
            }
        }
        remove(ticket);
    }

    std::optional<ticket_id> any_granted() const
    {
        for (const item& each : m_all) {
            if (each.granted) {
                return each.ticket;
            }
        }
        return std::nullopt;
    }

    waiting_counts waiting_of(const service_id& service) const
    {
        return {waiting(service, 0).size(), waiting(service, 1).size(), waiting(service, 2).size()};
    }

private:
    struct item {
        ticket_id ticket = ticket_id::none;
        caller_request request;
        time_point since{};
        bool granted = false;
    };

    service_time learned(const service_id& service) const
    {
        service_time result;
        const auto samples = m_samples.find(service);
        if (samples != m_samples.end()) {
            for (const nanoseconds sample : samples->second) {
                result.add(sample);
            }
        }
        return result;
    }

    std::vector<item> waiting(const service_id& service, int level) const
    {
        std::vector<item> result;
        for (const item& each : m_all) {
            if (!each.granted && each.request.service == service &&
                static_cast<int>(each.request.priority) == level) {
                result.push_back(each);
            }
        }
        return result;
    }

    std::size_t count_through(const service_id& service, int level) const
    {
        std::size_t count = 0;
        for (int i = 0; i <= level; ++i) {
            count += waiting(service, i).size();
        }
        return count;
    }

    void remove(ticket_id ticket)
    {
        std::erase_if(m_all, [ticket](const item& each) { return each.ticket == ticket; });
    }

    static milliseconds after(nanoseconds wait)
    {
        return std::clamp(std::chrono::ceil<milliseconds>(wait), milliseconds{10},
                          milliseconds{60000});
    }

    void check_team(const version::team& team, const caller_request& request, time_point now)
    {
        const auto in_progress = std::ranges::count_if(
            m_all, [&](const item& each) { return each.request.team == team.id; });
        if (team.max_in_progress > 0 && in_progress >= team.max_in_progress) {
            throw quota_refusal(team.id, "max-in-progress", team.max_in_progress,
                                after(learned(request.service).mean() / in_progress));
        }
        auto& [tokens, refilled] = m_tokens[team.id];
        const double rate = team.max_requests_per_second;
        const double elapsed = std::chrono::duration<double>(now - refilled).count();
        tokens = std::min(rate, tokens + rate * elapsed);
        refilled = now;
        if (rate > 0 && tokens < 1) {
            const std::chrono::duration<double> missing((1 - tokens) / rate);
            throw quota_refusal(team.id, "max-requests-per-second", team.max_requests_per_second,
                                after(std::chrono::ceil<nanoseconds>(missing)));
        }
    }

    void check_deadline(const caller_request& request, const service_capacity& capacity,
                        time_point now) const
    {
        const nanoseconds allowed = request.deadline - now;
        bool idle = true;
        std::size_t ahead = 0;
        std::size_t lower = 0;
        for (const item& each : m_all) {
            if (each.request.service != request.service) {
                continue;
            }
            idle = false;
            if (!each.granted) {
                (each.request.priority <= request.priority ? ahead : lower) += 1;
            }
        }
        if (idle && allowed > nanoseconds{0}) {
            return;
        }
        const service_time time = learned(request.service);
        const nanoseconds expected =
            expected_wait(ahead + (lower > 0 ? 1 : 0), capacity, time.mean()) + time.upper();
        if (expected > allowed || allowed <= nanoseconds{0}) {
            throw deadline_refusal(request.service, expected, allowed,
                                   after(expected - std::max(allowed, nanoseconds{0})));
        }
    }

    std::vector<ticket_refusal> make_room(const caller_request& request,
                                          const service_capacity& capacity)
    {
        const std::vector<item> before = m_all;
        const std::size_t of_service = count_through(request.service, 2);
        const nanoseconds wait =
            expected_wait(of_service, capacity, learned(request.service).mean());
        std::vector<ticket_refusal> evicted;
        while (true) {
            const item* victim = nullptr;
            std::size_t count = 0;
            std::size_t bytes = request.body_bytes;
            const bool service_full =
                count_through(request.service, 2) >= m_options.max_waiting_per_service;
            for (const item& each : m_all) {
                if (each.granted) {
                    continue;
                }
                ++count;
                bytes += each.request.body_bytes;
                const bool candidate = !service_full || each.request.service == request.service;
                if (candidate &&
                    (victim == nullptr || each.request.priority >= victim->request.priority)) {
                    victim = &each;
                }
            }
            if (!service_full && count < m_options.max_waiting &&
                bytes <= m_options.max_waiting_bytes) {
                return evicted;
            }
            if (victim == nullptr || victim->request.priority <= request.priority) {
                m_all = before;
                throw queue_full_refusal(request.service, "any", after(wait));
            }
            evicted.push_back({victim->ticket, nullptr});
            remove(victim->ticket);
        }
    }

    bool starved(const service_id& service, int level, time_point now)
    {
        const auto queue = waiting(service, level);
        if (queue.empty()) {
            return false;
        }
        const time_point since = std::max(queue.front().since, m_last_grant[{service, level}]);
        return now - since >= m_options.starvation_limit;
    }

    bool higher_in_time(const service_id& service, int level, const service_capacity& capacity,
                        time_point now) const
    {
        const nanoseconds mean = learned(service).mean();
        for (int higher = 0; higher < level; ++higher) {
            const auto queue = waiting(service, higher);
            const std::size_t ahead = count_through(service, higher);
            if (!queue.empty() &&
                now + expected_wait(ahead, capacity, mean) + mean > queue.back().request.deadline) {
                return false;
            }
        }
        return true;
    }

    admission_options m_options;
    std::map<team_id, version::team> m_teams;
    std::map<team_id, std::pair<double, time_point>> m_tokens;
    std::map<service_id, std::vector<nanoseconds>> m_samples;
    std::map<std::pair<service_id, int>, time_point> m_last_grant;
    std::vector<item> m_all;
};

} // namespace plantaindoor::request::naive
