// Finds rules that can't decide or that contradict one another, by trying every distinguishable
// combination of the facts that a pair of rules asks for.
#include "plantaindoor/version/rule_set.hpp"

#include <algorithm>

namespace plantaindoor::version {

namespace {

/// Pairs of rules with more combinations than this are not judged.
constexpr std::size_t max_combinations = 20'000;
/// Combinations tried for one set of rules; pairs beyond are not judged, so that no file takes
/// long.
constexpr std::size_t max_tried = 100'000;
constexpr double least_step = 1e-6;

using fact_values = std::vector<std::optional<double>>;

// Recursion is bounded by the document's nesting.
void add_bounds(const rule_condition& condition, std::size_t slot, std::set<double>& bounds)
{
    if (condition.kind == condition_kind::range && condition.slot == slot) {
        bounds.insert(condition.least);
        bounds.insert(condition.most);
    }
    for (const rule_condition& part : condition.parts) {
        add_bounds(part, slot, bounds);
    }
}

bool percentage(rule_fact fact)
{
    return fact == rule_fact::service_healthy || fact == rule_fact::pool_healthy;
}

double highest(rule_fact fact)
{
    if (fact == rule_fact::hour) {
        return 23;
    }
    if (fact == rule_fact::table_down) {
        return 1;
    }
    return percentage(fact) ? 100 : std::numeric_limits<double>::max();
}

/// One value from each part into which the bounds cut the fact's range.
fact_values distinguishable(rule_fact fact, const std::set<double>& bounds)
{
    const double step = percentage(fact) ? least_step : 1;
    std::set<double> values;
    for (const double bound : bounds) {
        values.insert({bound - step, bound, bound + step});
    }
    fact_values kept{std::nullopt};
    for (const double value : values) {
        if (value >= 0 && value <= highest(fact) && value < 1e15) {
            kept.emplace_back(value);
        }
    }
    return kept;
}

/// What some combination of facts showed of a pair of rules.
struct pair_findings {
    bool judged = true;
    bool later_holds = false;
    bool both_hold = false;
    bool later_alone = false;
};

/// Counts through all combinations of the slots' values.
class combination_counter {
public:
    combination_counter(const rule_set& rules, const compiled_rule& one, const compiled_rule& other)
        : m_facts(rules.facts().size())
    {
        for (std::size_t slot = 0; slot < m_facts.size(); ++slot) {
            std::set<double> bounds;
            add_bounds(one.when, slot, bounds);
            add_bounds(other.when, slot, bounds);
            if (!bounds.empty()) {
                m_slots.push_back(slot);
                m_values.push_back(distinguishable(rules.facts()[slot].fact, bounds));
                m_at.push_back(0);
            }
        }
    }

    [[nodiscard]] bool too_many() const
    {
        std::size_t product = 1;
        for (const fact_values& values : m_values) {
            product *= values.size();
            if (product > max_combinations) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] const fact_values& facts()
    {
        for (std::size_t i = 0; i < m_slots.size(); ++i) {
            m_facts[m_slots[i]] = m_values[i][m_at[i]];
        }
        return m_facts;
    }

    bool next()
    {
        for (std::size_t i = 0; i < m_at.size(); ++i) {
            if (++m_at[i] < m_values[i].size()) {
                return true;
            }
            m_at[i] = 0;
        }
        return false;
    }

private:
    fact_values m_facts;
    std::vector<std::size_t> m_slots;
    std::vector<fact_values> m_values;
    std::vector<std::size_t> m_at;
};

/// Judges the pairs of one set of rules, as far as the bound on combinations allows.
class pair_judge {
public:
    explicit pair_judge(const rule_set& rules) : m_rules(rules) {}

    /// Stops early once the later rule was seen to hold alone; then `both_hold` is only looked for
    /// if it is `wanted`.
    pair_findings judge(const compiled_rule& earlier, const compiled_rule& later, bool wanted)
    {
        pair_findings found;
        combination_counter counter(m_rules, earlier, later);
        if (counter.too_many()) {
            return {.judged = false};
        }
        do {
            if (++m_tried > max_tried) {
                return {.judged = false};
            }
            const fact_values& facts = counter.facts();
            if (m_rules.evaluate(later, facts) != truth::yes) {
                continue;
            }
            const bool early = m_rules.evaluate(earlier, facts) == truth::yes;
            found.later_holds = true;
            found.both_hold |= early;
            found.later_alone |= !early;
        } while (!(found.later_alone && (found.both_hold || !wanted)) && counter.next());
        return found;
    }

    /// Whether no combination satisfies the rule; false where that was not found out.
    bool never_holds(const compiled_rule& rule)
    {
        combination_counter counter(m_rules, rule, rule);
        if (counter.too_many()) {
            return false;
        }
        do {
            if (++m_tried > max_tried || m_rules.evaluate(rule, counter.facts()) == truth::yes) {
                return false;
            }
        } while (counter.next());
        return true;
    }

private:
    const rule_set& m_rules;
    std::size_t m_tried = 0;
};

bool same_waves(const rule_action& one, const rule_action& other)
{
    return one.wave.empty() || other.wave.empty() || one.wave == other.wave;
}

bool on_waves(rule_verb verb)
{
    return verb == rule_verb::hold || verb == rule_verb::resume || verb == rule_verb::abort;
}

bool on_pools(rule_verb verb)
{
    return verb == rule_verb::lend || verb == rule_verb::give_back;
}

bool on_instance(rule_verb verb)
{
    return verb == rule_verb::quarantine || verb == rule_verb::undrain;
}

bool contradict(const rule_action& one, const rule_action& other)
{
    if (on_waves(one.verb) && on_waves(other.verb)) {
        return one.verb != other.verb && same_waves(one, other);
    }
    if (on_pools(one.verb) && on_pools(other.verb)) {
        return one.from == other.to && one.to == other.from;
    }
    return on_instance(one.verb) && on_instance(other.verb) && one.verb != other.verb &&
           one.instance == other.instance;
}

/// Whether the earlier rule is in effect whenever the later one is, if its condition holds.
bool as_prompt(const compiled_rule& earlier, const compiled_rule& later)
{
    return earlier.for_time <= later.for_time && earlier.clear_time >= later.clear_time;
}

std::optional<rule_warning> warning_of(pair_judge& pairs, const compiled_rule& earlier,
                                       const compiled_rule& later)
{
    const bool opposite = contradict(earlier.then, later.then);
    const pair_findings found = pairs.judge(earlier, later, opposite);
    if (!found.judged || !found.later_holds) {
        return std::nullopt;
    }
    if (!found.later_alone && as_prompt(earlier, later)) {
        return rule_warning{later.id, rule_flaw::unreachable, earlier.id};
    }
    if (found.both_hold && opposite) {
        return rule_warning{later.id, rule_flaw::conflict, earlier.id};
    }
    return std::nullopt;
}

} // namespace

std::vector<rule_warning> rule_set::warnings() const
{
    std::vector<rule_warning> all;
    pair_judge pairs(*this);
    for (std::size_t late = 0; late < m_rules.size(); ++late) {
        if (pairs.never_holds(m_rules[late])) {
            all.push_back({m_rules[late].id, rule_flaw::never_holds, {}});
            continue;
        }
        for (std::size_t early = 0; early < late; ++early) {
            if (const auto found = warning_of(pairs, m_rules[early], m_rules[late])) {
                all.push_back(*found);
            }
        }
    }
    return all;
}

} // namespace plantaindoor::version
