#include "plantaindoor/version/rule_set.hpp"

#include "naive_rules.hpp"
#include "plantaindoor/version/fleet_document.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

std::string numbered(const std::string& name, int number)
{
    return name + std::to_string(number);
}

rc::Gen<std::string> any_bounds()
{
    return rc::gen::apply(
        [](int form, int least, int more) {
            const std::string low = "at_least: " + std::to_string(least);
            const std::string high = "at_most: " + std::to_string(least + more);
            return form == 0 ? low : form == 1 ? high : low + ", " + high;
        },
        rc::gen::inRange(0, 3), rc::gen::inRange(0, 5), rc::gen::inRange(0, 3));
}

rc::Gen<std::string> any_leaf()
{
    return rc::gen::apply(
        [](int form, const std::string& bounds, int from, int length, bool down) {
            switch (form) {
            case 0:
                return "lost_zones: {" + bounds + "}";
            case 1:
                return "jobs_waiting: {" + bounds + "}";
            case 2:
                return "healthy_percent: {pool: p, " + bounds + "}";
            case 3:
                return "healthy_percent: {service: s, " + bounds + "}";
            case 4:
                return numbered("hour: {from: ", from) + numbered(", to: ", (from + length) % 24) +
                       "}";
            default:
                return std::string("table_down: ") + (down ? "true" : "false");
            }
        },
        rc::gen::inRange(0, 6), any_bounds(), rc::gen::inRange(0, 24), rc::gen::inRange(1, 24),
        rc::gen::arbitrary<bool>());
}

rc::Gen<std::string> any_condition(int depth)
{
    if (depth == 0) {
        return rc::gen::map(any_leaf(), [](const std::string& leaf) { return "{" + leaf + "}"; });
    }
    return rc::gen::apply(
        [](int form, const std::string& leaf, const std::string& one, const std::string& other) {
            const std::string parts = "[" + one + ", " + other + "]";
            switch (form) {
            case 0:
                return "{" + leaf + ", not: " + one + "}";
            case 1:
                return "{any: " + parts + "}";
            case 2:
                return "{" + leaf + ", all: " + parts + "}";
            default:
                return "{" + leaf + ", any: " + parts + ", not: " + other + "}";
            }
        },
        rc::gen::inRange(0, 4), any_leaf(), any_condition(depth - 1), any_condition(depth - 1));
}

rule_facts any_facts()
{
    rule_facts facts;
    const auto put = [&](const fact_key& key, int most) {
        if (const auto value = *rc::gen::inRange(-1, most + 1); value >= 0) {
            facts[key] = value;
        }
    };
    put({rule_fact::lost_zones, ""}, 6);
    put({rule_fact::jobs_waiting, ""}, 6);
    put({rule_fact::pool_healthy, "p"}, 6);
    put({rule_fact::service_healthy, "s"}, 6);
    put({rule_fact::hour, ""}, 23);
    put({rule_fact::table_down, ""}, 1);
    return facts;
}

std::string rule_text(const std::string& name, const std::string& when,
                      const std::string& then = "{hold: wave}")
{
    return "{rule: " + name + ", when: " + when + ", then: " + then + "}";
}

rule_set rules_of(const std::vector<std::string>& texts)
{
    std::vector<rule> rules;
    for (const std::string& text : texts) {
        rules.push_back({.id = rule_id("r"), .text = text});
    }
    return rule_set(rules);
}

truth as_truth(naive::maybe value)
{
    if (!value) {
        return truth::unknown;
    }
    return *value ? truth::yes : truth::no;
}

} // namespace

TEST_CASE("compiled rules agree with the document read naively", "[rule_set]")
{
    REQUIRE(rc::check([] {
        const std::string when = *any_condition(*rc::gen::inRange(0, 3));
        const document_node document = parse_document(when, "when");
        const rule_set rules = rules_of({rule_text("r", when)});
        for (int round = 0; round < 20; ++round) {
            const rule_facts facts = any_facts();
            const auto bound = rules.bind(facts);
            const truth expected = as_truth(naive::holds(document, facts));
            RC_ASSERT(rules.evaluate(rules.rules()[0], bound) == expected);
            RC_ASSERT(rules.why_not(rules.rules()[0], bound).empty() == (expected == truth::yes));
        }
    }));
}

TEST_CASE("no facts contradict a warning of an unreachable rule", "[rule_set]")
{
    REQUIRE(rc::check([] {
        const rule_set rules =
            rules_of({rule_text("first", *any_condition(*rc::gen::inRange(0, 2))),
                      rule_text("second", *any_condition(1))});
        const auto warnings = rules.warnings();
        for (int round = 0; round < 50; ++round) {
            const auto facts = rules.bind(any_facts());
            const bool first = rules.evaluate(rules.rules()[0], facts) == truth::yes;
            const bool second = rules.evaluate(rules.rules()[1], facts) == truth::yes;
            for (const rule_warning& each : warnings) {
                RC_ASSERT(each.flaw != rule_flaw::unreachable || !second || first);
                RC_ASSERT(each.flaw != rule_flaw::never_holds ||
                          !(each.rule.str() == "first" ? first : second));
            }
        }
    }));
}

TEST_CASE("rules that can't decide or contradict are warned about", "[rule_set]")
{
    const std::string slower = "{rule: slower, when: {lost_racks: {at_least: 1}}, "
                               "then: {abort: {wave: w}}, clear_seconds: 60}";
    const rule_set rules = rules_of({
        rule_text("one-zone", "{lost_zones: {at_least: 1}}"),
        rule_text("two-zones", "{lost_zones: {at_least: 2}, table_down: false}"),
        rule_text("night", "{hour: {from: 22, to: 6}}", "{resume: wave}"),
        rule_text("never", "{all: [{hour: {from: 1, to: 2}}, {hour: {from: 3, to: 4}}]}"),
        rule_text("slow", "{lost_racks: {at_least: 1}}"),
        slower,
    });
    const std::vector<rule_warning> expected{
        {rule_id("two-zones"), rule_flaw::unreachable, rule_id("one-zone")},
        {rule_id("night"), rule_flaw::conflict, rule_id("one-zone")},
        {rule_id("night"), rule_flaw::conflict, rule_id("two-zones")},
        {rule_id("never"), rule_flaw::never_holds, {}},
        {rule_id("slow"), rule_flaw::conflict, rule_id("night")},
        {rule_id("slower"), rule_flaw::conflict, rule_id("one-zone")},
        {rule_id("slower"), rule_flaw::conflict, rule_id("two-zones")},
        {rule_id("slower"), rule_flaw::conflict, rule_id("night")},
        {rule_id("slower"), rule_flaw::conflict, rule_id("slow")},
    };
    CHECK(rules.warnings() == expected);
}

TEST_CASE("an apply is refused with the faults of all rules and their lines", "[rule_set]")
{
    const std::string file =
        "pools: [{id: checks}]\n"
        "rules:\n"
        "  - {rule: a, when: {lost_zones: {at_least: many}}, then: {hold: wave}}\n"
        "  - {rule: b, when: {moon: full}, then: {hold: wave, resume: wave}}\n"
        "  - rule: c\n"
        "    when: {healthy_percent: {pool: nowhere, at_most: 50}}\n"
        "    then: {lend: {from: checks, to: checks}}\n"
        "    for_seconds: -1\n"
        "  - {rule: d, when: {hour: {from: 25, to: 3}}, then: {refuse: loud}}\n"
        "  - {rule: e, then: {quarantine: w9}}\n";
    try {
        static_cast<void>(parse_fleet_document(file, "fleet.yaml"));
        FAIL("accepted");
    }
    catch (const document_error& refused) {
        std::vector<std::string> places;
        for (const document_fault& each : refused.faults()) {
            CHECK(each.file == "fleet.yaml");
            places.push_back(std::to_string(each.line) + " " + each.path);
        }
        CHECK(places == std::vector<std::string>{
                            "3 rules[0].when.lost_zones.at_least", "4 rules[1].when.moon",
                            "4 rules[1].then.then", "6 rules[2].when.healthy_percent.pool",
                            "7 rules[2].then.lend.to", "8 rules[2].for_seconds",
                            "9 rules[3].when.hour.from", "9 rules[3].then.refuse",
                            "10 rules[4].when", "10 rules[4].then.quarantine"});
    }
}
