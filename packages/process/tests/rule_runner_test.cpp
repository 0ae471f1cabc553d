#include "plantaindoor/process/rule_runner.hpp"

#include "fakes/fake_table.hpp"
#include "fakes/uniform_fleet.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/version/planned_changes.hpp"
#include "plantaindoor/version/table_change_log.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;
using namespace std::chrono_literals;
using version::wave_state;

namespace {

class kept_journal final : public journal_sink {
public:
    void record(journal_entry entry) override { entries.push_back(std::move(entry)); }

    std::vector<journal_entry> entries;
};

/// One entry's runner over a real log, with the duty's row in the same table.
struct runner_world {
    fakes::virtual_loop loop;
    fakes::fake_table table;
    version::table_change_log log{loop, table, {.author_id = "e1", .seed = 1}};
    kept_journal journal;
    std::optional<row_condition> guard;
    std::optional<version::lost_instances> lost = version::lost_instances{};
    int dropped = 0;
    rule_runner runner{{.loop = loop,
                        .log = log,
                        .journal = journal,
                        .self = entry_id("e1"),
                        .guard = [this] { return guard; },
                        .drop_guard =
                            [this] {
                                ++dropped;
                                guard.reset();
                            },
                        .lost = [this] { return lost; },
                        .table_down = [] { return false; }}};

    explicit runner_world(const std::string& rules)
    {
        const auto base = fakes::uniform_fleet({.instances_per_pool = 6});
        std::vector<version::change> changes;
        changes.push_back(version::put_team{base->teams.begin()->second});
        changes.push_back(version::put_pool{base->pools.begin()->second});
        changes.push_back(version::put_service{base->services.begin()->second});
        for (const auto& [id, each] : base->instances) {
            changes.push_back(version::put_instance{each});
        }
        changes.push_back(version::put_wave{{.id = wave_id("w"), .pools = {pool_id("p0")}}});
        log.start();
        append(changes);
        set_rules(rules);
        take_duty();
        runner.start();
    }

    void append(std::vector<version::change> changes)
    {
        log.append({.author = "test", .propose = [changes](const auto&) { return changes; }},
                   [](const auto&) {});
        run(1s);
    }

    void set_rules(const std::string& text)
    {
        std::vector<version::rule> rules;
        if (!text.empty()) {
            rules.push_back({.id = rule_id("r"), .text = text});
        }
        append({version::set_rules{rules}});
    }

    void take_duty()
    {
        const auto taken =
            table.rows.transact({.writes = {{.key = "lease/duty/rules", .value = "e1"}}});
        guard = row_condition{.key = "lease/duty/rules", .version = taken.version};
    }

    void lose_zone() { lost = {instance_id("p0-w00"), instance_id("p0-w03")}; }

    void run(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += 50ms) {
            loop.run_for(50ms);
            table.run_all();
        }
    }

    [[nodiscard]] wave_state wave() const { return log.current()->waves.at(wave_id("w")).state; }
};

constexpr const char* hold_on_loss = "{rule: r, when: {lost_zones: {at_least: 1}}, "
                                     "then: {hold: wave}, for_seconds: 5, clear_seconds: 10}";

} // namespace

TEST_CASE("a lost zone holds the wave and its return resumes it, each journalled once",
          "[rule_runner]")
{
    runner_world world(hold_on_loss);
    world.lose_zone();
    world.run(4s);
    CHECK(world.wave() == wave_state::running);
    world.run(6s);
    CHECK(world.wave() == wave_state::paused);
    world.lost.emplace();
    world.run(8s);
    CHECK(world.wave() == wave_state::paused);
    world.run(6s);
    CHECK(world.wave() == wave_state::running);
    REQUIRE(world.journal.entries.size() == 2);
    const journal_entry& held = world.journal.entries[0];
    CHECK((held.action == "wave-held" && held.rule.str() == "r" && held.part == "rule"));
    CHECK(held.facts.front() == journal_fact{"lost_zones", "1"});
    CHECK(held.version == 2);
    CHECK(world.journal.entries[1].action == "hold-undone");
}

TEST_CASE("without a reading of the list nothing starts and nothing is undone", "[rule_runner]")
{
    runner_world world(hold_on_loss);
    world.lose_zone();
    world.run(10s);
    world.lost.reset();
    world.run(60s);
    CHECK(world.wave() == wave_state::paused);
    CHECK(world.journal.entries.size() == 1);
}

TEST_CASE("an entry without the duty, or whose duty was taken, changes nothing", "[rule_runner]")
{
    runner_world world(hold_on_loss);
    world.lose_zone();
    world.table.rows.transact({.writes = {{.key = "lease/duty/rules", .value = "e2"}}});
    world.run(20s);
    CHECK(world.wave() == wave_state::running);
    CHECK(world.dropped == 1);
    CHECK(world.journal.entries.empty());
    world.take_duty();
    world.run(10s);
    CHECK(world.wave() == wave_state::paused);
}

TEST_CASE("a rule that was removed gives up its hold", "[rule_runner]")
{
    runner_world world(hold_on_loss);
    world.lose_zone();
    world.run(10s);
    version::fleet without = *world.log.current();
    without.rules.clear();
    CHECK(duties_of_rules(without).size() == 1);
    world.set_rules("");
    world.run(3s);
    CHECK(world.wave() == wave_state::running);
    CHECK(duties_of_rules(*world.log.current()).empty());
}

TEST_CASE("a refused action is journalled once with its figures", "[rule_runner]")
{
    runner_world world("{rule: r, when: {}, then: {quarantine: p0-w00}}");
    world.run(3s);
    CHECK(world.log.current()->instances.at(instance_id("p0-w00")).state ==
          version::instance_state::quarantined);
    runner_world refused("{rule: r, when: {}, then: {quarantine: p9-w00}}");
    refused.run(10s);
    REQUIRE(refused.journal.entries.size() == 1);
    CHECK(refused.journal.entries[0].action == "action-refused");
}

TEST_CASE("a reply that is lost repeats no action", "[rule_runner]")
{
    for (const auto fault : {fakes::table_fault::lose_reply, fakes::table_fault::lose_call}) {
        runner_world world("{rule: r, when: {}, then: {hold: wave}}");
        world.table.fault = fault;
        world.run(2s);
        world.table.fault = fakes::table_fault::none;
        world.run(20s);
        CHECK(world.wave() == wave_state::paused);
        CHECK(world.log.current()->version == 3);
    }
}
