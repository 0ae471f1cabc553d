#include "plantaindoor/process/job_scheduler.hpp"

#include "job_round.hpp"

namespace plantaindoor::process {

std::vector<job_decision> job_scheduler::decide(const job_view& view)
{
    return job_round(view, m_options, m_memory).run();
}

void job_scheduler::on_run_ended(const job_id& job, const instance_id& worker, bool failed)
{
    auto& [failed_here, failed_on, warned, hurried, throttling] = m_memory;
    if (!failed) {
        failed_here.erase(worker);
        failed_on.erase(job);
        return;
    }
    std::set<instance_id>& tried = failed_on[job];
    tried.insert(worker);
    // A job that fails wherever it goes tells nothing about the workers.
    if (tried.size() >= m_options.worker_failures) {
        for (const instance_id& each : tried) {
            const auto found = failed_here.find(each);
            if (found != failed_here.end()) {
                found->second.erase(job);
            }
        }
        return;
    }
    failed_here[worker].insert(job);
}

} // namespace plantaindoor::process
