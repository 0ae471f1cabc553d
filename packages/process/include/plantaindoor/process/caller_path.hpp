// The path of a caller's request through an entry: read, claimed, sent to a target, answered once.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/tracing.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/process/claim_store.hpp"
#include "plantaindoor/process/request_metrics.hpp"
#include "plantaindoor/process/target_source.hpp"
#include "plantaindoor/request/answer_check.hpp"
#include "plantaindoor/request/answer_time.hpp"
#include "plantaindoor/request/attempt_tracker.hpp"
#include "plantaindoor/request/echo_record.hpp"
#include "plantaindoor/request/retry_budget.hpp"
#include "plantaindoor/version/change_log.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace plantaindoor::process {

class target_call;
struct target_call_result;

struct caller_path_options {
    event_loop& loop;
    connection::http_client& client;
    version::change_log& log;
    target_source& targets;
    claim_store& claims;
    tracer& spans;
    request_metrics& metrics;
    /// Prefix of request ids, unique for each start of a process.
    std::string id_prefix;
    std::size_t body_limit_bytes = 1U << 20U;
    request::answer_limits answers;
    request::attempt_options attempts;
    request::retry_budget_options retries;
    /// How often requests that wait are looked at for callers who have gone.
    milliseconds gone_check_period{250};
    /// Longest wait for a claim, and never more than half of the request's time.
    milliseconds claim_wait{500};
    /// Why no new work is taken; empty while it is.
    std::function<std::string()> not_serving_reason;
    /// Whether the version in force here is known to be current; asked before each send, since the
    /// process may have been paused after it took the request.
    std::function<bool()> is_current = [] { return true; };
};

/// Owns the requests in progress. Loop thread only; what the options refer to must outlive it.
class caller_path {
public:
    explicit caller_path(caller_path_options options);
    caller_path(const caller_path&) = delete;
    caller_path& operator=(const caller_path&) = delete;
    ~caller_path();

    /// Takes a caller's request and answers it exactly once.
    void handle(connection::http_request request, connection::http_responder respond);
    /// Tells every caller in progress at once what is true of the request: the entry stops now.
    void stop();
    /// The answer to a body over the limit.
    [[nodiscard]] connection::http_response overflow_answer();
    /// Requests not yet answered.
    [[nodiscard]] std::size_t in_progress() const { return m_active.size(); }

private:
    struct active_request;
    using active_ptr = std::shared_ptr<active_request>;

    request_id next_id();
    [[nodiscard]] span begin_span(const connection::http_headers& headers) const;
    void admit(const active_ptr& current);
    void claim(const active_ptr& current);
    void on_verdict(const active_ptr& current, request::claim_verdict verdict);
    void begin(const active_ptr& current);
    void watch_callers();
    void look_at_callers();
    void stop_one(const active_ptr& current);
    void abandon(const active_ptr& current);
    void give_back(const active_ptr& current, request::attempt_result result,
                   std::unique_ptr<target_call> ended, bool still_running);
    void act(const active_ptr& current, const request::attempt_action& action);
    void choose(const active_ptr& current);
    void on_offer(const active_ptr& current, target_offer offer);
    /// A connection is used again where an answer on it can be told from one that nobody asked for;
    /// for idempotent requests also to targets that never name a request.
    [[nodiscard]] connection::connection_use use_for(bool idempotent,
                                                     const instance_id& target) const;
    void send(const active_ptr& current, const request::attempt_action& times);
    void on_result(const active_ptr& current, target_call_result result);
    void note_connection(const instance_id& target, const target_call_result& result);
    void answer(const active_ptr& current);
    void refuse(const active_ptr& current, const request::refusal& why);
    void replay(const active_ptr& current, request::recorded_answer recorded);
    void finish(const active_ptr& current, connection::http_response answer);

    /// What the attempts at one service have shown.
    struct service_record {
        request::retry_budget retries;
        request::answer_time answers;
    };

    service_record& record_of(const service_id& service);

    caller_path_options m_options;
    std::uint64_t m_last_request = 0;
    timer_id m_caller_watch = timer_id::none;
    std::unordered_set<active_ptr> m_active;
    std::unordered_map<service_id, service_record> m_services;
    /// Calls that were given up and whose targets may still run them.
    std::unordered_map<request::ticket_id, std::unique_ptr<target_call>> m_given_up;
    request::echo_record m_echoes;
};

} // namespace plantaindoor::process
