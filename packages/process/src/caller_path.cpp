#include "plantaindoor/process/caller_path.hpp"

#include "plantaindoor/connection/caller_headers.hpp"
#include "plantaindoor/request/caller_request.hpp"
#include "plantaindoor/request/outcome.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

using connection::http_request;
using connection::http_response;
using connection::http_result;
using connection::marked_answer;
using connection::read_caller_request;
using connection::refusal_answer;
using connection::request_for_target;
using connection::transport_fault;

namespace {

constexpr milliseconds retry_advice{1000};
constexpr std::uint16_t gateway_timeout = 504;
constexpr std::uint16_t bad_gateway = 502;

} // namespace

struct caller_path::active_request {
    http_request from;
    request::caller_request subject;
    connection::http_responder respond;
    connection::answer_marks marks;
};

caller_path::caller_path(caller_path_options options) : m_options(std::move(options)) {}
caller_path::~caller_path() = default;

void caller_path::handle(http_request from, connection::http_responder respond)
{
    auto current = std::make_shared<active_request>();
    current->marks.id = next_id();
    current->respond = std::move(respond);
    ++m_in_progress;
    try {
        const std::string reason = m_options.not_serving_reason();
        if (!reason.empty()) {
            throw request::not_serving_refusal(reason, retry_advice);
        }
        current->subject = read_caller_request(
            from, *m_options.log.current(), {.id = current->marks.id, .at = m_options.loop.now()});
        current->from = std::move(from);
        choose_and_send(current);
    }
    catch (const request::refusal& why) {
        finish(*current, refusal_answer(why, current->marks));
    }
}

http_response caller_path::overflow_answer()
{
    return refusal_answer(request::body_too_large_refusal(m_options.body_limit_bytes),
                          {.id = next_id()});
}

std::size_t caller_path::in_progress() const
{
    return m_in_progress;
}

std::vector<instance_id> caller_path::busy_targets() const
{
    std::vector<instance_id> busy;
    for (const auto& [id, count] : m_sent) {
        busy.push_back(id);
    }
    return busy;
}

request_id caller_path::next_id()
{
    return request_id(m_options.id_prefix + "-" + std::to_string(++m_last_request));
}

const version::instance* caller_path::choose(const version::fleet& fleet, const service_id& service)
{
    const auto& pools = fleet.services.at(service).pools;
    std::vector<const version::instance*> admitted;
    for (const auto& [id, instance] : fleet.instances) {
        if (instance.state == version::instance_state::admitted &&
            std::ranges::find(pools, instance.pool) != pools.end()) {
            admitted.push_back(&instance);
        }
    }
    return admitted.empty() ? nullptr : admitted[m_last_choice++ % admitted.size()];
}

void caller_path::choose_and_send(const std::shared_ptr<active_request>& current)
{
    const auto fleet = m_options.log.current();
    const request::caller_request& subject = current->subject;
    const version::instance* const target = choose(*fleet, subject.service);
    if (target == nullptr) {
        throw request::no_target_refusal(subject.service, retry_advice);
    }
    const auto left = std::chrono::floor<milliseconds>(subject.deadline - m_options.loop.now());
    ++current->marks.attempts;
    ++m_sent[target->id];
    m_options.client.start(
        {.to = {.address = target->address, .port = target->port},
         .request = request_for_target(current->from, current->marks.id, left, ""),
         .timeout = std::max(left, milliseconds(1)),
         .answer_limit_bytes = m_options.answer_limit_bytes},
        [this, current, id = target->id](http_result result) {
            on_result(current, id, std::move(result));
        });
}

void caller_path::on_result(const std::shared_ptr<active_request>& current,
                            const instance_id& target, http_result result)
{
    if (--m_sent[target] == 0) {
        m_sent.erase(target);
    }
    if (result.fault == transport_fault::none) {
        current->marks.told = request::outcome::answered;
        finish(*current, marked_answer(std::move(result.response), current->marks));
        return;
    }
    const std::string reason(name_of(result.fault));
    if (!result.sent) {
        finish(*current, refusal_answer(request::target_unreachable_refusal(reason, retry_advice),
                                        current->marks));
        return;
    }
    const bool late = result.fault == transport_fault::timed_out;
    finish(*current, refusal_answer(
                         request::lost_answer_refusal(reason, late ? gateway_timeout : bad_gateway),
                         current->marks));
}

void caller_path::finish(active_request& current, http_response answer)
{
    --m_in_progress;
    current.respond(std::move(answer));
}

} // namespace plantaindoor::process
