// A model of the platform's machines in virtual time: they run one worker each, are moved between
// pools on a leader's order, and leave.
#pragma once

#include "fakes/virtual_loop.hpp"
#include "memory_rows.hpp"
#include "model_workers.hpp"
#include "plantaindoor/fleet/gateways.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

/// Fault injected into one entry's orders to machines. Lists are answered all the same.
enum class machine_fault {
    none,
    unresponsive,  ///< the order is not carried out; it times out
    lost_answer,   ///< the order is carried out; the answer is lost
    executed_late, ///< carried out 2 to 8 s later, without an answer
};

/// All machines, with the rows and the listings of their workers. Not synchronised.
class model_machines {
public:
    static constexpr auto workers_table = "workers";
    static constexpr milliseconds move_time{1500};

    model_machines(fakes::virtual_loop& loop, memory_rows& rows, model_workers& workers,
                   std::mt19937_64& random)
        : m_loop(loop), m_rows(rows), m_workers(workers), m_random(random)
    {
    }

    /// Adds a machine that is up, and starts its worker.
    void add(const std::string& name, const service_id& pool, const rack_id& rack,
             const job::resources& capacity);
    /// The machine's worker drains for this time; then it ends and the machine is gone.
    void retire(const std::string& name, milliseconds drain_time);
    /// The machine and its worker are gone at once.
    void remove(const std::string& name);

    /// The listing that a worker's row stands for, also of a worker that has ended.
    [[nodiscard]] std::optional<job::worker_listing> listing(const instance_id& worker) const;
    [[nodiscard]] std::vector<machine_info> list() const;
    /// Machines of the pool that have a worker which stays.
    [[nodiscard]] std::uint32_t count_serving(const service_id& pool) const;
    /// Machines that stay, with or without a worker.
    [[nodiscard]] std::uint32_t count_staying() const;
    /// Moves that have been carried out.
    [[nodiscard]] std::size_t moves() const { return m_moves; }
    /// Orders of two leaders with one token.
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

    /// Executes an order that has been delivered.
    machine_answer move(const machine_authority& by, const std::string& name,
                        const service_id& pool);

    void set_fault(const std::string& entry, machine_fault fault) { m_faults[entry] = fault; }
    [[nodiscard]] machine_fault fault(const std::string& entry) const;
    [[nodiscard]] fakes::virtual_loop& loop() { return m_loop; }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }

private:
    struct machine {
        machine_info info;
        std::string address;
        job::resources capacity;
        bool leaving = false;
        /// The last order's.
        machine_authority authority;
    };

    void start_worker(machine& at);
    void end_worker(machine& at);

    fakes::virtual_loop& m_loop;
    memory_rows& m_rows;
    model_workers& m_workers;
    std::mt19937_64& m_random;
    std::map<std::string, machine> m_machines;
    std::map<instance_id, job::worker_listing> m_listings;
    std::map<std::string, machine_fault> m_faults;
    std::size_t m_moves = 0;
    std::vector<std::string> m_violations;
};

/// One entry's client of the machines, subject to the entry's fault.
class entry_machines final : public machine_gateway {
public:
    entry_machines(model_machines& machines, event_loop& entry_loop, std::string entry)
        : m_machines(machines), m_entry_loop(entry_loop), m_entry(std::move(entry))
    {
    }

    void list(list_callback done) override;
    void move(const machine_authority& by, const std::string& machine, const service_id& pool,
              machine_callback done) override;
    /// There are no waves: the order is refused.
    void maintain(const machine_authority& by, const std::string& machine, std::uint64_t wave,
                  machine_callback done) override;

private:
    /// Calls `done` on the entry's loop after a delay.
    void answer_after(nanoseconds delay, machine_callback done, machine_answer answer);

    model_machines& m_machines;
    event_loop& m_entry_loop;
    std::string m_entry;
};

} // namespace plantaindoor::fleet::testing
