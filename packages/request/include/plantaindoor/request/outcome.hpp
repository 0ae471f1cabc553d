// What a caller is told about its request, and the typed refusals.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace plantaindoor::request {

/// The one truth about a request.
enum class outcome {
    answered, ///< a target's whole answer is passed on
    not_run,  ///< no target has run it, and none will
    unknown,  ///< a target may have run it
};

/// A refusal that a caller may meet: answered with its status and, where set, Retry-After.
class refusal : public error {
public:
    [[nodiscard]] std::uint16_t status() const noexcept { return m_status; }
    /// Zero: no Retry-After header.
    [[nodiscard]] milliseconds retry_after() const noexcept { return m_retry_after; }
    [[nodiscard]] outcome told() const noexcept { return m_outcome; }

protected:
    struct options {
        std::uint16_t status = 503;
        milliseconds retry_after{0};
        outcome told = outcome::not_run;
    };

    refusal(std::string_view type, const std::string& message, std::vector<error_field> fields,
            options how)
        : error(type, message, std::move(fields)),
          m_status(how.status),
          m_retry_after(how.retry_after),
          m_outcome(how.told)
    {
    }

private:
    std::uint16_t m_status;
    milliseconds m_retry_after;
    outcome m_outcome;
};

/// The path names no service.
class unknown_service_refusal : public refusal {
public:
    explicit unknown_service_refusal(const service_id& service)
        : refusal("unknown-service", "no service is named \"" + service.str() + "\"",
                  {{"service", service.str()}}, {.status = 404})
    {
    }
};

/// A request header can't be understood.
class malformed_header_refusal : public refusal {
public:
    malformed_header_refusal(const std::string& header, const std::string& value,
                             const std::string& expected)
        : refusal("malformed-header", header + " must be " + expected,
                  {{"header", header}, {"value", value}, {"expected", expected}}, {.status = 400})
    {
    }
};

/// The request's body is longer than the limit.
class body_too_large_refusal : public refusal {
public:
    explicit body_too_large_refusal(std::size_t limit_bytes)
        : refusal("body-too-large",
                  "the body is longer than " + std::to_string(limit_bytes) + " bytes",
                  {{"limit_bytes", std::to_string(limit_bytes)}}, {.status = 413})
    {
    }
};

/// No target of the service may take the request now.
class no_target_refusal : public refusal {
public:
    no_target_refusal(const service_id& service, milliseconds retry_after)
        : refusal("no-target", "service \"" + service.str() + "\" has no target free to take work",
                  {{"service", service.str()}}, {.status = 503, .retry_after = retry_after})
    {
    }
};

/// The entry has stopped taking new work: it is ending, or can't know whether it is current.
class not_serving_refusal : public refusal {
public:
    not_serving_refusal(const std::string& reason, milliseconds retry_after)
        : refusal("not-serving", "this entry takes no new work: " + reason, {{"reason", reason}},
                  {.status = 503, .retry_after = retry_after})
    {
    }
};

/// The deadline passed, or the connection broke, after a target may have started.
class lost_answer_refusal : public refusal {
public:
    lost_answer_refusal(const std::string& reason, std::uint16_t status)
        : refusal("lost-answer", "a target may have run the request: " + reason,
                  {{"reason", reason}}, {.status = status, .told = outcome::unknown})
    {
    }
};

/// Every permitted attempt failed before any target could start.
class target_unreachable_refusal : public refusal {
public:
    target_unreachable_refusal(const std::string& reason, milliseconds retry_after)
        : refusal("target-unreachable", "no target could be reached: " + reason,
                  {{"reason", reason}}, {.status = 503, .retry_after = retry_after})
    {
    }
};

} // namespace plantaindoor::request

namespace plantaindoor {

template<>
struct enum_names<request::outcome> {
    static constexpr std::array<enum_name<request::outcome>, 3> table{{
        {request::outcome::answered, "answered"},
        {request::outcome::not_run, "not-run"},
        {request::outcome::unknown, "unknown"},
    }};
};

} // namespace plantaindoor
