#include "plantaindoor/fleet/machine_giver.hpp"

#include <algorithm>

namespace plantaindoor::fleet {

machine_giver::machine_giver(machine_giver_options options, time_point began, bool has_predecessor)
    : m_options(options),
      m_first_grant(began + (has_predecessor ? options.max_order_delay : options.lease))
{
}

void machine_giver::note_answer(const std::string& machine, machine_answer answer, time_point now)
{
    m_ordered[machine] = now;
    if (answer == machine_answer::unanswered) {
        m_unanswered[machine] = now;
    }
}

void machine_giver::observe(const std::map<instance_id, job::worker_record>& workers,
                            time_point now)
{
    for (const auto& [id, worker] : workers) {
        const std::string& machine = worker.listing.machine;
        if (!worker.runs.empty()) {
            m_ordered[machine] = now;
        }
        if (std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& each) {
                return each.second.phase == job::run_phase::unconfirmed;
            })) {
            m_unanswered[machine] = now;
        }
        if (worker.unanswered_start) {
            m_unanswered[machine] = std::max(m_unanswered[machine], *worker.unanswered_start);
        }
    }
    std::erase_if(m_ordered, [&](const auto& each) { return now - each.second > m_options.lease; });
    std::erase_if(m_unanswered,
                  [&](const auto& each) { return now - each.second > m_options.max_order_delay; });
}

bool machine_giver::may_give(const idle_machine& machine,
                             const std::map<instance_id, job::worker_record>& workers,
                             time_point now) const
{
    if (m_ordered.contains(machine.machine) || m_unanswered.contains(machine.machine)) {
        return false;
    }
    if (machine.worker.empty()) {
        // Of a standby pool.
        return true;
    }
    const auto found = workers.find(machine.worker);
    if (found == workers.end()) {
        return false;
    }
    const job::worker_record& worker = found->second;
    return worker.is_usable(now) && worker.runs.empty() && worker.token_acknowledged &&
           worker.predecessor_runs_known && !worker.has_unlisted_ends && !worker.is_leaving() &&
           worker.missed_polls == 0 && worker.committed_sequence >= worker.applied_sequence;
}

std::vector<std::string>
machine_giver::select(const machine_request& request, const std::vector<idle_machine>& idle,
                      const std::map<service_id, pool_figures>& pools,
                      const std::map<instance_id, job::worker_record>& workers,
                      time_point now) const
{
    if (now < m_first_grant) {
        return {};
    }
    std::vector<std::string> selected;
    std::map<service_id, std::uint32_t> given;
    const auto take = [&](std::uint32_t count, std::uint32_t pool_figures::*kept,
                          const auto& suits) {
        for (const idle_machine& each : idle) {
            const auto pool = pools.find(each.pool);
            const bool is_selected =
                std::find(selected.begin(), selected.end(), each.machine) != selected.end();
            if (count == 0 || is_selected || !suits(each.pool) || pool == pools.end() ||
                pool->second.present <=
                    given[each.pool] + std::max(pool->second.*kept, m_options.min_machines) ||
                !may_give(each, workers, now)) {
                continue;
            }
            selected.push_back(each.machine);
            ++given[each.pool];
            --count;
        }
        return count;
    };
    const auto take_all = [&](const machine_request::counts& counts,
                              std::uint32_t pool_figures::*kept) {
        // A machine of the same pool needn't be moved.
        std::uint32_t lacking = 0;
        for (const auto& each : counts) {
            lacking +=
                take(each.second, kept, [&](const service_id& pool) { return pool == each.first; });
        }
        take(lacking, kept, [](const service_id& /*pool*/) { return true; });
    };
    take_all(request.required, &pool_figures::required);
    take_all(request.wanted, &pool_figures::wanted);
    return selected;
}

} // namespace plantaindoor::fleet
