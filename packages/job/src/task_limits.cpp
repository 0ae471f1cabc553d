#include "plantaindoor/job/task_limits.hpp"

#include <algorithm>

namespace plantaindoor::job {

// A worker that fails the tasks it starts is the first to have free capacity again. No further
// attempt is spent on it while another worker may become free. Long-running tasks have no limit on
// attempts, and with one task per worker the others may never have room.
task_limits::task_limits(const step_spec& spec, const task_record& task,
                         const std::map<instance_id, std::uint32_t>& siblings,
                         const std::vector<worker_record*>& candidates)
    : m_spec(spec),
      m_task(task),
      m_siblings(siblings),
      m_exclude_avoided(
          !spec.long_running && !task.avoided.empty() &&
          std::any_of(candidates.begin(), candidates.end(), [&](const worker_record* each) {
              return !is_avoided(*each) && has_label(*each) &&
                     each->capacity_beside_long_running().can_fit(spec.footprint());
          }))
{
}

bool task_limits::allow(const worker_record& worker) const
{
    if ((m_exclude_avoided && is_avoided(worker)) || !has_label(worker)) {
        return false;
    }
    const auto count = m_siblings.find(worker.listing.id);
    return m_spec.max_per_worker == 0 || count == m_siblings.end() ||
           count->second < m_spec.max_per_worker;
}

bool task_limits::is_avoided(const worker_record& worker) const
{
    return std::find(m_task.avoided.begin(), m_task.avoided.end(), worker.listing.id) !=
           m_task.avoided.end();
}

bool task_limits::has_label(const worker_record& worker) const
{
    return m_spec.required_label.empty() || worker.listing.has_label(m_spec.required_label);
}

} // namespace plantaindoor::job
