#include "plantaindoor/fleet/machine_planner.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace plantaindoor::fleet {

namespace {

/// Refused or lost orders are tried again after this time.
constexpr milliseconds order_retry{400};
constexpr double percent = 100;

double in_seconds(nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
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

void machine_planner::note_machine_list(const std::vector<machine_info>& machines, time_point asked)
{
    std::set<std::string> listed;
    for (const machine_info& entry : machines) {
        listed.insert(entry.machine);
        machine_record& machine = m_machines[entry.machine];
        if (machine.on_its_way || machine.changed > asked ||
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
            machine.purpose.reset();
            machine.ordered = false;
        }
        else if (entry.state != machine_state::up && machine.purpose) {
            // An order whose answer was lost has been carried out.
            machine.ordered = true;
            if (entry.state == machine_state::maintenance &&
                machine.purpose->action == machine_action::maintain) {
                m_waves[machine.purpose->wave].begun.insert(entry.machine);
            }
        }
    }
    std::erase_if(m_machines, [&](const auto& each) { return !listed.contains(each.first); });
    m_listed = true;
    for (auto& [number, wave] : m_waves) {
        for (const std::string& name : wave.request.machines) {
            if (!listed.contains(name)) {
                wave.begun.insert(name);
            }
        }
    }
}

void machine_planner::note_worker(const job::worker_listing& listing)
{
    const auto found = m_machines.find(listing.machine);
    if (found == m_machines.end() || found->second.worker == listing.id ||
        found->second.ended_worker == listing.id) {
        return;
    }
    machine_record& machine = found->second;
    machine.worker = listing.id;
    machine.pool = listing.service;
    machine.state = machine_state::up;
    if (!machine.on_its_way) {
        machine.purpose.reset();
        machine.ordered = false;
    }
}

void machine_planner::note_wave(const wave_request& request, time_point first_seen,
                                const std::set<std::string>& begun)
{
    if (!m_waves.contains(request.number)) {
        m_waves.emplace(
            request.number,
            wave_progress{.request = request, .first_seen = first_seen, .begun = begun});
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
    machine.on_its_way = false;
    switch (answer) {
    case machine_answer::accepted:
        if (order.action == machine_action::maintain) {
            machine.state = machine_state::maintenance;
            if (const auto wave = m_waves.find(order.wave); wave != m_waves.end()) {
                wave->second.begun.insert(order.machine);
            }
        }
        else {
            machine.state = machine_state::moving;
            machine.pool = order.pool;
        }
        // A worker that was listed meanwhile may be the next life; the list will tell.
        if (machine.worker == order.worker) {
            machine.ended_worker = std::exchange(machine.worker, instance_id());
        }
        break;
    case machine_answer::invalid:
    case machine_answer::not_in_wave:
        if (order.action == machine_action::maintain) {
            m_waves[order.wave].begun.insert(order.machine);
        }
        m_uncordoned.push_back({machine.worker, false});
        machine.purpose.reset();
        machine.ordered = false;
        break;
    case machine_answer::busy:
    case machine_answer::refused:
    case machine_answer::stale_token:
    case machine_answer::unanswered:
        // The purpose stays, and the order is repeated: it is the same order.
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
    refresh_use(scheduler);
    const auto loads = scheduler.loads();
    plan_waves(now, loads, out);
    plan_pools(now, scheduler, loads, out);
    order_emptied(now, out);
    return out;
}

void machine_planner::refresh_use(const job::scheduler& scheduler)
{
    for (auto& [name, machine] : m_machines) {
        const auto worker = scheduler.workers().find(machine.worker);
        const bool known = worker != scheduler.workers().end();
        // What runs on a worker that hasn't answered this holder isn't known.
        machine.idle = machine.worker.empty() ||
                       (known && worker->second.token_acknowledged && worker->second.runs.empty());
        machine.used = known ? worker->second.used.cpu_millis : 0;
        machine.long_running = known && worker->second.long_running_runs > 0;
    }
}

bool machine_planner::is_free(const std::string& name, const machine_record& machine,
                              time_point now) const
{
    const auto blocked = m_blocked.find(name);
    return machine.state == machine_state::up && !machine.purpose &&
           (blocked == m_blocked.end() || now >= blocked->second);
}

void machine_planner::cordon(machine_record& machine, machine_order purpose, machine_orders& out)
{
    purpose.worker = machine.worker;
    machine.purpose = std::move(purpose);
    machine.ordered = false;
    if (!machine.worker.empty() && !m_moving_before.contains(machine.purpose->machine)) {
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
    std::uint32_t taken = 0;
    std::uint32_t emptying = 0;
    std::vector<std::string> waiting;
    for (const std::string& name : wave.request.machines) {
        const auto found = m_machines.find(name);
        if (found == m_machines.end()) {
            continue;
        }
        const machine_record& machine = found->second;
        const bool for_this = machine.purpose && machine.purpose->wave == wave.request.number &&
                              machine.purpose->action == machine_action::maintain;
        taken += for_this || machine.state == machine_state::maintenance ? 1 : 0;
        emptying += for_this && machine.long_running ? 1 : 0;
        if (!wave.begun.contains(name) && is_free(name, machine, now)) {
            waiting.push_back(name);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const auto& left, const auto& right) {
        return m_machines[left].used < m_machines[right].used;
    });
    const auto rounds = (waiting.size() + wave.request.max_down - 1) /
                        std::max<std::uint32_t>(wave.request.max_down, 1);
    const auto left = wave.first_seen + wave.request.deadline - now;
    const bool pressed = left < m_options.wave_reserve + m_options.maintenance_time * 2 *
                                                             static_cast<std::int64_t>(rounds);
    for (const std::string& name : waiting) {
        machine_record& machine = m_machines[name];
        if (taken >= wave.request.max_down) {
            break;
        }
        // Machines with lasting tasks never become idle, so some are emptied from the beginning.
        const bool early =
            machine.long_running && emptying < std::max(wave.request.max_down / 4, 1U);
        if ((!machine.idle && !pressed && !early) ||
            (machine.long_running && !can_spare(machine.pool, loads))) {
            continue;
        }
        emptying += machine.long_running ? 1 : 0;
        cordon(machine,
               {.machine = name, .action = machine_action::maintain, .wave = wave.request.number},
               out);
        ++taken;
    }
}

double machine_planner::arrival_rate(const service_id& pool, const job::service_load& load,
                                     time_point now)
{
    auto& samples = m_arrivals[pool];
    samples.push_back({now, load.submitted_work, load.submitted_jobs});
    const auto long_enough = [&](const arrival_sample& from) {
        const auto age = now - from.at;
        return age >= m_options.max_arrival_window ||
               (age >= m_options.min_arrival_window &&
                load.submitted_jobs - from.jobs >= m_options.arrival_jobs);
    };
    while (samples.size() > 2 && now - samples[1].at >= m_options.max_arrival_window) {
        samples.pop_front();
    }
    const auto from = std::find_if(samples.rbegin(), samples.rend(), long_enough);
    const arrival_sample& first = from == samples.rend() ? samples.front() : *from;
    return (load.submitted_work - first.work) /
           std::max(in_seconds(now - first.at), in_seconds(m_options.min_arrival_window));
}

double machine_planner::needed_by(const service_id& pool, const job::service_load& load,
                                  double each, time_point now)
{
    const double arriving = arrival_rate(pool, load, now);
    const double present = each * present_of(pool) - load.long_running;
    const double at_hand = load.running + load.ready;
    // What will wait by the time that a machine could have come.
    const double later = load.ready_work + (arriving - present) * in_seconds(m_options.move_time);
    // A few large jobs say little of those to come, so growth is bounded by what is at hand.
    double needed = std::max(at_hand, std::min(arriving, 2 * at_hand));
    if (later > 0) {
        needed =
            std::min(at_hand + arriving / 2, arriving + later / in_seconds(m_options.backlog_time));
    }
    return load.long_running + needed;
}

std::map<service_id, machine_planner::pool_state>
machine_planner::pool_states(time_point now, const job::scheduler& scheduler,
                             const std::map<service_id, job::service_load>& loads)
{
    std::map<service_id, pool_state> states;
    std::map<service_id, double> capacity;
    std::map<service_id, std::uint32_t> counted;
    for (const auto& [id, worker] : scheduler.workers()) {
        capacity[worker.listing.service] += double(worker.listing.capacity.cpu_millis);
        ++counted[worker.listing.service];
    }
    double typical = 0;
    std::uint32_t all = 0;
    for (const auto& [pool, sum] : capacity) {
        typical += sum;
        all += counted[pool];
    }
    typical = all == 0 ? 0 : typical / all;
    const bool waves_left = std::any_of(m_waves.begin(), m_waves.end(),
                                        [](const auto& each) { return !each.second.completed(); });
    // One machine to spare, and one that a wave may then take.
    const std::uint32_t spare = waves_left ? 2 : 1;
    for (const auto& [pool, load] : loads) {
        const double each = counted[pool] > 0 ? capacity[pool] / counted[pool] : typical;
        if (each <= 0) {
            continue;
        }
        const double needed = needed_by(pool, load, each, now);
        const auto machines =
            static_cast<std::uint32_t>(std::ceil(needed / each * percent / m_options.full_percent));
        // Steps that last must fit onto machines that stay, also while others have their upkeep.
        states[pool].wanted =
            load.min_workers == 0
                ? machines
                : std::max(machines, load.min_workers + spare + under_maintenance(pool));
    }
    for (const auto& [pool, settings] : m_pools) {
        states[pool].present = present_of(pool);
    }
    return states;
}

std::uint32_t machine_planner::under_maintenance(const service_id& pool) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& each) {
            const machine_record& machine = each.second;
            const bool meant =
                machine.purpose && machine.purpose->action == machine_action::maintain;
            return machine.pool == pool && (meant || machine.state == machine_state::maintenance);
        }));
}

bool machine_planner::can_spare(const service_id& pool,
                                const std::map<service_id, job::service_load>& loads) const
{
    const auto load = loads.find(pool);
    if (load == loads.end() || load->second.min_workers == 0) {
        return true;
    }
    const auto open = static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& each) {
            const machine_record& machine = each.second;
            return machine.pool == pool && machine.state == machine_state::up && !machine.purpose;
        }));
    return open > load->second.min_workers + 1;
}

std::uint32_t machine_planner::present_of(const service_id& pool) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& each) {
            const machine_record& machine = each.second;
            const bool leaving = machine.purpose && machine.purpose->action == machine_action::move;
            return machine.state != machine_state::down &&
                   (leaving ? machine.purpose->pool : machine.pool) == pool;
        }));
}

std::string machine_planner::leaver_of(const service_id& pool, time_point now) const
{
    const std::string* best = nullptr;
    std::int64_t least_used = 0;
    for (const auto& [name, machine] : m_machines) {
        if (machine.pool == pool && is_free(name, machine, now) && !machine.long_running &&
            (best == nullptr || machine.used < least_used)) {
            best = &name;
            least_used = machine.used;
        }
    }
    return best == nullptr ? std::string() : *best;
}

void machine_planner::plan_pools(time_point now, const job::scheduler& scheduler,
                                 const std::map<service_id, job::service_load>& loads,
                                 machine_orders& out)
{
    // Moves that haven't been ordered are decided again, since demand may have turned.
    m_moving_before.clear();
    for (auto& [name, machine] : m_machines) {
        if (machine.purpose && machine.purpose->action == machine_action::move &&
            !machine.ordered && machine.state == machine_state::up) {
            m_moving_before.insert(name);
            machine.purpose.reset();
        }
    }
    auto states = pool_states(now, scheduler, loads);
    move_machines(now, states, out);
    for (const std::string& name : m_moving_before) {
        const machine_record& machine = m_machines[name];
        if (!machine.purpose && !machine.worker.empty()) {
            out.cordons.push_back({machine.worker, false});
        }
    }
    m_moving_before.clear();
}

void machine_planner::move_machines(time_point now, std::map<service_id, pool_state>& states,
                                    machine_orders& out)
{
    std::vector<service_id> sources;
    for (const auto& [id, pool] : m_pools) {
        // What is off costs nothing to give, so it goes first.
        sources.insert(pool.standby ? sources.begin() : sources.end(), id);
    }
    for (auto& [pool, state] : states) {
        if (is_standby(pool) || !m_pools.contains(pool)) {
            continue;
        }
        for (const service_id& source : sources) {
            while (source != pool && state.present < state.wanted) {
                pool_state& giver = states[source];
                const std::string name = leaver_of(source, now);
                const bool spares =
                    is_standby(source) || giver.present > giver.wanted + m_options.spare_machines;
                if (name.empty() || !spares) {
                    break;
                }
                cordon(m_machines[name],
                       {.machine = name, .action = machine_action::move, .pool = pool}, out);
                --giver.present;
                ++state.present;
            }
        }
    }
}

void machine_planner::order_emptied(time_point now, machine_orders& out)
{
    for (auto& [name, machine] : m_machines) {
        if (!machine.purpose || machine.ordered || now - machine.changed < order_retry) {
            continue;
        }
        if (machine.idle && machine.state == machine_state::up) {
            machine.purpose->worker = machine.worker; // It may be another than at the cordon.
            machine.ordered = true;
            machine.on_its_way = true;
            machine.changed = now;
            out.orders.push_back(*machine.purpose);
        }
    }
}

std::vector<instance_id> ended_workers(const std::vector<machine_info>& machines, time_point asked,
                                       const job::scheduler& scheduler)
{
    std::unordered_map<std::string_view, const machine_info*> by_name;
    for (const machine_info& machine : machines) {
        by_name.emplace(machine.machine, &machine);
    }
    std::vector<instance_id> over;
    for (const auto& [id, worker] : scheduler.workers()) {
        const auto at = by_name.find(worker.listing.machine);
        // One that was listed, or has answered, since the list was asked for is alive.
        if (at == by_name.end() || worker.last_answer >= asked) {
            continue;
        }
        const machine_info& machine = *at->second;
        const bool none = machine.state != machine_state::up && machine.worker.empty();
        const bool another = !machine.worker.empty() && machine.worker != id;
        if (none || another) {
            over.push_back(id);
        }
    }
    return over;
}

} // namespace plantaindoor::fleet
