#include "plantaindoor/version/rule_set.hpp"

#include "rule_reader.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::version {

namespace {

using bound_facts = rule_set::bound_facts;

truth opposite(truth value)
{
    if (value == truth::unknown) {
        return value;
    }
    return value == truth::yes ? truth::no : truth::yes;
}

// Recursion is bounded by the document's nesting.
truth value_of(const rule_condition& condition, const bound_facts& facts)
{
    if (condition.kind == condition_kind::range) {
        const auto& fact = facts[condition.slot];
        if (!fact) {
            return truth::unknown;
        }
        return *fact >= condition.least && *fact <= condition.most ? truth::yes : truth::no;
    }
    if (condition.kind == condition_kind::negation) {
        return opposite(value_of(condition.parts.front(), facts));
    }
    const bool all = condition.kind == condition_kind::all;
    truth result = all ? truth::yes : truth::no;
    for (const rule_condition& part : condition.parts) {
        const truth value = value_of(part, facts);
        result = all ? std::min(result, value) : std::max(result, value);
    }
    return result;
}

std::string printed(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) {
        text.pop_back();
    }
    return text;
}

std::string printed_bounds(const rule_condition& range)
{
    const rule_condition open;
    std::string text;
    if (range.least == range.most) {
        return printed(range.least);
    }
    if (range.least != open.least) {
        text = "at least " + printed(range.least);
    }
    if (range.most != open.most) {
        text += (text.empty() ? "" : " and ") + ("at most " + printed(range.most));
    }
    return text;
}

/// Lists the leaves that keep a condition from having the wanted value.
class reason_collector {
public:
    reason_collector(const std::vector<fact_key>& keys, const bound_facts& facts)
        : m_keys(keys), m_facts(facts)
    {
    }

    // Recursion is bounded by the document's nesting.
    void collect(const rule_condition& condition, bool wanted)
    {
        if (value_of(condition, m_facts) == (wanted ? truth::yes : truth::no)) {
            return;
        }
        if (condition.kind == condition_kind::range) {
            add(condition, wanted);
            return;
        }
        const bool inner = condition.kind == condition_kind::negation ? !wanted : wanted;
        for (const rule_condition& part : condition.parts) {
            collect(part, inner);
        }
    }

    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    void add(const rule_condition& range, bool wanted)
    {
        const auto& fact = m_facts[range.slot];
        m_text += (m_text.empty() ? "" : "; ") + to_string(m_keys[range.slot]) + " is " +
                  (fact ? printed(*fact) : "unknown") + ", must " + (wanted ? "" : "not ") + "be " +
                  printed_bounds(range);
    }

    const std::vector<fact_key>& m_keys;
    const bound_facts& m_facts;
    std::string m_text;
};

// Recursion is bounded by the document's nesting.
void add_slots(const rule_condition& condition, std::set<std::size_t>& slots)
{
    if (condition.kind == condition_kind::range) {
        slots.insert(condition.slot);
    }
    for (const rule_condition& part : condition.parts) {
        add_slots(part, slots);
    }
}

} // namespace

rule_set::rule_set(const std::vector<rule_source>& sources, const rule_checks& checks,
                   std::vector<document_fault>& faults)
{
    rule_reader reader(*this, checks, faults);
    for (const rule_source& each : sources) {
        reader.read(each);
    }
}

rule_set::rule_set(const std::vector<rule>& rules, const rule_checks& checks)
{
    std::vector<document_fault> faults;
    rule_reader reader(*this, checks, faults);
    for (const rule& each : rules) {
        const std::string file = "rule " + each.id.str();
        const document_node node = parse_document(each.text, file);
        reader.read({.node = &node, .path = "", .file = file});
    }
    if (!faults.empty()) {
        throw document_error(std::move(faults));
    }
}

rule_set::bound_facts rule_set::bind(const rule_facts& facts) const
{
    bound_facts bound;
    bound.reserve(m_facts.size());
    for (const fact_key& key : m_facts) {
        const auto found = facts.find(key);
        bound.push_back(found == facts.end() ? std::nullopt : std::optional(found->second));
    }
    return bound;
}

truth rule_set::evaluate(const compiled_rule& rule, const bound_facts& facts) const
{
    return value_of(rule.when, facts);
}

std::string rule_set::why_not(const compiled_rule& rule, const bound_facts& facts) const
{
    reason_collector reasons(m_facts, facts);
    reasons.collect(rule.when, true);
    return reasons.text();
}

std::vector<std::size_t> rule_set::slots_of(const compiled_rule& rule) const
{
    std::set<std::size_t> slots;
    add_slots(rule.when, slots);
    return {slots.begin(), slots.end()};
}

std::string to_string(const rule_action& action)
{
    const std::string verb(name_of(action.verb));
    switch (action.verb) {
    case rule_verb::hold:
    case rule_verb::resume:
    case rule_verb::abort:
        return verb + (action.wave.empty() ? " every wave" : " wave " + action.wave.str());
    case rule_verb::lend:
    case rule_verb::give_back:
        return verb + " " + std::to_string(action.count) + " from " + action.from.str() + " to " +
               action.to.str();
    case rule_verb::quarantine:
    case rule_verb::undrain:
        return verb + " " + action.instance.str();
    default:
        return verb + " " + std::string(name_of(action.work_class));
    }
}

std::string to_string(const rule_warning& warning)
{
    std::string text = "rule " + warning.rule.str() + ": " + std::string(name_of(warning.flaw));
    return warning.other.empty() ? text : text + " with earlier rule " + warning.other.str();
}

} // namespace plantaindoor::version
