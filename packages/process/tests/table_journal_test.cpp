#include "plantaindoor/process/table_journal.hpp"

#include "fakes/fake_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/journal_rows.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;
using namespace std::chrono_literals;

namespace {

struct journal_world {
    fakes::virtual_loop loop;
    fakes::fake_table table;
    table_journal journal{{.loop = loop,
                           .rows = table,
                           .self = entry_id("e1"),
                           .incarnation = 7,
                           .max_waiting = 20,
                           .max_group = 8,
                           .kept = std::chrono::hours(2),
                           .max_trimmed = 5,
                           .max_scan = 10}};

    void record(int count)
    {
        for (int n = 0; n < count; ++n) {
            journal.record({.when = loop.wall_now(),
                            .actor = entry_id("e1"),
                            .part = "rule",
                            .action = "act",
                            .version = ++recorded,
                            .rule = rule_id("r"),
                            .facts = {{"hour", "3"}}});
        }
    }

    void run(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += 100ms) {
            loop.run_for(100ms);
            table.run_all();
        }
    }

    journal_reading read(std::size_t limit)
    {
        journal_reading result;
        journal.read_newest(limit, [&](journal_reading got) { result = std::move(got); });
        table.run_all();
        return result;
    }

    std::vector<std::uint64_t> versions(std::size_t limit)
    {
        std::vector<std::uint64_t> all;
        for (const journal_entry& each : read(limit).entries) {
            all.push_back(each.version);
        }
        return all;
    }

    std::uint64_t recorded = 0;
};

} // namespace

TEST_CASE("entries are written in groups and read newest last", "[table_journal]")
{
    journal_world world;
    world.record(12);
    world.run(1s);
    CHECK(world.table.transactions == 2);
    CHECK(world.versions(3) == std::vector<std::uint64_t>{10, 11, 12});
    CHECK(world.versions(100).size() == 12);
    CHECK(world.read(1).entries.front().facts == std::vector<journal_fact>{{"hour", "3"}});
    world.loop.run_for(100min);
    CHECK(world.versions(11).front() == 2);
}

TEST_CASE("a lost reply writes each entry once", "[table_journal]")
{
    for (const auto fault : {fakes::table_fault::lose_reply, fakes::table_fault::lose_call}) {
        journal_world world;
        world.table.fault = fault;
        world.record(3);
        world.run(500ms);
        world.table.fault = fakes::table_fault::none;
        world.run(3s);
        CHECK(world.journal.waiting() == 0);
        CHECK(world.versions(100) == std::vector<std::uint64_t>{1, 2, 3});
    }
}

TEST_CASE("in an outage entries wait, bounded, and the dropped are counted", "[table_journal]")
{
    journal_world world;
    world.table.fault = fakes::table_fault::down;
    for (int burst = 0; burst < 10; ++burst) {
        world.record(5);
        world.run(1s);
    }
    CHECK(world.journal.waiting() <= 20);
    const journal_reading own = world.read(4);
    CHECK(!own.complete);
    CHECK(own.entries.back().version == 50);
    world.table.fault = fakes::table_fault::none;
    world.run(5s);
    const auto entries = world.read(100).entries;
    REQUIRE(entries.size() == 21);
    CHECK(entries.back().action == "entries-dropped");
    CHECK(entries.back().facts == std::vector<journal_fact>{{"count", "30"}});
    CHECK(entries[19].version == 50);
}

TEST_CASE("entries that are being written are not dropped for newer ones", "[table_journal]")
{
    journal_world world;
    world.record(10);
    world.loop.run_for(300ms);
    REQUIRE(world.table.waiting() == 1);
    world.record(30);
    CHECK(world.journal.dropped() == 12);
    world.run(10s);
    std::vector<std::uint64_t> expected{1, 2, 3, 4, 5, 6, 7, 8};
    for (std::uint64_t version = 21; version <= 40; ++version) {
        expected.push_back(version);
    }
    expected.push_back(0);
    CHECK(world.versions(100) == expected);
}

TEST_CASE("old entries are deleted a few at a time", "[table_journal]")
{
    journal_world world;
    world.journal.start();
    world.record(12);
    world.run(1s);
    world.loop.run_for(100min);
    world.table.run_all();
    world.record(1);
    world.run(1s);
    CHECK(world.versions(100).size() == 13);
    world.loop.run_for(20min);
    for (int page = 0; page < 4; ++page) {
        world.run(61s);
    }
    CHECK(world.table.rows.scan({.prefix = std::string(journal_prefix)}).size() == 1);
}
