#include "plantaindoor/request/attempt_tracker.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace plantaindoor::request {

namespace {

constexpr std::uint16_t bad_gateway = 502;
constexpr std::uint16_t gateway_timeout = 504;

} // namespace

bool attempt_tracker::open() const
{
    return m_state == state::connecting || m_state == state::sent;
}

outcome attempt_tracker::truth() const
{
    if (m_answered) {
        return outcome::answered;
    }
    return m_may_have_run || m_state == state::sent ? outcome::unknown : outcome::not_run;
}

attempt_action attempt_tracker::finish(attempt_action action)
{
    m_state = state::finished;
    return action;
}

attempt_action attempt_tracker::choose()
{
    m_state = state::choosing;
    return {.step = attempt_step::choose_target};
}

attempt_action attempt_tracker::give_up(std::string_view reason)
{
    attempt_action action{.step = attempt_step::refuse, .close_connection = open()};
    const std::string text(reason);
    m_may_have_run |= m_state == state::sent;
    if (m_may_have_run) {
        const bool late = reason == "deadline" || reason == name_of(attempt_failure::timed_out);
        action.why =
            std::make_shared<lost_answer_refusal>(text, late ? gateway_timeout : bad_gateway);
    }
    else {
        action.why = std::make_shared<target_unreachable_refusal>(text, m_options.retry_after);
    }
    return finish(std::move(action));
}

bool attempt_tracker::retry_allowed(time_point now) const
{
    return !m_caller_gone && now + m_options.shortest_attempt <= m_subject.deadline &&
           m_tried.size() < m_options.max_attempts && (m_subject.idempotent || !m_may_have_run);
}

attempt_action attempt_tracker::try_again(std::string_view reason, time_point now)
{
    const bool was_open = open();
    if (!retry_allowed(now) || !m_budget.try_take()) {
        return give_up(reason);
    }
    attempt_action action = choose();
    action.close_connection = was_open;
    return action;
}

attempt_action attempt_tracker::start(time_point now)
{
    if (m_state != state::fresh) {
        return {};
    }
    return now < m_subject.deadline ? choose() : give_up("deadline");
}

nanoseconds attempt_tracker::time_of_attempt(nanoseconds left) const
{
    const bool last = !m_subject.idempotent || m_tried.size() >= m_options.max_attempts;
    const nanoseconds part = left * (100 - m_options.later_share_percent) / 100;
    const nanoseconds needed = m_subject.usual_answer * m_options.usual_answers_in_attempt;
    return last || part < needed ? left : part;
}

attempt_action attempt_tracker::target_chosen(tried_target target, time_point now)
{
    if (m_state != state::choosing) {
        return {};
    }
    if (now >= m_subject.deadline) {
        return give_up("deadline");
    }
    m_tried.push_back(std::move(target));
    m_state = state::connecting;
    const nanoseconds own = time_of_attempt(m_subject.deadline - now);
    return {.step = attempt_step::send,
            .connect_by = now + std::min<nanoseconds>(m_options.connect_timeout, own),
            .answer_by = now + own};
}

attempt_action attempt_tracker::no_target(std::shared_ptr<const refusal> why)
{
    if (m_state != state::choosing) {
        return {};
    }
    if (m_may_have_run) {
        return give_up("no other target is free");
    }
    return finish({.step = attempt_step::refuse, .why = std::move(why)});
}

bool attempt_tracker::may_send(time_point now)
{
    if (m_state != state::connecting || now >= m_subject.deadline) {
        return false;
    }
    m_state = state::sent;
    return true;
}

attempt_action attempt_tracker::failed(attempt_failure how, time_point now)
{
    if (!open()) {
        return {};
    }
    // Only the state proves not-run: a failure's name is the transport's guess.
    m_may_have_run |= m_state == state::sent;
    return try_again(name_of(how), now);
}

attempt_action attempt_tracker::answered(std::uint16_t status, time_point now)
{
    if (m_state != state::sent) {
        return {};
    }
    const auto& refusals = m_subject.refusal_statuses;
    if (std::ranges::find(refusals, status) == refusals.end()) {
        m_answered = true;
        m_budget.record_success();
        return finish({.step = attempt_step::answer});
    }
    m_state = state::choosing;
    return try_again("refused by the target", now);
}

attempt_action attempt_tracker::caller_gone()
{
    if (m_state == state::finished) {
        return {};
    }
    m_caller_gone = true;
    return m_state == state::sent ? attempt_action{} : give_up("the caller has gone");
}

attempt_action attempt_tracker::entry_stopped()
{
    if (m_state == state::finished) {
        return {};
    }
    if (truth() == outcome::unknown) {
        return give_up("the entry is ending");
    }
    return finish(
        {.step = attempt_step::refuse,
         .close_connection = open(),
         .why = std::make_shared<not_serving_refusal>("it is ending", m_options.retry_after)});
}

} // namespace plantaindoor::request
