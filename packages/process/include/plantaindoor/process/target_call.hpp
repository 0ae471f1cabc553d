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
    /// When the target must have ended the request, whether or not it was answered in time.
    time_point run_by{};
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
    /// Out of time with the request at the target: the call goes on, only to see when the target
    /// ends it. Its connection closes then, and what arrives is thrown away.
    bool still_running = false;
};

/// Starts on construction. Loop thread only; loop and client must outlive it. Destruction ends the
/// call, closes its connection, and throws away what still arrives.
class target_call {
public:
    using callback = std::function<void(target_call_result)>;
    using idle_callback = std::function<void()>;

    /// The callback runs exactly once, later, unless the call is destroyed before. It may destroy
    /// the call.
    target_call(event_loop& loop, connection::http_client& client, target_call_options options,
                callback done);
    /// Sets what runs once when the target has ended a request that was still running: it answered,
    /// its connection ended, or the time was over. It may destroy the call.
    void on_idle(idle_callback idle) { m_idle = std::move(idle); }
    target_call(const target_call&) = delete;
    target_call& operator=(const target_call&) = delete;
    ~target_call();

private:
    class watch;

    void tick();
    void schedule_tick();
    void end(connection::http_result result);
    void finish(connection::http_result result);
    void report(target_call_result result);

    event_loop& m_loop;
    connection::http_client& m_client;
    callback m_done;
    idle_callback m_idle;
    time_point m_answer_by;
    std::shared_ptr<watch> m_watch;
    connection::call_id m_call = connection::call_id::none;
    timer_id m_tick = timer_id::none;
};

} // namespace plantaindoor::process
