// Judges a target's answer while it arrives: whole, within its limits, fast enough, and the
// caller's own. Only a whole answer may be passed on.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace plantaindoor::request {

/// What is known of an answer so far.
enum class answer_verdict {
    incomplete,  ///< nothing wrong yet
    whole,       ///< may be passed on
    truncated,   ///< ended before its declared length or last chunk
    over_long,   ///< longer than declared, or than the limit
    undelimited, ///< neither a length nor chunks: its end can't be told from a cut
    malformed,   ///< contradictory head
    foreign,     ///< carries another request's id, or none where it must
    too_slow,    ///< below the minimum rate
    late,        ///< the deadline passed
};

struct answer_limits {
    std::size_t max_bytes = std::size_t{4} << 20;
    /// Body bytes per second, averaged since the head; judged after `rate_grace`. Zero: unlimited.
    std::size_t min_bytes_per_second = 64;
    /// How long after the head the rate is not judged.
    milliseconds rate_grace{2000};
};

/// What an answer's head says.
struct answer_head {
    std::uint16_t status = 0;
    std::optional<std::size_t> length;
    bool chunked = false;
    /// The request id that the target echoed; empty if it echoed none.
    std::string request_id;
};

struct answer_expectation {
    std::string request_id;
    /// The request's method is HEAD.
    bool head_only = false;
    time_point deadline{};
    answer_limits limits;
};

/// One answer's judge. Every call returns the verdict so far; the first one other than `incomplete`
/// stands. Not synchronised.
class answer_check {
public:
    explicit answer_check(answer_expectation expected) : m_expected(std::move(expected)) {}

    /// Something else could be on the answer's connection: one without the request's id counts as
    /// foreign. To be said before the head.
    void require_echo() { m_echo_required = true; }
    answer_verdict head(const answer_head& head, time_point now);
    answer_verdict body(std::size_t bytes, time_point now);
    /// The transport reports the end; `clean` if the declared length or the last chunk was seen.
    answer_verdict end(bool clean, time_point now);
    /// Nothing arrived; judges deadline and rate only.
    answer_verdict tick(time_point now);

    [[nodiscard]] answer_verdict verdict() const { return m_verdict; }

private:
    answer_verdict settle(answer_verdict verdict);
    [[nodiscard]] bool bodiless(const answer_head& head) const;
    [[nodiscard]] answer_verdict judge_head(const answer_head& head) const;
    [[nodiscard]] answer_verdict judge_time(time_point now) const;

    answer_expectation m_expected;
    std::optional<std::size_t> m_length;
    bool m_echo_required = false;
    bool m_has_head = false;
    time_point m_head_at{};
    std::size_t m_bytes = 0;
    answer_verdict m_verdict = answer_verdict::incomplete;
};

} // namespace plantaindoor::request

namespace plantaindoor {

template<>
struct enum_names<request::answer_verdict> {
    static constexpr std::array<enum_name<request::answer_verdict>, 9> table{{
        {request::answer_verdict::incomplete, "incomplete"},
        {request::answer_verdict::whole, "whole"},
        {request::answer_verdict::truncated, "truncated"},
        {request::answer_verdict::over_long, "over-long"},
        {request::answer_verdict::undelimited, "undelimited"},
        {request::answer_verdict::malformed, "malformed"},
        {request::answer_verdict::foreign, "foreign"},
        {request::answer_verdict::too_slow, "too-slow"},
        {request::answer_verdict::late, "late"},
    }};
};

} // namespace plantaindoor
