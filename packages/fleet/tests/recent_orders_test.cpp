#include "plantaindoor/fleet/recent_orders.hpp"

#include "memory_rows.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using plantaindoor::fleet::testing::entry_store;
using plantaindoor::fleet::testing::memory_rows;
using plantaindoor::fleet::testing::store_fault;

namespace {

using machines = std::set<std::string>;

/// The row of a leader, and what its successor would read.
struct recent_orders_fixture {
    fakes::virtual_loop loop;
    memory_rows rows{loop};
    std::mt19937_64 random{7};
    entry_store store{loop, loop, rows, random};
    row_address at{"waves", "control", "ordered"};
    row_address claim{"leaders", "control", "claim"};
    std::unique_ptr<recent_orders> subject;

    recent_orders_fixture()
    {
        rows.put(claim, "leader");
        subject = std::make_unique<recent_orders>(
            store, recent_orders_options{.at = at, .claim = {claim, rows.version()}});
    }

    void order(const std::vector<std::string>& names)
    {
        subject->add(names, loop.now(), [](bool) {});
    }

    void run_for(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
            loop.run_for(milliseconds(100));
            subject->tick(loop.now());
        }
    }

    [[nodiscard]] machines listed() const { return parse_machines(rows.find(at)->value); }
};

} // namespace

// Guards against a successor that leaves all machines of a burst alone, long after they have moved:
// the pool of the next burst got its machines 3 s late.
TEST_CASE("load: after a burst of moves, a successor is kept only from those without an answer")
{
    recent_orders_fixture fixture;
    fixture.order({"m1", "m2", "m3"});
    fixture.run_for(milliseconds(200));
    CHECK(fixture.listed() == machines{"m1", "m2", "m3"});
    fixture.subject->remove("m1");
    fixture.subject->remove("m3");
    fixture.run_for(milliseconds(700));
    CHECK(fixture.listed() == machines{"m2"});
    fixture.run_for(milliseconds(2000));
    CHECK(fixture.listed() == machines{"m2"});
    // The order is then too old to be carried out.
    fixture.run_for(milliseconds(1500));
    CHECK(fixture.listed().empty());
}

TEST_CASE("few writes remove machines, and none is made without a change")
{
    recent_orders_fixture fixture;
    for (int each = 0; each < 20; ++each) {
        fixture.order({"m" + std::to_string(each)});
        fixture.run_for(milliseconds(100));
        fixture.subject->remove("m" + std::to_string(each));
    }
    fixture.run_for(milliseconds(10000));
    CHECK(fixture.listed().empty());
    CHECK(fixture.store.commits() <= 22);
}

TEST_CASE("a removal that is carried out late doesn't hide a later order")
{
    recent_orders_fixture fixture;
    fixture.order({"m1"});
    fixture.run_for(milliseconds(200));
    fixture.subject->remove("m1");
    fixture.store.set_fault(store_fault::late);
    fixture.run_for(milliseconds(700));
    fixture.store.set_fault(store_fault::none);
    fixture.order({"m2"});
    for (int tenth = 0; tenth < 30; ++tenth) {
        fixture.run_for(milliseconds(100));
        CHECK(fixture.listed().contains("m2"));
    }
}

TEST_CASE("a row of another shape lists no machine")
{
    CHECK(parse_machines("").empty());
    CHECK(parse_machines("{\"m1\":1}").empty());
    CHECK(parse_machines("[1,null,\"m1\",[\"m2\"]]") == machines{"m1"});
}
