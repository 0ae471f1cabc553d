#include "plantaindoor/fleet/quota_reporter.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <string>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part quota_log("quota");
constexpr milliseconds refresh_interval{1000};

std::string describe(const policy::resources& amounts)
{
    return fmt::format("{}/{}/{}", amounts.cpu_millis, amounts.memory_mb, amounts.accelerators);
}

void set(const std::array<metric_gauge*, 3>& gauges, const policy::resources& amounts)
{
    gauges[0]->set(double(amounts.cpu_millis));
    gauges[1]->set(double(amounts.memory_mb));
    gauges[2]->set(double(amounts.accelerators));
}

} // namespace

quota_reporter::~quota_reporter()
{
    clear();
}

void quota_reporter::clear()
{
    for (const auto& [id, gauges] : m_gauges) {
        set(gauges.running, {});
        set(gauges.part, {});
        set(gauges.waiting, {});
    }
}

void quota_reporter::log_events(policy::workspace_quota& quota) const
{
    for (const policy::quota_event& event : quota.take_events()) {
        const policy::quota_usage& usage = event.usage;
        quota_log.info(fmt::format(
            "shard {}: workspace {} {} at its cap ({}): {} tasks wait for {}, running {}, possibly "
            "running {}, part {}, cap {} (thousandths of a core/MB/accelerators)",
            m_shard, event.workspace.str(), event.waits ? "waits" : "no longer waits",
            name_of(event.reason), usage.waiting_tasks, describe(usage.waiting),
            describe(usage.running), describe(usage.possible),
            describe(policy::amounts_of(usage.usable, usage.cap)), describe(usage.cap)));
    }
}

void quota_reporter::refresh(const policy::workspace_quota& quota, time_point now)
{
    if (now - m_refreshed < refresh_interval || (!quota.has_caps() && m_gauges.empty())) {
        return;
    }
    m_refreshed = now;
    clear();
    for (const auto& [id, usage] : quota.usages()) {
        if (m_gauges.size() >= max_reported_workspaces && !m_gauges.contains(id)) {
            continue;
        }
        const workspace_gauges& gauges = gauges_of(id);
        set(gauges.running, usage.running);
        set(gauges.part, policy::amounts_of(usage.share, usage.cap));
        set(gauges.waiting, usage.waiting);
    }
}

quota_reporter::workspace_gauges& quota_reporter::gauges_of(const workspace_id& workspace)
{
    const auto [at, is_new] = m_gauges.try_emplace(workspace);
    if (is_new) {
        const auto amounts = [&](const std::string& name, const std::string& help) {
            const auto gauge = [&](const std::string& amount) {
                return &m_metrics.gauge({name,
                                         help,
                                         {{"workspace", workspace.str()},
                                          {"amount", amount},
                                          {"shard", std::to_string(m_shard)}}});
            };
            return amount_gauges{gauge("cpu_millis"), gauge("memory_mb"), gauge("accelerators")};
        };
        at->second = {.running = amounts("workspace_running", "Amounts of a workspace's runs"),
                      .part = amounts("workspace_part", "The shard's part of a workspace's cap"),
                      .waiting = amounts("workspace_waiting",
                                         "Amounts of tasks that wait at a workspace's cap")};
    }
    return at->second;
}

} // namespace plantaindoor::fleet
