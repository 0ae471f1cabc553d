// Where the request path gets its targets from: each attempt asks, and gives its slot back.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/request/caller_request.hpp"
#include "plantaindoor/request/dispatcher.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace plantaindoor::process {

/// A target for one attempt, or why there is none.
struct target_offer {
    request::target_grant grant;
    /// Null: the grant stands.
    std::shared_ptr<const request::refusal> refused;
};

/// Loop thread only.
class target_source {
public:
    using callback = std::function<void(target_offer)>;

    target_source() = default;
    target_source(const target_source&) = delete;
    target_source& operator=(const target_source&) = delete;
    virtual ~target_source() = default;

    /// Asks for a target outside of `tried`. The callback runs once, now or later, unless the
    /// ticket is cancelled.
    virtual request::ticket_id submit(const request::caller_request& request,
                                      const request::tried_targets& tried, callback done) = 0;
    /// Withdraws a ticket that was not answered yet; does nothing for another.
    virtual void cancel(request::ticket_id ticket) = 0;
    /// Ends a granted attempt whose target may still run the request: the target is judged by it
    /// now, and its slot stays taken until release().
    virtual void hold(const request::target_grant& grant, request::attempt_result result) = 0;
    /// Ends a granted attempt, or what was held of it.
    virtual void release(const request::target_grant& grant, request::attempt_result result) = 0;
    /// Notes that a target may go on with a request whose attempt has ended here; until then it
    /// counts among the busy ones.
    virtual void may_still_run(const instance_id& target, time_point until) = 0;
    /// Targets at which a request may be in progress, in order of id.
    [[nodiscard]] virtual std::vector<instance_id> busy_targets() const = 0;
};

} // namespace plantaindoor::process
