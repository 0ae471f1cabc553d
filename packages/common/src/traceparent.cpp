#include "plantaindoor/common/traceparent.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <optional>

namespace plantaindoor {

namespace {

// 00-0123456789abcdef0123456789abcdef-0123456789abcdef-01
constexpr std::size_t version_at = 0;
constexpr std::size_t trace_at = 3;
constexpr std::size_t span_at = 36;
constexpr std::size_t flags_at = 53;
constexpr std::size_t length_of_version_00 = 55;
constexpr std::size_t digits_of_u64 = 16;
constexpr std::uint64_t forbidden_version = 0xff;
constexpr std::uint64_t sampled_flag = 1;

std::optional<std::uint64_t> digit_value(char digit) noexcept
{
    if (digit >= '0' && digit <= '9') {
        return static_cast<std::uint64_t>(digit - '0');
    }
    if (digit >= 'a' && digit <= 'f') {
        return static_cast<std::uint64_t>(digit - 'a') + 10;
    }
    return std::nullopt;
}

/// Reads lower-case hexadecimal digits alone, as W3C asks.
std::optional<std::uint64_t> hex_value(std::string_view digits) noexcept
{
    std::uint64_t value = 0;
    for (const char each : digits) {
        const auto digit = digit_value(each);
        if (!digit) {
            return std::nullopt;
        }
        value = value << 4 | *digit;
    }
    return value;
}

} // namespace

std::string trace_id::str() const
{
    return fmt::format("{:016x}{:016x}", high, low);
}

std::string span_id_text(span_id id)
{
    return fmt::format("{:016x}", id);
}

traceparent_result parse_traceparent(std::string_view text) noexcept
{
    if (text.size() < length_of_version_00) {
        return traceparent_fault::length;
    }
    const auto version = hex_value(text.substr(version_at, 2));
    if (!version || *version == forbidden_version) {
        return traceparent_fault::version;
    }
    if (*version == 0 && text.size() != length_of_version_00) {
        return traceparent_fault::length;
    }
    const bool separated =
        text[trace_at - 1] == '-' && text[span_at - 1] == '-' && text[flags_at - 1] == '-';
    if (!separated || (text.size() > length_of_version_00 && text[length_of_version_00] != '-')) {
        return traceparent_fault::separator;
    }
    const auto high = hex_value(text.substr(trace_at, digits_of_u64));
    const auto low = hex_value(text.substr(trace_at + digits_of_u64, digits_of_u64));
    if (!high || !low || (*high == 0 && *low == 0)) {
        return traceparent_fault::trace;
    }
    const auto span = hex_value(text.substr(span_at, digits_of_u64));
    if (!span || *span == 0) {
        return traceparent_fault::span;
    }
    const auto flags = hex_value(text.substr(flags_at, 2));
    if (!flags) {
        return traceparent_fault::flags;
    }
    return trace_context{.trace = {.high = *high, .low = *low},
                         .span = *span,
                         .sampled = (*flags & sampled_flag) != 0};
}

std::string format_traceparent(const trace_context& context)
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", context.trace.high, context.trace.low,
                       context.span, context.sampled ? 1 : 0);
}

} // namespace plantaindoor
