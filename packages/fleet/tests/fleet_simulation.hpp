// A simulation of a small platform with several entries in virtual time, for tests of leadership
// under failure: entries are killed and frozen, workers crash, and requests to the store and to
// workers fail.
#pragma once

#include "fakes/process_loop.hpp"
#include "fakes/virtual_loop.hpp"
#include "memory_rows.hpp"
#include "model_workers.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/job_writer.hpp"
#include "plantaindoor/fleet/shard_set.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

/// A list of machines. Orders to move or maintain them are never answered.
class static_machines final : public machine_gateway {
public:
    using list_provider = std::function<std::vector<machine_info>()>;

    /// Without a provider, requests for the list are never answered.
    static_machines(event_loop& loop, list_provider provider)
        : m_loop(loop), m_list_provider(std::move(provider))
    {
    }

    void list(list_callback done) override
    {
        if (m_list_provider) {
            m_loop.call_after(answer_time, [this, done = std::move(done)] {
                done(machine_list{.machines = m_list_provider()});
            });
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
    list_provider m_list_provider;
};

/// One incarnation of an entry.
class simulated_entry {
public:
    /// Creates the client of the platform's machines; its callbacks run on the entry's loop.
    using machines_factory =
        std::function<std::unique_ptr<machine_gateway>(event_loop& entry_loop)>;

    simulated_entry(fakes::virtual_loop& loop, memory_rows& rows, model_workers& workers,
                    std::mt19937_64& random, const platform_codec& codec, const std::string& name,
                    std::uint32_t incarnation_number, std::shared_ptr<const fleet_config> config,
                    const machines_factory& machines, bool machine_transfers = false);

    [[nodiscard]] bool alive() const { return m_shards != nullptr; }
    [[nodiscard]] bool is_leader(shard_number shard = 0);
    [[nodiscard]] fakes::process_loop& loop() { return m_loop; }
    [[nodiscard]] entry_store& store() { return m_store; }
    [[nodiscard]] job_writer& writer() { return *m_writer; }
    /// Must be alive.
    void apply(std::shared_ptr<const fleet_config> config) { m_shards->apply(std::move(config)); }
    /// As when probes have found that the process of the shard's leader has ended. Must be alive.
    void note_leader_ended(shard_number shard = 0);
    /// Stops the entry at once: nothing more runs on its loop. Can't be undone.
    void kill();

private:
    fakes::process_loop m_loop;
    entry_store m_store;
    entry_workers m_workers;
    std::unique_ptr<machine_gateway> m_machines;
    metrics_registry m_metrics;
    std::unique_ptr<job_writer> m_writer;
    std::unique_ptr<shard_set> m_shards;
};

/// Three entries, four workers and the store. Each shard owns every n-th worker. Random choices
/// come from `seed`. Not synchronised.
class fleet_simulation {
public:
    static constexpr std::size_t entry_count = 3;
    static constexpr std::size_t worker_count = 4;
    static constexpr seconds state_retention_time{300};

    /// Whether requests for the platform's list of machines are answered.
    enum class machine_list { unresponsive, answers };

    /// Whether shards give each other machines.
    enum class machine_transfers { disabled, enabled };

    explicit fleet_simulation(std::uint64_t seed,
                              machine_list machines = machine_list::unresponsive,
                              shard_number shards = 1,
                              std::vector<policy::workspace_policy> workspaces = {},
                              machine_transfers transfers = machine_transfers::disabled);
    fleet_simulation(const fleet_simulation&) = delete;
    fleet_simulation& operator=(const fleet_simulation&) = delete;
    ~fleet_simulation();

    void run_for(nanoseconds time) { m_loop.run_for(time); }
    /// Submits a job at the first live one of up to entry_count randomly drawn entries. The job
    /// counts as accepted once the entry has reported it as persisted.
    job_id submit(model_job job);
    /// Submits a job that belongs to the shard.
    job_id submit_to(shard_number shard, model_job job);
    /// Cancels a job at the first entry that is neither dead nor frozen.
    void cancel(const job_id& id);
    /// Replaces the workspaces in all live entries at once. The workers check the caps that they
    /// were last given.
    void set_workspaces(std::vector<policy::workspace_policy> workspaces);
    void kill(std::size_t entry);
    /// Starts a new incarnation of an entry; the previous one must be dead.
    void restart(std::size_t entry);
    /// Ends a worker and starts another instance at the same address after the time `down`.
    void crash_worker(std::size_t worker, milliseconds down);
    /// The worker announces that it leaves, and ends after `drain_time`. Its machine is no longer
    /// listed then, and gets no other worker.
    void retire_worker(std::size_t worker, milliseconds drain_time);
    /// Removes the row of a live worker from the store for a time, as when its reports to the
    /// platform are lost.
    void unlist_worker(std::size_t worker, milliseconds unlisted_time);
    /// Replaces the row of a live worker for a time by one of another writer, with an address at
    /// which nothing answers and the given start.
    void replace_worker_row(std::size_t worker, wall_time started_at, milliseconds replaced_time);
    /// Injects a random fault. Faults of a single entry mostly hit the leader, if there is one.
    void inject_fault();
    /// Injects a random fault of an entry, its store or its paths to a worker. It mostly hits a
    /// leader.
    void inject_entry_fault();
    /// Ends all faults of the store and the paths to workers, and restarts dead entries.
    void clear_faults();

    [[nodiscard]] simulated_entry& entry(std::size_t index) { return *m_entries[index]; }
    /// The first entry that leads the shard by its own view, if any.
    [[nodiscard]] std::optional<std::size_t> leader(shard_number shard = 0);
    [[nodiscard]] const shard_layout& layout() const { return m_layout; }
    [[nodiscard]] shard_number shard_of(const job_id& id) const;
    [[nodiscard]] model_workers& workers() { return m_workers; }
    [[nodiscard]] memory_rows& rows() { return m_rows; }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }
    [[nodiscard]] const std::set<job_id>& accepted() const { return m_accepted; }
    /// The state in the stored progress of a job; "none" if there is no such row.
    [[nodiscard]] std::string stored_state(const job_id& id) const;
    [[nodiscard]] instance_id worker_id(std::size_t worker) const { return m_worker_ids[worker]; }
    /// A random number from 0 to `below` - 1.
    [[nodiscard]] std::uint32_t random_below(std::uint32_t below);

private:
    void begin_worker(std::size_t worker);
    void restart_later(std::size_t entry, milliseconds after);
    void kill_for_a_while(std::size_t entry);
    /// A random fault of the entry's store, or of its path to a random worker.
    void impair_store(std::size_t entry, milliseconds duration);
    void impair_path(std::size_t entry, milliseconds duration);
    [[nodiscard]] std::vector<machine_info> machines() const;
    /// Reports a violation if the start comes from a leader whose shard doesn't own the machine.
    void check_owner(const instance_id& worker, const job::run_name& run, fencing_token token);

    fakes::virtual_loop m_loop;
    std::mt19937_64 m_random;
    machine_list m_machine_list;
    machine_transfers m_transfers;
    shard_layout m_layout;
    memory_rows m_rows;
    model_workers m_workers;
    platform_codec m_codec;
    std::shared_ptr<const fleet_config> m_config;
    std::map<std::string, std::shared_ptr<const job::job_spec>> m_specs;
    std::map<std::string, job::worker_listing> m_listings;
    /// Empty for workers that have retired.
    std::vector<instance_id> m_worker_ids;
    /// Whether each worker's machine is down.
    std::vector<bool> m_machine_down;
    std::vector<std::unique_ptr<simulated_entry>> m_entries;
    /// Dead entries stay allocated, since pending callbacks refer to them.
    std::vector<std::unique_ptr<simulated_entry>> m_killed_entries;
    std::set<job_id> m_accepted;
    std::uint32_t m_last_id = 0;
};

} // namespace plantaindoor::fleet::testing
