#include "plantaindoor/request/interactive_load.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::request;

namespace {

const pool_id checks("checks");
const pool_id spare("spare");
const service_id spell("spell");
const service_id rebuild("rebuild");
constexpr time_point begin{};

version::instance worker(const char* id, const pool_id& pool, std::uint32_t slots)
{
    return {.id = instance_id(id), .pool = pool, .slots = slots};
}

/// 16 slots in "checks", 48 in "spare"; "rebuild" is of the background class.
version::fleet some_fleet()
{
    version::fleet whole;
    for (const auto& each : {worker("a", checks, 8), worker("b", checks, 8), worker("c", spare, 48),
                             worker("out", checks, 100)}) {
        whole.instances.emplace(each.id, each);
    }
    whole.instances.at(instance_id("out")).state = version::instance_state::draining;
    whole.services.emplace(spell, version::service{.id = spell, .pools = {checks}});
    whole.services.emplace(rebuild,
                           version::service{.id = rebuild,
                                            .pools = {checks},
                                            .default_priority = version::priority::background});
    return whole;
}

demand_report report(const char* entry, std::uint64_t sequence, std::uint32_t in_progress)
{
    return {.entry = entry_id(entry),
            .incarnation = 1,
            .sequence = sequence,
            .services = {{.service = spell, .in_progress = in_progress}}};
}

} // namespace

TEST_CASE("load is all entries' demand for the admitted slots", "[interactive_load]")
{
    interactive_load load;
    load.update(std::make_shared<const version::fleet>(some_fleet()));
    CHECK(load.of(checks, begin) == 0);
    load.reported({{.service = spell, .in_progress = 3, .waiting = 1},
                   {.service = rebuild, .in_progress = 9}},
                  begin);
    CHECK(load.of(checks, begin) == Approx(4.0 / 16));
    load.hear(report("e2", 1, 8), begin);
    CHECK(load.of(checks, begin) == Approx(12.0 / 16));
    CHECK(load.of(spare, begin) == 0);
    CHECK(load.of(pool_id("none"), begin) == 0);
}

TEST_CASE("a report counts until a newer one or its lifetime", "[interactive_load]")
{
    interactive_load load(milliseconds(1000));
    load.update(std::make_shared<const version::fleet>(some_fleet()));
    load.hear(report("e2", 2, 8), begin);
    load.hear(report("e2", 1, 16), begin);
    CHECK(load.of(checks, begin) == Approx(0.5));
    load.hear(report("e2", 3, 4), begin + milliseconds(500));
    CHECK(load.of(checks, begin + milliseconds(1500)) == Approx(0.25));
    CHECK(load.of(checks, begin + milliseconds(1501)) == 0);
}

TEST_CASE("a service of several pools asks of each by its slots", "[interactive_load]")
{
    version::fleet whole = some_fleet();
    whole.services.at(spell).pools = {checks, spare};
    interactive_load load;
    load.update(std::make_shared<const version::fleet>(whole));
    load.reported({{.service = spell, .in_progress = 32}}, begin);
    CHECK(load.of(checks, begin) == Approx(0.5));
    CHECK(load.of(spare, begin) == Approx(0.5));
}
