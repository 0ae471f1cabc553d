// The refusals that a request with an idempotency key may meet.
#pragma once

#include "plantaindoor/request/outcome.hpp"

#include <cstdint>
#include <string>

namespace plantaindoor::request {

/// The key was used before for another method, path or body.
class key_reused_refusal : public refusal {
public:
    explicit key_reused_refusal(const std::string& key)
        : refusal("key-reused", "the idempotency key was used for another request", {{"key", key}},
                  {.status = 422})
    {
    }
};

/// An earlier request with this key has not ended yet, or its end is not recorded yet.
class key_in_progress_refusal : public refusal {
public:
    key_in_progress_refusal(const std::string& key, milliseconds retry_after)
        : refusal("key-in-progress", "an earlier request with this key may still be running",
                  {{"key", key}},
                  {.status = 409, .retry_after = retry_after, .told = outcome::unknown})
    {
    }
};

/// An earlier request with this key may have run; nothing more will ever be known of it.
class key_outcome_unknown_refusal : public refusal {
public:
    explicit key_outcome_unknown_refusal(const std::string& key)
        : refusal("key-outcome-unknown",
                  "an earlier request with this key may have run, and its answer was lost",
                  {{"key", key}}, {.status = 409, .told = outcome::unknown})
    {
    }
};

/// An earlier request with this key was answered; its body was too long to be kept.
class key_already_answered_refusal : public refusal {
public:
    key_already_answered_refusal(const std::string& key, std::uint16_t answered_status)
        : refusal("key-already-answered",
                  "an earlier request with this key was answered; the body was not kept",
                  {{"key", key}, {"answered_status", std::to_string(answered_status)}},
                  {.status = 409, .told = outcome::unknown})
    {
    }
};

/// Whether a refused claim may have left its row behind.
enum class claim_left { none, pending };

/// The table can't take the claim, so the request was not sent. With `pending` the row may exist
/// until the entry has marked it released; until then a repeat meets key-in-progress.
class claims_unavailable_refusal : public refusal {
public:
    claims_unavailable_refusal(const std::string& reason, milliseconds retry_after, claim_left left)
        : refusal("claims-unavailable", "the idempotency key can't be claimed: " + reason,
                  {{"reason", reason}, {"claim", left == claim_left::none ? "none" : "pending"}},
                  {.status = 503, .retry_after = retry_after})
    {
    }
};

} // namespace plantaindoor::request
