// A small platform in virtual time with several entries, for tests of the control duty under
// failure: entries are killed and frozen, the store and the ways to workers have troubles.
#pragma once

#include "fakes/process_loop.hpp"
#include "fakes/virtual_loop.hpp"
#include "memory_rows.hpp"
#include "model_workers.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/job_writer.hpp"
#include "plantaindoor/fleet/leader_elector.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

/// Machines that never move. They answer with a list once they have one.
class still_machines final : public machine_gateway {
public:
    using lister = std::function<std::vector<machine_info>()>;

    /// Without a lister the list is never answered.
    still_machines(event_loop& loop, lister listed) : m_loop(loop), m_lister(std::move(listed)) {}

    void list(list_callback done) override
    {
        if (m_lister) {
            m_loop.call_after(answer_time, [this, done = std::move(done)] { done(m_lister()); });
        }
    }
    void move(const machine_authority& /*by*/, const std::string& /*machine*/,
              const service_id& /*pool*/, machine_callback /*done*/) override
    {
    }
    void maintain(const machine_authority& /*by*/, const std::string& /*machine*/,
                  std::uint64_t /*wave*/, machine_callback /*done*/) override
    {
    }

private:
    static constexpr milliseconds answer_time{5};

    event_loop& m_loop;
    lister m_lister;
};

/// One life of an entry.
class world_entry {
public:
    world_entry(fakes::virtual_loop& loop, memory_rows& rows, model_workers& workers,
                std::mt19937_64& random, const platform_codec& codec, const std::string& name,
                std::uint32_t life, std::shared_ptr<const fleet_config> config,
                still_machines::lister machines);

    [[nodiscard]] bool alive() const { return m_leadership != nullptr; }
    [[nodiscard]] bool is_leader() { return alive() && m_leadership->session() != nullptr; }
    [[nodiscard]] fakes::process_loop& loop() { return m_loop; }
    [[nodiscard]] entry_store& store() { return m_store; }
    [[nodiscard]] job_writer& writer() { return *m_writer; }
    [[nodiscard]] leader_elector& leadership() { return *m_leadership; }
    void kill();

private:
    fakes::process_loop m_loop;
    entry_store m_store;
    entry_workers m_workers;
    still_machines m_machines;
    metrics_registry m_metrics;
    std::unique_ptr<job_writer> m_writer;
    std::unique_ptr<leader_elector> m_leadership;
};

class fleet_world {
public:
    static constexpr std::size_t entry_count = 3;
    static constexpr std::size_t worker_count = 4;
    static constexpr seconds state_retention_time{300};

    /// Whether the platform's list of machines answers.
    enum class machine_list { silent, answers };

    explicit fleet_world(std::uint64_t seed, machine_list machines = machine_list::silent);
    fleet_world(const fleet_world&) = delete;
    fleet_world& operator=(const fleet_world&) = delete;
    ~fleet_world();

    void run_for(nanoseconds time) { m_loop.run_for(time); }
    /// Hands a job in at an entry that lives; it counts as accepted once the entry says so.
    job_id submit(watched_job job);
    void cancel(const job_id& id);
    void kill(std::size_t entry);
    void restart(std::size_t entry);
    /// Ends a worker's life and begins another at the same address.
    void crash_worker(std::size_t worker, milliseconds down);
    /// Takes a living worker's entry out of the store for a time, as when its reports are lost.
    void lapse_listing(std::size_t worker, milliseconds away);
    void make_trouble();
    void end_troubles();

    [[nodiscard]] world_entry& entry(std::size_t index) { return *m_entries[index]; }
    /// The entry that holds the duty, or nothing.
    [[nodiscard]] std::optional<std::size_t> leader();
    [[nodiscard]] model_workers& workers() { return m_workers; }
    [[nodiscard]] memory_rows& rows() { return m_rows; }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }
    [[nodiscard]] const std::set<job_id>& accepted() const { return m_accepted; }
    /// The state that the store tells.
    [[nodiscard]] std::string stored_state(const job_id& id) const;
    [[nodiscard]] instance_id worker_id(std::size_t worker) const { return m_lives[worker]; }
    [[nodiscard]] std::uint32_t draw(std::uint32_t below);

private:
    void begin_worker(std::size_t worker);
    [[nodiscard]] std::vector<machine_info> machines() const;

    fakes::virtual_loop m_loop;
    std::mt19937_64 m_random;
    machine_list m_machine_list;
    memory_rows m_rows;
    model_workers m_workers;
    platform_codec m_codec;
    std::shared_ptr<const fleet_config> m_config;
    std::map<std::string, std::shared_ptr<const job::job_spec>> m_specs;
    std::map<std::string, job::worker_listing> m_listings;
    std::vector<instance_id> m_lives;
    /// Of each worker, whether its machine is down.
    std::vector<bool> m_down;
    std::vector<std::unique_ptr<world_entry>> m_entries;
    /// Answers may still be on their way to entries that are dead.
    std::vector<std::unique_ptr<world_entry>> m_dead;
    std::set<job_id> m_accepted;
    std::uint32_t m_count = 0;
};

} // namespace plantaindoor::fleet::testing
