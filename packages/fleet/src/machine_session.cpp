#include "plantaindoor/fleet/machine_session.hpp"

#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part machine_log("machine");
constexpr process::log_part wave_log("wave");
constexpr std::string_view waves_table = "waves";

row_address started_address(std::uint64_t wave)
{
    return {std::string(waves_table), std::string(control_partition), std::to_string(wave)};
}

/// The row that lists the machines with a recent order of the leader.
row_address recent_orders_address()
{
    return {std::string(waves_table), std::string(control_partition), "ordered"};
}

std::set<std::string> parse_machines(const std::string& text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    std::set<std::string> machines;
    if (parsed.is_array()) {
        for (const auto& each : parsed) {
            if (each.is_string()) {
                machines.insert(each.get<std::string>());
            }
        }
    }
    return machines;
}

} // namespace

machine_session::machine_session(event_loop& loop, row_store& store, machine_gateway& machines,
                                 const platform_codec& codec, job::scheduler& scheduler,
                                 metrics_registry& metrics, machine_session_options options)
    : m_loop(loop),
      m_store(store),
      m_machines(machines),
      m_codec(codec),
      m_scheduler(scheduler),
      m_options(std::move(options)),
      m_planner(m_options.planning),
      m_alive(std::make_shared<bool>(true)),
      m_ended_workers(metrics.counter({"worker_lives_over_total",
                                       "Workers whose end was detected by the list of machines",
                                       {}})),
      m_moves(metrics.counter({"machine_moves_total", "Machine moves ordered", {}})),
      m_maintenance_orders(
          metrics.counter({"machine_upkeeps_total", "Machine maintenances ordered", {}}))
{
    read_waves();
}

machine_session::~machine_session()
{
    *m_alive = false;
}

void machine_session::read_waves()
{
    m_wave_rows = std::make_unique<table_watcher>(
        m_loop, m_store,
        table_watcher_options{.table = std::string(waves_table),
                              .partitions = {std::string(control_partition)}},
        table_watcher::event_handlers{.on_row =
                                          [this](const stored_row& row) {
                                              std::uint64_t number = 0;
                                              const std::string& key = row.at.key;
                                              std::from_chars(key.data(), key.data() + key.size(),
                                                              number);
                                              m_persisted_started[number] =
                                                  parse_machines(row.value);
                                          },
                                      .on_complete =
                                          [this] {
                                              m_waves_read = true;
                                              m_loop.post([this, alive = m_alive] {
                                                  if (*alive) {
                                                      // From now on only this session writes the
                                                      // table.
                                                      m_wave_rows.reset();
                                                  }
                                              });
                                          },
                                      .on_response = [] {},
                                      .on_failure = [] {}});
}

void machine_session::add_wave(const wave_request& request, time_point first_seen)
{
    // The planner must not get a wave before its progress under previous leaders has been read.
    if (!m_waves_read) {
        m_loop.call_after(milliseconds(50), [this, request, first_seen, alive = m_alive] {
            if (*alive) {
                add_wave(request, first_seen);
            }
        });
        return;
    }
    m_planner.note_wave(request, first_seen, m_persisted_started[request.number]);
    write_wave_status(request.number, false);
}

void machine_session::tick(time_point now)
{
    if (!m_waves_read) {
        return;
    }
    if (!m_list_pending && now >= m_next_list) {
        read_list(now);
    }
    const machine_orders orders = m_planner.plan(now, m_scheduler);
    for (const cordon_change& each : orders.cordons) {
        m_scheduler.cordon_worker(each.worker, each.cordoned);
    }
    if (!orders.orders.empty()) {
        persist_and_send(orders.orders, now);
    }
    persist_waves();
}

void machine_session::persist_and_send(const std::vector<machine_order>& orders, time_point now)
{
    std::erase_if(m_recent_orders,
                  [&](const auto& each) { return now - each.second > m_options.handover_delay; });
    for (const machine_order& order : orders) {
        m_recent_orders[order.machine] = now;
    }
    std::set<std::string> machines;
    for (const auto& [machine, when] : m_recent_orders) {
        machines.insert(machine);
    }
    row_transaction transaction;
    transaction.conditions.push_back(m_options.claim);
    transaction.writes.push_back({recent_orders_address(), nlohmann::json(machines).dump()});
    m_store.commit(std::move(transaction), m_options.commit_timeout,
                   [this, orders, alive = m_alive](const commit_result& result) {
                       if (!*alive) {
                           return;
                       }
                       for (const machine_order& order : orders) {
                           if (result.outcome == commit_outcome::applied) {
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
    m_machines.list(
        [this, now, alive = m_alive](const std::optional<std::vector<machine_info>>& machines) {
            if (!*alive) {
                return;
            }
            m_list_pending = false;
            if (machines) {
                handle_machine_list(*machines, now);
            }
        });
}

void machine_session::handle_machine_list(const std::vector<machine_info>& machines,
                                          time_point requested_at)
{
    m_planner.note_machine_list(machines, requested_at);
    const time_point now = m_loop.now();
    for (const instance_id& id : ended_workers(machines, requested_at, m_scheduler)) {
        machine_log.info(fmt::format(
            "worker {} has ended according to the machine list requested {} ms ago", id.str(),
            std::chrono::duration_cast<milliseconds>(now - requested_at).count()));
        m_ended_workers.add();
        m_scheduler.note_worker_ended(id, now);
    }
    std::map<instance_id, service_id> live_workers;
    for (const machine_info& machine : machines) {
        if (!machine.worker.empty()) {
            live_workers.emplace(machine.worker, machine.pool);
        }
    }
    m_scheduler.note_live_workers(live_workers, now);
}

void machine_session::send_order(const machine_order& order)
{
    auto done = [this, order, alive = m_alive](machine_answer answer) {
        if (*alive) {
            handle_answer(order, answer);
        }
    };
    if (order.action == machine_action::move) {
        m_moves.add();
        m_machines.move(m_options.authority, order.machine, order.pool, std::move(done));
    }
    else {
        m_maintenance_orders.add();
        m_machines.maintain(m_options.authority, order.machine, order.wave, std::move(done));
    }
}

void machine_session::handle_answer(const machine_order& order, machine_answer answer)
{
    const std::string what = order.action == machine_action::move
                                 ? "move to " + order.pool.str()
                                 : fmt::format("maintenance in wave {}", order.wave);
    machine_log.info(fmt::format("machine {} worker {}: {}: {}", order.machine, order.worker.str(),
                                 what, name_of(answer)));
    const time_point now = m_loop.now();
    if (answer == machine_answer::accepted && !order.worker.empty()) {
        m_scheduler.note_worker_ended(order.worker, now);
    }
    m_planner.note_answer(order, answer, now);
    persist_waves();
}

void machine_session::persist_waves()
{
    for (const auto& [number, wave] : m_planner.waves()) {
        if (wave.started != m_persisted_started[number]) {
            persist_started(number, wave.started);
        }
        else if (wave.completed() && !m_written_completed[number]) {
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
    transaction.writes.push_back({started_address(wave), nlohmann::json(started).dump()});
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
