// One request's attempts at targets: whether and where it may be tried again, and what its caller
// is told. The caller is never told `not-run` once a target may have run the request.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/answer_check.hpp"
#include "plantaindoor/request/outcome.hpp"
#include "plantaindoor/request/retry_budget.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace plantaindoor::request {

struct attempt_options {
    std::uint32_t max_attempts = 3;
    /// Longest wait for a connection to one target; a failure to connect proves not-run.
    milliseconds connect_timeout{500};
    /// An idempotent request that may be tried again leaves this share of its time to later
    /// attempts, in percent, if the rest is this many times the usual answer's.
    std::uint32_t later_share_percent = 50;
    std::uint32_t usual_answers_in_attempt = 3;
    /// A further attempt needs at least this much time before the deadline.
    milliseconds shortest_attempt{5};
    /// Told to callers whose request found no target.
    milliseconds retry_after{1000};
};

/// What the policy needs to know of a request.
struct attempt_subject {
    bool idempotent = false;
    time_point deadline{};
    /// The service's mean, from answer_time.
    nanoseconds usual_answer{0};
    /// Statuses by which the targets declare that they refused before starting.
    std::vector<std::uint16_t> refusal_statuses;
};

/// How an attempt failed at the transport.
enum class attempt_failure {
    connect_failed, ///< no connection; no byte of the request has left
    not_sent,       ///< connected, but may_send() was not asked or said no
    broken,         ///< reset or closed after bytes may have left, before an answer's head
    timed_out,      ///< the attempt's own time passed
    bad_answer,     ///< an answer began and its check failed
};

enum class attempt_step {
    wait,          ///< nothing to do until the next event
    choose_target, ///< ask routing for a target outside of tried() and, if possible, its racks
    send,          ///< connect and send by the times given
    answer,        ///< pass the whole answer on
    refuse,        ///< answer with the refusal, at once
};

struct attempt_action {
    attempt_step step = attempt_step::wait;
    /// The attempt's connection must be closed, never reused: its answer may still come.
    bool close_connection = false;
    /// Only for refuse.
    std::shared_ptr<const refusal> why;
    /// Only for send: when the connection must stand, and when the answer must be whole.
    time_point connect_by{};
    time_point answer_by{};
};

struct tried_target {
    instance_id instance;
    rack_id rack;

    friend bool operator==(const tried_target&, const tried_target&) = default;
};

/// Lives as long as its request. Not synchronised. After answer or refuse every further event
/// gives `wait`, with close_connection where an attempt was still open. The budget must outlive the
/// tracker.
class attempt_tracker {
public:
    attempt_tracker(attempt_subject subject, attempt_options options, retry_budget& budget)
        : m_subject(std::move(subject)), m_options(options), m_budget(budget)
    {
    }

    /// The request was admitted and, if it has a key, claimed.
    attempt_action start(time_point now);
    /// Routing's choice. Precondition: the last step was choose_target.
    attempt_action target_chosen(tried_target target, time_point now);
    /// There is no target for a further attempt. `why` is told if nothing was sent before.
    attempt_action no_target(std::shared_ptr<const refusal> why);
    /// Must be called before the first byte of the request is handed to the transport, and the byte
    /// withheld if this returns false: the deadline has passed, or the request has ended.
    [[nodiscard]] bool may_send(time_point now);
    /// An attempt ended without a whole answer.
    attempt_action failed(attempt_failure how, time_point now);
    /// A whole and checked answer arrived.
    attempt_action answered(std::uint16_t status, time_point now);
    /// The caller's connection has closed: no attempt starts any more. One that was sent goes on,
    /// since its end is the only proof of what became of the request and of its slot.
    attempt_action caller_gone();
    /// The entry stops now, whatever is in progress.
    attempt_action entry_stopped();

    [[nodiscard]] const std::vector<tried_target>& tried() const { return m_tried; }
    /// What is true of the request up to now; `answered` only after a whole answer.
    [[nodiscard]] outcome truth() const;
    [[nodiscard]] bool finished() const { return m_state == state::finished; }

private:
    enum class state { fresh, choosing, connecting, sent, finished };

    [[nodiscard]] bool open() const;
    [[nodiscard]] nanoseconds time_of_attempt(nanoseconds left) const;
    [[nodiscard]] bool retry_allowed(time_point now) const;
    attempt_action choose();
    attempt_action try_again(std::string_view reason, time_point now);
    attempt_action give_up(std::string_view reason);
    attempt_action finish(attempt_action action);

    attempt_subject m_subject;
    attempt_options m_options;
    retry_budget& m_budget;
    state m_state = state::fresh;
    /// An attempt that has ended was sent and not proven not-run.
    bool m_may_have_run = false;
    bool m_answered = false;
    bool m_caller_gone = false;
    std::vector<tried_target> m_tried;
};

} // namespace plantaindoor::request

namespace plantaindoor {

template<>
struct enum_names<request::attempt_failure> {
    static constexpr std::array<enum_name<request::attempt_failure>, 5> table{{
        {request::attempt_failure::connect_failed, "connect-failed"},
        {request::attempt_failure::not_sent, "not-sent"},
        {request::attempt_failure::broken, "broken"},
        {request::attempt_failure::timed_out, "timed-out"},
        {request::attempt_failure::bad_answer, "bad-answer"},
    }};
};

template<>
struct enum_names<request::attempt_step> {
    static constexpr std::array<enum_name<request::attempt_step>, 5> table{{
        {request::attempt_step::wait, "wait"},
        {request::attempt_step::choose_target, "choose-target"},
        {request::attempt_step::send, "send"},
        {request::attempt_step::answer, "answer"},
        {request::attempt_step::refuse, "refuse"},
    }};
};

} // namespace plantaindoor
