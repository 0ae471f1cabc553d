#include "rule_reader.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::version {

namespace {

constexpr std::uint32_t hours_of_day = 24;
constexpr std::int64_t longest_hysteresis_s = 86'400;
constexpr std::int64_t default_loan_s = 7200;
constexpr std::int64_t longest_loan_s = 30LL * 86'400;
constexpr std::int64_t most_figure = 1'000'000'000'000;

/// The plain figures, which are written as {at_least: N, at_most: M}.
constexpr std::array<rule_fact, 6> counted_facts{
    rule_fact::waves_running, rule_fact::lost_zones,          rule_fact::lost_racks,
    rule_fact::jobs_waiting,  rule_fact::earliest_deadline_s, rule_fact::urgent_demand};

void read_bounds(document_reader& in, rule_condition& range)
{
    if (!in.has("at_least") && !in.has("at_most")) {
        in.fault_at("at_least", "at_least, at_most or both");
    }
    const bounds<std::int64_t> within{.least = 0, .most = most_figure};
    if (in.has("at_least")) {
        range.least =
            static_cast<double>(in.number<std::int64_t>("at_least", std::nullopt, within));
    }
    if (in.has("at_most")) {
        range.most = static_cast<double>(in.number<std::int64_t>("at_most", std::nullopt, within));
    }
    if (range.least > range.most) {
        in.fault_at("at_most", "not less than at_least");
    }
}

} // namespace

rule_reader::rule_reader(rule_set& into, const rule_checks& checks,
                         std::vector<document_fault>& faults)
    : m_set(into), m_checks(checks), m_faults(faults)
{
}

void rule_reader::read(const rule_source& source)
{
    const std::size_t faults_before = m_faults.size();
    m_file = source.file;
    document_reader in(*source.node, source.path, source.file, m_faults);
    compiled_rule rule{.id = rule_id(in.text("rule")), .text = to_flow_text(*source.node)};
    if (!in.has("when")) {
        in.fault_at("when", "a map of conditions; {} for always");
    }
    in.map("when", [&](document_reader& when) { rule.when = read_condition(when); });
    if (!in.has("then")) {
        in.fault_at("then", "a map with one action");
    }
    in.map("then", [&](document_reader& then) { read_action(then, rule.then); });
    const bounds<std::int64_t> within{.least = 0, .most = longest_hysteresis_s};
    rule.for_time = seconds(in.number<std::int64_t>("for_seconds", 0, within));
    rule.clear_time =
        seconds(in.number<std::int64_t>("clear_seconds", rule.for_time.count(), within));
    in.finish();
    if (m_faults.size() == faults_before) {
        m_set.m_rules.push_back(std::move(rule));
    }
}

void rule_reader::read_action(document_reader& in, rule_action& action)
{
    using read_verb = void (rule_reader::*)(document_reader&, rule_action&);
    static constexpr std::array<std::pair<rule_verb, read_verb>, 11> readers{{
        {rule_verb::hold, &rule_reader::read_waves},
        {rule_verb::resume, &rule_reader::read_waves},
        {rule_verb::abort, &rule_reader::read_waves},
        {rule_verb::lend, &rule_reader::read_loan},
        {rule_verb::give_back, &rule_reader::read_loan},
        {rule_verb::throttle, &rule_reader::read_class},
        {rule_verb::checkpoint, &rule_reader::read_class},
        {rule_verb::stop, &rule_reader::read_class},
        {rule_verb::quarantine, &rule_reader::read_instance},
        {rule_verb::refuse, &rule_reader::read_class},
        {rule_verb::undrain, &rule_reader::read_instance},
    }};
    std::size_t given = 0;
    for (const auto& [verb, read] : readers) {
        const std::string key(name_of(verb));
        if (!in.has(key)) {
            continue;
        }
        ++given;
        action.verb = verb;
        (this->*read)(in, action);
    }
    if (given != 1) {
        in.fault_at("then", "exactly one of " + expected_names<rule_verb>());
    }
}

void rule_reader::read_waves(document_reader& in, rule_action& action)
{
    const std::string key(name_of(action.verb));
    const document_node* const value = in.any(key);
    if (value->kind == document_kind::map) {
        in.map(key, [&](document_reader& wave) { action.wave = wave_id(wave.text("wave")); });
    }
    else if (value->text != "wave") {
        in.fault_at(key, "\"wave\" for every wave, or {wave: NAME}");
    }
}

void rule_reader::read_loan(document_reader& in, rule_action& action)
{
    in.map(name_of(action.verb), [&](document_reader& loan) {
        action.from = pool_id(loan.text("from"));
        action.to = pool_id(loan.text("to"));
        action.count = loan.number<std::uint32_t>("count", 1, {.least = 1});
        if (action.verb == rule_verb::lend) {
            action.term = seconds(loan.number<std::int64_t>("term_s", default_loan_s,
                                                            {.least = 1, .most = longest_loan_s}));
        }
        check_name(loan, "from", action.from.str(), &rule_names::pools);
        check_name(loan, "to", action.to.str(), &rule_names::pools);
        if (action.from == action.to) {
            loan.fault_at("to", "another pool than \"from\"");
        }
    });
}

void rule_reader::read_instance(document_reader& in, rule_action& action)
{
    const std::string key(name_of(action.verb));
    action.instance = instance_id(in.text(key));
    check_name(in, key.c_str(), action.instance.str(), &rule_names::instances);
}

void rule_reader::read_class(document_reader& in, rule_action& action)
{
    action.work_class = in.named<priority>(name_of(action.verb));
}

// Recursion is bounded by the document's nesting.
rule_condition rule_reader::read_condition(document_reader& in)
{
    rule_condition all;
    for (const rule_fact fact : counted_facts) {
        read_leaf(in, fact, all);
    }
    if (in.has("table_down")) {
        const double wanted = in.boolean("table_down") ? 1 : 0;
        all.parts.push_back({.kind = condition_kind::range,
                             .slot = slot_of({rule_fact::table_down, ""}),
                             .least = wanted,
                             .most = wanted});
    }
    read_hours(in, all);
    read_healthy(in, all);
    read_parts(in, condition_kind::all, all);
    read_parts(in, condition_kind::any, all);
    read_negation(in, all);
    return all;
}

void rule_reader::read_leaf(document_reader& in, rule_fact fact, rule_condition& all)
{
    in.map(name_of(fact), [&](document_reader& bounds) {
        rule_condition range{.kind = condition_kind::range, .slot = slot_of({fact, ""})};
        read_bounds(bounds, range);
        all.parts.push_back(std::move(range));
    });
}

void rule_reader::read_hours(document_reader& in, rule_condition& all)
{
    in.map("hour", [&](document_reader& hours) {
        const auto from = hours.number<std::uint32_t>("from", std::nullopt,
                                                      {.least = 0, .most = hours_of_day - 1});
        const auto to =
            hours.number<std::uint32_t>("to", std::nullopt, {.least = 0, .most = hours_of_day});
        if (from == to) {
            hours.fault_at("to", "another hour than \"from\"");
        }
        const std::size_t slot = slot_of({rule_fact::hour, ""});
        const auto between = [&](double least, double most) {
            return rule_condition{
                .kind = condition_kind::range, .slot = slot, .least = least, .most = most};
        };
        if (from < to) {
            all.parts.push_back(between(from, to - 1.0));
            return;
        }
        rule_condition overnight{.kind = condition_kind::any};
        overnight.parts.push_back(between(from, hours_of_day - 1));
        if (to > 0) {
            overnight.parts.push_back(between(0, to - 1.0));
        }
        all.parts.push_back(std::move(overnight));
    });
}

void rule_reader::read_healthy(document_reader& in, rule_condition& all)
{
    in.map("healthy_percent", [&](document_reader& healthy) {
        fact_key key;
        if (healthy.has("service") == healthy.has("pool")) {
            healthy.fault_at("service", "either a service or a pool");
        }
        if (healthy.has("service")) {
            key = {rule_fact::service_healthy, healthy.text("service")};
            check_name(healthy, "service", key.subject, &rule_names::services);
        }
        if (healthy.has("pool")) {
            key = {rule_fact::pool_healthy, healthy.text("pool")};
            check_name(healthy, "pool", key.subject, &rule_names::pools);
        }
        rule_condition range{.kind = condition_kind::range, .slot = slot_of(key)};
        read_bounds(healthy, range);
        all.parts.push_back(std::move(range));
    });
}

void rule_reader::read_parts(document_reader& in, condition_kind kind, rule_condition& all)
{
    const char* const key = kind == condition_kind::all ? "all" : "any";
    if (!in.has(key)) {
        return;
    }
    rule_condition parts{.kind = kind};
    in.each(key, [&](document_reader& part) { parts.parts.push_back(read_condition(part)); });
    if (parts.parts.empty()) {
        in.fault_at(key, "a list of conditions");
    }
    all.parts.push_back(std::move(parts));
}

void rule_reader::read_negation(document_reader& in, rule_condition& all)
{
    in.map("not", [&](document_reader& part) {
        rule_condition negation{.kind = condition_kind::negation};
        negation.parts.push_back(read_condition(part));
        all.parts.push_back(std::move(negation));
    });
}

void rule_reader::check_name(document_reader& in, const char* key, const std::string& name,
                             std::set<std::string> rule_names::*known)
{
    if (m_checks.names != nullptr && !(m_checks.names->*known).contains(name)) {
        in.fault_at(key, "one that exists");
    }
}

std::size_t rule_reader::slot_of(const fact_key& key)
{
    auto& facts = m_set.m_facts;
    const auto found = std::ranges::find(facts, key);
    if (found != facts.end()) {
        return static_cast<std::size_t>(found - facts.begin());
    }
    facts.push_back(key);
    return facts.size() - 1;
}

} // namespace plantaindoor::version
