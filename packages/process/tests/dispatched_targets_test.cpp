#include "fakes/fixed_log.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/dispatched_targets.hpp"

#include <catch2/catch.hpp>

#include <utility>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

/// A list that never answers.
class silent_list final : public instance_list {
public:
    void list(list_callback) override {}
};

version::fleet one_target()
{
    version::fleet fleet;
    fleet.teams.emplace(team_id("t"), version::team{.id = team_id("t")});
    fleet.pools.emplace(pool_id("p"), version::pool{.id = pool_id("p")});
    fleet.services.emplace(
        service_id("s"),
        version::service{.id = service_id("s"), .team = team_id("t"), .pools = {pool_id("p")}});
    fleet.instances.emplace(instance_id("w1"),
                            version::instance{.id = instance_id("w1"), .pool = pool_id("p")});
    return fleet;
}

} // namespace

TEST_CASE("a target stays busy while it may run a request that was given up", "[targets]")
{
    fakes::virtual_loop loop;
    fakes::fixed_log log(one_target());
    silent_list list;
    dispatched_targets targets(loop, log, list, {.decisions = {.self = entry_id("e")}});
    targets.start();

    request::target_grant grant;
    targets.submit({.service = service_id("s"),
                    .team = team_id("t"),
                    .arrived = loop.now(),
                    .deadline = loop.now() + seconds(1)},
                   {}, [&](target_offer offer) { grant = std::move(offer.grant); });
    loop.run_for(milliseconds(10));
    REQUIRE(grant.target == instance_id("w1"));

    targets.may_still_run(grant.target, loop.now() + seconds(30));
    targets.release(grant, request::attempt_result::timed_out);
    CHECK(targets.busy_targets() == std::vector{instance_id("w1")});
    loop.run_for(seconds(29));
    CHECK(targets.busy_targets() == std::vector{instance_id("w1")});
    loop.run_for(seconds(1));
    CHECK(targets.busy_targets().empty());
}
