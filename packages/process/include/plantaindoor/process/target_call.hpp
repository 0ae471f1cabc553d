// One attempt at one target: the call, the check of its answer while it arrives, and its end.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/request/answer_check.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantaindoor::process {

struct target_call_options {
    connection::endpoint to;
    connection::http_request request;
    /// When the connection must stand, and when the answer must be whole.
    time_point connect_by{};
    time_point answer_by{};
    connection::connection_use use = connection::connection_use::own;
    /// On a connection that was used before, takes only an answer that names the request.
    bool echo_on_kept = false;
    /// The caller's span.
    std::optional<trace_context> parent;
    request::answer_expectation expected;
    /// Asked before the first byte of the request leaves; false keeps it back.
    std::function<bool()> may_send;
};

struct target_call_result {
    /// `whole`: the response may be passed on.
    request::answer_verdict verdict = request::answer_verdict::incomplete;
    /// How the transport ended; `none` only with a whole answer, or one whose check failed.
    connection::transport_fault fault = connection::transport_fault::none;
    /// The request went out on a connection that had carried another one.
    bool kept = false;
    /// The answer's head named the request.
    bool echoed = false;
    connection::http_response response;
};

/// Starts on construction. Loop thread only; loop and client must outlive it. Destruction ends the
/// call, closes its connection, and throws away what still arrives.
class target_call {
public:
    using callback = std::function<void(target_call_result)>;

    /// The callback runs exactly once, later, unless the call is destroyed before. It may destroy
    /// the call.
    target_call(event_loop& loop, connection::http_client& client, target_call_options options,
                callback done);
    target_call(const target_call&) = delete;
    target_call& operator=(const target_call&) = delete;
    ~target_call();

private:
    class watch;

    void tick();
    void schedule_tick();
    void finish(connection::http_result result);

    event_loop& m_loop;
    connection::http_client& m_client;
    callback m_done;
    std::shared_ptr<watch> m_watch;
    connection::call_id m_call = connection::call_id::none;
    timer_id m_tick = timer_id::none;
};

} // namespace plantaindoor::process
