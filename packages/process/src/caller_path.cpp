#include "plantaindoor/process/caller_path.hpp"

#include "plantaindoor/common/traceparent.hpp"
#include "plantaindoor/connection/caller_headers.hpp"
#include "plantaindoor/process/target_call.hpp"
#include "plantaindoor/request/caller_request.hpp"
#include "plantaindoor/request/claim_record.hpp"
#include "plantaindoor/request/outcome.hpp"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace plantaindoor::process {

using connection::find_header;
using connection::http_header;
using connection::http_request;
using connection::http_response;
using connection::marked_answer;
using connection::read_caller_request;
using connection::refusal_answer;
using connection::request_for_target;
using connection::transport_fault;
using request::answer_verdict;
using request::attempt_action;
using request::attempt_failure;
using request::attempt_result;
using request::attempt_step;

namespace {

constexpr milliseconds retry_advice{1000};
constexpr std::uint16_t first_server_failure = 500;

attempt_failure failure_of(const target_call_result& result)
{
    switch (result.fault) {
    case transport_fault::connect_failed:
        return attempt_failure::connect_failed;
    case transport_fault::broken:
        return attempt_failure::broken;
    case transport_fault::timed_out:
        return attempt_failure::timed_out;
    default:
        return result.verdict == answer_verdict::late ? attempt_failure::timed_out
                                                      : attempt_failure::bad_answer;
    }
}

attempt_result health_of(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::connect_failed:
        return attempt_result::unreachable;
    case attempt_failure::timed_out:
        return attempt_result::timed_out;
    default:
        return attempt_result::failed;
    }
}

request::claim_state claim_state_of(request::outcome truth)
{
    switch (truth) {
    case request::outcome::answered:
        return request::claim_state::answered;
    case request::outcome::not_run:
        return request::claim_state::released;
    case request::outcome::unknown:
        break;
    }
    return request::claim_state::unknown;
}

request::recorded_answer recorded_of(const http_response& answer)
{
    request::recorded_answer recorded{.status = answer.status, .body = answer.body};
    for (http_header& header : connection::end_to_end_headers(answer.headers)) {
        recorded.headers.push_back({std::move(header.name), std::move(header.value)});
    }
    return recorded;
}

} // namespace

struct caller_path::active_request {
    http_request from;
    request::caller_request subject;
    connection::http_responder respond;
    connection::answer_marks marks;
    time_point arrived{};
    span hop;
    request::claim_ticket claim = request::claim_ticket::none;
    bool caller_gone = false;
    bool ended = false;
    std::vector<std::uint16_t> refusal_statuses;
    std::optional<request::attempt_tracker> tracker;
    /// Where it waits, or waited, for a target.
    request::ticket_id ticket = request::ticket_id::none;
    /// The attempt in progress, or the last one.
    request::target_grant grant;
    std::unique_ptr<target_call> call;
    time_point sent_at{};
    /// Longest time for which a target may run the request.
    milliseconds longest_run{0};
    http_response response;
};

caller_path::caller_path(caller_path_options options) : m_options(std::move(options))
{
    watch_callers();
}

caller_path::~caller_path()
{
    m_options.loop.cancel(m_caller_watch);
}

void caller_path::handle(http_request from, connection::http_responder respond)
{
    const auto current = std::make_shared<active_request>();
    current->marks.id = next_id();
    current->respond = std::move(respond);
    current->from = std::move(from);
    current->arrived = m_options.loop.now();
    current->hop = begin_span(current->from.headers);
    m_active.insert(current);
    try {
        admit(current);
    }
    catch (const request::refusal& why) {
        refuse(current, why);
    }
}

void caller_path::watch_callers()
{
    m_caller_watch = m_options.loop.call_after(m_options.gone_check_period, [this] {
        look_at_callers();
        watch_callers();
    });
}

/// A request that waits for a slot holds room in the queue, and would be run for nobody.
void caller_path::look_at_callers()
{
    const time_point settled = m_options.loop.now() - m_options.gone_check_period;
    std::vector<active_ptr> gone;
    for (const active_ptr& each : m_active) {
        if (!each->caller_gone && each->arrived <= settled && each->from.sender_gone &&
            each->from.sender_gone()) {
            gone.push_back(each);
        }
    }
    for (const active_ptr& each : gone) {
        each->caller_gone = true;
        if (each->tracker) {
            act(each, each->tracker->caller_gone());
        }
    }
}

void caller_path::stop()
{
    const std::vector<active_ptr> open(m_active.begin(), m_active.end());
    for (const active_ptr& each : open) {
        stop_one(each);
    }
}

void caller_path::stop_one(const active_ptr& current)
{
    if (current->tracker) {
        act(current, current->tracker->entry_stopped());
    }
    else {
        refuse(current, request::not_serving_refusal("it is ending", retry_advice));
    }
}

http_response caller_path::overflow_answer()
{
    return refusal_answer(request::body_too_large_refusal(m_options.body_limit_bytes),
                          {.id = next_id()});
}

span caller_path::begin_span(const connection::http_headers& headers) const
{
    constexpr std::string_view hop = "caller -> entry";
    const std::string* const text = find_header(headers, connection::traceparent_header);
    if (text != nullptr) {
        const auto parsed = parse_traceparent(*text);
        if (const auto* const parent = std::get_if<trace_context>(&parsed)) {
            return m_options.spans.start(hop, *parent);
        }
    }
    return m_options.spans.start(hop);
}

request_id caller_path::next_id()
{
    return request_id(m_options.id_prefix + "-" + std::to_string(++m_last_request));
}

caller_path::service_record& caller_path::record_of(const service_id& service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        return found->second;
    }
    service_record fresh{.retries = request::retry_budget(m_options.retries)};
    return m_services.emplace(service, fresh).first->second;
}

void caller_path::admit(const active_ptr& current)
{
    const std::string reason = m_options.not_serving_reason();
    if (!reason.empty()) {
        throw request::not_serving_refusal(reason, retry_advice);
    }
    const auto fleet = m_options.log.current();
    current->subject = read_caller_request(current->from, *fleet,
                                           {.id = current->marks.id, .at = current->arrived});
    const version::service& service = fleet->services.at(current->subject.service);
    current->refusal_statuses = service.refusal_statuses;
    current->longest_run = service.longest_request;
    const bool keyed = !current->subject.idempotent && !current->subject.idempotency_key.empty();
    if (keyed) {
        claim(current);
    }
    else {
        begin(current);
    }
}

void caller_path::claim(const active_ptr& current)
{
    const request::caller_request& subject = current->subject;
    const nanoseconds allowed = subject.deadline - subject.arrived;
    m_options.claims.claim(
        {.row_key = request::claim_key(subject.service, subject.idempotency_key),
         .request_hash =
             request::request_hash(current->from.method, current->from.target, current->from.body),
         .priority = subject.priority,
         .give_up_at = subject.arrived + std::min<nanoseconds>(m_options.claim_wait, allowed / 2),
         .ends_by = m_options.loop.wall_now() + std::chrono::ceil<milliseconds>(allowed)},
        [this, current](request::claim_verdict verdict) {
            on_verdict(current, std::move(verdict));
        });
}

void caller_path::on_verdict(const active_ptr& current, request::claim_verdict verdict)
{
    if (current->ended) {
        // It was told not-run meanwhile.
        if (verdict.decision == request::claim_decision::granted) {
            m_options.claims.finish(verdict.ticket, {.state = request::claim_state::released});
        }
        return;
    }
    switch (verdict.decision) {
    case request::claim_decision::granted:
        current->claim = verdict.ticket;
        begin(current);
        break;
    case request::claim_decision::replay:
        replay(current, std::move(verdict.recorded));
        break;
    case request::claim_decision::refused:
        refuse(current, *verdict.why);
        break;
    }
}

void caller_path::begin(const active_ptr& current)
{
    const request::caller_request& subject = current->subject;
    service_record& record = record_of(subject.service);
    current->tracker.emplace(
        request::attempt_subject{.idempotent = subject.idempotent,
                                 .deadline = subject.deadline,
                                 .usual_answer = record.answers.mean(),
                                 .refusal_statuses = std::move(current->refusal_statuses)},
        m_options.attempts, record.retries);
    act(current, current->caller_gone ? current->tracker->caller_gone()
                                      : current->tracker->start(m_options.loop.now()));
}

void caller_path::act(const active_ptr& current, const attempt_action& action)
{
    if (action.close_connection) {
        abandon(current);
    }
    switch (action.step) {
    case attempt_step::choose_target:
        choose(current);
        break;
    case attempt_step::send:
        send(current, action);
        break;
    case attempt_step::answer:
        answer(current);
        break;
    case attempt_step::refuse:
        refuse(current, *action.why);
        break;
    case attempt_step::wait:
        break;
    }
}

/// Ends the attempt in progress, if there is one: one that has ended has given its slot back.
void caller_path::abandon(const active_ptr& current)
{
    if (current->call == nullptr) {
        return;
    }
    current->call.reset();
    if (current->tracker->truth() == request::outcome::unknown) {
        m_options.targets.may_still_run(current->grant.target,
                                        current->sent_at + current->longest_run);
    }
    m_options.targets.release(current->grant, attempt_result::abandoned);
}

void caller_path::choose(const active_ptr& current)
{
    request::tried_targets tried;
    for (const request::tried_target& each : current->tracker->tried()) {
        tried.instances.push_back(each.instance);
        tried.racks.push_back(each.rack);
    }
    current->ticket =
        m_options.targets.submit(current->subject, tried, [this, current](target_offer offer) {
            on_offer(current, std::move(offer));
        });
}

void caller_path::on_offer(const active_ptr& current, target_offer offer)
{
    const time_point now = m_options.loop.now();
    if (offer.refused != nullptr) {
        act(current, current->tracker->no_target(std::move(offer.refused)));
        return;
    }
    current->grant = std::move(offer.grant);
    const attempt_action action = current->tracker->target_chosen(
        {.instance = current->grant.target, .rack = current->grant.rack}, now);
    if (action.step != attempt_step::send) {
        m_options.targets.release(current->grant, attempt_result::abandoned);
    }
    act(current, action);
}

connection::connection_use caller_path::use_for(bool idempotent, const instance_id& target) const
{
    using connection::connection_use;
    if (idempotent) {
        const bool mixed = m_echoes.naming_of(target) == request::answer_naming::mixed;
        return mixed ? connection_use::own : connection_use::kept;
    }
    return m_echoes.reusable(target) ? connection_use::recent : connection_use::own;
}

void caller_path::send(const active_ptr& current, const attempt_action& times)
{
    ++current->marks.attempts;
    const time_point now = m_options.loop.now();
    current->sent_at = now;
    const auto left = std::chrono::floor<milliseconds>(current->subject.deadline - now);
    const request::answer_naming naming = m_echoes.naming_of(current->grant.target);
    // The request owns the call.
    const std::weak_ptr<active_request> weak = current;
    current->call = std::make_unique<target_call>(
        m_options.loop, m_options.client,
        target_call_options{.to = {.address = current->grant.address, .port = current->grant.port},
                            .request = request_for_target(current->from, current->marks.id, left),
                            .connect_by = times.connect_by,
                            .answer_by = times.answer_by,
                            .run_by = now + current->longest_run,
                            .use = use_for(current->subject.idempotent, current->grant.target),
                            .echo_on_kept = naming == request::answer_naming::always,
                            .parent = current->hop.context(),
                            .expected = {.request_id = current->marks.id.str(),
                                         .head_only = current->from.method == "HEAD",
                                         .deadline = times.answer_by,
                                         .limits = m_options.answers},
                            .may_send =
                                [this, weak] {
                                    const auto held = weak.lock();
                                    return held && m_options.is_current() &&
                                           held->tracker->may_send(m_options.loop.now());
                                }},
        [this, weak](target_call_result result) {
            if (const auto held = weak.lock()) {
                on_result(held, std::move(result));
            }
        });
}

void caller_path::note_connection(const instance_id& target, const target_call_result& result)
{
    const bool nameless = result.verdict == answer_verdict::foreign && !result.echoed;
    if (nameless || result.verdict == answer_verdict::whole) {
        m_echoes.answered(target, result.echoed);
    }
    else if (result.kept && result.fault == transport_fault::broken) {
        m_echoes.broke(target);
    }
}

void caller_path::on_result(const active_ptr& current, target_call_result result)
{
    const time_point now = m_options.loop.now();
    auto ended = std::move(current->call);
    note_connection(current->grant.target, result);
    if (result.verdict != answer_verdict::whole) {
        const attempt_failure failure = failure_of(result);
        if (failure == attempt_failure::timed_out) {
            record_of(current->subject.service).answers.add(now - current->sent_at);
        }
        if (result.fault != transport_fault::connect_failed) {
            m_options.targets.may_still_run(current->grant.target,
                                            current->sent_at + current->longest_run);
        }
        give_back(current, health_of(failure), std::move(ended), result.still_running);
        act(current, current->tracker->failed(failure, now));
        return;
    }
    current->response = std::move(result.response);
    const std::uint16_t status = current->response.status;
    const attempt_action action = current->tracker->answered(status, now);
    const bool refused = action.step != attempt_step::answer;
    m_options.targets.release(current->grant, refused ? attempt_result::refused
                                              : status >= first_server_failure
                                                  ? attempt_result::failed
                                                  : attempt_result::answered);
    if (!refused) {
        record_of(current->subject.service).answers.add(now - current->sent_at);
    }
    act(current, action);
}

/// A target that may still run the request keeps its slot until it is seen to have ended it: with
/// the slot free it would be sent more than it has slots.
void caller_path::give_back(const active_ptr& current, attempt_result result,
                            std::unique_ptr<target_call> ended, bool still_running)
{
    const request::target_grant& grant = current->grant;
    if (!still_running) {
        m_options.targets.release(grant, result);
        return;
    }
    ended->on_idle([this, grant] {
        const auto idle = m_given_up.extract(grant.ticket);
        m_options.targets.release(grant, attempt_result::timed_out);
    });
    m_given_up.emplace(grant.ticket, std::move(ended));
    m_options.targets.hold(grant, result);
}

void caller_path::answer(const active_ptr& current)
{
    current->marks.told = request::outcome::answered;
    if (current->claim != request::claim_ticket::none) {
        m_options.claims.finish(current->claim, {.state = request::claim_state::answered,
                                                 .answer = recorded_of(current->response)});
    }
    finish(current, marked_answer(std::move(current->response), current->marks));
}

void caller_path::refuse(const active_ptr& current, const request::refusal& why)
{
    if (current->claim != request::claim_ticket::none) {
        m_options.claims.finish(current->claim, {.state = claim_state_of(why.told())});
    }
    current->marks.told = why.told();
    finish(current, refusal_answer(why, current->marks));
}

void caller_path::replay(const active_ptr& current, request::recorded_answer recorded)
{
    http_response answer{.status = recorded.status, .body = std::move(recorded.body)};
    for (request::answer_header& header : recorded.headers) {
        answer.headers.push_back({std::move(header.name), std::move(header.value)});
    }
    current->marks.told = request::outcome::answered;
    answer = marked_answer(std::move(answer), current->marks);
    answer.headers.push_back({std::string(connection::replayed_header), "yes"});
    finish(current, std::move(answer));
}

void caller_path::finish(const active_ptr& current, http_response answer)
{
    current->ended = true;
    // Nothing is left in the queue of a request that ended while it waited there.
    m_options.targets.cancel(current->ticket);
    current->hop.set("request", current->marks.id.str());
    current->hop.set("outcome", std::string(name_of(current->marks.told)));
    current->hop.end();
    m_options.metrics.record({.priority = current->subject.priority,
                              .told = current->marks.told,
                              .attempts = current->marks.attempts,
                              .duration = m_options.loop.now() - current->arrived});
    current->respond(std::move(answer));
    m_active.erase(current);
}

} // namespace plantaindoor::process
