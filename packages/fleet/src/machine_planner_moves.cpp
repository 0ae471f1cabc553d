#include "plantaindoor/fleet/machine_planner.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace plantaindoor::fleet {

void machine_planner::move_machines(move_round& round)
{
    // Spare machines go to long-running tasks first.
    move_required(round, &pool_figures::wanted);
    move_wanted(round, machine_origin::spare);
    // Where there are none, pools give up those that they want for short tasks only.
    move_required(round, &pool_figures::required);
    move_wanted(round, machine_origin::needed);
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
    round.states[moved.pool].present -= is_present(moved, moved.pool) ? 1 : 0;
    ++round.states[destination].present;
    cordon(moved, {.machine = machine, .action = machine_action::move, .pool = destination},
           round.out);
}

struct machine_planner::divided_pool {
    policy::pool_need need;
    policy::pool_share share;
};

bool machine_planner::is_movable(const std::string& name, const machine_record& machine,
                                 time_point now) const
{
    return is_free(name, machine, now) && !machine.long_running;
}

machine_planner::move_candidates machine_planner::candidates_by_pool(time_point now) const
{
    std::map<service_id, std::vector<std::string>> found;
    for (const auto& [name, machine] : m_machines) {
        // A standby pool's machines have no worker that could have answered.
        if (is_movable(name, machine, now) &&
            (is_standby(machine.pool) || is_present(machine, machine.pool))) {
            found[machine.pool].push_back(name);
        }
    }
    move_candidates candidates;
    for (auto& [pool, machines] : found) {
        const auto rank = [this](const std::string& name) {
            const machine_record& machine = m_machines.at(name);
            const bool unknown = !machine.worker.empty() && !machine.answered;
            // A machine that is being vacated already is the first to become idle.
            return std::tuple(!m_previous_moves.contains(name), unknown, machine.held,
                              machine.used);
        };
        std::stable_sort(
            machines.begin(), machines.end(),
            [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
        candidates.emplace(pool, std::deque<std::string>(machines.begin(), machines.end()));
    }
    return candidates;
}

policy::pool_need machine_planner::need_of(const service_id& pool, const pool_figures& state,
                                           time_point now)
{
    using enum policy::machine_demand;
    policy::pool_need need{.present = state.present};
    const std::uint32_t retained = std::min(state.present, m_options.min_machines);
    need[required] = std::max({state.required, state.at_least, retained});
    need[timely] = std::max(need[required], state.timely);
    need[valuable] = std::max(need[timely], state.valuable);
    need[all] = std::max(need[valuable], state.wanted);
    need.receiving = std::any_of(m_previous_moves.begin(), m_previous_moves.end(),
                                 [&](const auto& each) { return each.second == pool; });
    if (state.present >= need[required]) {
        m_short_since.erase(pool);
    }
    else {
        const time_point since = m_short_since.try_emplace(pool, now).first->second;
        need.short_for = std::chrono::duration_cast<milliseconds>(now - since);
    }
    return need;
}

machine_planner::divided_pools machine_planner::divide_machines(const move_round& round)
{
    std::vector<service_id> pools;
    std::vector<policy::pool_need> needs;
    auto machines = static_cast<std::size_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& each) {
            return is_standby(each.second.pool) && is_movable(each.first, each.second, round.now);
        }));
    for (const service_id& pool : m_sources) {
        if (is_standby(pool)) {
            continue;
        }
        const pool_figures& state = round.states.at(pool);
        machines += state.present;
        pools.push_back(pool);
        needs.push_back(need_of(pool, state, round.now));
    }
    const auto shares = m_division.divide(needs, static_cast<std::uint32_t>(machines));
    divided_pools divided;
    for (std::size_t each = 0; each < pools.size(); ++each) {
        divided.emplace(pools[each], divided_pool{.need = needs[each], .share = shares[each]});
    }
    return divided;
}

std::optional<service_id> machine_planner::next_receiver(const move_round& round,
                                                         const divided_pools& pools,
                                                         machine_origin origin)
{
    const auto rank = [&](const divided_pools::value_type& each) {
        const std::uint32_t present = round.states.at(each.first).present;
        return std::tuple(present >= each.second.need[policy::machine_demand::required],
                          double(present) / each.second.share.keeps);
    };
    const divided_pools::value_type* next = nullptr;
    for (const divided_pools::value_type& each : pools) {
        const policy::pool_share& share = each.second.share;
        const std::uint32_t limit =
            origin == machine_origin::spare ? share.keeps : share.receives_up_to;
        if (round.states.at(each.first).present < limit &&
            (next == nullptr || rank(each) < rank(*next))) {
            next = &each;
        }
    }
    return next == nullptr ? std::nullopt : std::optional(next->first);
}

std::optional<service_id> machine_planner::next_source(const move_round& round,
                                                       const divided_pools& pools,
                                                       const move_candidates& candidates,
                                                       machine_origin origin) const
{
    std::optional<service_id> next;
    std::tuple<bool, std::uint32_t> highest;
    for (const auto& [pool, machines] : candidates) {
        if (machines.empty()) {
            continue;
        }
        if (is_standby(pool)) {
            return pool;
        }
        const auto divided = pools.find(pool);
        if (divided == pools.end()) {
            continue;
        }
        const std::uint32_t retained = origin == machine_origin::spare
                                           ? divided->second.need[policy::machine_demand::all]
                                           : divided->second.share.keeps;
        const std::uint32_t present = round.states.at(pool).present;
        if (present <= retained) {
            continue;
        }
        const std::tuple rank(m_previous_moves.contains(machines.front()), present - retained);
        if (!next || rank > highest) {
            next = pool;
            highest = rank;
        }
    }
    return next;
}

void machine_planner::move_wanted(move_round& round, machine_origin origin)
{
    const divided_pools pools = divide_machines(round);
    auto receiver = next_receiver(round, pools, origin);
    if (!receiver) {
        return;
    }
    move_candidates candidates = candidates_by_pool(round.now);
    for (; receiver; receiver = next_receiver(round, pools, origin)) {
        const auto source = next_source(round, pools, candidates, origin);
        if (!source) {
            return;
        }
        std::deque<std::string>& machines = candidates.at(*source);
        plan_move(machines.front(), *receiver, round);
        machines.pop_front();
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
            if (source != pool && machine.pool == source && is_movable(name, machine, round.now)) {
                candidates.push_back(required_candidate_of(name, machine, deadline, round));
            }
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return left.rank() < right.rank();
    });
    return candidates;
}

struct machine_planner::requiring_pool {
    service_id id;
    std::optional<time_point> waiting_since;
    std::vector<required_candidate> candidates;
    /// The position of the next candidate.
    std::size_t next = 0;
    /// Whether the short runs of a candidate may be stopped now.
    bool may_stop = false;
};

std::vector<machine_planner::requiring_pool>
machine_planner::requiring_pools(const move_round& round) const
{
    std::vector<requiring_pool> pools;
    for (const auto& [pool, state] : round.states) {
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
        pools.push_back({.id = pool,
                         .waiting_since = waiting_since,
                         .candidates = required_candidates(pool, deadline, round),
                         // A task that still runs on a worker that leaves can do without a stop.
                         .may_stop = waiting_since && deadline.may_stop(round.now)});
    }
    std::stable_sort(pools.begin(), pools.end(), [&](const auto& left, const auto& right) {
        return left.waiting_since.value_or(round.now) < right.waiting_since.value_or(round.now);
    });
    return pools;
}

void machine_planner::move_required(move_round& round, std::uint32_t pool_figures::*kept)
{
    std::vector<requiring_pool> pools = requiring_pools(round);
    while (!pools.empty()) {
        std::erase_if(pools,
                      [&](requiring_pool& pool) { return !move_next_required(pool, round, kept); });
    }
}

bool machine_planner::move_next_required(requiring_pool& pool, move_round& round,
                                         std::uint32_t pool_figures::*kept)
{
    while (pool.next < pool.candidates.size()) {
        const required_candidate& each = pool.candidates[pool.next++];
        const machine_record& machine = m_machines[each.machine];
        if (machine.planned_order || !can_give(each.pool, round.states[each.pool], kept) ||
            !take_requirement(round.states[pool.id], machine.labels)) {
            continue;
        }
        plan_move(each.machine, pool.id, round);
        if (pool.may_stop && !each.stops.empty()) {
            round.out.stops.push_back({each.worker, each.stops});
        }
        return true;
    }
    return false;
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
