#include "plantaindoor/fleet/operator_watcher.hpp"

#include "fakes/virtual_loop.hpp"
#include "memory_rows.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

const row_address config_address{"op", "", "config"};
/// Time from the acknowledgement of a version until it must be in force everywhere.
constexpr milliseconds apply_bound{2000};

/// Rows of the operator hold a version number as text.
platform_codec version_codec()
{
    platform_codec codec;
    codec.operator_table = config_address.table;
    codec.parse_operator_row = [](const stored_row& row) -> operator_row {
        return fleet_config{.version = std::stoull(row.value)};
    };
    return codec;
}

struct watched_config {
    watched_config()
    {
        put(1);
        loop.run_for(seconds(1));
    }

    void put(std::uint64_t version) { rows.put(config_address, std::to_string(version)); }

    fakes::virtual_loop loop;
    memory_rows rows{loop};
    std::mt19937_64 random{1};
    entry_store store{loop, loop, rows, random};
    platform_codec codec = version_codec();
    metrics_registry metrics;
    std::vector<std::uint64_t> applied;
    operator_watcher watcher{
        loop,
        store,
        codec,
        metrics,
        {.on_config = [this](const auto& config) { applied.push_back(config->version); },
         .on_wave = [](const wave_request&) {},
         .on_response = [] {}}};
};

} // namespace

TEST_CASE("a new configuration is in force within a round trip")
{
    watched_config world;
    world.put(2);
    world.loop.run_for(milliseconds(20));
    CHECK(world.watcher.config()->version == 2);
}

// Guards against a version that takes effect late because the pending watch call is never answered.
TEST_CASE("a new configuration is in force in time though the pending watch call is lost")
{
    for (milliseconds sent_before{0}; sent_before < seconds(3); sent_before += milliseconds(50)) {
        watched_config world;
        world.store.set_fault(store_fault::unresponsive);
        world.loop.run_for(seconds(4) + sent_before);
        world.store.set_fault(store_fault::none);
        world.put(2);
        world.loop.run_for(apply_bound);
        CHECK(world.watcher.config()->version == 2);
    }
}

TEST_CASE("an older configuration never replaces a newer one, also after lost history")
{
    watched_config world;
    world.put(5);
    world.loop.run_for(milliseconds(20));
    world.rows.drop_history();
    world.put(4);
    world.loop.run_for(seconds(3));
    CHECK(world.applied == std::vector<std::uint64_t>{1, 5});
}
