#include "plantaindoor/process/claim_sweeper.hpp"

#include "fakes/delayed_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/request/claim_record.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;
using request::claim_record;
using request::claim_state;

namespace {

constexpr std::chrono::hours lifetime{24};

struct swept_table {
    fakes::virtual_loop loop;
    fakes::memory_table rows;

    void put(const std::string& key, wall_time ended, claim_state state = claim_state::answered)
    {
        rows.transact({.writes = {{.key = std::string(request::claim_prefix) + key,
                                   .value = request::encode(claim_record{
                                       .state = state, .ends_by = ended, .written = ended})}}});
    }

    std::size_t left() { return rows.scan({.prefix = "claim/", .limit = 100000}).size(); }
};

} // namespace

TEST_CASE("only claims past their lifetime are swept, whatever the table does", "[claim_sweeper]")
{
    swept_table world;
    world.loop.run_for(2 * lifetime);
    const wall_time now = world.loop.wall_now();
    constexpr int old_claims = 950;
    for (int number = 0; number < old_claims; ++number) {
        world.put("s/old" + std::to_string(number), now - lifetime,
                  static_cast<claim_state>(number % 4));
    }
    for (int number = 0; number < 30; ++number) {
        world.put("s/young" + std::to_string(number), now - lifetime + seconds(600));
    }
    fakes::delayed_table_options faults{
        .lose_call = 50, .lose_reply = 50, .late_effect = 50, .unavailable = 50};
    fakes::delayed_table first_table(world.loop, world.rows, faults, 1);
    fakes::delayed_table second_table(world.loop, world.rows, faults, 2);
    const claim_sweeper_options options{.lifetime = lifetime, .page_rows = 50};
    claim_sweeper first(world.loop, first_table, options);
    claim_sweeper second(world.loop, second_table, options);
    first.start();
    second.start();
    world.loop.run_for(seconds(200));
    CHECK(world.left() == 30);
    world.loop.run_for(seconds(2000));
    CHECK(world.left() == 0);
}

TEST_CASE("a released claim that a repeat takes meanwhile is not deleted", "[claim_sweeper]")
{
    swept_table world;
    world.loop.run_for(2 * lifetime);
    world.put("s/k", world.loop.wall_now() - lifetime, claim_state::released);
    fakes::delayed_table table(world.loop, world.rows,
                               {.min_delay = milliseconds(100), .max_delay = milliseconds(100)}, 1);
    claim_sweeper sweeper(world.loop, table, {.lifetime = lifetime});
    sweeper.start();
    // Cursor read at 1,000 ms, page read by 1,400 ms, transaction at 1,500 ms.
    world.loop.run_for(milliseconds(1400));
    world.put("s/k", world.loop.wall_now(), claim_state::claimed);
    world.loop.run_for(seconds(100));
    CHECK(world.left() == 1);
    CHECK(sweeper.counts().pages > 0);
}

TEST_CASE("entries share one sweep", "[claim_sweeper]")
{
    swept_table world;
    fakes::delayed_table table(world.loop, world.rows, {}, 1);
    std::vector<std::unique_ptr<claim_sweeper>> sweepers;
    for (int entry = 0; entry < 7; ++entry) {
        sweepers.push_back(
            std::make_unique<claim_sweeper>(world.loop, table, claim_sweeper_options{}));
        sweepers.back()->start();
    }
    world.loop.run_for(std::chrono::hours(1));
    std::size_t pages = 0;
    for (const auto& sweeper : sweepers) {
        pages += sweeper->counts().pages;
    }
    // One pass over an empty table each 10 minutes, not one for each entry.
    CHECK(pages == 6);
}
