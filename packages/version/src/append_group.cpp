#include "plantaindoor/version/append_group.hpp"

#include "plantaindoor/version/codec.hpp"

#include <algorithm>
#include <memory>

namespace plantaindoor::version {

namespace {

bool guards_agree(const append_request& a, const append_request& b)
{
    return std::ranges::none_of(a.guards, [&](const row_condition& left) {
        return std::ranges::any_of(b.guards, [&](const row_condition& right) {
            return left.key == right.key && left.version != right.version;
        });
    });
}

bool writes_row(const append_request& request, const std::string& key)
{
    return std::ranges::any_of(request.also,
                               [&](const row_write& write) { return write.key == key; });
}

bool rows_differ(const append_request& a, const append_request& b)
{
    return std::ranges::none_of(a.also,
                                [&](const row_write& write) { return writes_row(b, write.key); });
}

void append_text(std::string& all, const std::string& text, const char* separator)
{
    if (text.empty() || all == text || all.ends_with(separator + text)) {
        return;
    }
    all += all.empty() ? text : separator + text;
}

/// Throws invalid_value_error for what the log can't hold, so that one request can't fail its
/// group.
void check_encodable(const append_request& request, const std::vector<change>& changes)
{
    static_cast<void>(
        encode(delta{.author = request.author, .reason = request.reason, .changes = changes}));
}

/// Collects the proposals that fit, judging each against the state that the others lead to.
class folder {
public:
    explicit folder(const fleet& base) : m_base(base) { m_folded.step.version = base.version + 1; }

    void add(const append_request& request) { m_folded.judged.push_back(judge(request)); }

    folded_step take() { return std::move(m_folded); }

private:
    judged_proposal judge(const append_request& request)
    {
        try {
            const std::vector<change> changes =
                request.propose(m_trial == nullptr ? m_base : *m_trial);
            if (changes.empty()) {
                return {.verdict = proposal_verdict::unchanged};
            }
            join(request, changes);
            return {.verdict = proposal_verdict::joined};
        }
        catch (...) {
            return {.verdict = proposal_verdict::refused, .refusal = std::current_exception()};
        }
    }

    void join(const append_request& request, const std::vector<change>& changes)
    {
        check_encodable(request, changes);
        delta whole = m_folded.step;
        whole.changes.insert(whole.changes.end(), changes.begin(), changes.end());
        m_trial = applied(m_base, whole);
        append_text(whole.author, request.author, ", ");
        append_text(whole.reason, request.reason, "; ");
        m_folded.step = std::move(whole);
        m_folded.guards.insert(m_folded.guards.end(), request.guards.begin(), request.guards.end());
        m_folded.also.insert(m_folded.also.end(), request.also.begin(), request.also.end());
        m_folded.any = true;
    }

    const fleet& m_base;
    fleet_ptr m_trial;
    folded_step m_folded;
};

} // namespace

bool compatible(std::span<const append_request> group, const append_request& next)
{
    return std::ranges::all_of(group, [&](const append_request& each) {
        return guards_agree(each, next) && rows_differ(each, next);
    });
}

folded_step fold(const fleet& base, std::span<const append_request> group)
{
    folder all(base);
    for (const append_request& each : group) {
        all.add(each);
    }
    return all.take();
}

} // namespace plantaindoor::version
