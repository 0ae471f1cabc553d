// The seam between the request path and the decisions on admission, routing and slots: a request
// goes in, later a target is granted or a refusal comes out, and the attempt's result goes back.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/caller_request.hpp"
#include "plantaindoor/request/demand.hpp"
#include "plantaindoor/request/outcome.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace plantaindoor::request {

/// Names one submission until its refusal or release. Never reused.
enum class ticket_id : std::uint64_t { none = 0 };

/// Where earlier attempts of the same request went.
struct tried_targets {
    /// Never granted again.
    std::vector<instance_id> instances;
    /// Not granted while the service has a usable target in another rack.
    std::vector<rack_id> racks;
};

/// The request may be sent to this target now; one of its slots is held until release().
struct target_grant {
    ticket_id ticket = ticket_id::none;
    instance_id target;
    rack_id rack;
    std::string address;
    std::uint16_t port = 0;
};

/// The ticket is closed: the request got no target and will get none.
struct ticket_refusal {
    ticket_id ticket = ticket_id::none;
    std::shared_ptr<const refusal> why;
};

using dispatch_action = std::variant<target_grant, ticket_refusal>;

/// How an attempt at a granted target ended, as far as the target's health is concerned.
enum class attempt_result {
    answered,    ///< a whole answer that is no server failure
    failed,      ///< a server failure, or a broken or unacceptable answer
    refused,     ///< the target declared that it did not start the request
    unreachable, ///< no connection was made, nothing was sent
    timed_out,   ///< the deadline passed while the target had the request
    abandoned,   ///< the caller went away; says nothing of the target
};

struct dispatcher_options {
    entry_id self;
    availability_zone_id zone;
    /// Seeds the choice between equal targets.
    std::uint64_t seed = 1;
    /// Requests that wait for a slot, for each service and for the whole entry.
    std::size_t max_waiting_per_service = 512;
    std::size_t max_waiting = 2048;
    /// Bytes of the bodies that wait, for the whole entry.
    std::size_t max_waiting_bytes = 16U << 20U;
    /// A class that waited this long without a grant gets the next one.
    milliseconds starvation_limit{5000};
    /// Demand reports older than this are not relied on.
    milliseconds report_lifetime{3000};
};

/// What a service's targets are missing by their failures, as seen by this entry.
struct service_ejections {
    service_id service;
    /// Targets that are admitted and ejected now.
    std::size_t ejected = 0;
    /// Ejections since the service was first known, probes that failed included.
    std::uint64_t ejections = 0;

    friend bool operator==(const service_ejections&, const service_ejections&) = default;
};

class slot_shares;

/// Admits requests, chooses their targets and keeps this entry's share of the targets' slots.
/// Deterministic: no clock, no random device. Not synchronised; loop thread only.
///
/// After any call that changes something, call advance() and carry out its actions; call it again
/// at next_advance().
class dispatcher {
public:
    /// Shares slots by demand, with borrowing.
    explicit dispatcher(const dispatcher_options& options);
    /// Shares slots by the given strategy.
    dispatcher(const dispatcher_options& options, std::unique_ptr<slot_shares> shares);
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    /// Takes a new version of the fleet; costs follow the size of the difference, beside one
    /// comparing walk. Grants in progress are kept.
    void update(version::fleet_ptr fleet, time_point now);
    /// Replaces the targets that the platform's list shows as leaving.
    void set_leaving(std::set<instance_id> leaving);
    /// Replaces the live entries (self may be left out).
    void set_entries(std::vector<entry_id> live, time_point now);
    /// Takes a peer's report of its demand; older ones than heard before are ignored.
    void hear(const demand_report& report, time_point now);
    /// Reads this entry's demand for a report to the peers, and shares slots by it from now on, as
    /// the peers will. Call it for every report.
    [[nodiscard]] std::vector<service_demand> report_demand(time_point now);

    /// Takes a request, or the next attempt of one (then `tried` is not empty, and the team's rate
    /// is not charged again). Throws a refusal at once if it can't be served in time.
    ticket_id submit(const caller_request& request, const tried_targets& tried, time_point now);
    /// Ends a waiting ticket whose caller went away. Does nothing for an unknown ticket.
    void cancel(ticket_id ticket);
    /// Ends a granted ticket's attempt while its target may still run the request: the target is
    /// judged by it now, and its slot stays taken until release(). Does nothing for an unknown
    /// ticket.
    void hold(ticket_id ticket, attempt_result result, time_point now);
    /// Ends a granted ticket and frees its slot; the result of one that was held counts already.
    /// Does nothing for an unknown ticket.
    void release(ticket_id ticket, attempt_result result, time_point now);

    /// Decides on what waits: grants and refusals, in the order to carry them out.
    [[nodiscard]] std::vector<dispatch_action> advance(time_point now);
    /// When advance() is next needed without another event; time_point::max() for never.
    [[nodiscard]] time_point next_advance() const;

    /// Requests of this entry in progress at the target, whatever the target's state.
    [[nodiscard]] std::uint32_t in_progress(const instance_id& target) const;
    /// Targets at which this entry has requests in progress, in order of id.
    [[nodiscard]] std::vector<instance_id> busy_targets() const;
    /// Targets that this entry has ejected, in order of id.
    [[nodiscard]] std::vector<instance_id> ejected_targets() const;
    /// Of each service of the fleet.
    [[nodiscard]] std::vector<service_ejections> ejections() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace plantaindoor::request

namespace plantaindoor {

template<>
struct enum_names<request::attempt_result> {
    static constexpr std::array<enum_name<request::attempt_result>, 6> table{{
        {request::attempt_result::answered, "answered"},
        {request::attempt_result::failed, "failed"},
        {request::attempt_result::refused, "refused"},
        {request::attempt_result::unreachable, "unreachable"},
        {request::attempt_result::timed_out, "timed-out"},
        {request::attempt_result::abandoned, "abandoned"},
    }};
};

} // namespace plantaindoor
