// Which of a shard's machines may be given to another shard.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/machine_planner.hpp"
#include "plantaindoor/fleet/machine_transfer_rows.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

struct machine_giver_options {
    /// The platform's lease on a machine: the shards don't take turns within it.
    milliseconds lease{3300};
    /// An order without an answer may be carried out this late.
    milliseconds max_order_delay{13000};
    /// Machines that a pool retains.
    std::uint32_t min_machines = 1;
};

/// Observes the orders to the shard's machines, and selects those to give. Deterministic; reads no
/// clock. Not thread-safe.
class machine_giver {
public:
    /// `began`: when the leader's session began. Until all orders of a predecessor must have been
    /// carried out, nothing is given; `has_predecessor` is whether there may be any.
    machine_giver(machine_giver_options options, time_point began, bool has_predecessor);

    /// An order was sent to the machine, or answered.
    void note_order(const std::string& machine, time_point now) { m_ordered[machine] = now; }
    void note_answer(const std::string& machine, machine_answer answer, time_point now);
    /// Records the runs on the workers. Call every 100 ms or so.
    void observe(const std::map<instance_id, job::worker_record>& workers, time_point now);

    /// The machines to give for a request, of those that are idle. A pool gives those that it has
    /// beyond what it wants, and for long-running tasks those beyond what its own ones require.
    [[nodiscard]] std::vector<std::string>
    select(const machine_request& request, const std::vector<idle_machine>& idle,
           const std::map<service_id, pool_figures>& pools,
           const std::map<instance_id, job::worker_record>& workers, time_point now) const;

private:
    [[nodiscard]] bool may_give(const idle_machine& machine,
                                const std::map<instance_id, job::worker_record>& workers,
                                time_point now) const;

    machine_giver_options m_options;
    time_point m_first_grant;
    /// By machine: when it was last ordered or had a run, and when an order was last unanswered.
    std::map<std::string, time_point> m_ordered;
    std::map<std::string, time_point> m_unanswered;
};

} // namespace plantaindoor::fleet
