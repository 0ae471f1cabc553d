#include "plantaindoor/fleet/machine_planner.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace plantaindoor::fleet {

namespace {

/// Delay before a refused or unanswered order is repeated.
constexpr milliseconds order_retry_delay{400};
/// How long a machine isn't moved after the platform has refused to move it.
constexpr milliseconds refused_move_delay{3000};

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
    m_sources.clear();
    for (const auto& [id, pool] : m_pools) {
        // Machines of standby pools are off, so moving them costs nothing; they are used first.
        m_sources.insert(pool.standby ? m_sources.begin() : m_sources.end(), id);
    }
}

bool machine_planner::is_standby(const service_id& pool) const
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.standby;
}

void machine_planner::note_machine_list(const std::vector<machine_info>& machines,
                                        time_point requested_at, list_extent extent)
{
    std::set<std::string> listed;
    for (const machine_info& entry : machines) {
        listed.insert(entry.machine);
        machine_record& machine = m_machines[entry.machine];
        if (machine.in_flight || machine.changed > requested_at) {
            continue;
        }
        if (!entry.worker.empty() && entry.worker == machine.ended_worker) {
            if (!was_done_before(machine, entry, requested_at)) {
                continue;
            }
            machine.ended_worker = instance_id();
        }
        machine.rack = entry.rack;
        machine.labels = entry.labels;
        machine.pool = entry.pool;
        machine.state = entry.state;
        if (entry.state != machine_state::up) {
            m_expected_orders.erase(entry.machine);
        }
        if (entry.state == machine_state::up && entry.worker != machine.worker) {
            machine.worker = entry.worker;
            machine.awaited_since = requested_at;
        }
        if (entry.state == machine_state::up && machine.ordered) {
            drop_planned_order(machine);
        }
        else if (entry.state != machine_state::up && machine.planned_order) {
            // An order whose answer was lost has been carried out.
            machine.ordered = true;
            if (entry.state == machine_state::maintenance &&
                machine.planned_order->action == machine_action::maintain &&
                (machine.may_be_done || count_open_waves(entry.machine) == 1)) {
                m_waves[machine.planned_order->wave].started.insert(entry.machine);
            }
        }
    }
    m_listed = true;
    if (extent == list_extent::partial) {
        return;
    }
    std::erase_if(m_machines, [&](const auto& each) { return !listed.contains(each.first); });
    for (auto& [number, wave] : m_waves) {
        for (const std::string& name : wave.request.machines) {
            if (!listed.contains(name)) {
                wave.started.insert(name);
            }
        }
    }
}

std::size_t machine_planner::count_open_waves(const std::string& machine) const
{
    return static_cast<std::size_t>(
        std::count_if(m_waves.begin(), m_waves.end(), [&](const auto& each) {
            const wave_progress& wave = each.second;
            const auto& machines = wave.request.machines;
            return !wave.started.contains(machine) &&
                   std::find(machines.begin(), machines.end(), machine) != machines.end();
        }));
}

bool machine_planner::was_done_before(const machine_record& machine, const machine_info& entry,
                                      time_point requested_at) const
{
    if (entry.state != machine_state::up || !machine.planned_order || !machine.ordered) {
        return false;
    }
    const milliseconds duration = machine.planned_order->action == machine_action::maintain
                                      ? m_options.maintenance_time
                                      : m_options.move_time;
    return requested_at > machine.changed + duration;
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
    machine.awaited_since = now;
    machine.in_flight = false;
    machine.may_be_done =
        answer == machine_answer::unanswered || answer == machine_answer::accepted;
    if (answer == machine_answer::accepted || answer == machine_answer::not_in_wave) {
        m_expected_orders.erase(order.machine);
    }
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
    case machine_answer::stale_token:
        if (order.action == machine_action::move) {
            // Another machine may be moved at once.
            m_blocked[order.machine] = now + refused_move_delay;
        }
        machine.ordered = false;
        break;
    case machine_answer::refused:
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
    refresh_usage(scheduler, now);
    const auto loads = scheduler.loads();
    plan_waves(now, loads, out);
    plan_pools(now, scheduler, loads, out);
    order_idle_machines(now, out);
    return out;
}

void machine_planner::refresh_usage(const job::scheduler& scheduler, time_point now)
{
    for (auto& [name, machine] : m_machines) {
        const auto worker = scheduler.workers().find(machine.worker);
        const bool known = worker != scheduler.workers().end();
        machine.idle = machine.worker.empty() || (known && worker->second.predecessor_runs_known &&
                                                  worker->second.runs.empty());
        if (known) {
            machine.worker_start = worker->second.latest_start();
        }
        // A draining worker that is no longer listed stays the machine's worker until the next
        // machine list.
        machine.leaving =
            known ? worker->second.listing.draining : machine.leaving && !machine.worker.empty();
        if (machine.leaving && !machine.ordered) {
            // The platform refuses orders for it.
            drop_planned_order(machine);
        }
        machine.answered = known && worker->second.token_acknowledged;
        if (machine.answered || machine.in_flight || !machine.awaited_since) {
            machine.awaited_since = now;
        }
        machine.expected =
            now - *machine.awaited_since <= m_options.move_time + m_options.arrival_margin &&
            !m_unavailable.contains(name);
        machine.used = known ? worker->second.used.cpu_millis : 0;
        // A worker that is kept for a long-running task counts as if the task ran there already.
        const bool reserved = known && scheduler.is_reserved(machine.worker);
        machine.long_running = reserved || (known && worker->second.long_running_runs > 0);
        machine.idle = machine.idle && !reserved;
        machine.held = known && scheduler.is_held(machine.worker);
    }
}

bool machine_planner::may_be_taken_down(const std::string& name, const wave_progress& wave,
                                        time_point now) const
{
    const auto expected = m_expected_orders.find(name);
    // An order that was answered takes effect at once, but a machine list may be older.
    return expected != m_expected_orders.end() &&
           now < (wave.started.contains(name) ? expected->second.blocked_until
                                              : expected->second.possible_until);
}

bool machine_planner::is_free(const std::string& name, const machine_record& machine,
                              time_point now) const
{
    const auto blocked = m_blocked.find(name);
    const auto expected = m_expected_orders.find(name);
    return machine.state == machine_state::up && !machine.planned_order && !machine.leaving &&
           !m_unavailable.contains(name) &&
           (blocked == m_blocked.end() || now >= blocked->second) &&
           (expected == m_expected_orders.end() || now >= expected->second.blocked_until);
}

void machine_planner::cordon(machine_record& machine, machine_order planned_order,
                             machine_orders& out)
{
    planned_order.worker = machine.worker;
    machine.planned_order = std::move(planned_order);
    machine.ordered = false;
    machine.may_be_done = false;
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
    std::uint32_t expected = 0;
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
        const bool is_reserved = for_this || machine.state == machine_state::maintenance;
        reserved += is_reserved ? 1 : 0;
        expected += !is_reserved && may_be_taken_down(name, wave, now) ? 1 : 0;
        evacuating += for_this && machine.long_running ? 1 : 0;
        if (!wave.started.contains(name) && is_free(name, machine, now)) {
            waiting.push_back(name);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const auto& left, const auto& right) {
        // The answer to an order of this leader shows that none of a previous one is outstanding.
        const auto rank = [&](const std::string& name) {
            return std::pair(!may_be_taken_down(name, wave, now), m_machines[name].used);
        };
        return rank(left) < rank(right);
    });
    const std::size_t at_a_time = std::max<std::uint32_t>(wave.request.max_down, 1);
    const std::size_t batches = (waiting.size() + at_a_time - 1) / at_a_time;
    const auto time_left = wave.first_seen + wave.request.deadline - now;
    const bool deadline_near =
        time_left < m_options.wave_reserve +
                        m_options.maintenance_time * 2 * static_cast<std::int64_t>(batches);
    for (const std::string& name : waiting) {
        machine_record& machine = m_machines[name];
        const bool is_expected = may_be_taken_down(name, wave, now);
        if (reserved + (is_expected ? 0 : expected) >= wave.request.max_down) {
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
        expected -= is_expected ? 1 : 0;
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
            machine.may_be_done = true;
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
