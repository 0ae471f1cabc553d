// Which requests may wait for a slot, in which order they get one, and which are refused.
// docs/design/admission.md holds the reasons.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/caller_request.hpp"
#include "plantaindoor/request/dispatcher.hpp"
#include "plantaindoor/request/outcome.hpp"
#include "plantaindoor/request/service_time.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantaindoor::request {

/// The request can't finish before its deadline.
class deadline_refusal : public refusal {
public:
    deadline_refusal(const service_id& service, nanoseconds expected, nanoseconds allowed,
                     milliseconds retry_after);
};

/// No room is left among the requests that wait.
class queue_full_refusal : public refusal {
public:
    /// `limit` is "requests-of-service", "requests" or "bytes".
    queue_full_refusal(const service_id& service, std::string_view limit, milliseconds retry_after);
};

/// The team has as many requests as its quota allows.
class quota_refusal : public refusal {
public:
    /// `quota` is "max-in-progress" or "max-requests-per-second".
    quota_refusal(const team_id& team, std::string_view quota, std::uint32_t limit,
                  milliseconds retry_after);
};

inline constexpr std::size_t priority_count = 3;

/// What this entry may use of a service's targets.
struct service_capacity {
    std::uint32_t slots = 0;
    std::uint32_t in_use = 0;
};

/// Waiting requests of a service by class, highest first.
using waiting_counts = std::array<std::size_t, priority_count>;

struct admission_options {
    std::size_t max_waiting_per_service = 512;
    std::size_t max_waiting = 2048;
    std::size_t max_waiting_bytes = 16U << 20U;
    milliseconds starvation_limit{5000};
};

/// How long a request waits until it gets a slot, with `ahead` requests before it.
[[nodiscard]] nanoseconds expected_wait(std::size_t ahead, const service_capacity& capacity,
                                        nanoseconds mean_service_time);

/// Queues by service and class. Each ticket is waiting, then granted, then finished. Pure: time is
/// an argument. Not synchronised.
class admission {
public:
    explicit admission(admission_options options) : m_options(options) {}

    /// Takes the teams' quotas and the services from a new version. Tickets of removed services
    /// stay until they end.
    void update(const version::fleet& fleet);
    /// Number of live entries; each allows its part of a team's quotas, rounded up.
    void set_entry_count(std::size_t entries);

    /// Adds a waiting ticket. Throws a refusal if the request can't be served in time, or if a
    /// limit is reached. Returns tickets of lower classes that had to make room.
    std::vector<ticket_refusal> enqueue(ticket_id ticket, const caller_request& request,
                                        bool is_retry, const service_capacity& capacity,
                                        time_point now);
    /// Refuses waiting tickets of the service that can't finish in time any more.
    std::vector<ticket_refusal> expire(const service_id& service, const service_capacity& capacity,
                                       time_point now);
    /// The classes of the service that have waiting tickets, in the order in which they are to get
    /// the next slot.
    [[nodiscard]] std::vector<version::priority>
    order(const service_id& service, const service_capacity& capacity, time_point now) const;
    /// The class's waiting tickets, oldest first. Empty for an unknown service.
    [[nodiscard]] const std::set<ticket_id>& waiting(const service_id& service,
                                                     version::priority priority) const;
    /// The ticket has got a slot.
    void granted(ticket_id ticket, time_point now);
    /// The ticket ends, waiting or granted. `occupied` is how long it held a slot, if that says
    /// something about the service.
    void finished(ticket_id ticket, std::optional<nanoseconds> occupied);

    [[nodiscard]] waiting_counts waiting_of(const service_id& service) const;
    [[nodiscard]] std::uint32_t granted_of(const service_id& service) const;
    [[nodiscard]] service_time learned(const service_id& service) const;
    /// When expire() may next have something to refuse; time_point::max() for never.
    [[nodiscard]] time_point next_expiry() const;
    /// Services with waiting tickets, in order of id.
    [[nodiscard]] const std::set<service_id>& services_waiting() const { return m_waiting; }

private:
    struct ticket_state {
        service_id service;
        team_id team;
        version::priority priority = version::priority::interactive;
        time_point since{};
        time_point deadline{};
        std::size_t bytes = 0;
        bool granted = false;
    };
    struct service_queue {
        std::array<std::set<ticket_id>, priority_count> queues;
        std::set<std::pair<time_point, ticket_id>> by_deadline;
        std::array<time_point, priority_count> last_grant{};
        service_time learned;
        std::uint32_t granted = 0;
    };
    struct team_state {
        std::uint32_t max_in_progress = 0;
        std::uint32_t max_per_second = 0;
        std::uint32_t in_progress = 0;
        double tokens = 0;
        time_point refilled{};
    };

    /// Whether nothing of the service is at a target, and so many requests wait. A single request
    /// of such a service is always tried, or a service that was slow would stay refused.
    [[nodiscard]] static bool is_idle(const service_queue& queue, std::size_t waiting);
    void check_team(const caller_request& request, time_point now);
    void check_deadline(const caller_request& request, const service_queue& queue,
                        const service_capacity& capacity, time_point now) const;
    std::vector<ticket_refusal> make_room(const caller_request& request, service_queue& queue,
                                          const service_capacity& capacity);
    ticket_refusal refuse_for_room(ticket_id ticket, std::string_view limit,
                                   const service_capacity& capacity);
    void refill(team_state& team, time_point now) const;
    [[nodiscard]] bool starved(const service_queue& queue, std::size_t level, time_point now) const;
    [[nodiscard]] bool higher_stay_in_time(const service_queue& queue, std::size_t level,
                                           const service_capacity& capacity, time_point now) const;
    [[nodiscard]] nanoseconds tail_finish(const service_queue& queue, std::size_t level,
                                          std::size_t extra,
                                          const service_capacity& capacity) const;
    void unqueue(ticket_id ticket, const ticket_state& state);
    [[nodiscard]] std::uint32_t part_of_quota(std::uint32_t quota) const;

    admission_options m_options;
    std::unordered_map<service_id, service_queue> m_services;
    std::unordered_map<team_id, team_state> m_teams;
    std::unordered_map<ticket_id, ticket_state> m_tickets;
    std::set<std::pair<version::priority, ticket_id>> m_by_class;
    std::set<service_id> m_waiting;
    std::size_t m_waiting_bytes = 0;
    std::uint32_t m_entries = 1;
};

} // namespace plantaindoor::request
