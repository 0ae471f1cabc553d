#include "plantaindoor/fleet/learned_log.hpp"

#include "plantaindoor/fleet/shard_metrics.hpp"

#include <fmt/format.h>

namespace plantaindoor::fleet {

std::string describe(const job::decision& learned)
{
    if (learned.kind == job::decision_kind::interference) {
        const policy::interference_change& pair = learned.pair;
        return fmt::format("{} {} slowed by {}: {:.2f} times, {} recent samples beside it on {} "
                           "workers, {} apart, {:.1f} standard errors",
                           learned.slowed, pair.known ? "counts as" : "no longer counts as",
                           learned.slowing, pair.slow_down, pair.beside, pair.workers, pair.apart,
                           pair.certainty);
    }
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
      m_pairs(metrics.gauge(shard_gauge(
          "interference_pairs", "Pairs of kinds of which one slows the other down", shard))),
      m_strongest(metrics.gauge(
          shard_gauge("interference_strongest", "Greatest slow-down of a kind by another", shard))),
      m_placements_changed(metrics.gauge(shard_gauge(
          "placements_changed",
          "Placements that learned slow-downs have changed since the leader's start", shard)))
{
}

void learned_gauges::set(const job::learned_figures& figures)
{
    m_slow_workers.set(double(figures.slow_workers));
    m_pairs.set(double(figures.interfering_pairs));
    m_strongest.set(figures.strongest_slow_down);
    m_placements_changed.set(double(figures.placements_changed));
}

} // namespace plantaindoor::fleet
