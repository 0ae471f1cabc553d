#include "plantaindoor/request/answer_check.hpp"

namespace plantaindoor::request {

namespace {

constexpr std::uint16_t first_final_status = 200;
constexpr std::uint16_t no_content_status = 204;
constexpr std::uint16_t not_modified_status = 304;
constexpr std::uint16_t last_status = 599;

} // namespace

answer_verdict answer_check::settle(answer_verdict verdict)
{
    if (m_verdict == answer_verdict::incomplete) {
        m_verdict = verdict;
    }
    return m_verdict;
}

bool answer_check::bodiless(const answer_head& head) const
{
    return m_expected.head_only || head.status == no_content_status ||
           head.status == not_modified_status;
}

answer_verdict answer_check::judge_head(const answer_head& head) const
{
    if (head.status < first_final_status || head.status > last_status) {
        return answer_verdict::malformed;
    }
    if (head.length && head.chunked) {
        return answer_verdict::malformed;
    }
    const bool named = m_echo_required || !head.request_id.empty();
    if (named && head.request_id != m_expected.request_id) {
        return answer_verdict::foreign;
    }
    if (bodiless(head)) {
        return answer_verdict::incomplete;
    }
    if (!head.length && !head.chunked) {
        return answer_verdict::undelimited;
    }
    if (head.length && *head.length > m_expected.limits.max_bytes) {
        return answer_verdict::over_long;
    }
    return answer_verdict::incomplete;
}

answer_verdict answer_check::judge_time(time_point now) const
{
    if (now >= m_expected.deadline) {
        return answer_verdict::late;
    }
    const nanoseconds since_head = now - m_head_at;
    if (!m_has_head || since_head <= m_expected.limits.rate_grace) {
        return answer_verdict::incomplete;
    }
    const double needed = static_cast<double>(m_expected.limits.min_bytes_per_second) *
                          std::chrono::duration<double>(since_head).count();
    return static_cast<double>(m_bytes) < needed ? answer_verdict::too_slow
                                                 : answer_verdict::incomplete;
}

answer_verdict answer_check::head(const answer_head& head, time_point now)
{
    if (now >= m_expected.deadline) {
        return settle(answer_verdict::late);
    }
    if (m_has_head) {
        return settle(answer_verdict::malformed);
    }
    m_has_head = true;
    m_head_at = now;
    m_length = bodiless(head) ? std::optional<std::size_t>(0) : head.length;
    return settle(judge_head(head));
}

answer_verdict answer_check::body(std::size_t bytes, time_point now)
{
    if (!m_has_head) {
        return settle(answer_verdict::malformed);
    }
    m_bytes += bytes;
    if (m_bytes > m_length.value_or(m_expected.limits.max_bytes)) {
        return settle(answer_verdict::over_long);
    }
    return tick(now);
}

answer_verdict answer_check::end(bool clean, time_point now)
{
    if (now >= m_expected.deadline) {
        return settle(answer_verdict::late);
    }
    if (!clean || !m_has_head || (m_length && m_bytes != *m_length)) {
        return settle(answer_verdict::truncated);
    }
    return settle(answer_verdict::whole);
}

answer_verdict answer_check::tick(time_point now)
{
    return settle(judge_time(now));
}

} // namespace plantaindoor::request
