// Folds the proposals of several racing writers at one entry into one step of the log. Pure.
#pragma once

#include "plantaindoor/version/change_log.hpp"

#include <cstddef>
#include <exception>
#include <span>
#include <vector>

namespace plantaindoor::version {

enum class proposal_verdict {
    joined,    ///< its changes are part of the step
    unchanged, ///< it proposed no change
    refused,   ///< it threw a typed error, or its changes don't fit
};

struct judged_proposal {
    proposal_verdict verdict = proposal_verdict::unchanged;
    /// After refused.
    std::exception_ptr refusal;
};

/// One step made of all proposals that joined, with what its transaction needs.
struct folded_step {
    /// Without its time of acceptance.
    delta step;
    std::vector<row_condition> guards;
    std::vector<row_write> also;
    /// One for each request, in order.
    std::vector<judged_proposal> judged;
    /// Whether any proposal joined.
    bool any = false;
};

/// Whether a request may share a transaction with those before it: their guards agree and they
/// write different rows.
[[nodiscard]] bool compatible(std::span<const append_request> group, const append_request& next);

/// Judges each request in order against the base with the changes of those that joined before it.
[[nodiscard]] folded_step fold(const fleet& base, std::span<const append_request> group);

} // namespace plantaindoor::version
