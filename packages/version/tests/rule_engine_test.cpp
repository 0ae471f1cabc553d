#include "plantaindoor/version/rule_engine.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;
using namespace plantaindoor::version;
using namespace std::chrono_literals;

namespace {

constexpr const char* patient = "{rule: patient, when: {lost_zones: {at_least: 1}}, "
                                "then: {hold: wave}, for_seconds: 10, clear_seconds: 20}";
constexpr const char* prompt =
    "{rule: prompt, when: {waves_running: {at_least: 1}}, then: {abort: wave}}";

rule_set_ptr rules_of(const std::vector<std::string>& texts)
{
    std::vector<rule> rules;
    for (const std::string& text : texts) {
        rules.push_back({.id = rule_id("r"), .text = text});
    }
    return std::make_shared<rule_set>(rules);
}

rule_facts lost(double zones, double waves = 0)
{
    return {{{rule_fact::lost_zones, ""}, zones}, {{rule_fact::waves_running, ""}, waves}};
}

/// Decides once a second with the same facts; returns the last decision.
rule_decision run(rule_engine& engine, time_point& now, const rule_facts& facts, seconds time)
{
    rule_decision last;
    for (seconds passed{0}; passed < time; ++passed) {
        now += 1s;
        last = engine.decide(facts, now);
    }
    return last;
}

} // namespace

TEST_CASE("a rule acts once its condition has held, and until it has been gone", "[rule_engine]")
{
    rule_engine engine;
    engine.use(rules_of({patient}));
    time_point now{1h};
    CHECK(!run(engine, now, lost(1), 10s).decided);
    CHECK(run(engine, now, lost(1), 1s).decided == 0);
    CHECK(run(engine, now, lost(0), 20s).decided == 0);
    CHECK(run(engine, now, lost(1), 1s).decided == 0);
    CHECK(run(engine, now, lost(0), 20s).decided == 0);
    const rule_decision gone = run(engine, now, lost(0), 1s);
    CHECK(!gone.decided);
    CHECK(gone.standings[0].cleared);
}

TEST_CASE("facts that flap faster than the rule's times never flap its action", "[rule_engine]")
{
    REQUIRE(rc::check([] {
        rule_engine engine;
        engine.use(rules_of({patient}));
        time_point now{1h};
        const bool acting = *rc::gen::arbitrary<bool>();
        if (acting) {
            run(engine, now, lost(1), 11s);
        }
        for (int flap = 0; flap < 30; ++flap) {
            const auto held = seconds(*rc::gen::inRange(1, 10));
            RC_ASSERT(run(engine, now, lost(1), held).decided.has_value() == acting);
            const auto gone = seconds(*rc::gen::inRange(1, 20));
            RC_ASSERT(run(engine, now, lost(0), gone).decided.has_value() == acting);
        }
    }));
}

TEST_CASE("unknown facts neither start nor end an action", "[rule_engine]")
{
    rule_engine engine;
    engine.use(rules_of({patient}));
    time_point now{1h};
    CHECK(!run(engine, now, {}, 60s).decided);
    run(engine, now, lost(1), 11s);
    const rule_decision blind = run(engine, now, {}, 60s);
    CHECK(blind.decided == 0);
    CHECK(!blind.standings[0].cleared);
}

TEST_CASE("a pause of the process counts for nothing", "[rule_engine]")
{
    rule_engine engine;
    engine.use(rules_of({patient}));
    time_point now{1h};
    run(engine, now, lost(1), 5s);
    now += 60s;
    CHECK(!run(engine, now, lost(1), 5s).decided);
    CHECK(run(engine, now, lost(1), 6s).decided == 0);
}

TEST_CASE("the first rule in effect decides, also while others hold", "[rule_engine]")
{
    rule_engine engine;
    engine.use(rules_of({patient, prompt}));
    time_point now{1h};
    CHECK(run(engine, now, lost(1, 1), 10s).decided == 1);
    CHECK(run(engine, now, lost(1, 1), 1s).decided == 0);
}

TEST_CASE("a rule keeps its standing over versions that don't change it", "[rule_engine]")
{
    rule_engine engine;
    engine.use(rules_of({patient}));
    time_point now{1h};
    run(engine, now, lost(1), 9s);
    engine.use(rules_of({prompt, patient}));
    CHECK(!run(engine, now, lost(1), 1s).decided);
    CHECK(run(engine, now, lost(1), 1s).decided == 1);
    engine.use(rules_of({prompt}));
    engine.use(rules_of({prompt, patient}));
    CHECK(!run(engine, now, lost(1), 5s).decided);
}

TEST_CASE("engines that see the same facts decide the same", "[rule_engine]")
{
    REQUIRE(rc::check([] {
        rule_engine one;
        rule_engine other;
        one.use(rules_of({patient, prompt}));
        other.use(rules_of({patient, prompt}));
        time_point now{1h};
        for (int step = 0; step < 100; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 6000));
            const rule_facts facts = lost(*rc::gen::inRange(0, 2), *rc::gen::inRange(0, 2));
            RC_ASSERT(one.decide(facts, now) == other.decide(facts, now));
        }
    }));
}
