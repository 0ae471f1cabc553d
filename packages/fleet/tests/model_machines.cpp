#include "model_machines.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet::testing {

namespace {

constexpr milliseconds one_way_latency{2};
constexpr milliseconds order_timeout{500};
/// From the start of a worker until it is listed.
constexpr milliseconds listing_lag{200};
constexpr milliseconds min_late_delay{2000};
constexpr milliseconds max_late_delay{8000};

} // namespace

void model_machines::add(const std::string& name, const service_id& pool, const rack_id& rack,
                         const job::resources& capacity)
{
    machine& added = m_machines[name];
    added.info = {.machine = name, .pool = pool, .rack = rack};
    added.address = fmt::format("10.0.{}.{}:80", m_machines.size() / 200, m_machines.size() % 200);
    added.capacity = capacity;
    start_worker(added);
}

void model_machines::start_worker(machine& at)
{
    const instance_id id(fmt::format("i{:012x}", m_random() >> 16U));
    const job::worker_listing listing{.id = id,
                                      .service = at.info.pool,
                                      .address = at.address,
                                      .rack = at.info.rack,
                                      .machine = at.info.machine,
                                      .capacity = at.capacity};
    at.info.state = machine_state::up;
    at.info.worker = id;
    m_listings[id] = listing;
    m_workers.start_worker(listing);
    m_loop.call_after(listing_lag, [this, id, name = at.info.machine] {
        const auto found = m_machines.find(name);
        if (found != m_machines.end() && found->second.info.worker == id) {
            m_rows.put({workers_table, "", id.str()}, id.str());
        }
    });
}

void model_machines::end_worker(machine& at)
{
    const instance_id id = std::exchange(at.info.worker, instance_id());
    if (!id.empty()) {
        m_workers.end_worker(id);
        m_rows.remove({workers_table, "", id.str()});
    }
}

void model_machines::retire(const std::string& name, milliseconds drain_time)
{
    machine& at = m_machines.at(name);
    at.leaving = true;
    if (const instance_id id = at.info.worker; !id.empty()) {
        job::worker_listing& listing = m_listings.at(id);
        listing.draining = true;
        listing.remaining = drain_time;
        m_workers.drain_worker(id);
        m_rows.put({workers_table, "", id.str()}, "draining");
    }
    m_loop.call_after(drain_time, [this, name] { remove(name); });
}

void model_machines::remove(const std::string& name)
{
    const auto found = m_machines.find(name);
    if (found != m_machines.end()) {
        end_worker(found->second);
        m_machines.erase(found);
    }
}

std::optional<job::worker_listing> model_machines::listing(const instance_id& worker) const
{
    const auto found = m_listings.find(worker);
    return found == m_listings.end() ? std::nullopt : std::optional(found->second);
}

std::vector<machine_info> model_machines::list() const
{
    std::vector<machine_info> listed;
    for (const auto& [name, each] : m_machines) {
        listed.push_back(each.info);
    }
    return listed;
}

std::uint32_t model_machines::count_serving(const service_id& pool) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& each) {
            return each.second.info.pool == pool && !each.second.info.worker.empty() &&
                   !each.second.leaving;
        }));
}

std::uint32_t model_machines::count_staying() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_machines.begin(), m_machines.end(),
                      [](const auto& each) { return !each.second.leaving; }));
}

machine_answer model_machines::move(const machine_authority& by, const std::string& name,
                                    const service_id& pool)
{
    const auto found = m_machines.find(name);
    if (found == m_machines.end()) {
        return machine_answer::invalid;
    }
    machine& at = found->second;
    if (by.token < at.authority.token) {
        return machine_answer::stale_token;
    }
    if (by.token == at.authority.token && by.leader != at.authority.leader) {
        m_violations.push_back(fmt::format("machine {}: {} and {} order with one token", name,
                                           at.authority.leader, by.leader));
    }
    at.authority = by;
    if (at.info.state != machine_state::up || at.leaving) {
        return machine_answer::busy;
    }
    end_worker(at);
    at.info.state = machine_state::moving;
    at.info.pool = pool;
    ++m_moves;
    m_loop.call_after(move_time, [this, name] {
        const auto moved = m_machines.find(name);
        if (moved != m_machines.end() && !moved->second.leaving) {
            start_worker(moved->second);
        }
    });
    return machine_answer::accepted;
}

machine_fault model_machines::fault(const std::string& entry) const
{
    const auto found = m_faults.find(entry);
    return found == m_faults.end() ? machine_fault::none : found->second;
}

void entry_machines::answer_after(nanoseconds delay, machine_callback done, machine_answer answer)
{
    m_machines.loop().call_after(delay, [this, done = std::move(done), answer] {
        m_entry_loop.call_after(nanoseconds(0), [done, answer] { done(answer); });
    });
}

void entry_machines::list(list_callback done)
{
    m_machines.loop().call_after(2 * one_way_latency, [this, done = std::move(done)] {
        m_entry_loop.call_after(nanoseconds(0), [done, listed = m_machines.list()] {
            done(machine_list{.machines = listed});
        });
    });
}

void entry_machines::move(const machine_authority& by, const std::string& machine,
                          const service_id& pool, machine_callback done)
{
    const auto execute = [this, by, machine, pool] { return m_machines.move(by, machine, pool); };
    const machine_fault fault = m_machines.fault(m_entry);
    if (fault == machine_fault::none) {
        m_machines.loop().call_after(one_way_latency, [this, execute, done = std::move(done)] {
            answer_after(one_way_latency, done, execute());
        });
        return;
    }
    if (fault != machine_fault::unresponsive) {
        const milliseconds late(std::uniform_int_distribution<std::int64_t>(
            min_late_delay.count(), max_late_delay.count())(m_machines.random()));
        m_machines.loop().call_after(fault == machine_fault::executed_late ? late : one_way_latency,
                                     [execute] { static_cast<void>(execute()); });
    }
    answer_after(order_timeout, std::move(done), machine_answer::unanswered);
}

void entry_machines::maintain(const machine_authority& /*by*/, const std::string& /*machine*/,
                              std::uint64_t /*wave*/, machine_callback done)
{
    answer_after(2 * one_way_latency, std::move(done), machine_answer::not_in_wave);
}

} // namespace plantaindoor::fleet::testing
