// The part of machine_planner that concerns machines that change their shard.
#include "plantaindoor/fleet/machine_planner.hpp"

#include <algorithm>

namespace plantaindoor::fleet {

void machine_planner::reopen_waves(const std::string& machine,
                                   const std::function<bool(std::uint64_t wave)>& was_started)
{
    for (auto& [number, wave] : m_waves) {
        if (!was_started(number)) {
            wave.started.erase(machine);
        }
    }
}

std::vector<idle_machine> machine_planner::idle_machines(time_point now) const
{
    const auto awaits_maintenance = [this](const std::string& name) {
        return std::any_of(m_waves.begin(), m_waves.end(), [&](const auto& each) {
            const auto& named = each.second.request.machines;
            return !each.second.completed() &&
                   std::find(named.begin(), named.end(), name) != named.end();
        });
    };
    std::vector<idle_machine> machines;
    for (const auto& [name, machine] : m_machines) {
        const bool usable =
            machine.answered || (machine.worker.empty() && is_standby(machine.pool));
        if (usable && machine.idle && !machine.in_flight && is_free(name, machine, now) &&
            !awaits_maintenance(name)) {
            machines.push_back({.machine = name,
                                .pool = machine.pool,
                                .worker = machine.worker,
                                .rack = machine.rack});
        }
    }
    return machines;
}

} // namespace plantaindoor::fleet
