#include "plantaindoor/process/target_call.hpp"

#include "plantaindoor/connection/caller_headers.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace plantaindoor::process {

using connection::http_header;
using connection::http_response;
using connection::same_header;
using connection::transport_fault;
using request::answer_verdict;

namespace {

/// How often an answer that has begun is judged while nothing arrives.
constexpr milliseconds tick_period{500};

std::optional<std::size_t> parsed_length(const std::string& text)
{
    std::size_t length = 0;
    const char* const last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, length);
    return code == std::errc{} && end == last ? std::optional(length) : std::nullopt;
}

/// What the check needs of a head. Lengths that contradict one another or can't be read make it
/// look like one with both kinds of framing, which the check calls malformed.
request::answer_head head_of(const http_response& response)
{
    request::answer_head head{.status = response.status};
    bool contradictory = false;
    for (const http_header& header : response.headers) {
        if (same_header(header.name, "Content-Length")) {
            const auto length = parsed_length(header.value);
            contradictory |= !length || (head.length && head.length != length);
            head.length = length.value_or(0);
        }
        else if (same_header(header.name, "Transfer-Encoding")) {
            head.chunked = true;
        }
        else if (same_header(header.name, connection::request_id_header)) {
            head.request_id = header.value;
        }
    }
    head.chunked |= contradictory;
    return head;
}

milliseconds until(time_point at, time_point now)
{
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(at - now));
}

} // namespace

/// Shared with the client, which may hold it longer than the call lives.
class target_call::watch final : public connection::call_observer {
public:
    watch(const event_loop& loop, request::answer_expectation expected, bool echo_on_kept,
          std::function<bool()> may_send)
        : m_loop(loop),
          m_check(std::move(expected)),
          m_echo_on_kept(echo_on_kept),
          m_may_send(std::move(may_send))
    {
    }

    bool may_send(bool kept) override
    {
        m_kept = kept;
        if (kept && m_echo_on_kept) {
            m_check.require_echo();
        }
        m_sent = m_sent || m_may_send();
        return m_sent;
    }

    bool head(const http_response& head) override
    {
        const request::answer_head read = head_of(head);
        m_echoed = !read.request_id.empty();
        return m_check.head(read, m_loop.now()) == answer_verdict::incomplete;
    }

    bool body(std::size_t bytes) override
    {
        return m_check.body(bytes, m_loop.now()) == answer_verdict::incomplete;
    }

    answer_verdict end(bool clean) { return m_check.end(clean, m_loop.now()); }
    answer_verdict tick() { return m_check.tick(m_loop.now()); }
    /// Whether the first byte was allowed to leave.
    [[nodiscard]] bool sent() const { return m_sent; }
    [[nodiscard]] answer_verdict verdict() const { return m_check.verdict(); }
    [[nodiscard]] bool kept() const { return m_kept; }
    [[nodiscard]] bool echoed() const { return m_echoed; }

private:
    const event_loop& m_loop;
    request::answer_check m_check;
    bool m_echo_on_kept;
    bool m_kept = false;
    bool m_echoed = false;
    std::function<bool()> m_may_send;
    bool m_sent = false;
};

target_call::target_call(event_loop& loop, connection::http_client& client,
                         target_call_options options, callback done)
    : m_loop(loop),
      m_client(client),
      m_done(std::move(done)),
      m_answer_by(options.answer_by),
      m_watch(std::make_shared<watch>(loop, std::move(options.expected), options.echo_on_kept,
                                      std::move(options.may_send)))
{
    const time_point now = loop.now();
    const std::size_t limit = options.expected.limits.max_bytes;
    m_call = m_client.start({.to = std::move(options.to),
                             .request = std::move(options.request),
                             .timeout = until(std::max(options.answer_by, options.run_by), now),
                             .connect_timeout = until(options.connect_by, now),
                             .answer_limit_bytes = limit,
                             .use = options.use,
                             .observer = m_watch,
                             .hop = "entry -> target",
                             .parent = options.parent},
                            [this](connection::http_result result) { end(std::move(result)); });
    schedule_tick();
}

target_call::~target_call()
{
    m_loop.cancel(m_tick);
    m_client.cancel(m_call);
}

void target_call::schedule_tick()
{
    const nanoseconds left = std::max(nanoseconds(0), m_answer_by - m_loop.now());
    m_tick = m_loop.call_after(std::min<nanoseconds>(tick_period, left), [this] { tick(); });
}

void target_call::tick()
{
    if (m_watch->tick() == answer_verdict::incomplete) {
        schedule_tick();
        return;
    }
    m_tick = timer_id::none;
    if (m_watch->verdict() == answer_verdict::late && m_watch->sent()) {
        report({.verdict = answer_verdict::late,
                .fault = transport_fault::timed_out,
                .still_running = true});
        return;
    }
    m_client.cancel(m_call);
    finish({.fault = m_watch->sent() ? transport_fault::rejected : transport_fault::connect_failed,
            .sent = m_watch->sent()});
}

void target_call::end(connection::http_result result)
{
    if (m_done) {
        finish(std::move(result));
        return;
    }
    const idle_callback idle = std::move(m_idle);
    if (idle) {
        idle();
    }
}

void target_call::finish(connection::http_result result)
{
    m_loop.cancel(m_tick);
    m_tick = timer_id::none;
    target_call_result ended{.verdict = m_watch->verdict(),
                             .fault = result.fault,
                             .kept = m_watch->kept(),
                             .echoed = m_watch->echoed(),
                             .response = std::move(result.response)};
    if (ended.verdict == answer_verdict::incomplete) {
        ended.verdict = m_watch->end(result.fault == transport_fault::none);
    }
    report(std::move(ended));
}

void target_call::report(target_call_result result)
{
    const callback done = std::exchange(m_done, nullptr);
    done(std::move(result));
}

} // namespace plantaindoor::process
