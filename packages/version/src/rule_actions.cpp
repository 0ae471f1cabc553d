#include "plantaindoor/version/rule_actions.hpp"

#include "plantaindoor/version/ledger.hpp"
#include "plantaindoor/version/planned_changes.hpp"

#include <algorithm>
#include <exception>

namespace plantaindoor::version {

namespace {

constexpr std::string_view hold_prefix = "rule ";

bool over(const wave& subject)
{
    return subject.state == wave_state::aborted || subject.state == wave_state::finished;
}

std::vector<const wave*> waves_of(const fleet& newest, const rule_action& action)
{
    if (!action.wave.empty()) {
        const auto found = newest.waves.find(action.wave);
        return found == newest.waves.end() ? std::vector<const wave*>{}
                                           : std::vector<const wave*>{&found->second};
    }
    std::vector<const wave*> all;
    for (const auto& [id, each] : newest.waves) {
        all.push_back(&each);
    }
    return all;
}

void append(std::vector<change>& changes, const std::vector<change>& more)
{
    changes.insert(changes.end(), more.begin(), more.end());
}

std::vector<change> plan_waves(const fleet& newest, const compiled_rule& rule, wave_state wanted)
{
    std::vector<change> changes;
    for (const wave* each : waves_of(newest, rule.then)) {
        if (!over(*each) && each->state != wanted) {
            append(changes, plan_wave_state(newest, each->id, wanted, hold_reason(rule.id)));
        }
    }
    return changes;
}

std::vector<change> plan_hold(const fleet& newest, const compiled_rule& rule,
                              const rule_plan_options&)
{
    return plan_waves(newest, rule, wave_state::paused);
}

/// An operator's pause of a wave that the rule doesn't name stays.
std::vector<change> plan_resume(const fleet& newest, const compiled_rule& rule,
                                const rule_plan_options&)
{
    std::vector<change> changes;
    for (const wave* each : waves_of(newest, rule.then)) {
        const bool named = !rule.then.wave.empty();
        if (each->state == wave_state::paused && (named || each->reason.starts_with(hold_prefix))) {
            append(changes,
                   plan_wave_state(newest, each->id, wave_state::running, hold_reason(rule.id)));
        }
    }
    return changes;
}

std::vector<change> plan_abort(const fleet& newest, const compiled_rule& rule,
                               const rule_plan_options&)
{
    return plan_waves(newest, rule, wave_state::aborted);
}

bool lent_or_going(const instance& subject, const pool_id& home, const pool_id& to)
{
    if (subject.moving && subject.moving->lent) {
        return subject.moving->to == to && subject.moving->lent->home == home;
    }
    return subject.pool == to && subject.lent && subject.lent->home == home;
}

bool returning(const instance& subject, const pool_id& home)
{
    return subject.lent && subject.lent->home == home && subject.moving &&
           subject.moving->to == home;
}

/// Takes up to `count` instances that are plannable; throws the last refusal if there is none.
template<class Fits, class Plan>
std::vector<change> take(fleet newest, std::size_t count, Fits fits, Plan plan)
{
    std::vector<change> changes;
    std::exception_ptr refusal;
    const std::map<instance_id, instance> candidates = newest.instances;
    for (const auto& [id, each] : candidates) {
        if (changes.size() >= count || !fits(each)) {
            continue;
        }
        try {
            const std::vector<change> more = plan(newest, id);
            apply(newest, {.version = newest.version + 1, .changes = more});
            append(changes, more);
        }
        catch (const error&) {
            refusal = std::current_exception();
        }
    }
    if (changes.empty() && refusal) {
        std::rethrow_exception(refusal);
    }
    return changes;
}

std::vector<change> plan_lending(const fleet& newest, const compiled_rule& rule,
                                 const rule_plan_options& options)
{
    const rule_action& action = rule.then;
    const auto lent =
        static_cast<std::uint32_t>(std::ranges::count_if(newest.instances, [&](const auto& item) {
            return lent_or_going(item.second, action.from, action.to);
        }));
    if (lent >= action.count) {
        return {};
    }
    return take(
        newest, action.count - lent,
        [&](const instance& each) {
            return each.pool == action.from && each.state == instance_state::admitted &&
                   !each.lent && !options.lost.contains(each.id);
        },
        [&](const fleet& present, const instance_id& id) {
            return plan_lend(present, {.id = id,
                                       .to = action.to,
                                       .until = options.now + action.term,
                                       .lost = options.lost});
        });
}

std::vector<change> plan_returning(const fleet& newest, const compiled_rule& rule,
                                   const rule_plan_options& options)
{
    const rule_action& action = rule.then;
    const auto under_way = static_cast<std::uint32_t>(std::ranges::count_if(
        newest.instances, [&](const auto& item) { return returning(item.second, action.to); }));
    if (under_way >= action.count) {
        return {};
    }
    return take(
        newest, action.count - under_way,
        [&](const instance& each) {
            return each.pool == action.from && each.state == instance_state::admitted &&
                   each.lent && each.lent->home == action.to;
        },
        [&](const fleet& present, const instance_id& id) {
            return plan_return(present, {.id = id, .lost = options.lost});
        });
}

const instance& subject_of(const fleet& newest, const instance_id& id)
{
    const auto found = newest.instances.find(id);
    if (found == newest.instances.end()) {
        throw not_found_error("instance", id.str());
    }
    return found->second;
}

std::vector<change> plan_quarantine(const fleet& newest, const compiled_rule& rule,
                                    const rule_plan_options& options)
{
    const instance& subject = subject_of(newest, rule.then.instance);
    if (subject.state != instance_state::admitted) {
        return {};
    }
    ledger(newest, options.lost).require_take_out(subject);
    return {set_instance_state{.id = subject.id, .state = instance_state::quarantined}};
}

/// An instance that a wave is rebooting or that is on the way to another pool is left alone.
std::vector<change> plan_undraining(const fleet& newest, const compiled_rule& rule,
                                    const rule_plan_options&)
{
    const instance& subject = subject_of(newest, rule.then.instance);
    const bool rebooting = subject.state == instance_state::stopped && !subject.outage_wave.empty();
    if (subject.state == instance_state::admitted || rebooting || subject.moving) {
        return {};
    }
    return plan_undrain(newest, subject.id);
}

std::vector<change> plan_nothing(const fleet&, const compiled_rule&, const rule_plan_options&)
{
    return {};
}

} // namespace

std::string hold_reason(const rule_id& rule)
{
    return std::string(hold_prefix) + rule.str();
}

std::vector<change> plan_rule(const fleet& newest, const compiled_rule& rule,
                              const rule_plan_options& options)
{
    using plan =
        std::vector<change> (*)(const fleet&, const compiled_rule&, const rule_plan_options&);
    static constexpr std::array<std::pair<rule_verb, plan>, 7> plans{{
        {rule_verb::hold, &plan_hold},
        {rule_verb::resume, &plan_resume},
        {rule_verb::abort, &plan_abort},
        {rule_verb::lend, &plan_lending},
        {rule_verb::give_back, &plan_returning},
        {rule_verb::quarantine, &plan_quarantine},
        {rule_verb::undrain, &plan_undraining},
    }};
    const auto* const found =
        std::ranges::find(plans, rule.then.verb, &decltype(plans)::value_type::first);
    return (found == plans.end() ? &plan_nothing : found->second)(newest, rule, options);
}

std::vector<change> plan_rule_undo(const fleet& newest, const std::set<rule_id>& cleared)
{
    std::vector<change> changes;
    for (const auto& [id, each] : newest.waves) {
        if (each.state != wave_state::paused || !each.reason.starts_with(hold_prefix)) {
            continue;
        }
        const rule_id holder(each.reason.substr(hold_prefix.size()));
        const bool exists =
            std::ranges::find(newest.rules, holder, &rule::id) != newest.rules.end();
        if (!exists || cleared.contains(holder)) {
            append(changes, plan_wave_state(newest, id, wave_state::running, ""));
        }
    }
    return changes;
}

} // namespace plantaindoor::version
