#include "plantaindoor/fleet/machine_session.hpp"

#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part machine_log("machine");
constexpr process::log_part wave_log("wave");
constexpr std::string_view waves_table = "waves";
/// The other shards' progress decides when a wave is complete, which may be known a little later.
constexpr milliseconds wave_batch_delay{300};
/// A machine is back after this many times its maintenance time, for certain.
constexpr int last_maintenance_factor = 2;

/// An order whose answer is missing may be carried out this late.
constexpr seconds max_order_delay{13};

constexpr std::string_view recent_orders_key = "ordered";
/// Delay before a wave is added again whose progress hasn't been read yet.
constexpr milliseconds add_wave_retry_delay{50};

row_address started_address(shard_number shard, std::uint64_t wave)
{
    return {std::string(waves_table), control_partition(shard), std::to_string(wave)};
}

std::set<std::string> names_of(const std::vector<machine_info>& machines)
{
    std::set<std::string> names;
    for (const machine_info& each : machines) {
        names.insert(each.machine);
    }
    return names;
}

/// The row that lists the machines with a recent order of the leader.
row_address recent_orders_address(shard_number shard)
{
    return {std::string(waves_table), control_partition(shard), std::string(recent_orders_key)};
}

} // namespace

machine_session::machine_session(event_loop& loop, row_store& store, machine_gateway& machines,
                                 const platform_codec& codec, job::scheduler& scheduler,
                                 const leader_lease& lease, metrics_registry& metrics,
                                 machine_session_options options)
    : m_loop(loop),
      m_store(store),
      m_machines(machines),
      m_codec(codec),
      m_scheduler(scheduler),
      m_lease(lease),
      m_options(std::move(options)),
      m_planner(m_options.planning),
      m_recent_orders(store, {.at = recent_orders_address(m_options.shard),
                              .claim = m_options.claim,
                              .commit_timeout = m_options.commit_timeout,
                              .retention = m_options.handover_delay}),
      m_pool_reporter(metrics, m_options.shard),
      m_alive(std::make_shared<bool>(true)),
      m_ended_workers(metrics.counter({"worker_lives_over_total",
                                       "Workers whose end was detected by the list of machines",
                                       {}})),
      m_moves(metrics.counter({"machine_moves_total", "Machine moves ordered", {}})),
      m_maintenance_orders(
          metrics.counter({"machine_upkeeps_total", "Machine maintenances ordered", {}}))
{
    if (m_options.exchange != nullptr && m_options.layout->count() > 1) {
        m_transfers.emplace(
            *m_options.exchange, m_planner, m_scheduler,
            machine_transfers_options{
                .giving = {.lease = m_options.handover_delay,
                           .max_order_delay = max_order_delay,
                           .min_machines = m_options.planning.min_machines},
                .requesting = {.shard = m_options.shard, .shards = m_options.layout->count()},
                .began = m_loop.now(),
                .has_predecessor = m_options.has_predecessor},
            m_options.on_given);
    }
    read_waves();
}

machine_session::~machine_session()
{
    *m_alive = false;
}

void machine_session::read_waves()
{
    const shard_number shards = m_options.layout->count();
    m_wave_rows = std::make_unique<table_watcher>(
        m_loop, m_store,
        table_watcher_options{.table = std::string(waves_table),
                              .partitions = all_control_partitions(shards),
                              .batch_delay = wave_batch_delay},
        table_watcher::event_handlers{
            .on_row = [this](const stored_row& row) { note_wave_row(row); },
            .on_complete =
                [this, shards] {
                    m_waves_read = true;
                    m_loop.post([this, shards, alive = m_alive] {
                        if (*alive && shards == 1) {
                            // From now on only this session writes the table.
                            m_wave_rows.reset();
                        }
                    });
                },
            .on_response = [] {},
            .on_failure = [] {}});
}

void machine_session::note_wave_row(const stored_row& row)
{
    const bool own = row.at.partition == control_partition(m_options.shard);
    if (row.removed || (own && m_waves_read)) {
        return;
    }
    const std::set<std::string> machines = parse_machines(row.value);
    if (row.at.key == recent_orders_key) {
        if (own) {
            const time_point now = m_loop.now();
            const expected_order expected{.blocked_until = now + m_options.handover_delay,
                                          .possible_until = now + max_order_delay};
            for (const std::string& machine : machines) {
                m_planner.expect_order(machine, expected);
                m_scheduler.expect_planned_end(machine, expected.blocked_until);
            }
        }
        return;
    }
    std::uint64_t number = 0;
    const std::string& key = row.at.key;
    if (std::from_chars(key.data(), key.data() + key.size(), number).ec != std::errc{}) {
        wave_log.warning(fmt::format("row {} of the waves has no wave's number as its key", key));
        return;
    }
    if (own) {
        m_persisted_started[number] = machines;
        return;
    }
    for (shard_number shard = 0; shard < m_options.layout->count(); ++shard) {
        if (row.at.partition == control_partition(shard)) {
            m_started_elsewhere[shard][number] = machines;
        }
    }
}

void machine_session::add_wave(const wave_request& request, time_point first_seen)
{
    // The planner must not get a wave before its progress under previous leaders has been read.
    if (!m_waves_read) {
        m_loop.call_after(add_wave_retry_delay, [this, request, first_seen, alive = m_alive] {
            if (*alive) {
                add_wave(request, first_seen);
            }
        });
        return;
    }
    const wave_share share =
        share_of_wave(request.max_down, m_options.shard, m_options.layout->count());
    wave_request part = request;
    part.max_down = share.max_down;
    if (share.first_of_turn == 0) {
        begin_wave(part, first_seen);
    }
    else {
        m_waiting_waves.push_back(
            {.request = std::move(part), .first_seen = first_seen, .share = share});
    }
}

void machine_session::begin_wave(const wave_request& request, time_point first_seen)
{
    m_planner.note_wave(request, first_seen, m_persisted_started[request.number]);
    if (m_options.shard == 0) {
        write_wave_status(request.number, false);
    }
}

bool machine_session::completed_by(const wave_request& request, shard_number first,
                                   shard_number end) const
{
    for (shard_number shard = first; shard < end; ++shard) {
        const auto waves = m_started_elsewhere.find(shard);
        if (waves == m_started_elsewhere.end()) {
            return false;
        }
        const auto started = waves->second.find(request.number);
        if (started == waves->second.end() ||
            !std::all_of(request.machines.begin(), request.machines.end(),
                         [&](const auto& each) { return started->second.contains(each); })) {
            return false;
        }
    }
    return true;
}

void machine_session::check_waiting_waves(time_point now)
{
    std::erase_if(m_waiting_waves, [&](waiting_wave& wave) {
        if (!completed_by(wave.request, 0, wave.share.first_of_turn)) {
            // One of them may have received a machine of the wave.
            wave.turn_began.reset();
        }
        else if (!wave.turn_began) {
            wave.turn_began = now;
        }
        // Their last machines may still be down.
        const bool begins =
            wave.turn_began &&
            now >= *wave.turn_began + last_maintenance_factor * m_options.planning.maintenance_time;
        if (begins) {
            begin_wave(wave.request, wave.first_seen);
        }
        return begins;
    });
}

void machine_session::tick(time_point now)
{
    if (!m_waves_read) {
        return;
    }
    if (!m_list_pending && now >= m_next_list) {
        read_list(now);
    }
    check_waiting_waves(now);
    if (m_transfers) {
        m_transfers->begin_round(known_waves());
    }
    const machine_orders orders = m_planner.plan(now, m_scheduler);
    m_pool_reporter.report(m_planner.pools(), now);
    for (const cordon_change& each : orders.cordons) {
        m_scheduler.cordon_worker(each.worker, each.cordoned);
    }
    for (const vacating_stops& each : orders.stops) {
        m_scheduler.stop_short_runs(each.worker, each.runs);
    }
    if (!orders.orders.empty()) {
        persist_and_send(orders.orders, now);
    }
    m_recent_orders.tick(now);
    persist_waves();
    if (m_transfers) {
        m_transfers->end_round(known_waves(), now);
    }
}

wave_rows machine_session::known_waves() const
{
    wave_rows waves{.own = m_persisted_started, .of_other_shards = m_started_elsewhere};
    for (const waiting_wave& each : m_waiting_waves) {
        waves.waiting.insert(each.request.machines.begin(), each.request.machines.end());
    }
    return waves;
}

bool machine_session::is_listed(const machine_info& machine) const
{
    return m_transfers ? m_transfers->is_listed(machine.machine, machine.rack)
                       : m_options.layout->owner_of(machine.rack) == m_options.shard;
}

void machine_session::persist_and_send(const std::vector<machine_order>& orders, time_point now)
{
    std::vector<std::string> machines;
    for (const machine_order& order : orders) {
        machines.push_back(order.machine);
    }
    m_recent_orders.add(machines, now, [this, orders](bool listed) {
        for (const machine_order& order : orders) {
            if (listed) {
                send_order(order);
            }
            else {
                m_planner.note_answer(order, machine_answer::refused, m_loop.now());
            }
        }
    });
}

void machine_session::read_list(time_point now)
{
    m_list_pending = true;
    m_next_list = now + m_options.list_interval;
    m_machines.list([this, now, alive = m_alive](std::optional<machine_list> list) {
        if (!*alive) {
            return;
        }
        m_list_pending = false;
        if (list) {
            handle_machine_list(std::move(*list), now);
        }
    });
}

void machine_session::handle_machine_list(machine_list list, time_point requested_at)
{
    std::vector<machine_info>& machines = list.machines;
    const time_point now = m_loop.now();
    if (m_scheduler.has_predecessor_doubt(now) && !machines.empty()) {
        m_scheduler.note_machines(names_of(machines), list.extent, requested_at);
    }
    std::erase_if(machines, [this](const machine_info& each) { return !is_listed(each); });
    m_planner.note_machine_list(machines, requested_at, list.extent);
    for (const auto& [id, cause] : ended_workers(machines, requested_at, m_scheduler)) {
        machine_log.info(fmt::format(
            "worker {} has ended according to the machine list requested {} ms ago: {}", id.str(),
            std::chrono::duration_cast<milliseconds>(now - requested_at).count(), name_of(cause)));
        m_ended_workers.add();
        m_scheduler.note_worker_ended(id, cause, now);
    }
    std::map<instance_id, service_id> live_workers;
    for (const machine_info& machine : machines) {
        const bool in_transfer = m_transfers && m_transfers->is_in_transfer(machine.machine);
        if (!machine.worker.empty() && !in_transfer) {
            live_workers.emplace(machine.worker, machine.pool);
        }
    }
    m_scheduler.note_live_workers(live_workers, list.extent, now);
}

void machine_session::send_order(const machine_order& order)
{
    const auto authority = m_lease.authority(order.machine);
    if (!authority) {
        machine_log.warning(
            fmt::format("machine {}: order not sent: the leader lease has expired", order.machine));
        m_planner.note_answer(order, machine_answer::refused, m_loop.now());
        return;
    }
    m_scheduler.expect_planned_end(order.machine, m_loop.now() + max_order_delay);
    if (m_transfers) {
        m_transfers->note_order(order.machine, m_loop.now());
    }
    auto done = [this, order, start = m_scheduler.latest_start(order.worker),
                 alive = m_alive](machine_answer answer) {
        if (*alive) {
            handle_answer(order, start, answer);
        }
    };
    if (order.action == machine_action::move) {
        m_moves.add();
        m_machines.move(*authority, order.machine, order.pool, std::move(done));
    }
    else {
        m_maintenance_orders.add();
        m_machines.maintain(*authority, order.machine, order.wave, std::move(done));
    }
}

void machine_session::handle_answer(const machine_order& order,
                                    const std::optional<wall_time>& start, machine_answer answer)
{
    const std::string what = order.action == machine_action::move
                                 ? "move to " + order.pool.str()
                                 : fmt::format("maintenance in wave {}", order.wave);
    machine_log.info(fmt::format("machine {} worker {}: {}: {}", order.machine, order.worker.str(),
                                 what, name_of(answer)));
    const time_point now = m_loop.now();
    // A worker that has started again since the order isn't the one that the order has ended.
    const auto latest = m_scheduler.latest_start(order.worker);
    const bool restarted = start && latest && *start < *latest;
    if (answer == machine_answer::accepted && !order.worker.empty() && !restarted) {
        note_accepted(order);
    }
    else if (answer != machine_answer::accepted && answer != machine_answer::unanswered) {
        m_scheduler.cancel_planned_end(order.machine);
    }
    // After a move the list of machines shows another pool. After maintenance it doesn't, and a
    // successor must still expect the end of the worker.
    if (order.action == machine_action::move && answer != machine_answer::unanswered) {
        m_recent_orders.remove(order.machine);
    }
    m_planner.note_answer(order, answer, now);
    if (m_transfers) {
        m_transfers->note_answer(order.machine, answer, now);
    }
    persist_waves();
}

void machine_session::note_accepted(const machine_order& order)
{
    const auto worker = m_scheduler.workers().find(order.worker);
    const bool has_runs = worker != m_scheduler.workers().end() && !worker->second.runs.empty();
    if (has_runs) {
        // Orders are sent for idle workers only.
        machine_log.warning(
            fmt::format("machine {} worker {}: accepted, but the worker has {} runs", order.machine,
                        order.worker.str(), worker->second.runs.size()));
    }
    // An order that was carried out before is accepted again without any effect. The list of
    // machines shows whether the worker has ended, and an idle one loses nothing until then.
    if (order.action == machine_action::move && !has_runs) {
        m_scheduler.note_worker_ended(order.worker, job::worker_end::order, m_loop.now());
    }
}

void machine_session::persist_waves()
{
    for (const auto& [number, wave] : m_planner.waves()) {
        if (wave.started != m_persisted_started[number]) {
            persist_started(number, wave.started);
        }
        else if (m_options.shard == 0 && wave.completed() && !m_written_completed[number] &&
                 completed_by(wave.request, 1, m_options.layout->count())) {
            write_wave_status(number, true);
        }
    }
}

void machine_session::persist_started(std::uint64_t wave, const std::set<std::string>& started)
{
    if (std::exchange(m_persisting, true)) {
        return;
    }
    row_transaction transaction;
    transaction.conditions.push_back(m_options.claim);
    transaction.writes.push_back({started_address(m_options.shard, wave), to_text(started)});
    m_store.commit(std::move(transaction), m_options.commit_timeout,
                   [this, wave, started, alive = m_alive](const commit_result& result) {
                       if (!*alive) {
                           return;
                       }
                       m_persisting = false;
                       if (result.outcome == commit_outcome::applied) {
                           m_persisted_started[wave] = started;
                       }
                   });
}

void machine_session::write_wave_status(std::uint64_t wave, bool completed)
{
    if (!m_writing_status.insert(wave).second) {
        return;
    }
    row_write status = m_codec.wave_status(wave, completed);
    row_transaction transaction;
    if (!completed) {
        // A delayed write must not overwrite the completed status.
        transaction.conditions.push_back({status.at, absent});
    }
    transaction.writes.push_back(std::move(status));
    m_store.commit(std::move(transaction), m_options.commit_timeout,
                   [this, wave, completed, alive = m_alive](const commit_result& result) {
                       if (!*alive) {
                           return;
                       }
                       m_writing_status.erase(wave);
                       wave_log.info(fmt::format("wave {} reported as {}: {}", wave,
                                                 completed ? "completed" : "running",
                                                 name_of(result.outcome)));
                       if (result.outcome == commit_outcome::applied) {
                           m_written_completed[wave] = completed;
                       }
                   });
}

} // namespace plantaindoor::fleet
