// The part of a leader session that decides on transfers of machines between shards.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/machine_exchange.hpp"
#include "plantaindoor/fleet/machine_giver.hpp"
#include "plantaindoor/fleet/machine_planner.hpp"
#include "plantaindoor/fleet/machine_requester.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace plantaindoor::fleet {

/// Machines whose maintenance has started, or that the shard doesn't own, by wave.
using started_machines = std::map<std::uint64_t, std::set<std::string>>;

/// The waves as the store has them, and those that haven't begun in this shard.
struct wave_rows {
    const started_machines& own;
    const std::map<shard_number, started_machines>& of_other_shards;
    std::set<std::string> waiting;
};

struct machine_transfers_options {
    machine_giver_options giving;
    machine_requester_options requesting;
    time_point began{};
    bool has_predecessor = true;
};

/// Loop thread only.
class machine_transfers {
public:
    /// Everything passed must outlive this object. `on_given` runs when the worker's machine isn't
    /// the leader's any more.
    machine_transfers(machine_exchange& exchange, machine_planner& planner,
                      const job::scheduler& scheduler, const machine_transfers_options& options,
                      std::function<void(const instance_id&)> on_given);

    /// Whether the planner lists the machine: it is owned, or its transfer isn't complete.
    [[nodiscard]] bool is_listed(const std::string& machine, const rack_id& rack) const;
    [[nodiscard]] bool is_in_transfer(const std::string& machine) const;

    void note_order(const std::string& machine, time_point now)
    {
        m_giver.note_order(machine, now);
    }
    void note_answer(const std::string& machine, machine_answer answer, time_point now)
    {
        m_giver.note_answer(machine, answer, now);
    }
    /// To be called before each planning round, and after it while orders may be given.
    void begin_round(const wave_rows& waves);
    void end_round(const wave_rows& waves, time_point now);

private:
    void receive(const wave_rows& waves);
    void give(const wave_rows& waves, time_point now);
    void request(time_point now);

    machine_exchange& m_exchange;
    machine_planner& m_planner;
    const job::scheduler& m_scheduler;
    machine_giver m_giver;
    machine_requester m_requester;
    std::function<void(const instance_id&)> m_on_given;
    time_point m_next_check{};
};

} // namespace plantaindoor::fleet
