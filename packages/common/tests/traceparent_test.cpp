#include "plantaindoor/common/traceparent.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <optional>
#include <regex>
#include <string>

using namespace plantaindoor;

namespace {

const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// The naive version: W3C's grammar as a regular expression.
bool accepted_by_grammar(const std::string& text)
{
    static const std::regex grammar(
        "(?!ff)([0-9a-f]{2})-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}"
        "-[0-9a-f]{2}(-[^]*)?");
    return std::regex_match(text, grammar) && (text.substr(0, 2) != "00" || text.size() == 55);
}

bool accepted(const std::string& text)
{
    return std::holds_alternative<trace_context>(parse_traceparent(text));
}

std::string with(std::size_t at, const std::string& replacement)
{
    return std::string(valid).replace(at, replacement.size(), replacement);
}

} // namespace

TEST_CASE("a valid header is read, and written as it was", "[traceparent]")
{
    const auto context = std::get<trace_context>(parse_traceparent(valid));
    CHECK(context.trace.str() == "0af7651916cd43dd8448eb211c80319c");
    CHECK(span_id_text(context.span) == "b7ad6b7169203331");
    CHECK(context.sampled);
    CHECK(format_traceparent(context) == valid);
    CHECK_FALSE(std::get<trace_context>(parse_traceparent(with(53, "fe"))).sampled);
    CHECK(accepted(with(0, "cc") + "-what later versions add"));
}

TEST_CASE("each fault of a header has its type", "[traceparent]")
{
    const auto fault = [](const std::string& text) {
        return std::get<traceparent_fault>(parse_traceparent(text));
    };
    CHECK(fault("") == traceparent_fault::length);
    CHECK(fault(valid + "-") == traceparent_fault::length);
    CHECK(fault(with(0, "ff")) == traceparent_fault::version);
    CHECK(fault(with(0, "cc") + "x") == traceparent_fault::separator);
    CHECK(fault(with(35, "_")) == traceparent_fault::separator);
    CHECK(fault(with(3, "0AF7")) == traceparent_fault::trace);
    CHECK(fault(with(3, std::string(32, '0'))) == traceparent_fault::trace);
    CHECK(fault(with(36, std::string(16, '0'))) == traceparent_fault::span);
    CHECK(fault(with(53, "0x")) == traceparent_fault::flags);
}

TEST_CASE("the parser accepts what W3C's grammar accepts", "[traceparent]")
{
    REQUIRE(rc::check("random bytes", [](const std::string& text) {
        RC_ASSERT(accepted(text) == accepted_by_grammar(text));
    }));
    REQUIRE(rc::check("a valid header with some bytes changed, added or cut", [] {
        std::string text = valid;
        const auto edits = *rc::gen::inRange(0, 4);
        for (int i = 0; i < edits; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::elementOf(std::string("0019afAFg- \x80"));
        }
        text.resize(*rc::gen::element<std::size_t>(54, 55, 55, 55, 56, 60), '-');
        RC_ASSERT(accepted(text) == accepted_by_grammar(text));
    }));
    REQUIRE(rc::check("any context reads back", [](std::uint64_t high, std::uint64_t low,
                                                   std::uint64_t span, bool sampled) {
        RC_PRE(span != 0 && (high != 0 || low != 0));
        const trace_context context{.trace = {high, low}, .span = span, .sampled = sampled};
        RC_ASSERT(std::get<trace_context>(parse_traceparent(format_traceparent(context))) ==
                  context);
    }));
}
