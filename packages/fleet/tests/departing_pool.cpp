#include "departing_pool.hpp"

#include <algorithm>

namespace plantaindoor::fleet::testing {

namespace {

constexpr milliseconds tick_time{100};
constexpr milliseconds move_time{1500};
constexpr milliseconds drain_time{5000};
/// From the start of a worker until it is listed.
constexpr milliseconds listing_lag{200};
constexpr int ticks_per_machine_list = 4;

} // namespace

departing_pool::departing_pool(int served, int other)
{
    scheduler.set_queues({{.name = "checks", .service = served_pool, .max_attempts = 3},
                          {.name = "orders", .service = other_pool, .max_attempts = 3}});
    scheduler.note_live_workers({}, list_extent::complete, now);
    planner.set_pools({{.id = served_pool}, {.id = other_pool}});
    for (int number = 0; number < served; ++number) {
        add_machine(served_pool);
    }
    for (int number = 0; number < other; ++number) {
        add_machine(other_pool);
    }
    run_for(milliseconds(500));
}

void departing_pool::add_machine(const service_id& pool)
{
    const int number = m_next_machine++;
    // Names of equal length keep their order.
    m_machines["m" + std::to_string(100 + number)] = {
        .pool = pool, .worker = instance_id("w" + std::to_string(m_next_worker++)), .ready = now};
}

departing_pool::machine* departing_pool::machine_of(const instance_id& worker)
{
    const auto found = std::find_if(m_machines.begin(), m_machines.end(),
                                    [&](const auto& each) { return each.second.worker == worker; });
    return found == m_machines.end() ? nullptr : &found->second;
}

job::worker_listing departing_pool::listing_of(const std::string& name, const machine& at) const
{
    return {.id = at.worker,
            .service = at.pool,
            .address = "10.0.0.1:" + at.worker.str().substr(1),
            .labels = at.labels,
            .machine = name,
            .capacity = worker_capacity,
            .draining = at.leaving,
            .remaining =
                at.leaving && m_announces_remaining ? std::optional(drain_time) : std::nullopt};
}

job_id departing_pool::submit(const std::string& queue, const job::step_spec& step,
                              std::optional<milliseconds> run_time)
{
    auto spec = std::make_shared<job::job_spec>();
    spec->steps = {step};
    job_id id("j" + std::to_string(m_run_times.size()));
    scheduler.submit(id, {.queue = queue, .spec = std::move(spec), .at = now});
    m_run_times.emplace(id, run_time);
    return id;
}

void departing_pool::set_label(const instance_id& worker, const std::string& label)
{
    for (auto& [name, each] : m_machines) {
        if (each.worker == worker) {
            each.labels = {label};
            scheduler.note_worker_listed(listing_of(name, each), now);
        }
    }
}

void departing_pool::leave(const instance_id& worker)
{
    for (auto& [name, each] : m_machines) {
        if (each.worker == worker) {
            each.leaving = true;
            each.ends = now + drain_time;
            scheduler.note_worker_listed(listing_of(name, each), now);
            planner.note_worker(listing_of(name, each));
        }
    }
}

std::vector<instance_id> departing_pool::workers_of(const job_id& job) const
{
    std::vector<instance_id> workers;
    for (const job::task_record& task :
         scheduler.find(job)->occurrences().at(0).steps.at(0).tasks) {
        if (!task.runs.empty()) {
            workers.push_back(task.runs.front().worker);
        }
    }
    return workers;
}

void departing_pool::run_for(milliseconds time)
{
    for (const time_point end = now + time; now < end;) {
        tick();
    }
}

void departing_pool::tick()
{
    now += tick_time;
    end_departed();
    for (auto& [name, each] : m_machines) {
        if (!each.worker.empty() && !each.listed && now >= each.ready + listing_lag) {
            each.listed = true;
            scheduler.note_worker_listed(listing_of(name, each), now);
            planner.note_worker(listing_of(name, each));
        }
    }
    poll();
    if (m_ticks++ % ticks_per_machine_list == 0) {
        list_machines();
    }
    execute(planner.plan(now, scheduler));
    execute(scheduler.plan(now, wall_time{}));
    count_waits();
}

void departing_pool::end_departed()
{
    for (auto at = m_machines.begin(); at != m_machines.end();) {
        const bool ends = at->second.leaving && now >= at->second.ends;
        if (ends) {
            scheduler.note_worker_unlisted(at->second.worker, now);
        }
        at = ends ? m_machines.erase(at) : std::next(at);
    }
}

void departing_pool::poll()
{
    for (auto& [name, each] : m_machines) {
        if (!each.listed || each.silent) {
            continue;
        }
        end_runs(each);
        job::worker_report report{
            .worker_clock = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()),
            .ended = {each.ended}};
        for (const auto& [run, active] : each.running) {
            report.running.push_back({.run = run, .percent = active.percent(now)});
        }
        scheduler.note_report(each.worker, report, now - milliseconds(1), now);
    }
}

std::uint32_t departing_pool::active_run::percent(time_point at) const
{
    constexpr std::uint32_t full = 100;
    return end == time_point::max()
               ? full
               : static_cast<std::uint32_t>(full * (at - start) / (end - start));
}

void departing_pool::end_runs(machine& at)
{
    std::erase_if(at.running, [&](const auto& each) {
        const bool ends = now >= each.second.end;
        if (ends) {
            at.ended.push_back({.sequence = ++at.sequence,
                                .run = each.first,
                                .end_reason = each.second.end_reason});
        }
        return ends;
    });
}

void departing_pool::list_machines()
{
    std::vector<machine_info> list;
    for (const auto& [name, each] : m_machines) {
        const bool is_up = !each.worker.empty() && now >= each.ready;
        list.push_back({.machine = name,
                        .pool = each.pool,
                        .state = is_up ? machine_state::up : machine_state::moving,
                        .labels = each.labels,
                        .worker = is_up ? each.worker : instance_id()});
    }
    planner.note_machine_list(list, now, list_extent::complete);
}

void departing_pool::execute(const job::orders& given)
{
    for (const job::start_order& each : given.starts) {
        const auto run_time = m_run_times.at(each.run.task.job);
        machine_of(each.worker)
            ->running.emplace(
                each.run,
                active_run{.start = now, .end = run_time ? now + *run_time : time_point::max()});
        scheduler.note_start(each.worker, each.run, job::order_answer::accepted, now);
    }
    for (const job::stop_order& each : given.stops) {
        scheduler.note_stop(each.worker, each.run, job::order_answer::accepted, now);
        stop_run(*machine_of(each.worker), each.run);
    }
}

void departing_pool::stop_run(machine& at, const job::run_name& run)
{
    const auto found = at.running.find(run);
    if (found == at.running.end() || found->second.end_reason == job::run_end_reason::stopped) {
        return;
    }
    stopped_short_runs += found->second.end == time_point::max() ? 0 : 1;
    found->second.end = now + m_stop_time;
    found->second.end_reason = job::run_end_reason::stopped;
    if (m_stop_time == milliseconds(0)) {
        end_runs(at);
    }
}

void departing_pool::execute(const machine_orders& given)
{
    for (const cordon_change& each : given.cordons) {
        scheduler.cordon_worker(each.worker, each.cordoned);
    }
    for (const vacating_stops& each : given.stops) {
        scheduler.stop_short_runs(each.worker, each.runs);
    }
    for (const machine_order& each : given.orders) {
        orders.push_back(each);
        machine& at = m_machines.at(each.machine);
        if (at.leaving || at.busy) {
            planner.note_answer(each, machine_answer::busy, now);
            continue;
        }
        scheduler.note_worker_ended(at.worker, job::worker_end::order, now);
        planner.note_answer(each, machine_answer::accepted, now);
        at = {.pool = each.pool,
              .labels = at.labels,
              .worker = instance_id("w" + std::to_string(m_next_worker++)),
              .ready = now + move_time,
              .silent = m_lose_new_workers};
    }
}

void departing_pool::count_waits()
{
    for (const auto& [id, run_time] : m_run_times) {
        if (run_time) {
            continue;
        }
        const auto& tasks = scheduler.find(id)->occurrences().at(0).steps.at(0).tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            const job::task_name name{id, 0, 0, index};
            if (!tasks[index].is_waiting()) {
                m_waiting.erase(name);
                continue;
            }
            const time_point since = m_waiting.try_emplace(name, now).first->second;
            m_longest[id] =
                std::max(m_longest[id], std::chrono::duration_cast<milliseconds>(now - since));
        }
    }
}

milliseconds departing_pool::longest_wait(const job_id& job) const
{
    const auto found = m_longest.find(job);
    return found == m_longest.end() ? milliseconds(0) : found->second;
}

} // namespace plantaindoor::fleet::testing
