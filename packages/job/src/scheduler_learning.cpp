#include "plantaindoor/job/scheduler.hpp"

namespace plantaindoor::job {

void scheduler::refresh_learned(time_point now)
{
    for (const policy::worker_speed_change& change : m_learner.refresh(now)) {
        for (auto& [id, worker] : m_workers) {
            if (learned_key(id) == change.worker) {
                worker.slow = change.slow;
                decision& noted = m_decisions.emplace_back();
                noted.kind = decision_kind::worker_slow;
                noted.worker = id;
                noted.speed = change;
            }
        }
    }
}

} // namespace plantaindoor::job
