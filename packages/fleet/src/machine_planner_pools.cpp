#include "plantaindoor/common/saturate.hpp"
#include "plantaindoor/fleet/machine_capacity.hpp"
#include "plantaindoor/fleet/machine_planner.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr double percent = 100;

double in_seconds(nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double machine_planner::arrival_rate(const service_id& pool, const job::service_load& load,
                                     time_point now)
{
    auto& samples = m_arrivals[pool];
    samples.push_back({now, load.submitted_work, load.submitted_jobs});
    const auto is_long_enough = [&](const arrival_sample& from) {
        const auto age = now - from.at;
        return age >= m_options.max_arrival_window ||
               (age >= m_options.min_arrival_window &&
                load.submitted_jobs - from.jobs >= m_options.arrival_jobs);
    };
    while (samples.size() > 2 && now - samples[1].at >= m_options.max_arrival_window) {
        samples.pop_front();
    }
    const auto from = std::find_if(samples.rbegin(), samples.rend(), is_long_enough);
    const arrival_sample& first = from == samples.rend() ? samples.front() : *from;
    return (load.submitted_work - first.work) /
           std::max(in_seconds(now - first.at), in_seconds(m_options.min_arrival_window));
}

double machine_planner::needed_capacity(const job::ordinary_load& demand, double arrivals,
                                        double present_capacity) const
{
    const double current_load = demand.running + demand.ready;
    // The backlog by the time that a move could be completed.
    const double backlog =
        demand.ready_work + (arrivals - present_capacity) * in_seconds(m_options.move_time);
    if (backlog > 0) {
        return std::min(current_load + arrivals / 2,
                        arrivals + backlog / in_seconds(m_options.backlog_time));
    }
    // A few large jobs don't predict later ones, so growth is bounded by the current load.
    return std::max(current_load, std::min(arrivals, 2 * current_load));
}

std::map<service_id, pool_figures>
machine_planner::pool_states(time_point now, const job::scheduler& scheduler,
                             const std::map<service_id, job::service_load>& loads)
{
    std::map<service_id, pool_figures> states;
    const machine_capacity capacity(scheduler);
    const bool has_open_waves = std::any_of(
        m_waves.begin(), m_waves.end(), [](const auto& each) { return !each.second.completed(); });
    // One spare machine, and one more that an unfinished wave may take.
    const std::uint32_t spare = has_open_waves ? 2 : 1;
    for (const auto& [pool, load] : loads) {
        const double per_machine = capacity.of(pool);
        if (per_machine <= 0) {
            continue;
        }
        const auto machines_for = [&, long_running = load.long_running](double needed) {
            return round_up_saturated<std::uint32_t>((long_running + needed) / per_machine *
                                                     percent / m_options.max_load_percent);
        };
        const double arrivals = arrival_rate(pool, load, now);
        const double present_capacity = per_machine * count_present(pool) - load.long_running;
        const std::uint32_t machines =
            machines_for(needed_capacity(load.ordinary, arrivals, present_capacity));
        pool_figures& state = states[pool];
        state.timely = machines_for(needed_capacity(load.timely, arrivals, present_capacity));
        state.valuable = machines_for(needed_capacity(load.valuable, arrivals, present_capacity));
        state.at_least = machines > 0 ? 1 : 0;
        state.wanted = machines;
        if (load.min_workers > 0) {
            // Long-running steps must fit onto the remaining machines while others are maintained.
            const std::uint32_t during_maintenance =
                add_saturated(load.min_workers, spare + under_maintenance(pool));
            state.wanted = std::max(machines, during_maintenance);
            state.at_least = has_open_waves ? during_maintenance : state.at_least;
        }
        if (load.blocked_workers > 0) {
            // All machines of the pool together may have room enough, but none has it for one task.
            state.wanted =
                std::max(state.wanted, add_saturated(load.blocked_workers, count_settled(pool)));
            state.at_least = std::max(state.at_least, count_settled(pool) + 1);
        }
        // Any other machine would be of no use for these.
        std::uint32_t with_label = 0;
        for (const auto& [label, missing] : load.missing_with_label) {
            const std::uint32_t arriving = std::min(missing, count_arriving(pool, label));
            state.required_with_label.emplace(label, missing - arriving);
            with_label += missing - arriving;
        }
        state.required = std::max(load.min_workers, load.long_running_workers - with_label);
        if (load.missing_workers > 0) {
            // Workers without a long-running task may be unable to take one.
            state.required =
                std::max(state.required,
                         add_saturated(load.missing_workers - with_label, count_settled(pool)));
        }
        state.wanted = std::max(state.wanted, state.required);
    }
    for (const auto& [pool, settings] : m_pools) {
        states[pool].present = count_present(pool);
        states[pool].leaving = count_leaving(pool);
    }
    return states;
}

template<class Predicate>
std::uint32_t machine_planner::count_machines(Predicate counts) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(),
                      [&](const auto& each) { return counts(each.second); }));
}

std::uint32_t machine_planner::under_maintenance(const service_id& pool) const
{
    return count_machines([&](const machine_record& machine) {
        const bool maintenance_planned =
            machine.planned_order && machine.planned_order->action == machine_action::maintain;
        return machine.pool == pool &&
               (maintenance_planned || machine.state == machine_state::maintenance);
    });
}

bool machine_planner::can_spare(const service_id& pool,
                                const std::map<service_id, job::service_load>& loads) const
{
    const auto load = loads.find(pool);
    if (load == loads.end() || load->second.min_workers == 0) {
        return true;
    }
    return count_settled(pool) > load->second.min_workers + 1;
}

std::uint32_t machine_planner::count_present(const service_id& pool) const
{
    return count_machines([&](const machine_record& machine) { return is_present(machine, pool); });
}

bool machine_planner::is_present(const machine_record& machine, const service_id& pool)
{
    const bool move_planned =
        machine.planned_order && machine.planned_order->action == machine_action::move;
    return machine.state != machine_state::down && !machine.leaving && machine.expected &&
           (move_planned ? machine.planned_order->pool : machine.pool) == pool;
}

bool machine_planner::is_settled(const machine_record& machine, const service_id& pool)
{
    return machine.pool == pool && machine.state == machine_state::up && machine.answered &&
           !machine.leaving && !machine.planned_order;
}

std::uint32_t machine_planner::count_arriving(const service_id& pool,
                                              const std::string& label) const
{
    return count_machines([&](const machine_record& machine) {
        return is_present(machine, pool) && !is_settled(machine, pool) &&
               std::find(machine.labels.begin(), machine.labels.end(), label) !=
                   machine.labels.end();
    });
}

std::uint32_t machine_planner::count_leaving(const service_id& pool) const
{
    return count_machines(
        [&](const machine_record& machine) { return machine.pool == pool && machine.leaving; });
}

std::uint32_t machine_planner::count_settled(const service_id& pool) const
{
    return count_machines([&](const machine_record& machine) { return is_settled(machine, pool); });
}

void machine_planner::plan_pools(time_point now, const job::scheduler& scheduler,
                                 const std::map<service_id, job::service_load>& loads,
                                 machine_orders& out)
{
    // Moves that haven't been ordered are planned anew, as the demand may have changed.
    m_previous_moves.clear();
    for (auto& [name, machine] : m_machines) {
        if (machine.planned_order && machine.planned_order->action == machine_action::move &&
            !machine.ordered && machine.state == machine_state::up) {
            m_previous_moves.emplace(name, machine.planned_order->pool);
            machine.planned_order.reset();
        }
    }
    move_round round{.now = now,
                     .scheduler = scheduler,
                     .loads = loads,
                     .states = pool_states(now, scheduler, loads),
                     .out = out};
    move_machines(round);
    m_pool_figures = std::move(round.states);
    for (const auto& [name, destination] : m_previous_moves) {
        const machine_record& machine = m_machines[name];
        if (!machine.planned_order && !machine.worker.empty()) {
            out.cordons.push_back({machine.worker, false});
        }
    }
    m_previous_moves.clear();
}

} // namespace plantaindoor::fleet
