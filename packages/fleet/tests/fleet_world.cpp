#include "fleet_world.hpp"

#include "plantaindoor/fleet/job_rows.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace plantaindoor::fleet::testing {

namespace {

const service_id pool{"checks"};
constexpr auto queue_name = "q";
constexpr milliseconds entry_delay{40};

std::shared_ptr<const fleet_config> one_queue()
{
    fleet_config config{.version = 1};
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

world_entry::world_entry(fakes::virtual_loop& loop, memory_rows& rows, model_workers& workers,
                         std::mt19937_64& random, const platform_codec& codec,
                         const std::string& name, std::uint32_t life,
                         std::shared_ptr<const fleet_config> config,
                         still_machines::lister machines)
    : m_loop(loop),
      m_store(loop, m_loop, rows, random),
      m_workers(workers, m_loop, name),
      m_machines(m_loop, std::move(machines))
{
    m_writer = std::make_unique<job_writer>(m_loop, m_store, job_writer_options{});
    leader_elector_options options{.name = name, .incarnation = fmt::format("{}-{}", name, life)};
    options.tracking.delay = entry_delay * static_cast<int>(name.back() - '0');
    options.scheduling.lease = milliseconds(5000);
    options.state_retention = fleet_world::state_retention_time;
    m_leadership = std::make_unique<leader_elector>(
        session_context{.loop = m_loop,
                        .store = m_store,
                        .workers = m_workers,
                        .machines = m_machines,
                        .metrics = m_metrics,
                        .codec = codec,
                        .clock = [&loop] { return loop.now(); }},
        options,
        leader_elector::event_handlers{.on_session = [](leader_session*) {},
                                       .on_other_leader = [](const std::optional<leader_claim>&) {},
                                       .on_store = [] {}});
    m_leadership->apply(std::move(config));
}

void world_entry::kill()
{
    m_loop.terminate();
    m_leadership.reset();
    m_writer.reset();
}

fleet_world::fleet_world(std::uint64_t seed, machine_list machines)
    : m_random(seed),
      m_machine_list(machines),
      m_rows(m_loop),
      m_workers(m_loop, m_random),
      m_config(one_queue())
{
    m_codec.workers_table = "workers";
    m_codec.operator_table = "op";
    m_codec.parse_job = [this](std::string_view body) { return m_specs.at(std::string(body)); };
    m_codec.parse_worker = [this](const stored_row& row) {
        return std::optional(m_listings.at(row.at.key));
    };
    m_codec.wave_status = [](std::uint64_t wave, bool) -> row_write {
        return {{"status", "", std::to_string(wave)}, ""};
    };
    m_lives.resize(worker_count);
    m_down.resize(worker_count);
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        begin_worker(worker);
    }
    m_entries.resize(entry_count);
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        restart(entry);
    }
}

fleet_world::~fleet_world()
{
    for (auto& entry : m_entries) {
        entry->kill();
    }
}

std::uint32_t fleet_world::draw(std::uint32_t below)
{
    return std::uniform_int_distribution<std::uint32_t>(0, below - 1)(m_random);
}

void fleet_world::begin_worker(std::size_t worker)
{
    const std::string id = fmt::format("w{}-{}", worker, ++m_count);
    job::worker_listing listing{.id = instance_id(id),
                                .service = pool,
                                .address = fmt::format("10.0.0.{}:80", worker),
                                .machine = fmt::format("m{}", worker),
                                .capacity = {.cpu_millis = 4000, .memory_mb = 4000}};
    m_lives[worker] = listing.id;
    m_down[worker] = false;
    m_listings[id] = listing;
    m_workers.begin(listing);
    m_rows.put({"workers", "", id}, id);
}

void fleet_world::crash_worker(std::size_t worker, milliseconds down)
{
    const instance_id old = m_lives[worker];
    m_workers.end(old);
    m_down[worker] = true;
    m_loop.call_after(down, [this, worker, old] {
        if (m_lives[worker] == old) {
            m_rows.remove({"workers", "", old.str()});
            begin_worker(worker);
        }
    });
}

void fleet_world::lapse_listing(std::size_t worker, milliseconds away)
{
    const instance_id id = m_lives[worker];
    m_rows.remove({"workers", "", id.str()});
    m_loop.call_after(away, [this, worker, id] {
        if (m_lives[worker] == id) {
            m_rows.put({"workers", "", id.str()}, id.str());
        }
    });
}

std::vector<machine_info> fleet_world::machines() const
{
    std::vector<machine_info> listed;
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        listed.push_back({.machine = fmt::format("m{}", worker),
                          .pool = pool,
                          .state = m_down[worker] ? machine_state::down : machine_state::up,
                          .worker = m_down[worker] ? instance_id() : m_lives[worker]});
    }
    return listed;
}

void fleet_world::kill(std::size_t entry)
{
    m_entries[entry]->kill();
}

void fleet_world::restart(std::size_t entry)
{
    if (m_entries[entry]) {
        m_dead.push_back(std::move(m_entries[entry]));
    }
    m_entries[entry] =
        std::make_unique<world_entry>(m_loop, m_rows, m_workers, m_random, m_codec,
                                      fmt::format("e{}", entry), ++m_count, m_config,
                                      m_machine_list == machine_list::answers
                                          ? still_machines::lister([this] { return machines(); })
                                          : still_machines::lister());
}

std::optional<std::size_t> fleet_world::leader()
{
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        if (m_entries[entry]->is_leader()) {
            return entry;
        }
    }
    return std::nullopt;
}

job_id fleet_world::submit(watched_job job)
{
    job_id id(fmt::format("{:016x}", ++m_count));
    m_specs[id.str()] = job.spec;
    m_workers.watch(id, std::move(job));
    for (std::size_t tries = 0; tries < entry_count; ++tries) {
        world_entry& entry = *m_entries[draw(entry_count)];
        if (!entry.alive()) {
            continue;
        }
        const accepted_job accepted{
            .queue = queue_name, .accepted = m_loop.wall_now(), .body = id.str()};
        entry.writer().accept(id, accepted, m_loop.now() + seconds(2),
                              [this, id](job_write_outcome outcome) {
                                  if (outcome == job_write_outcome::persisted) {
                                      m_accepted.insert(id);
                                  }
                              });
        break;
    }
    return id;
}

void fleet_world::cancel(const job_id& id)
{
    for (auto& entry : m_entries) {
        if (entry->alive() && !entry->loop().suspended()) {
            entry->writer().cancel(id, m_loop.now() + seconds(2),
                                   [this, id](job_write_outcome outcome) {
                                       if (outcome == job_write_outcome::persisted) {
                                           m_workers.job(id).cancelled = m_loop.now();
                                       }
                                   });
            return;
        }
    }
}

std::string fleet_world::stored_state(const job_id& id) const
{
    const stored_row* const row = m_rows.find(progress_address(id));
    if (row == nullptr) {
        return "none";
    }
    return nlohmann::json::parse(row->value).at("state");
}

void fleet_world::make_trouble()
{
    const std::size_t entry = draw(4) > 0 && leader() ? *leader() : draw(entry_count);
    const auto some_time = milliseconds(500 + draw(6000));
    const auto restart_later = [this, entry](milliseconds after) {
        m_loop.call_after(after, [this, entry] {
            if (!m_entries[entry]->alive()) {
                restart(entry);
            }
        });
    };
    constexpr std::array store_troubles{store_trouble::silent, store_trouble::refusing,
                                        store_trouble::lost_answer, store_trouble::late};
    constexpr std::array path_troubles{path_trouble::silent, path_trouble::lost_answer,
                                       path_trouble::carried_late};
    switch (draw(8)) {
    case 0:
        kill(entry);
        restart_later(milliseconds(200 + draw(3000)));
        break;
    case 1:
        m_entries[entry]->loop().suspend_for(some_time);
        break;
    case 2:
    case 3: {
        entry_store& store = m_entries[entry]->store();
        store.set_trouble(store_troubles[draw(store_troubles.size())]);
        m_loop.call_after(some_time, [&store] { store.set_trouble(store_trouble::none); });
        break;
    }
    case 4:
        crash_worker(draw(worker_count), milliseconds(300 + draw(5000)));
        break;
    case 5:
    case 6: {
        const instance_id worker = m_lives[draw(worker_count)];
        const std::string name = fmt::format("e{}", entry);
        m_workers.set_trouble(name, worker, path_troubles[draw(path_troubles.size())]);
        m_loop.call_after(some_time, [this, name, worker] {
            m_workers.set_trouble(name, worker, path_trouble::none);
        });
        break;
    }
    default:
        if (draw(2) == 0) {
            m_rows.forget_history();
        }
        else {
            for (std::size_t each = 0; each < entry_count; ++each) {
                kill(each);
                m_loop.call_after(milliseconds(500), [this, each] {
                    if (!m_entries[each]->alive()) {
                        restart(each);
                    }
                });
            }
        }
        break;
    }
}

void fleet_world::end_troubles()
{
    m_workers.clear_troubles();
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        m_entries[entry]->store().set_trouble(store_trouble::none);
        if (!m_entries[entry]->alive()) {
            restart(entry);
        }
    }
}

} // namespace plantaindoor::fleet::testing
