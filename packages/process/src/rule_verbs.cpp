#include "plantaindoor/process/rule_verbs.hpp"

#include "plantaindoor/process/append_answer.hpp"
#include "plantaindoor/version/fleet_document.hpp"
#include "plantaindoor/version/rule_actions.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace plantaindoor::process {

using connection::operator_request;
using connection::operator_responder;
using nlohmann::json;
using version::compiled_rule;
using version::rule_fact;
using version::rule_facts;
using version::rule_set;
using version::truth;

namespace {

/// How many entries of the journal are searched for what the deciding rule did.
constexpr std::size_t searched_entries = 1000;

void check(const operator_request& request, const operator_responder& respond)
{
    const auto rules = version::parse_rules(request.body, request.query_or("file", "fleet.yaml"));
    respond.json(json{{"rules", rules.size()}, {"warnings", warning_lines(rules)}}.dump());
}

/// Given facts in YAML or JSON: {lost_zones: 1, pool_healthy: {checks: 60}, table_down: true}.
class fact_reader {
public:
    rule_facts read(const std::string& text)
    {
        const document_node root = parse_document(text, file_name);
        for (const document_member& each : root.members) {
            read_member(each);
        }
        if (!m_faults.empty()) {
            throw document_error(std::move(m_faults));
        }
        return std::move(m_facts);
    }

private:
    static constexpr const char* file_name = "facts";

    void read_member(const document_member& member)
    {
        const auto fact = parse_enum<rule_fact>(member.key);
        if (!fact) {
            fault(member, member.value, expected_names<rule_fact>());
            return;
        }
        const bool by_subject =
            *fact == rule_fact::service_healthy || *fact == rule_fact::pool_healthy;
        if (!by_subject) {
            read_value(*fact, "", member, member.value);
            return;
        }
        if (member.value.kind != document_kind::map) {
            fault(member, member.value, "a map of names and percentages");
        }
        for (const document_member& each : member.value.members) {
            read_value(*fact, each.key, member, each.value);
        }
    }

    void read_value(rule_fact fact, const std::string& subject, const document_member& member,
                    const document_node& value)
    {
        const auto figure = figure_of(value.text);
        if (figure) {
            m_facts[{fact, subject}] = *figure;
        }
        else {
            fault(member, value, "a number, true or false");
        }
    }

    static std::optional<double> figure_of(const std::string& text)
    {
        if (text == "true" || text == "false") {
            return text == "true" ? 1 : 0;
        }
        double figure = 0;
        const char* const end = text.data() + text.size();
        const auto [stopped, failure] = std::from_chars(text.data(), end, figure);
        return failure == std::errc() && stopped == end ? std::optional(figure) : std::nullopt;
    }

    void fault(const document_member& member, const document_node& value,
               const std::string& expected)
    {
        m_faults.push_back({.file = file_name,
                            .line = value.line,
                            .path = member.key,
                            .value = value.text,
                            .expected = expected});
    }

    rule_facts m_facts;
    std::vector<document_fault> m_faults;
};

json facts_json(const rule_facts& facts)
{
    json lines = json::array();
    for (const auto& [key, value] : facts) {
        lines.push_back(to_string(key) + " = " + json(value).dump());
    }
    return lines;
}

json rule_json(const rule_set& rules, const compiled_rule& rule, const rule_set::bound_facts& facts)
{
    const truth condition = rules.evaluate(rule, facts);
    json out{{"rule", rule.id.str()}, {"condition", name_of(condition)}};
    if (condition != truth::yes) {
        out["why_not"] = rules.why_not(rule, facts);
    }
    if (rule.for_time.count() != 0) {
        out["must_hold_s"] = rule.for_time.count();
    }
    return out;
}

json planned_json(const version::fleet& whole, const compiled_rule& rule,
                  const version::rule_plan_options& options)
{
    json lines = json::array();
    try {
        for (const version::change& each : plan_rule(whole, rule, options)) {
            lines.push_back(version::describe(each));
        }
    }
    catch (const error& refusal) {
        lines.push_back(std::string("refused: ") + refusal.what());
    }
    return lines;
}

/// One explanation, from the facts on to its answer.
struct explanation {
    rule_verbs_options options;
    operator_responder respond;
    version::fleet_ptr whole;
    rule_facts facts;
    version::lost_instances lost;
    bool present = false;

    [[nodiscard]] json body() const
    {
        const rule_set rules(whole->rules);
        const auto bound = rules.bind(facts);
        json out{{"version", whole->version}, {"facts", facts_json(facts)}, {"matched", ""}};
        out["rules"] = json::array();
        bool matched = false;
        for (const compiled_rule& each : rules.rules()) {
            out["rules"].push_back(rule_json(rules, each, bound));
            if (!matched && rules.evaluate(each, bound) == truth::yes) {
                matched = true;
                out["matched"] = each.id.str();
                out["action"] = to_string(each.then);
                out["would_do"] =
                    planned_json(*whole, each, {.lost = lost, .now = options.time.wall_now()});
            }
        }
        add_standings(out);
        return out;
    }

private:
    /// What hysteresis makes of the rules, known only where they are evaluated.
    void add_standings(json& out) const
    {
        const auto& decision = options.runner.decision();
        if (!present || !decision || decision->standings.size() != out["rules"].size()) {
            return;
        }
        for (std::size_t at = 0; at < decision->standings.size(); ++at) {
            out["rules"][at]["in_effect"] = decision->standings[at].in_effect;
            out["rules"][at]["steady_ms"] = decision->standings[at].steady.count();
        }
        out["decided"] = decision->decided ? out["rules"][*decision->decided]["rule"] : json("");
    }
};

std::string done_line(const journal_entry& entry)
{
    std::string line = entry.action + " by rule " + entry.rule.str() + " of version " +
                       std::to_string(entry.version) + " at entry " + entry.actor.str();
    for (const journal_fact& each : entry.facts) {
        line += ", " + each.name + "=" + each.value;
    }
    return line;
}

/// Adds what the matched rule did last, and answers.
void answer(const std::shared_ptr<const explanation>& what)
{
    auto body = std::make_shared<json>(what->body());
    what->options.journal.read_newest(
        searched_entries, [what, body](const journal_reading& reading) {
            (*body)["done"] = "";
            for (const journal_entry& each : reading.entries) {
                if (!each.rule.empty() && each.rule.str() == body->at("matched")) {
                    (*body)["done"] = done_line(each);
                }
            }
            what->respond.json(body->dump());
        });
}

void explain_present(const std::shared_ptr<explanation>& what)
{
    what->present = true;
    what->options.list.list([what](const std::optional<std::vector<listed_instance>>& listed) {
        try {
            std::optional<version::lost_instances> lost;
            if (listed) {
                lost = lost_of(*what->whole, *listed);
                what->lost = *lost;
            }
            what->facts = what->options.runner.present_facts(std::move(lost));
            answer(what);
        }
        catch (const std::exception&) {
            what->respond.fail(std::current_exception());
        }
    });
}

void explain(const rule_verbs_options& options, const operator_request& request,
             const operator_responder& respond)
{
    const auto what = std::make_shared<explanation>(
        explanation{.options = options, .respond = respond, .whole = options.log.current()});
    if (request.body.empty()) {
        explain_present(what);
        return;
    }
    what->lost = options.duties.lost();
    what->facts = fact_reader().read(request.body);
    answer(what);
}

} // namespace

void add_rule_verbs(const rule_verbs_options& options)
{
    options.router.add("POST", "/v1/rules/check", &check);
    options.router.add(
        "POST", "/v1/rules/explain",
        [options](const operator_request& request, const operator_responder& respond) {
            explain(options, request, respond);
        });
}

} // namespace plantaindoor::process
