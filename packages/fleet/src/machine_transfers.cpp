#include "plantaindoor/fleet/machine_transfers.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

/// The loads of a large shard take a while to compute.
constexpr milliseconds check_interval{300};

/// Whether the shard has started the machine's maintenance. The giver lists a machine that it has
/// given away as started only once it has read that the machine was received.
bool has_started(const wave_rows& waves, shard_number shard, std::uint64_t wave,
                 const std::string& machine)
{
    const auto of_shard = waves.of_other_shards.find(shard);
    if (of_shard == waves.of_other_shards.end()) {
        return false;
    }
    const auto started = of_shard->second.find(wave);
    return started != of_shard->second.end() && started->second.contains(machine);
}

} // namespace

machine_transfers::machine_transfers(machine_exchange& exchange, machine_planner& planner,
                                     const job::scheduler& scheduler,
                                     const machine_transfers_options& options,
                                     std::function<void(const instance_id&)> on_given)
    : m_exchange(exchange),
      m_planner(planner),
      m_scheduler(scheduler),
      m_giver(options.giving, options.began, options.has_predecessor),
      m_requester(options.requesting),
      m_on_given(std::move(on_given))
{
}

bool machine_transfers::is_listed(const std::string& machine, const rack_id& rack) const
{
    return m_exchange.ownership().owns(machine, rack) || is_in_transfer(machine);
}

bool machine_transfers::is_in_transfer(const std::string& machine) const
{
    return m_exchange.arriving().contains(machine) || m_exchange.leaving().contains(machine);
}

void machine_transfers::begin_round(const wave_rows& waves)
{
    // One that has left stays in the planner until the next list of the machines.
    std::set<std::string> unavailable = m_exchange.ownership().given();
    for (const auto& each : m_exchange.arriving()) {
        unavailable.insert(each.first);
        m_planner.reopen_waves(each.first, [&](std::uint64_t wave) {
            return has_started(waves, each.second, wave, each.first);
        });
    }
    m_planner.set_unavailable(std::move(unavailable));
}

void machine_transfers::end_round(const wave_rows& waves, time_point now)
{
    if (!m_exchange.is_enabled()) {
        return;
    }
    m_giver.observe(m_scheduler.workers(), now);
    receive(waves);
    give(waves, now);
    request(now);
}

void machine_transfers::receive(const wave_rows& waves)
{
    for (const auto& arriving : std::map(m_exchange.arriving())) {
        const std::string& machine = arriving.first;
        // Otherwise a wave could count it as started in every shard, without its maintenance.
        const bool reopened = std::none_of(waves.own.begin(), waves.own.end(), [&](auto& wave) {
            return wave.second.contains(machine) &&
                   !has_started(waves, arriving.second, wave.first, machine);
        });
        if (reopened) {
            m_exchange.receive(machine);
        }
    }
}

void machine_transfers::give(const wave_rows& waves, time_point now)
{
    for (const auto& [shard, request] : m_exchange.take_requests()) {
        std::vector<idle_machine> idle = m_planner.idle_machines(now);
        std::erase_if(idle, [&](const idle_machine& each) {
            return waves.waiting.contains(each.machine) || is_in_transfer(each.machine) ||
                   !m_exchange.ownership().may_give(each.machine, each.rack);
        });
        const auto selected =
            m_giver.select(request, idle, m_planner.pools(), m_scheduler.workers(), now);
        for (const idle_machine& each : idle) {
            if (std::find(selected.begin(), selected.end(), each.machine) != selected.end()) {
                m_exchange.give(each.machine, shard);
                m_on_given(each.worker);
            }
        }
        begin_round(waves);
    }
}

void machine_transfers::request(time_point now)
{
    if (now < m_next_check) {
        return;
    }
    m_next_check = now + check_interval;
    const auto& workers = m_scheduler.workers();
    const bool has_workers = std::any_of(workers.begin(), workers.end(), [&](const auto& each) {
        return each.second.token_acknowledged && each.second.accepts_tasks() &&
               !each.second.is_silent(now);
    });
    const auto loads = m_scheduler.loads();
    const auto wanted =
        m_requester.update({.pools = m_planner.pools(),
                            .loads = loads,
                            .has_workers = has_workers,
                            .arriving = static_cast<std::uint32_t>(m_exchange.arriving().size())},
                           now);
    if (wanted) {
        m_exchange.request(*wanted);
    }
}

} // namespace plantaindoor::fleet
