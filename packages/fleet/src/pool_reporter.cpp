#include "plantaindoor/fleet/pool_reporter.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part pool_log("pool");

bool differs_by_quarter(std::uint32_t before, std::uint32_t now)
{
    const std::uint32_t difference = std::max(before, now) - std::min(before, now);
    return difference > 0 && 4 * difference >= before;
}

bool differs_by_quarter(const pool_figures& before, const pool_figures& now)
{
    return differs_by_quarter(before.wanted, now.wanted) ||
           differs_by_quarter(before.present, now.present) ||
           differs_by_quarter(before.leaving, now.leaving);
}

} // namespace

pool_reporter::~pool_reporter()
{
    for (const auto& [id, pool] : m_pools) {
        pool.wanted->set(0);
        pool.present->set(0);
        pool.leaving->set(0);
    }
}

void pool_reporter::report(const std::map<service_id, pool_figures>& pools, time_point now)
{
    for (const auto& [id, figures] : pools) {
        reported_pool& pool = reported(id);
        pool.wanted->set(figures.wanted);
        pool.present->set(figures.present);
        pool.leaving->set(figures.leaving);
        const bool lacks = figures.missing() > 0;
        const bool repeats = lacks && (now - pool.logged_at >= report_interval ||
                                       differs_by_quarter(pool.logged, figures));
        if (lacks != pool.lacks || repeats) {
            pool_log.info(
                fmt::format("shard {}: pool {} {} machines: {} wanted, {} present, {} leaving",
                            m_shard, id.str(), lacks ? "lacks" : "no longer lacks", figures.wanted,
                            figures.present, figures.leaving));
            pool.logged = figures;
            pool.logged_at = now;
        }
        pool.lacks = lacks;
    }
}

pool_reporter::reported_pool& pool_reporter::reported(const service_id& pool)
{
    const auto [at, is_new] = m_pools.try_emplace(pool);
    if (is_new) {
        const auto gauge = [&](const std::string& name, const std::string& help) {
            return &m_metrics.gauge(
                {name, help, {{"pool", pool.str()}, {"shard", std::to_string(m_shard)}}});
        };
        at->second = {.wanted =
                          gauge("pool_machines_wanted", "Machines that a pool's demand needs"),
                      .present = gauge("pool_machines_present",
                                       "Machines that serve a pool or will after a planned move"),
                      .leaving = gauge("pool_machines_leaving", "Machines whose worker drains")};
    }
    return at->second;
}

} // namespace plantaindoor::fleet
