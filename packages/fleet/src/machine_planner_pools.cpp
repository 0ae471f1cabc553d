#include "plantaindoor/fleet/machine_capacity.hpp"
#include "plantaindoor/fleet/machine_planner.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
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

double machine_planner::needed_capacity(const service_id& pool, const job::service_load& load,
                                        double per_machine, time_point now)
{
    const double arrivals = arrival_rate(pool, load, now);
    const double present_capacity = per_machine * count_present(pool) - load.long_running;
    const double current_load = load.running + load.ready;
    // The backlog by the time that a move could be completed.
    const double backlog =
        load.ready_work + (arrivals - present_capacity) * in_seconds(m_options.move_time);
    // A few large jobs don't predict later ones, so growth is bounded by the current load.
    double needed = std::max(current_load, std::min(arrivals, 2 * current_load));
    if (backlog > 0) {
        needed = std::min(current_load + arrivals / 2,
                          arrivals + backlog / in_seconds(m_options.backlog_time));
    }
    return load.long_running + needed;
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
        const double needed = needed_capacity(pool, load, per_machine, now);
        const auto machines = static_cast<std::uint32_t>(
            std::ceil(needed / per_machine * percent / m_options.max_load_percent));
        pool_figures& state = states[pool];
        // Long-running steps must fit onto the remaining machines while others are maintained.
        state.wanted = load.min_workers == 0
                           ? machines
                           : std::max(machines, load.min_workers + spare + under_maintenance(pool));
        if (load.blocked_workers > 0) {
            // All machines of the pool together may have room enough, but none has it for one task.
            state.wanted = std::max(state.wanted, count_settled(pool) + load.blocked_workers);
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
                std::max(state.required, count_settled(pool) + load.missing_workers - with_label);
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

std::string machine_planner::move_candidate(const service_id& pool, time_point now) const
{
    const std::string* best = nullptr;
    std::int64_t lowest_usage = 0;
    for (const auto& [name, machine] : m_machines) {
        if (machine.pool == pool && is_free(name, machine, now) && !machine.long_running &&
            (best == nullptr || machine.used < lowest_usage)) {
            best = &name;
            lowest_usage = machine.used;
        }
    }
    return best == nullptr ? std::string() : *best;
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
            m_previous_moves.insert(name);
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
    for (const std::string& name : m_previous_moves) {
        const machine_record& machine = m_machines[name];
        if (!machine.planned_order && !machine.worker.empty()) {
            out.cordons.push_back({machine.worker, false});
        }
    }
    m_previous_moves.clear();
}

void machine_planner::move_machines(move_round& round)
{
    // Spare machines go to long-running tasks first.
    move_required(round, &pool_figures::wanted);
    move_wanted(round);
    // Where there are none, pools give up those that they want for short tasks only.
    move_required(round, &pool_figures::required);
}

bool machine_planner::can_give(const service_id& pool, const pool_figures& state,
                               std::uint32_t pool_figures::*kept) const
{
    return is_standby(pool) || state.present > std::max(state.*kept, m_options.min_machines);
}

void machine_planner::plan_move(const std::string& machine, const service_id& destination,
                                move_round& round)
{
    machine_record& moved = m_machines[machine];
    --round.states[moved.pool].present;
    ++round.states[destination].present;
    cordon(moved, {.machine = machine, .action = machine_action::move, .pool = destination},
           round.out);
}

void machine_planner::move_wanted(move_round& round)
{
    for (auto& [pool, state] : round.states) {
        if (is_standby(pool) || !m_pools.contains(pool)) {
            continue;
        }
        for (const service_id& source : m_sources) {
            while (source != pool && state.present < state.wanted) {
                const std::string name = move_candidate(source, round.now);
                if (name.empty() ||
                    !can_give(source, round.states[source], &pool_figures::wanted)) {
                    break;
                }
                plan_move(name, pool, round);
            }
        }
    }
}

struct machine_planner::required_candidate {
    std::string machine;
    service_id pool;
    instance_id worker;
    /// Planned to be moved in the last round.
    bool was_chosen = false;
    /// What runs there isn't known.
    bool is_unknown = false;
    policy::worker_vacating vacating;
    std::vector<job::run_name> stops;

    [[nodiscard]] auto rank() const
    {
        return std::tuple(is_unknown, !vacating.in_time, vacating.cost, !was_chosen, vacating.wait);
    }
};

machine_planner::required_candidate
machine_planner::required_candidate_of(const std::string& name, const machine_record& machine,
                                       const policy::vacating_deadline& deadline,
                                       const move_round& round) const
{
    required_candidate result{.machine = name,
                              .pool = machine.pool,
                              .worker = machine.worker,
                              .was_chosen = m_previous_moves.contains(name)};
    if (machine.idle) {
        return result;
    }
    std::vector<policy::short_run> runs;
    std::vector<job::run_name> names;
    for (const auto& [run, state] : round.scheduler.short_runs(machine.worker, round.now)) {
        names.push_back(run);
        runs.push_back(state);
    }
    result.is_unknown = runs.empty();
    result.vacating = deadline.vacate(runs, round.now);
    for (const std::size_t each : result.vacating.stops) {
        result.stops.push_back(names[each]);
    }
    return result;
}

std::vector<machine_planner::required_candidate>
machine_planner::required_candidates(const service_id& pool,
                                     const policy::vacating_deadline& deadline,
                                     const move_round& round) const
{
    std::vector<required_candidate> candidates;
    for (const service_id& source : m_sources) {
        for (const auto& [name, machine] : m_machines) {
            if (source != pool && machine.pool == source && is_free(name, machine, round.now) &&
                !machine.long_running) {
                candidates.push_back(required_candidate_of(name, machine, deadline, round));
            }
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return left.rank() < right.rank();
    });
    return candidates;
}

void machine_planner::move_required(move_round& round, std::uint32_t pool_figures::*kept)
{
    for (auto& [pool, state] : round.states) {
        const bool lacks_label =
            std::any_of(state.required_with_label.begin(), state.required_with_label.end(),
                        [](const auto& each) { return each.second > 0; });
        if (is_standby(pool) || !m_pools.contains(pool) ||
            (state.present >= state.required && !lacks_label)) {
            continue;
        }
        const auto load = round.loads.find(pool);
        const auto waiting_since =
            load == round.loads.end() ? std::nullopt : load->second.missing_since;
        const policy::vacating_deadline deadline(
            waiting_since.value_or(round.now) + policy::max_reserved_wait - m_options.move_time,
            m_options.stop_time);
        // A task that still runs on a worker that leaves can do without a stop.
        const bool may_stop = waiting_since && deadline.may_stop(round.now);
        for (const required_candidate& each : required_candidates(pool, deadline, round)) {
            if (!can_give(each.pool, round.states[each.pool], kept) ||
                !take_requirement(state, m_machines[each.machine].labels)) {
                continue;
            }
            plan_move(each.machine, pool, round);
            if (may_stop && !each.stops.empty()) {
                round.out.stops.push_back({each.worker, each.stops});
            }
        }
    }
}

bool machine_planner::take_requirement(pool_figures& state, const std::vector<std::string>& labels)
{
    for (const std::string& label : labels) {
        const auto required = state.required_with_label.find(label);
        if (required != state.required_with_label.end() && required->second > 0) {
            --required->second;
            ++state.required;
            state.wanted = std::max(state.wanted, state.required);
            return true;
        }
    }
    return state.present < state.required;
}

} // namespace plantaindoor::fleet
