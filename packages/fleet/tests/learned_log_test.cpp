#include "plantaindoor/fleet/learned_log.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

// Guards against log lines from which an operator can't tell why a decision was made.
TEST_CASE("log lines of learned slow-downs state the inputs of the decision")
{
    job::decision slow{.kind = job::decision_kind::worker_slow, .worker = instance_id("w7")};
    slow.speed = {.slow = true, .slow_down = 6.84, .samples = 3.2, .usual_share = 0.05};
    CHECK(describe(slow) == "worker w7 counts as slow: 6.8 times slower than peers in 3.2 recent "
                            "samples, 5% of them at the usual pace");
    slow.speed.slow = false;
    CHECK(describe(slow).find("worker w7 no longer counts as slow") == 0);

    job::decision pair{.kind = job::decision_kind::interference};
    pair.slowed = "resize";
    pair.slowing = "train";
    pair.pair = {.known = true,
                 .slow_down = 2.05,
                 .beside = 12,
                 .apart = 40,
                 .workers = 4,
                 .certainty = 7.25};
    CHECK(describe(pair) ==
          "resize counts as slowed by train: 2.05 times, 12 recent samples beside "
          "it on 4 workers, 40 apart, 7.2 standard errors");
}

// Guards against gauges that aren't printed or mix up their figures.
TEST_CASE("what a leader has learned is shown by shard")
{
    metrics_registry metrics;
    learned_gauges gauges(metrics, 2);
    gauges.set({.slow_workers = 3,
                .interfering_pairs = 5,
                .strongest_slow_down = 2.5,
                .placements_changed = 70});
    const auto value = [&](const std::string& name) {
        return metrics.gauge({.name = name, .labels = {{"shard", "2"}}}).value();
    };
    CHECK(value("workers_slow") == 3);
    CHECK(value("interference_pairs") == 5);
    CHECK(value("interference_strongest") == 2.5);
    CHECK(value("placements_changed") == 70);
}
