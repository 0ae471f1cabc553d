#include "plantaindoor/version/rule_engine.hpp"

#include <map>
#include <utility>

namespace plantaindoor::version {

void rule_engine::use(rule_set_ptr rules)
{
    std::map<std::string, standing> known;
    for (std::size_t i = 0; i < m_standings.size(); ++i) {
        known.emplace(m_rules->rules()[i].text, m_standings[i]);
    }
    m_rules = std::move(rules);
    m_standings.clear();
    for (const compiled_rule& each : m_rules->rules()) {
        const auto found = known.find(each.text);
        m_standings.push_back(found == known.end() ? standing{} : found->second);
    }
}

rule_decision rule_engine::decide(const rule_facts& facts, time_point now)
{
    if (!m_last || now - *m_last > m_options.max_gap) {
        for (standing& each : m_standings) {
            each.since = now;
        }
    }
    m_last = now;
    const auto bound = m_rules->bind(facts);
    rule_decision decision;
    for (std::size_t i = 0; i < m_standings.size(); ++i) {
        const compiled_rule& rule = m_rules->rules()[i];
        decision.standings.push_back(
            step(rule, m_standings[i], m_rules->evaluate(rule, bound), now));
        if (!decision.decided && decision.standings.back().in_effect) {
            decision.decided = i;
        }
    }
    return decision;
}

rule_standing rule_engine::step(const compiled_rule& rule, standing& state, truth condition,
                                time_point now)
{
    if (condition != state.condition) {
        state.condition = condition;
        state.since = now;
    }
    const auto steady = std::chrono::duration_cast<milliseconds>(now - state.since);
    const bool cleared = condition == truth::no && steady >= rule.clear_time;
    if (condition == truth::yes && steady >= rule.for_time) {
        state.in_effect = true;
    }
    else if (cleared) {
        state.in_effect = false;
    }
    return {
        .condition = condition, .in_effect = state.in_effect, .cleared = cleared, .steady = steady};
}

} // namespace plantaindoor::version
