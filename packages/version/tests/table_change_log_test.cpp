#include "plantaindoor/version/table_change_log.hpp"

#include "fakes/delayed_table.hpp"
#include "fakes/memory_store.hpp"
#include "fakes/virtual_loop.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <limits>
#include <map>
#include <memory>
#include <string>

using namespace plantaindoor;
using namespace plantaindoor::version;

namespace {

class taken_error : public error {
public:
    taken_error() : error("taken", "the name is taken", {}) {}
};

std::vector<change> add_team(const fleet& newest, const std::string& name)
{
    if (newest.teams.contains(team_id(name))) {
        throw taken_error();
    }
    return {put_team{{.id = team_id(name)}}};
}

append_request adding(const std::string& name)
{
    return {.author = "operator:test",
            .propose = [name](const fleet& newest) { return add_team(newest, name); }};
}

/// Several entries' logs over one table.
struct cluster {
    struct member {
        std::unique_ptr<fakes::delayed_table> way;
        std::unique_ptr<table_change_log> log;
        version_number last_seen = 0;
    };

    explicit cluster(std::size_t size, fakes::delayed_table_options faults = {},
                     std::uint64_t seed = 1)
    {
        for (std::size_t each = 0; each < size; ++each) {
            add(faults, seed * 100 + each);
        }
    }

    void add(fakes::delayed_table_options faults, std::uint64_t seed)
    {
        auto one = std::make_unique<member>();
        one->way = std::make_unique<fakes::delayed_table>(loop, rows, faults, seed);
        one->log = std::make_unique<table_change_log>(
            loop, *one->way,
            table_change_log_options{.author_id = fmt::format("e{}", seed),
                                     .seed = seed,
                                     .snapshots = &store,
                                     .compaction = compaction});
        one->log->subscribe([raw = one.get()](const fleet_ptr& newest) {
            REQUIRE(newest->version > raw->last_seen);
            raw->last_seen = newest->version;
        });
        one->log->start();
        members.push_back(std::move(one));
    }

    /// Appends at one member and counts the results by name.
    void append(std::size_t at, const append_request& request, const std::string& name)
    {
        members[at]->log->append(request, [this, name](const append_result& result) {
            REQUIRE(results.emplace(name, result).second);
        });
    }

    [[nodiscard]] fleet rebuilt() const
    {
        fleet whole;
        for (const table_row& row : rows.scan({.prefix = "log/delta/", .limit = 100000})) {
            apply(whole, decode_log_record(row.value).step);
        }
        return whole;
    }

    /// In how many versions the team was put.
    [[nodiscard]] std::map<std::string, std::vector<version_number>> puts() const
    {
        std::map<std::string, std::vector<version_number>> found;
        for (const table_row& row : rows.scan({.prefix = "log/delta/", .limit = 100000})) {
            const delta step = decode_log_record(row.value).step;
            for (const change& each : step.changes) {
                found[std::get<put_team>(each).value.id.str()].push_back(step.version);
            }
        }
        return found;
    }

    /// Nothing is deleted, but snapshots change the head's row between appends.
    compaction_options compaction{.every = 3, .keep = 1000};
    fakes::virtual_loop loop;
    fakes::memory_table rows;
    fakes::memory_store store{loop};
    std::vector<std::unique_ptr<member>> members;
    std::map<std::string, append_result> results;
};

} // namespace

TEST_CASE("an accepted change is in force at once at its entry and soon at the others", "[log]")
{
    cluster all(2);
    all.append(0, adding("exams"), "exams");
    all.loop.run_for(seconds(2));
    REQUIRE(all.results.at("exams").outcome == append_outcome::accepted);
    CHECK(all.results.at("exams").version == 1);
    CHECK(*all.members[0]->log->current() == all.rebuilt());
    CHECK(*all.members[1]->log->current() == all.rebuilt());
}

TEST_CASE("a version that only a peer tells of is not looked for for ever", "[log]")
{
    cluster all(2);
    table_change_log& log = *all.members[1]->log;
    all.append(0, adding("exams"), "exams");
    all.loop.run_for(seconds(2));
    const std::size_t before = all.members[1]->way->reads;
    log.receive({}, std::numeric_limits<version_number>::max());
    CHECK_FALSE(log.follower().caught_up());
    all.loop.run_for(seconds(10));
    CHECK(log.follower().caught_up());
    // The head's readings, each 500 ms, and a few for what was told.
    CHECK(all.members[1]->way->reads - before <= 20 + 4);
    all.append(0, adding("maths"), "maths");
    all.loop.run_for(seconds(2));
    CHECK(*log.current() == all.rebuilt());
    CHECK(log.current()->version == 2);
}

TEST_CASE("racing writers at one entry share a transaction and are judged in order", "[log]")
{
    cluster all(1);
    all.append(0, adding("first"), "first");
    all.append(0, adding("a"), "a");
    all.append(0, adding("a"), "a again");
    all.append(0, adding("b"), "b");
    all.loop.run_for(seconds(2));
    CHECK(all.results.at("a").version == 2);
    CHECK(all.results.at("b").version == 2);
    CHECK(all.results.at("a again").outcome == append_outcome::refused);
    CHECK(all.members[0]->way->transactions == 2);
}

TEST_CASE("a writer whose guard has changed is fenced and the others of its group are not", "[log]")
{
    cluster all(1);
    all.rows.transact({.writes = {{"lease/duty/a", "mine"}}});
    const row_version mine = all.rows.read({"lease/duty/a"}).front().version;
    all.rows.transact({.writes = {{"lease/duty/a", "another's"}}});
    append_request guarded = adding("guarded");
    guarded.guards = {{"lease/duty/a", mine}};
    all.append(0, adding("first"), "first");
    all.append(0, guarded, "guarded");
    all.append(0, adding("free"), "free");
    all.loop.run_for(seconds(2));
    CHECK(all.results.at("guarded").outcome == append_outcome::fenced);
    CHECK(all.results.at("free").outcome == append_outcome::accepted);
    CHECK_FALSE(all.rebuilt().teams.contains(team_id("guarded")));
}

TEST_CASE("with the table down an append is reported as unavailable in bounded time", "[log]")
{
    cluster all(1);
    all.members[0]->way->down = true;
    all.append(0, adding("exams"), "exams");
    all.loop.run_for(seconds(10));
    CHECK(all.results.at("exams").outcome == append_outcome::unavailable);
}

TEST_CASE("a starting entry reads a bounded part of a long log", "[log]")
{
    cluster all(0);
    all.compaction = {.every = 10, .keep = 15, .max_deleted = 12};
    all.add({}, 1);
    all.add({}, 2);
    for (int each = 0; each < 200; ++each) {
        const std::string name = fmt::format("t{}", each);
        all.append(static_cast<std::size_t>(each % 2), adding(name), name);
        all.loop.run_for(milliseconds(200));
    }
    CHECK(all.rows.scan({.prefix = "log/delta/"}).size() <= 25);
    CHECK(all.store.objects.size() == 1);
    all.add({}, 99);
    all.loop.run_for(milliseconds(200));
    CHECK(all.members.back()->log->current()->version == 200);
    CHECK(*all.members.back()->log->current() == *all.members.front()->log->current());
    CHECK(all.members.back()->way->reads <= 3);
}

TEST_CASE("every report of an append is true whatever calls and replies are lost", "[log]")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        cluster all(3, {.lose_call = 40, .lose_reply = 80, .late_effect = 60, .unavailable = 40},
                    seed);
        std::mt19937_64 random(seed);
        for (int each = 0; each < 40; ++each) {
            // Names collide on purpose: of two writers of one name only one may be accepted.
            const std::string name = std::to_string(random() % 30);
            all.append(random() % 3, adding(name), fmt::format("{}#{}", name, each));
            all.loop.run_for(milliseconds(random() % 40));
        }
        all.loop.run_for(seconds(120));
        REQUIRE(all.results.size() == 40);

        const auto puts = all.puts();
        std::map<std::string, int> accepted;
        std::map<std::string, int> unknown;
        for (const auto& [key, result] : all.results) {
            const std::string name = key.substr(0, key.find('#'));
            accepted[name] += result.outcome == append_outcome::accepted ? 1 : 0;
            unknown[name] += result.outcome == append_outcome::unknown ? 1 : 0;
            if (result.outcome == append_outcome::accepted) {
                CHECK(puts.at(name) == std::vector<version_number>{result.version});
            }
        }
        for (const auto& [name, versions] : puts) {
            REQUIRE(versions.size() == 1);
            REQUIRE(accepted[name] <= 1);
            REQUIRE(accepted[name] + unknown[name] >= 1);
        }
        for (const auto& each : all.members) {
            REQUIRE(*each->log->current() == all.rebuilt());
        }
    }
}
