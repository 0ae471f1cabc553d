// W3C trace context: the identity of a span as it travels in the header "traceparent".
#pragma once

#include "plantaindoor/common/enum_names.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace plantaindoor {

struct trace_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] bool empty() const noexcept { return high == 0 && low == 0; }
    /// 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string str() const;

    friend bool operator==(const trace_id&, const trace_id&) = default;
};

/// Zero is never a span.
using span_id = std::uint64_t;

/// 16 lower-case hexadecimal digits.
[[nodiscard]] std::string span_id_text(span_id id);

/// What a hop passes on to the next.
struct trace_context {
    trace_id trace;
    span_id span = 0;
    /// Spans of a trace that is not sampled are not kept.
    bool sampled = true;

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// What is wrong with a traceparent header.
enum class traceparent_fault { length, separator, version, trace, span, flags };

template<>
struct enum_names<traceparent_fault> {
    static constexpr std::array<enum_name<traceparent_fault>, 6> table{{
        {traceparent_fault::length, "length"},
        {traceparent_fault::separator, "separator"},
        {traceparent_fault::version, "version"},
        {traceparent_fault::trace, "trace-id"},
        {traceparent_fault::span, "parent-id"},
        {traceparent_fault::flags, "trace-flags"},
    }};
};

using traceparent_result = std::variant<trace_context, traceparent_fault>;

/// Parses a header's value. Of later versions than 00 it reads the part that 00 defines, as W3C
/// asks. Thread-safe.
[[nodiscard]] traceparent_result parse_traceparent(std::string_view text) noexcept;
/// The header's value, version 00. Thread-safe.
[[nodiscard]] std::string format_traceparent(const trace_context& context);

} // namespace plantaindoor
