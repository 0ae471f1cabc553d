#include "plantaindoor/process/job_scheduler.hpp"

namespace plantaindoor::process {

std::vector<job_decision> job_scheduler::decide(const job_view& view)
{
    std::map<instance_id, double> free;
    for (const auto& [id, each] : view.whole.instances) {
        if (each.pool == view.pool && each.state == version::instance_state::admitted) {
            free[id] = each.processors;
        }
    }
    for (const auto& [id, each] : view.jobs) {
        if (each.state != job_state::waiting) {
            free[each.worker] -= each.spec.declared.processors;
        }
    }
    std::vector<job_decision> out;
    for (const auto& [id, each] : view.jobs) {
        if (each.state != job_state::waiting) {
            continue;
        }
        for (auto& [worker, left] : free) {
            if (left >= each.spec.declared.processors) {
                left -= each.spec.declared.processors;
                out.emplace_back(start_job{id, worker});
                break;
            }
        }
    }
    return out;
}

void job_scheduler::on_run_ended(const job_id&, const instance_id&, bool) {}

} // namespace plantaindoor::process
