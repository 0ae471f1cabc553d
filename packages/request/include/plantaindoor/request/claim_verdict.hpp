// What a caller with an idempotency key is told when its key has been claimed already.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/claim_queue.hpp"
#include "plantaindoor/request/claim_record.hpp"
#include "plantaindoor/request/outcome.hpp"

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace plantaindoor::request {

/// The present, in both clocks. The wall time decides only what repeats are told, never safety.
struct moment {
    time_point steady{};
    wall_time wall{};
};

enum class claim_decision {
    granted, ///< the request may be sent, by this owner only; finish() must follow
    replay,  ///< the key has ended: pass the recorded answer on
    refused, ///< answer with the refusal
};

struct claim_verdict {
    claim_ticket ticket = claim_ticket::none;
    claim_decision decision = claim_decision::refused;
    /// Only for replay.
    recorded_answer recorded;
    /// Only for refused.
    std::shared_ptr<const refusal> why;
};

/// A request that meets a row of an earlier request with its key.
struct repeat {
    claim_ticket ticket = claim_ticket::none;
    std::string row_key;
    std::string request_hash;
};

/// Judges a repeat by the row. `grace` is how long after `ends_by` an entry may still be recording
/// the end. Precondition: the row is not released, or has another request hash. Thread-safe.
[[nodiscard]] claim_verdict judge_repeat(const repeat& request, const claim_record& row,
                                         wall_time now, milliseconds grace);

} // namespace plantaindoor::request

namespace plantaindoor {

template<>
struct enum_names<request::claim_decision> {
    static constexpr std::array<enum_name<request::claim_decision>, 3> table{{
        {request::claim_decision::granted, "granted"},
        {request::claim_decision::replay, "replay"},
        {request::claim_decision::refused, "refused"},
    }};
};

} // namespace plantaindoor
