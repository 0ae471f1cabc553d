#include "fleet_simulation.hpp"

#include "plantaindoor/fleet/job_rows.hpp"
#include "plantaindoor/fleet/machine_transfer_rows.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace plantaindoor::fleet::testing {

namespace {

const service_id pool{"checks"};
constexpr auto queue_name = "q";
constexpr milliseconds entry_delay{40};

rack_id rack_of(std::size_t worker, shard_number shards)
{
    return rack_id(fmt::format("r{}", worker % shards));
}

/// A layout in which each rack of rack_of() is a shard of its own.
shard_layout layout_of(shard_number shards)
{
    nlohmann::json racks;
    for (shard_number shard = 0; shard < shards; ++shard) {
        racks[rack_of(shard, shards).str()] = shard;
    }
    const nlohmann::json text{
        {"shards", shards}, {"racks", racks}, {"queues", nlohmann::json::object()}};
    return parse_shard_layout(text.dump()).value();
}

std::shared_ptr<const fleet_config>
one_queue_config(std::vector<policy::workspace_policy> workspaces)
{
    fleet_config config{.version = 1};
    config.workspaces = std::move(workspaces);
    config.routes.push_back({.host = "h",
                             .path_prefix = "/q/",
                             .queue = {.name = queue_name,
                                       .service = pool,
                                       .max_attempts = 3,
                                       .stretch = 2,
                                       .target_latency = milliseconds(500)}});
    config.pools.push_back({.id = pool});
    return std::make_shared<const fleet_config>(std::move(config));
}

} // namespace

simulated_entry::simulated_entry(fakes::virtual_loop& loop, memory_rows& rows,
                                 model_workers& workers, std::mt19937_64& random,
                                 const platform_codec& codec, const std::string& name,
                                 std::uint32_t incarnation_number,
                                 std::shared_ptr<const fleet_config> config,
                                 const machines_factory& machines, bool machine_transfers)
    : m_loop(loop),
      m_store(loop, m_loop, rows, random),
      m_workers(workers, m_loop, name),
      m_machines(machines(m_loop))
{
    m_writer = std::make_unique<job_writer>(m_loop, m_store, job_writer_options{});
    leader_elector_options options{.name = name,
                                   .incarnation = fmt::format("{}-{}", name, incarnation_number)};
    options.tracking.delay = entry_delay * static_cast<int>(name.back() - '0');
    options.scheduling.lease = milliseconds(5000);
    options.state_retention = fleet_simulation::state_retention_time;
    options.machine_transfers = machine_transfers;
    m_shards = std::make_unique<shard_set>(
        session_context{.loop = m_loop,
                        .store = m_store,
                        .workers = m_workers,
                        .machines = *m_machines,
                        .metrics = m_metrics,
                        .codec = codec,
                        .clock = [&loop] { return loop.now(); }},
        shard_set_options{.election = options, .max_claim_delay = milliseconds(0)},
        [] { return 0; },
        shard_set::event_handlers{
            .on_layout = [](const auto&) {},
            .on_session = [](shard_number, leader_session*) {},
            .on_other_leader = [](shard_number, const std::optional<leader_claim>&) {},
            .on_store = [] {}});
    m_shards->apply(std::move(config));
}

bool simulated_entry::is_leader(shard_number shard)
{
    leader_elector* const elector = alive() ? m_shards->elector(shard) : nullptr;
    return elector != nullptr && elector->session() != nullptr;
}

void simulated_entry::note_leader_ended(shard_number shard)
{
    leader_elector* const elector = m_shards->elector(shard);
    if (elector != nullptr && elector->tracker().claim()) {
        elector->note_incarnation_ended(elector->tracker().claim()->incarnation);
    }
}

void simulated_entry::kill()
{
    m_loop.terminate();
    m_shards.reset();
    m_writer.reset();
}

fleet_simulation::fleet_simulation(std::uint64_t seed, machine_list machines, shard_number shards,
                                   std::vector<policy::workspace_policy> workspaces,
                                   machine_transfers transfers)
    : m_random(seed),
      m_machine_list(machines),
      m_transfers(transfers),
      m_layout(layout_of(shards)),
      m_rows(m_loop),
      m_workers(m_loop, m_random),
      m_config(one_queue_config(std::move(workspaces)))
{
    for (const policy::workspace_policy& each : m_config->workspaces) {
        m_workers.set_cap(each.id, each.cap);
    }
    m_codec.workers_table = "workers";
    m_codec.operator_table = "op";
    m_codec.parse_job = [this](std::string_view body) { return m_specs.at(std::string(body)); };
    m_codec.parse_worker = [this](const stored_row& row) {
        return std::optional(m_listings.at(row.at.key));
    };
    m_codec.wave_status = [](std::uint64_t wave, bool) -> row_write {
        return {{"status", "", std::to_string(wave)}, ""};
    };
    m_workers.on_crashing_start([this](const instance_id& id) {
        const auto found = std::find(m_worker_ids.begin(), m_worker_ids.end(), id);
        if (found != m_worker_ids.end()) {
            crash_worker(static_cast<std::size_t>(found - m_worker_ids.begin()),
                         milliseconds(1000 + random_below(2000)));
        }
    });
    m_workers.on_start([this](const instance_id& worker, const job::run_name& run,
                              fencing_token token) { check_owner(worker, run, token); });
    m_rows.put(shard_layout_address(), to_text(m_layout));
    m_worker_ids.resize(worker_count);
    m_machine_down.resize(worker_count);
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        begin_worker(worker);
    }
    m_entries.resize(entry_count);
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        restart(entry);
    }
}

fleet_simulation::~fleet_simulation()
{
    for (auto& entry : m_entries) {
        entry->kill();
    }
}

std::uint32_t fleet_simulation::random_below(std::uint32_t below)
{
    return std::uniform_int_distribution<std::uint32_t>(0, below - 1)(m_random);
}

void fleet_simulation::begin_worker(std::size_t worker)
{
    const std::string id = fmt::format("w{}-{}", worker, ++m_last_id);
    job::worker_listing listing{.id = instance_id(id),
                                .service = pool,
                                .address = fmt::format("10.0.0.{}:80", worker),
                                .rack = rack_of(worker, m_layout.count()),
                                .machine = fmt::format("m{}", worker),
                                .capacity = {.cpu_millis = 4000, .memory_mb = 4000}};
    m_worker_ids[worker] = listing.id;
    m_machine_down[worker] = false;
    m_listings[id] = listing;
    m_workers.start_worker(listing);
    m_rows.put({"workers", "", id}, id);
}

void fleet_simulation::crash_worker(std::size_t worker, milliseconds down)
{
    const instance_id old = m_worker_ids[worker];
    m_workers.end_worker(old);
    m_machine_down[worker] = true;
    m_loop.call_after(down, [this, worker, old] {
        if (m_worker_ids[worker] == old) {
            m_rows.remove({"workers", "", old.str()});
            begin_worker(worker);
        }
    });
}

void fleet_simulation::retire_worker(std::size_t worker, milliseconds drain_time)
{
    const instance_id id = m_worker_ids[worker];
    job::worker_listing& listing = m_listings.at(id.str());
    listing.draining = true;
    listing.remaining = drain_time;
    m_workers.drain_worker(id);
    m_rows.put({"workers", "", id.str()}, "draining");
    m_loop.call_after(drain_time, [this, worker, id] {
        m_workers.end_worker(id);
        m_worker_ids[worker] = instance_id();
        m_rows.remove({"workers", "", id.str()});
    });
}

void fleet_simulation::unlist_worker(std::size_t worker, milliseconds unlisted_time)
{
    const instance_id id = m_worker_ids[worker];
    m_rows.remove({"workers", "", id.str()});
    m_loop.call_after(unlisted_time, [this, worker, id] {
        if (m_worker_ids[worker] == id) {
            m_rows.put({"workers", "", id.str()}, id.str());
        }
    });
}

void fleet_simulation::replace_worker_row(std::size_t worker, wall_time started_at,
                                          milliseconds replaced_time)
{
    const instance_id id = m_worker_ids[worker];
    job::worker_listing& listing = m_listings.at(id.str());
    const std::string address = std::exchange(listing.address, "10.9.9.9:80");
    listing.started_at = started_at;
    m_rows.put({"workers", "", id.str()}, "replaced");
    m_loop.call_after(replaced_time, [this, id, address] {
        job::worker_listing& replaced = m_listings.at(id.str());
        replaced.address = address;
        replaced.started_at = wall_time{seconds(1)};
        m_rows.put({"workers", "", id.str()}, id.str());
    });
}

std::vector<machine_info> fleet_simulation::machines() const
{
    std::vector<machine_info> listed;
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        if (m_worker_ids[worker].empty()) {
            continue;
        }
        listed.push_back({.machine = fmt::format("m{}", worker),
                          .pool = pool,
                          .state = m_machine_down[worker] ? machine_state::down : machine_state::up,
                          .rack = rack_of(worker, m_layout.count()),
                          .worker = m_machine_down[worker] ? instance_id() : m_worker_ids[worker]});
    }
    return listed;
}

void fleet_simulation::check_owner(const instance_id& worker, const job::run_name& run,
                                   fencing_token token)
{
    const job::worker_listing& listing = m_listings.at(worker.str());
    const shard_number owner = m_layout.owner_of(listing.rack);
    if (m_rows.find(machine_transfer_address(owner, listing.machine)) == nullptr) {
        return;
    }
    for (shard_number shard = 0; shard < m_layout.count(); ++shard) {
        const stored_row* const receipt =
            m_rows.find(machine_transfer_address(shard, listing.machine));
        if (shard != owner && receipt != nullptr && shard == shard_of(run.task.job) &&
            token >= receipt->version) {
            return;
        }
    }
    m_workers.report_violation("a start from a leader that doesn't own the machine", run);
}

void fleet_simulation::set_workspaces(std::vector<policy::workspace_policy> workspaces)
{
    fleet_config config = *m_config;
    ++config.version;
    config.workspaces = std::move(workspaces);
    m_config = std::make_shared<const fleet_config>(std::move(config));
    for (const auto& entry : m_entries) {
        if (entry->alive()) {
            entry->apply(m_config);
        }
    }
}

void fleet_simulation::kill(std::size_t entry)
{
    m_entries[entry]->kill();
}

void fleet_simulation::restart(std::size_t entry)
{
    if (m_entries[entry]) {
        m_killed_entries.push_back(std::move(m_entries[entry]));
    }
    m_entries[entry] = std::make_unique<simulated_entry>(
        m_loop, m_rows, m_workers, m_random, m_codec, fmt::format("e{}", entry), ++m_last_id,
        m_config,
        [this](event_loop& entry_loop) {
            return std::make_unique<static_machines>(
                entry_loop, m_machine_list == machine_list::answers
                                ? static_machines::list_provider([this] { return machines(); })
                                : static_machines::list_provider());
        },
        m_transfers == machine_transfers::enabled);
}

shard_number fleet_simulation::shard_of(const job_id& id) const
{
    return m_layout.shard_of(queue_name, id);
}

std::optional<std::size_t> fleet_simulation::leader(shard_number shard)
{
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        if (m_entries[entry]->is_leader(shard)) {
            return entry;
        }
    }
    return std::nullopt;
}

job_id fleet_simulation::submit_to(shard_number shard, model_job job)
{
    while (shard_of(job_id(fmt::format("{:016x}", m_last_id + 1))) != shard) {
        ++m_last_id;
    }
    return submit(std::move(job));
}

job_id fleet_simulation::submit(model_job job)
{
    job_id id(fmt::format("{:016x}", ++m_last_id));
    m_specs[id.str()] = job.spec;
    const workspace_id workspace = job.workspace;
    m_workers.add_job(id, std::move(job));
    for (std::size_t tries = 0; tries < entry_count; ++tries) {
        simulated_entry& entry = *m_entries[random_below(entry_count)];
        if (!entry.alive()) {
            continue;
        }
        const accepted_job accepted{.queue = queue_name,
                                    .workspace = workspace,
                                    .accepted = m_loop.wall_now(),
                                    .body = id.str()};
        entry.writer().accept(shard_of(id), id, accepted, {.deadline = m_loop.now() + seconds(2)},
                              [this, id](job_write_outcome outcome) {
                                  if (outcome == job_write_outcome::persisted) {
                                      m_accepted.insert(id);
                                  }
                              });
        break;
    }
    return id;
}

void fleet_simulation::cancel(const job_id& id)
{
    for (auto& entry : m_entries) {
        if (entry->alive() && !entry->loop().suspended()) {
            entry->writer().cancel(shard_of(id), id, m_loop.now() + seconds(2),
                                   [this, id](job_write_outcome outcome) {
                                       if (outcome == job_write_outcome::persisted) {
                                           m_workers.job(id).cancelled = m_loop.now();
                                       }
                                   });
            return;
        }
    }
}

std::string fleet_simulation::stored_state(const job_id& id) const
{
    const stored_row* const row = m_rows.find(progress_address(shard_of(id), id));
    if (row == nullptr) {
        return "none";
    }
    return nlohmann::json::parse(row->value).at("state");
}

void fleet_simulation::restart_later(std::size_t entry, milliseconds after)
{
    m_loop.call_after(after, [this, entry] {
        if (!m_entries[entry]->alive()) {
            restart(entry);
        }
    });
}

void fleet_simulation::kill_for_a_while(std::size_t entry)
{
    kill(entry);
    restart_later(entry, milliseconds(200 + random_below(3000)));
}

void fleet_simulation::impair_store(std::size_t entry, milliseconds duration)
{
    constexpr std::array faults{store_fault::unresponsive, store_fault::refusing,
                                store_fault::lost_answer, store_fault::late};
    entry_store& store = m_entries[entry]->store();
    store.set_fault(faults[random_below(faults.size())]);
    m_loop.call_after(duration, [&store] { store.set_fault(store_fault::none); });
}

void fleet_simulation::impair_path(std::size_t entry, milliseconds duration)
{
    constexpr std::array faults{path_fault::unresponsive, path_fault::lost_answer,
                                path_fault::executed_late};
    const instance_id worker = m_worker_ids[random_below(worker_count)];
    const std::string name = fmt::format("e{}", entry);
    m_workers.set_fault(name, worker, faults[random_below(faults.size())]);
    m_loop.call_after(
        duration, [this, name, worker] { m_workers.set_fault(name, worker, path_fault::none); });
}

void fleet_simulation::inject_fault()
{
    const std::size_t entry =
        random_below(4) > 0 && leader() ? *leader() : random_below(entry_count);
    const auto fault_duration = milliseconds(500 + random_below(6000));
    switch (random_below(8)) {
    case 0:
        kill_for_a_while(entry);
        break;
    case 1:
        m_entries[entry]->loop().suspend_for(fault_duration);
        break;
    case 2:
    case 3:
        impair_store(entry, fault_duration);
        break;
    case 4:
        crash_worker(random_below(worker_count), milliseconds(300 + random_below(5000)));
        break;
    case 5:
    case 6:
        impair_path(entry, fault_duration);
        break;
    default:
        if (random_below(2) == 0) {
            m_rows.drop_history();
        }
        else {
            for (std::size_t each = 0; each < entry_count; ++each) {
                kill(each);
                restart_later(each, milliseconds(500));
            }
        }
        break;
    }
}

void fleet_simulation::inject_entry_fault()
{
    const auto led = leader(random_below(m_layout.count()));
    const std::size_t entry = random_below(4) > 0 && led ? *led : random_below(entry_count);
    const auto fault_duration = milliseconds(500 + random_below(6000));
    switch (random_below(6)) {
    case 0:
        kill_for_a_while(entry);
        break;
    case 1:
        m_entries[entry]->loop().suspend_for(fault_duration);
        break;
    case 2:
    case 3:
        impair_store(entry, fault_duration);
        break;
    default:
        impair_path(entry, fault_duration);
        break;
    }
}

void fleet_simulation::clear_faults()
{
    m_workers.clear_path_faults();
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        m_entries[entry]->store().set_fault(store_fault::none);
        if (!m_entries[entry]->alive()) {
            restart(entry);
        }
    }
}

} // namespace plantaindoor::fleet::testing
