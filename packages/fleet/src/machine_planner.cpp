#include "plantaindoor/fleet/machine_planner.hpp"

#include "plantaindoor/fleet/machine_capacity.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace plantaindoor::fleet {

namespace {

/// Delay before a refused or unanswered order is repeated.
constexpr milliseconds order_retry_delay{400};
constexpr double percent = 100;

double in_seconds(nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

bool is_later_start(const std::optional<wall_time>& start, const std::optional<wall_time>& earlier)
{
    return start && earlier && *start > *earlier;
}

} // namespace

void machine_planner::set_pools(const std::vector<pool_settings>& pools)
{
    m_pools.clear();
    for (const pool_settings& pool : pools) {
        m_pools.emplace(pool.id, pool);
    }
}

bool machine_planner::is_standby(const service_id& pool) const
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.standby;
}

void machine_planner::note_machine_list(const std::vector<machine_info>& machines,
                                        time_point requested_at)
{
    std::set<std::string> listed;
    for (const machine_info& entry : machines) {
        listed.insert(entry.machine);
        machine_record& machine = m_machines[entry.machine];
        if (machine.in_flight || machine.changed > requested_at ||
            (!entry.worker.empty() && entry.worker == machine.ended_worker)) {
            continue;
        }
        machine.rack = entry.rack;
        machine.pool = entry.pool;
        machine.state = entry.state;
        if (entry.state == machine_state::up && entry.worker != machine.worker) {
            machine.worker = entry.worker;
        }
        if (entry.state == machine_state::up && machine.ordered) {
            drop_planned_order(machine);
        }
        else if (entry.state != machine_state::up && machine.planned_order) {
            // An order whose answer was lost has been carried out.
            machine.ordered = true;
            if (entry.state == machine_state::maintenance &&
                machine.planned_order->action == machine_action::maintain) {
                m_waves[machine.planned_order->wave].started.insert(entry.machine);
            }
        }
    }
    std::erase_if(m_machines, [&](const auto& each) { return !listed.contains(each.first); });
    m_listed = true;
    for (auto& [number, wave] : m_waves) {
        for (const std::string& name : wave.request.machines) {
            if (!listed.contains(name)) {
                wave.started.insert(name);
            }
        }
    }
}

void machine_planner::note_worker(const job::worker_listing& listing)
{
    const auto found = m_machines.find(listing.machine);
    if (found == m_machines.end()) {
        return;
    }
    machine_record& machine = found->second;
    if (machine.worker == listing.id) {
        machine.worker_start = std::max(machine.worker_start, listing.started_at);
        return;
    }
    if (machine.ended_worker == listing.id) {
        if (!is_later_start(listing.started_at, machine.ended_start)) {
            return;
        }
        machine.ended_worker = instance_id();
    }
    machine.worker = listing.id;
    machine.worker_start = listing.started_at;
    machine.pool = listing.service;
    machine.state = machine_state::up;
    if (!machine.in_flight) {
        drop_planned_order(machine);
    }
}

void machine_planner::drop_planned_order(machine_record& machine)
{
    // A worker that has started again under its id is still cordoned for the order.
    if (machine.planned_order && !machine.worker.empty()) {
        m_uncordoned.push_back({machine.worker, false});
    }
    machine.planned_order.reset();
    machine.ordered = false;
}

void machine_planner::note_wave(const wave_request& request, time_point first_seen,
                                const std::set<std::string>& started)
{
    if (!m_waves.contains(request.number)) {
        m_waves.emplace(
            request.number,
            wave_progress{.request = request, .first_seen = first_seen, .started = started});
    }
}

void machine_planner::note_answer(const machine_order& order, machine_answer answer, time_point now)
{
    const auto found = m_machines.find(order.machine);
    if (found == m_machines.end()) {
        return;
    }
    machine_record& machine = found->second;
    machine.changed = now;
    machine.in_flight = false;
    switch (answer) {
    case machine_answer::accepted:
        if (order.action == machine_action::maintain) {
            machine.state = machine_state::maintenance;
            if (const auto wave = m_waves.find(order.wave); wave != m_waves.end()) {
                wave->second.started.insert(order.machine);
            }
        }
        else {
            machine.state = machine_state::moving;
            machine.pool = order.pool;
        }
        // A different worker listed in the meantime may be the machine's next one; the next machine
        // list shows which.
        if (machine.worker == order.worker &&
            !is_later_start(machine.worker_start, machine.ordered_start)) {
            machine.ended_start = machine.worker_start;
            machine.ended_worker = std::exchange(machine.worker, instance_id());
        }
        break;
    case machine_answer::invalid:
    case machine_answer::not_in_wave:
        if (order.action == machine_action::maintain) {
            m_waves[order.wave].started.insert(order.machine);
        }
        m_uncordoned.push_back({machine.worker, false});
        machine.planned_order.reset();
        machine.ordered = false;
        break;
    case machine_answer::busy:
    case machine_answer::refused:
    case machine_answer::stale_token:
    case machine_answer::unanswered:
        // planned_order is unchanged, so the same order is repeated.
        machine.ordered = false;
        break;
    }
}

machine_orders machine_planner::plan(time_point now, const job::scheduler& scheduler)
{
    machine_orders out;
    out.cordons = std::exchange(m_uncordoned, {});
    if (!m_listed) {
        return out;
    }
    refresh_usage(scheduler);
    const auto loads = scheduler.loads();
    plan_waves(now, loads, out);
    plan_pools(now, scheduler, loads, out);
    order_idle_machines(now, out);
    return out;
}

void machine_planner::refresh_usage(const job::scheduler& scheduler)
{
    for (auto& [name, machine] : m_machines) {
        const auto worker = scheduler.workers().find(machine.worker);
        const bool known = worker != scheduler.workers().end();
        // The runs of a worker that hasn't acknowledged this leader's token aren't known.
        machine.idle = machine.worker.empty() ||
                       (known && worker->second.token_acknowledged && worker->second.runs.empty());
        if (known) {
            machine.worker_start = worker->second.latest_start();
        }
        machine.used = known ? worker->second.used.cpu_millis : 0;
        machine.long_running = known && worker->second.long_running_runs > 0;
    }
}

bool machine_planner::is_free(const std::string& name, const machine_record& machine,
                              time_point now) const
{
    const auto blocked = m_blocked.find(name);
    return machine.state == machine_state::up && !machine.planned_order &&
           (blocked == m_blocked.end() || now >= blocked->second);
}

void machine_planner::cordon(machine_record& machine, machine_order planned_order,
                             machine_orders& out)
{
    planned_order.worker = machine.worker;
    machine.planned_order = std::move(planned_order);
    machine.ordered = false;
    if (!machine.worker.empty() && !m_previous_moves.contains(machine.planned_order->machine)) {
        out.cordons.push_back({machine.worker, true});
    }
}

void machine_planner::plan_waves(time_point now,
                                 const std::map<service_id, job::service_load>& loads,
                                 machine_orders& out)
{
    for (auto& [number, wave] : m_waves) {
        if (!wave.completed()) {
            reserve_for_wave(wave, now, loads, out);
        }
    }
}

void machine_planner::reserve_for_wave(wave_progress& wave, time_point now,
                                       const std::map<service_id, job::service_load>& loads,
                                       machine_orders& out)
{
    std::uint32_t reserved = 0;
    std::uint32_t evacuating = 0;
    std::vector<std::string> waiting;
    for (const std::string& name : wave.request.machines) {
        const auto found = m_machines.find(name);
        if (found == m_machines.end()) {
            continue;
        }
        const machine_record& machine = found->second;
        const bool for_this = machine.planned_order &&
                              machine.planned_order->wave == wave.request.number &&
                              machine.planned_order->action == machine_action::maintain;
        reserved += for_this || machine.state == machine_state::maintenance ? 1 : 0;
        evacuating += for_this && machine.long_running ? 1 : 0;
        if (!wave.started.contains(name) && is_free(name, machine, now)) {
            waiting.push_back(name);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const auto& left, const auto& right) {
        return m_machines[left].used < m_machines[right].used;
    });
    const auto batches = (waiting.size() + wave.request.max_down - 1) /
                         std::max<std::uint32_t>(wave.request.max_down, 1);
    const auto time_left = wave.first_seen + wave.request.deadline - now;
    const bool deadline_near =
        time_left < m_options.wave_reserve +
                        m_options.maintenance_time * 2 * static_cast<std::int64_t>(batches);
    for (const std::string& name : waiting) {
        machine_record& machine = m_machines[name];
        if (reserved >= wave.request.max_down) {
            break;
        }
        // Machines with long-running tasks never become idle, so a quarter of the allowed number,
        // and at least one, is evacuated from the start.
        const bool evacuate_early =
            machine.long_running && evacuating < std::max(wave.request.max_down / 4, 1U);
        if ((!machine.idle && !deadline_near && !evacuate_early) ||
            (machine.long_running && !can_spare(machine.pool, loads))) {
            continue;
        }
        evacuating += machine.long_running ? 1 : 0;
        cordon(machine,
               {.machine = name, .action = machine_action::maintain, .wave = wave.request.number},
               out);
        ++reserved;
    }
}

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
                                        double machine_capacity, time_point now)
{
    const double arrivals = arrival_rate(pool, load, now);
    const double present_capacity = machine_capacity * count_present(pool) - load.long_running;
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

std::map<service_id, machine_planner::pool_state>
machine_planner::pool_states(time_point now, const job::scheduler& scheduler,
                             const std::map<service_id, job::service_load>& loads)
{
    std::map<service_id, pool_state> states;
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
        // Long-running steps must fit onto the remaining machines while others are maintained.
        states[pool].wanted =
            load.min_workers == 0
                ? machines
                : std::max(machines, load.min_workers + spare + under_maintenance(pool));
        if (load.blocked_workers > 0) {
            // All machines of the pool together may have room enough, but none has it for one task.
            states[pool].wanted =
                std::max(states[pool].wanted, count_settled(pool) + load.blocked_workers);
        }
    }
    for (const auto& [pool, settings] : m_pools) {
        states[pool].present = count_present(pool);
    }
    return states;
}

std::uint32_t machine_planner::under_maintenance(const service_id& pool) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& each) {
            const machine_record& machine = each.second;
            const bool maintenance_planned =
                machine.planned_order && machine.planned_order->action == machine_action::maintain;
            return machine.pool == pool &&
                   (maintenance_planned || machine.state == machine_state::maintenance);
        }));
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
    return static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& each) {
            const machine_record& machine = each.second;
            const bool move_planned =
                machine.planned_order && machine.planned_order->action == machine_action::move;
            return machine.state != machine_state::down &&
                   (move_planned ? machine.planned_order->pool : machine.pool) == pool;
        }));
}

std::uint32_t machine_planner::count_settled(const service_id& pool) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& each) {
            return each.second.pool == pool && each.second.state == machine_state::up &&
                   !each.second.planned_order;
        }));
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
    auto states = pool_states(now, scheduler, loads);
    move_machines(now, states, out);
    for (const std::string& name : m_previous_moves) {
        const machine_record& machine = m_machines[name];
        if (!machine.planned_order && !machine.worker.empty()) {
            out.cordons.push_back({machine.worker, false});
        }
    }
    m_previous_moves.clear();
}

void machine_planner::move_machines(time_point now, std::map<service_id, pool_state>& states,
                                    machine_orders& out)
{
    std::vector<service_id> sources;
    for (const auto& [id, pool] : m_pools) {
        // Machines of standby pools are off, so moving them costs nothing; they are used first.
        sources.insert(pool.standby ? sources.begin() : sources.end(), id);
    }
    for (auto& [pool, state] : states) {
        if (is_standby(pool) || !m_pools.contains(pool)) {
            continue;
        }
        for (const service_id& source : sources) {
            while (source != pool && state.present < state.wanted) {
                pool_state& source_state = states[source];
                const std::string name = move_candidate(source, now);
                const bool can_give =
                    is_standby(source) ||
                    source_state.present > std::max(source_state.wanted, m_options.min_machines);
                if (name.empty() || !can_give) {
                    break;
                }
                cordon(m_machines[name],
                       {.machine = name, .action = machine_action::move, .pool = pool}, out);
                --source_state.present;
                ++state.present;
            }
        }
    }
}

void machine_planner::order_idle_machines(time_point now, machine_orders& out)
{
    for (auto& [name, machine] : m_machines) {
        if (!machine.planned_order || machine.ordered ||
            now - machine.changed < order_retry_delay) {
            continue;
        }
        if (machine.idle && machine.state == machine_state::up) {
            machine.planned_order->worker = machine.worker; // It may differ from the cordoned one.
            machine.ordered_start = machine.worker_start;
            machine.ordered = true;
            machine.in_flight = true;
            machine.changed = now;
            out.orders.push_back(*machine.planned_order);
        }
    }
}

std::map<instance_id, job::worker_end> ended_workers(const std::vector<machine_info>& machines,
                                                     time_point requested_at,
                                                     const job::scheduler& scheduler)
{
    std::unordered_map<std::string_view, const machine_info*> by_name;
    for (const machine_info& machine : machines) {
        by_name.emplace(machine.machine, &machine);
    }
    std::map<instance_id, job::worker_end> ended;
    for (const auto& [id, worker] : scheduler.workers()) {
        const auto at = by_name.find(worker.listing.machine);
        // A worker that was listed or has answered after the list was requested is alive.
        if (at == by_name.end() ||
            std::max(worker.last_answer, worker.last_contact) >= requested_at) {
            continue;
        }
        const machine_info& machine = *at->second;
        const bool has_no_worker = machine.state != machine_state::up && machine.worker.empty();
        const bool has_other_worker = !machine.worker.empty() && machine.worker != id;
        if (!has_no_worker && !has_other_worker) {
            continue;
        }
        const bool moved = machine.pool != worker.listing.service ||
                           machine.state == machine_state::moving ||
                           machine.state == machine_state::maintenance;
        ended.emplace(id, moved              ? job::worker_end::machine_moved
                          : has_other_worker ? job::worker_end::successor
                                             : job::worker_end::machine_down);
    }
    return ended;
}

} // namespace plantaindoor::fleet
