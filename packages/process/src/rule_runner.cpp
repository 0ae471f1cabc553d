#include "plantaindoor/process/rule_runner.hpp"

#include "plantaindoor/version/fleet_document.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace plantaindoor::process {

using version::change;
using version::compiled_rule;
using version::fleet;
using version::rule_verb;

namespace {

constexpr std::string_view undo_action = "hold-undone";

struct verb_action {
    rule_verb verb;
    std::string_view action;
};

constexpr std::array<verb_action, 7> actions{{
    {rule_verb::hold, "wave-held"},
    {rule_verb::resume, "wave-resumed"},
    {rule_verb::abort, "wave-aborted"},
    {rule_verb::lend, "instances-lent"},
    {rule_verb::give_back, "instances-returned"},
    {rule_verb::quarantine, "instance-quarantined"},
    {rule_verb::undrain, "instance-undrained"},
}};

std::string_view action_of(rule_verb verb)
{
    const auto* const found = std::ranges::find(actions, verb, &verb_action::verb);
    return found == actions.end() ? name_of(verb) : found->action;
}

/// Whether the action's plan depends on which instances are lost.
bool needs_list(rule_verb verb)
{
    return verb == rule_verb::lend || verb == rule_verb::give_back || verb == rule_verb::quarantine;
}

std::vector<journal_fact> facts_of(const version::rule_set& rules, const compiled_rule& rule,
                                   const version::rule_facts& facts)
{
    std::vector<journal_fact> asked;
    for (const std::size_t slot : rules.slots_of(rule)) {
        const version::fact_key& key = rules.facts()[slot];
        const auto found = facts.find(key);
        asked.push_back({to_string(key),
                         found == facts.end() ? "unknown" : fmt::format("{:g}", found->second)});
    }
    return asked;
}

bool unchanged(const fleet& newest, const compiled_rule& rule)
{
    return std::ranges::find(newest.rules, version::rule{.id = rule.id, .text = rule.text}) !=
           newest.rules.end();
}

} // namespace

struct rule_runner::attempt {
    /// Without a rule: undoing the holds of cleared rules.
    std::optional<compiled_rule> rule;
    std::set<rule_id> cleared;
    version::rule_plan_options plan;
    journal_entry entry;
    std::vector<change> changes;

    [[nodiscard]] std::vector<change> changes_for(const fleet& newest) const
    {
        if (!rule) {
            return plan_rule_undo(newest, cleared);
        }
        return unchanged(newest, *rule) ? plan_rule(newest, *rule, plan) : std::vector<change>{};
    }
};

pool_id rules_duty()
{
    return pool_id("rules");
}

std::set<pool_id> duties_of_rules(const fleet& whole)
{
    const bool needed = !whole.rules.empty() || !plan_rule_undo(whole, {}).empty();
    return needed ? std::set<pool_id>{rules_duty()} : std::set<pool_id>{};
}

rule_runner::rule_runner(rule_runner_options how) : m_options(std::move(how)) {}

rule_runner::~rule_runner()
{
    m_options.loop.cancel(m_timer);
}

void rule_runner::start()
{
    m_timer = m_options.loop.call_after(m_options.interval, [this] { tick(); });
}

void rule_runner::tick()
{
    start();
    if (m_options.guard()) {
        evaluate();
        return;
    }
    // The next time begins anew: another entry acted meanwhile.
    m_engine = version::rule_engine();
    m_used.reset();
    m_decision.reset();
}

version::rule_facts rule_runner::present_facts(std::optional<version::lost_instances> lost) const
{
    return version::gather_facts({.whole = *m_options.log.current(),
                                  .lost = std::move(lost),
                                  .demand = m_options.demand ? m_options.demand() : std::nullopt,
                                  .table_down = m_options.table_down(),
                                  .now = m_options.loop.wall_now()});
}

void rule_runner::evaluate()
{
    const version::fleet_ptr whole = m_options.log.current();
    use_rules(*whole);
    const version::rule_facts facts = present_facts(m_options.lost());
    m_decision = m_engine.decide(facts, m_options.loop.now());
    tell_decided();
    if (!m_appending) {
        act(whole, facts);
    }
}

void rule_runner::tell_decided() const
{
    const auto guard = m_options.guard();
    if (!guard || !m_options.on_decided) {
        return;
    }
    const auto decided = m_decision->decided;
    m_options.on_decided(
        decided ? std::optional(m_engine.rules()->rules()[*decided]) : std::nullopt, *guard);
}

void rule_runner::use_rules(const fleet& whole)
{
    if (m_used == whole.rules) {
        return;
    }
    m_used = whole.rules;
    try {
        m_engine.use(std::make_shared<version::rule_set>(whole.rules));
    }
    catch (const document_error& faulty) {
        m_engine.use(std::make_shared<version::rule_set>());
        m_options.journal.record({.when = m_options.loop.wall_now(),
                                  .actor = m_options.self,
                                  .part = "rule",
                                  .action = "rules-unreadable",
                                  .version = whole.version,
                                  .facts = {{"faults", faulty.what()}}});
    }
}

std::set<rule_id> rule_runner::cleared() const
{
    std::set<rule_id> ids;
    for (std::size_t at = 0; at < m_decision->standings.size(); ++at) {
        if (m_decision->standings[at].cleared) {
            ids.insert(m_engine.rules()->rules()[at].id);
        }
    }
    return ids;
}

void rule_runner::act(const version::fleet_ptr& whole, const version::rule_facts& facts)
{
    auto what = std::make_shared<attempt>();
    what->cleared = cleared();
    what->entry = {.when = m_options.loop.wall_now(),
                   .actor = m_options.self,
                   .part = "rule",
                   .action = std::string(undo_action),
                   .version = whole->version};
    if (append(what, *whole) || !m_decision->decided) {
        return;
    }
    const version::rule_set& rules = *m_engine.rules();
    const compiled_rule& rule = rules.rules()[*m_decision->decided];
    const auto lost = m_options.lost();
    if (!lost && needs_list(rule.then.verb)) {
        return;
    }
    what->rule = rule;
    what->plan = {.lost = lost.value_or(version::lost_instances{}),
                  .now = m_options.loop.wall_now()};
    what->entry.rule = rule.id;
    what->entry.action = std::string(action_of(rule.then.verb));
    what->entry.facts = facts_of(rules, rule, facts);
    append(what, *whole);
}

bool rule_runner::append(const std::shared_ptr<attempt>& what, const fleet& whole)
{
    try {
        if (what->changes_for(whole).empty()) {
            return false;
        }
    }
    catch (const error& refusal) {
        report_refusal(*what, refusal);
        return false;
    }
    const auto guard = m_options.guard();
    if (!guard) {
        return true;
    }
    m_appending = true;
    const std::string author = what->rule ? "rule:" + what->rule->id.str() : "rule:cleared";
    m_options.log.append(
        {.author = author,
         .reason = what->entry.action,
         .guards = {*guard},
         .propose =
             [what](const fleet& newest) {
                 what->changes = what->changes_for(newest);
                 return what->changes;
             }},
        [this, what, alive = std::weak_ptr<bool>(m_alive)](const version::append_result& result) {
            if (!alive.expired()) {
                on_appended(*what, result);
            }
        });
    return true;
}

void rule_runner::on_appended(attempt& what, const version::append_result& result)
{
    m_appending = false;
    if (result.outcome == version::append_outcome::fenced) {
        m_options.drop_guard();
    }
    if (result.outcome != version::append_outcome::accepted || what.changes.empty()) {
        return;
    }
    m_last_refusal.clear();
    for (const change& each : what.changes) {
        what.entry.facts.push_back({"change", version::describe(each)});
    }
    what.entry.facts.push_back({"accepted-as", std::to_string(result.version)});
    m_options.journal.record(std::move(what.entry));
}

void rule_runner::report_refusal(const attempt& what, const error& refusal)
{
    // The same refusal comes back every second for as long as the rule decides.
    const std::string told = what.entry.rule.str() + ": " + refusal.what();
    if (told == m_last_refusal) {
        return;
    }
    m_last_refusal = told;
    journal_entry entry = what.entry;
    entry.action = "action-refused";
    entry.facts.push_back({"refusal", refusal.what()});
    m_options.journal.record(std::move(entry));
}

} // namespace plantaindoor::process
