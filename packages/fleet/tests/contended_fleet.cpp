#include "contended_fleet.hpp"

#include "plantaindoor/fleet/job_rows.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet::testing {

namespace {

constexpr milliseconds election_time{2000};

} // namespace

contended_fleet::contended_fleet(contended_fleet_options options)
    : m_options(options),
      m_random(options.seed),
      m_rows(m_loop),
      m_workers(m_loop, m_random),
      m_machines(m_loop, m_rows, m_workers, m_random),
      m_jobs(m_workers, [this](const job_id& id) { return is_completed(id); })
{
    add_services();
    m_codec.workers_table = model_machines::workers_table;
    m_codec.operator_table = "op";
    m_codec.parse_job = [this](std::string_view body) { return m_specs.at(std::string(body)); };
    m_codec.parse_worker = [this](const stored_row& row) {
        return m_machines.listing(instance_id(row.at.key));
    };
    m_codec.wave_status = [](std::uint64_t wave, bool) -> row_write {
        return {{"status", "", std::to_string(wave)}, ""};
    };
    add_machines();
    m_entries.resize(entry_count);
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        start_entry(entry);
    }
    run_for(election_time);
}

contended_fleet::~contended_fleet()
{
    for (auto& entry : m_entries) {
        entry->kill();
    }
}

std::uint32_t contended_fleet::random_below(std::uint32_t below)
{
    return std::uniform_int_distribution<std::uint32_t>(0, below - 1)(m_random);
}

std::string contended_fleet::random_name()
{
    constexpr std::size_t length = 6;
    constexpr std::uint32_t letters = 26;
    std::string name;
    while (name.size() < length) {
        name += static_cast<char>('a' + static_cast<char>(random_below(letters)));
    }
    return m_names.insert(name).second ? name : random_name();
}

void contended_fleet::add_services()
{
    fleet_config config{.version = 1};
    for (std::size_t index = 0; index < m_options.services; ++index) {
        m_services.emplace_back(random_name());
        m_queues.push_back(random_name());
        config.routes.push_back({.host = "h",
                                 .path_prefix = "/" + m_queues.back() + "/",
                                 .queue = {.name = m_queues.back(),
                                           .service = m_services.back(),
                                           .max_attempts = 3,
                                           .stretch = 2,
                                           .target_latency = milliseconds(500)}});
        config.pools.push_back({.id = m_services.back()});
    }
    m_config = std::make_shared<const fleet_config>(std::move(config));
}

void contended_fleet::add_machines()
{
    nlohmann::json owners;
    for (std::size_t each = 0; each < m_options.shards * m_options.racks_per_shard; ++each) {
        m_racks.emplace_back(random_name());
        owners[m_racks.back().str()] = each % m_options.shards;
    }
    const nlohmann::json layout{
        {"shards", m_options.shards}, {"racks", owners}, {"queues", nlohmann::json::object()}};
    m_layout = parse_shard_layout(layout.dump()).value();
    m_rows.put(shard_layout_address(), to_text(m_layout));
    std::size_t next_rack = 0;
    for (const service_id& pool : m_services) {
        // A pool's machines alternate between the shards.
        for (std::size_t each = 0; each < m_options.machines_per_service * m_options.shards;
             ++each) {
            m_machines.add(random_name(), pool, m_racks[next_rack++ % m_racks.size()],
                           m_options.capacity);
        }
    }
}

void contended_fleet::start_entry(std::size_t entry)
{
    if (m_entries[entry]) {
        m_killed_entries.push_back(std::move(m_entries[entry]));
    }
    const std::string name = fmt::format("e{}", entry);
    m_entries[entry] = std::make_unique<simulated_entry>(
        m_loop, m_rows, m_workers, m_random, m_codec, name, ++m_last_incarnation, m_config,
        [this, name](event_loop& entry_loop) {
            return std::make_unique<entry_machines>(m_machines, entry_loop, name);
        });
}

void contended_fleet::sample()
{
    m_jobs.sample(m_loop.now());
    std::vector<pool_sample> pools;
    for (const service_id& each : m_services) {
        pools.push_back({.pool = each,
                         .machines = m_machines.count_serving(each),
                         .running_tasks = m_jobs.running_tasks(each),
                         .ready_tasks = m_jobs.ready_tasks(each)});
    }
    m_pools.sample(pools, m_machines.count_staying(), m_loop.now());
}

void contended_fleet::run_for(milliseconds time)
{
    for (milliseconds passed{0}; passed < time; passed += sample_time) {
        m_loop.run_for(sample_time);
        sample();
    }
}

job_id contended_fleet::submit(std::size_t service, model_job job,
                               std::optional<shard_number> shard)
{
    const auto draw = [&] { return job_id(fmt::format("{:016x}", m_random())); };
    job_id id = draw();
    while (shard && m_layout.shard_of(m_queues[service], id) != *shard) {
        id = draw();
    }
    m_specs[id.str()] = job.spec;
    m_queue_of[id] = m_queues[service];
    m_workers.add_job(id, std::move(job));
    simulated_entry& entry = *m_entries[random_below(entry_count)];
    if (entry.alive()) {
        const accepted_job accepted{.queue = m_queues[service],
                                    .workspace = {},
                                    .accepted = m_loop.wall_now(),
                                    .body = id.str()};
        entry.writer().accept(m_layout.shard_of(m_queues[service], id), id, accepted,
                              {.deadline = m_loop.now() + seconds(2)},
                              [this, id, service](job_write_outcome outcome) {
                                  if (outcome == job_write_outcome::persisted) {
                                      ++m_accepted;
                                      m_jobs.add_job(id, m_services[service], m_loop.now());
                                  }
                              });
    }
    return id;
}

bool contended_fleet::is_completed(const job_id& id) const
{
    const shard_number shard = m_layout.shard_of(m_queue_of.at(id), id);
    const stored_row* const row = m_rows.find(progress_address(shard, id));
    return row != nullptr && nlohmann::json::parse(row->value).at("state") == "completed";
}

void contended_fleet::note_disruption()
{
    m_jobs.note_disruption(m_loop.now());
    m_pools.note_disruption(m_loop.now());
}

void contended_fleet::kill_leader(shard_number shard, milliseconds down)
{
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        if (m_entries[entry]->is_leader(shard)) {
            m_entries[entry]->kill();
            note_disruption();
            m_loop.call_after(down, [this, entry] { start_entry(entry); });
            return;
        }
    }
}

void contended_fleet::retire_machine(std::size_t service, shard_number shard,
                                     milliseconds drain_time)
{
    std::vector<std::string> staying;
    for (const machine_info& each : m_machines.list()) {
        const auto listing = m_machines.listing(each.worker);
        if (each.pool == m_services[service] && m_layout.owner_of(each.rack) == shard && listing &&
            !listing->draining) {
            staying.push_back(each.machine);
        }
    }
    if (!staying.empty()) {
        m_machines.retire(staying[random_below(static_cast<std::uint32_t>(staying.size()))],
                          drain_time);
    }
}

void contended_fleet::remove_rack(std::size_t rack)
{
    for (const machine_info& each : m_machines.list()) {
        if (each.rack == m_racks[rack]) {
            m_machines.remove(each.machine);
        }
    }
    note_disruption();
}

void contended_fleet::set_machine_fault(machine_fault fault)
{
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        m_machines.set_fault(fmt::format("e{}", entry), fault);
    }
}

std::size_t contended_fleet::last_service() const
{
    return static_cast<std::size_t>(std::max_element(m_services.begin(), m_services.end()) -
                                    m_services.begin());
}

std::uint32_t contended_fleet::machines_of(std::size_t service, shard_number shard) const
{
    const auto listed = m_machines.list();
    return static_cast<std::uint32_t>(
        std::count_if(listed.begin(), listed.end(), [&](const machine_info& each) {
            return each.pool == m_services[service] && m_layout.owner_of(each.rack) == shard;
        }));
}

milliseconds contended_fleet::now() const
{
    return std::chrono::duration_cast<milliseconds>(m_loop.now() - m_start);
}

} // namespace plantaindoor::fleet::testing
