#include "plantaindoor/request/claim_verdict.hpp"

#include "plantaindoor/request/claim_refusals.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::request {

namespace {

constexpr milliseconds longest_in_progress_wait{1000};
constexpr milliseconds shortest_in_progress_wait{100};

template<class Refusal, class... Fields>
claim_verdict refused(const repeat& request, Fields&&... fields)
{
    return {.ticket = request.ticket,
            .decision = claim_decision::refused,
            .why = std::make_shared<Refusal>(request.row_key, std::forward<Fields>(fields)...)};
}

claim_verdict judge_answered(const repeat& request, const claim_record& row)
{
    if (!row.answer.kept) {
        return refused<key_already_answered_refusal>(request, row.answer.status);
    }
    return {.ticket = request.ticket, .decision = claim_decision::replay, .recorded = row.answer};
}

} // namespace

claim_verdict judge_repeat(const repeat& request, const claim_record& row, wall_time now,
                           milliseconds grace)
{
    if (row.request_hash != request.request_hash) {
        return refused<key_reused_refusal>(request);
    }
    if (row.state == claim_state::answered) {
        return judge_answered(request, row);
    }
    const milliseconds left = row.ends_by + grace - now;
    if (row.state == claim_state::unknown || left <= milliseconds(0)) {
        return refused<key_outcome_unknown_refusal>(request);
    }
    return refused<key_in_progress_refusal>(
        request, std::clamp(left, shortest_in_progress_wait, longest_in_progress_wait));
}

} // namespace plantaindoor::request
