// Carries out a rule's action as changes to the newest fleet. Each plan brings about a standing
// state, so that a second holder, or the next second, adds nothing to what was done. All are
// thread-safe and throw typed errors to refuse.
#pragma once

#include "plantaindoor/version/delta.hpp"
#include "plantaindoor/version/rule_set.hpp"

#include <set>
#include <string>
#include <vector>

namespace plantaindoor::version {

/// The reason that a wave held by this rule shows.
[[nodiscard]] std::string hold_reason(const rule_id& rule);

struct rule_plan_options {
    lost_instances lost;
    wall_time now{};
};

/// The changes that the rule's action still lacks; none when it is carried out. Instances are lent
/// and returned only within budgets. Throws not_found_error, wave_over_error, budget_refusal,
/// pool_cannot_lend_error.
[[nodiscard]] std::vector<change> plan_rule(const fleet& newest, const compiled_rule& rule,
                                            const rule_plan_options& options);

/// Resumes waves held by rules that are cleared, or that exist no more.
[[nodiscard]] std::vector<change> plan_rule_undo(const fleet& newest,
                                                 const std::set<rule_id>& cleared);

} // namespace plantaindoor::version
