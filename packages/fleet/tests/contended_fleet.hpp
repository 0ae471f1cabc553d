// A simulation of a fleet in which several services contend for machines, in virtual time, under
// one or more leaders. All names are random, so no order by name is the same under two seeds.
#pragma once

#include "fleet_simulation.hpp"
#include "model_machines.hpp"
#include "starved_pool_oracle.hpp"
#include "unserved_job_oracle.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

struct contended_fleet_options {
    std::uint64_t seed = 1;
    std::size_t services = 4;
    shard_number shards = 1;
    std::size_t racks_per_shard = 2;
    /// Machines of each service in each shard at the start.
    std::size_t machines_per_service = 3;
    job::resources capacity{.cpu_millis = 4000, .memory_mb = 4000};
};

/// Three entries and the machines of a few services, each with a pool and a queue of its own.
/// Not synchronised.
class contended_fleet {
public:
    static constexpr std::size_t entry_count = 3;
    static constexpr milliseconds sample_time{100};

    explicit contended_fleet(contended_fleet_options options);
    contended_fleet(const contended_fleet&) = delete;
    contended_fleet& operator=(const contended_fleet&) = delete;
    ~contended_fleet();

    /// Calls the oracles every sample_time.
    void run_for(milliseconds time);
    /// Submits a job of the service at a random live entry, which may not accept it. Without a
    /// shard, the job's random id decides on it.
    job_id submit(std::size_t service, model_job job,
                  std::optional<shard_number> shard = std::nullopt);
    /// Kills the shard's leader, if there is one, and restarts it after this time.
    void kill_leader(shard_number shard, milliseconds down);
    /// A random machine of the pool that stays so far drains and is gone after `drain_time`.
    void retire_machine(std::size_t service, shard_number shard, milliseconds drain_time);
    /// All machines of the rack are gone at once.
    void remove_rack(std::size_t rack);
    /// Injects a fault into the orders of all entries to machines.
    void set_machine_fault(machine_fault fault);

    [[nodiscard]] const service_id& service(std::size_t index) const { return m_services[index]; }
    /// The service whose name sorts last.
    [[nodiscard]] std::size_t last_service() const;
    [[nodiscard]] std::uint32_t machines_of(std::size_t service, shard_number shard) const;
    /// Milliseconds since the fleet was created.
    [[nodiscard]] milliseconds now() const;
    [[nodiscard]] const contended_fleet_options& options() const { return m_options; }
    [[nodiscard]] model_workers& workers() { return m_workers; }
    [[nodiscard]] model_machines& machines() { return m_machines; }
    [[nodiscard]] const unserved_job_oracle& jobs() const { return m_jobs; }
    [[nodiscard]] const starved_pool_oracle& pools() const { return m_pools; }
    [[nodiscard]] std::size_t accepted() const { return m_accepted; }
    /// A random number from 0 to `below` - 1.
    [[nodiscard]] std::uint32_t random_below(std::uint32_t below);

private:
    [[nodiscard]] std::string random_name();
    /// Whether callers are shown the job as completed.
    [[nodiscard]] bool is_completed(const job_id& id) const;
    void add_services();
    void add_machines();
    void start_entry(std::size_t entry);
    void sample();
    void note_disruption();

    contended_fleet_options m_options;
    fakes::virtual_loop m_loop;
    time_point m_start{m_loop.now()};
    std::mt19937_64 m_random;
    std::set<std::string> m_names;
    std::vector<service_id> m_services;
    std::vector<std::string> m_queues;
    std::vector<rack_id> m_racks;
    shard_layout m_layout;
    memory_rows m_rows;
    model_workers m_workers;
    model_machines m_machines;
    platform_codec m_codec;
    std::shared_ptr<const fleet_config> m_config;
    std::map<std::string, std::shared_ptr<const job::job_spec>> m_specs;
    std::map<job_id, std::string> m_queue_of;
    std::vector<std::unique_ptr<simulated_entry>> m_entries;
    /// Dead entries stay allocated, since pending callbacks refer to them.
    std::vector<std::unique_ptr<simulated_entry>> m_killed_entries;
    std::uint32_t m_last_incarnation = 0;
    std::size_t m_accepted = 0;
    unserved_job_oracle m_jobs;
    starved_pool_oracle m_pools;
};

} // namespace plantaindoor::fleet::testing
