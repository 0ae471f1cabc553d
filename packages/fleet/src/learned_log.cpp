#include "plantaindoor/fleet/learned_log.hpp"

#include <fmt/format.h>

namespace plantaindoor::fleet {

namespace {

metric_options shard_gauge(std::string name, std::string help, shard_number shard)
{
    return {.name = std::move(name),
            .help = std::move(help),
            .labels = {{"shard", std::to_string(shard)}}};
}

} // namespace

std::string describe(const job::decision& learned)
{
    const policy::worker_speed_change& speed = learned.speed;
    return fmt::format(
        "worker {} {} slow: {:.1f} times slower than peers in {:.1f} recent samples, "
        "{:.0f}% of them at the usual pace",
        learned.worker.str(), speed.slow ? "counts as" : "no longer counts as", speed.slow_down,
        speed.samples, speed.usual_share * 100);
}

learned_gauges::learned_gauges(metrics_registry& metrics, shard_number shard)
    : m_slow_workers(metrics.gauge(
          shard_gauge("workers_slow", "Workers that count as slow by themselves", shard))),
      m_placements_changed(metrics.gauge(shard_gauge(
          "placements_changed",
          "Placements that learned slow-downs have changed since the leader's start", shard)))
{
}

void learned_gauges::set(const job::learned_figures& figures)
{
    m_slow_workers.set(double(figures.slow_workers));
    m_placements_changed.set(double(figures.placements_changed));
}

} // namespace plantaindoor::fleet
