// The callers' contract in headers: reading a request, and marking an answer. See docs/CALLERS.md.
#pragma once

#include "plantaindoor/connection/http_message.hpp"
#include "plantaindoor/request/caller_request.hpp"
#include "plantaindoor/request/outcome.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstdint>
#include <string>

namespace plantaindoor::connection {

inline constexpr std::string_view deadline_header = "Plantaindoor-Deadline-Ms";
inline constexpr std::string_view priority_header = "Plantaindoor-Priority";
inline constexpr std::string_view idempotent_header = "Plantaindoor-Idempotent";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";
inline constexpr std::string_view outcome_header = "Plantaindoor-Outcome";
inline constexpr std::string_view request_id_header = "Plantaindoor-Request-Id";
inline constexpr std::string_view attempts_header = "Plantaindoor-Attempts";
/// Present on an answer that was recorded for an earlier request with the same key.
inline constexpr std::string_view replayed_header = "Plantaindoor-Replayed";
inline constexpr std::string_view traceparent_header = "traceparent";

/// Where and when a request arrived.
struct arrival {
    request_id id;
    time_point at{};
};

/// Reads a request against the fleet. Throws unknown_service_refusal or malformed_header_refusal.
/// Thread-safe.
[[nodiscard]] request::caller_request
read_caller_request(const http_request& from, const version::fleet& fleet, const arrival& arrived);

/// What is known of a request when its answer is made.
struct answer_marks {
    request_id id;
    request::outcome told = request::outcome::not_run;
    std::uint32_t attempts = 0;
};

/// A target's headers that its caller gets: neither the hop's own nor the entry's. Thread-safe.
[[nodiscard]] http_headers end_to_end_headers(http_headers headers);

/// A target's whole answer for the caller: status and body unaltered, marked. Thread-safe.
[[nodiscard]] http_response marked_answer(http_response from_target, const answer_marks& marks);

/// A refusal's answer: its status, Retry-After and typed JSON body, marked. Thread-safe.
[[nodiscard]] http_response refusal_answer(const request::refusal& why, answer_marks marks);

/// The request as the target gets it: without the hop's own headers, with the id and the time left.
/// The HTTP client adds the trace's header. Thread-safe.
[[nodiscard]] http_request request_for_target(const http_request& from, const request_id& id,
                                              milliseconds left);

} // namespace plantaindoor::connection
