#include "plantaindoor/job/predecessor_doubt.hpp"

#include <algorithm>

namespace plantaindoor::job {

void predecessor_doubt::note_live_workers(const std::map<instance_id, service_id>& live_workers,
                                          list_extent extent, const worker_records& workers,
                                          time_point now)
{
    if (extent == list_extent::partial) {
        return;
    }
    if (!m_workers || now < m_options.detected) {
        m_workers = live_workers;
        for (const auto& [id, worker] : workers) {
            if (worker.listed) {
                m_workers->emplace(id, worker.listing.service);
            }
        }
    }
    std::erase_if(*m_workers, [&](const auto& each) {
        const auto worker = workers.find(each.first);
        const bool known = worker != workers.end();
        const bool may_exist = known && worker->second.listed && !worker->second.has_no_machine();
        return (known && worker->second.predecessor_runs_known) ||
               (!may_exist && !live_workers.contains(each.first));
    });
    drop_lapsed(workers, now);
    refresh_services();
}

void predecessor_doubt::note_runs_known(const instance_id& worker)
{
    if (m_workers && m_workers->erase(worker) != 0) {
        refresh_services();
    }
}

void predecessor_doubt::drop_lapsed(const worker_records& workers, time_point now)
{
    if (now < m_options.lease_bound) {
        return;
    }
    m_workers.emplace();
    for (const auto& [id, worker] : workers) {
        if (worker.may_list_earlier_ends(now)) {
            m_workers->emplace(id, worker.listing.service);
        }
    }
    refresh_services();
}

bool predecessor_doubt::exists(time_point now) const
{
    return m_workers ? !m_workers->empty() : now < m_options.lease_bound;
}

bool predecessor_doubt::concerns(const queue_policy& queue, time_point now) const
{
    if (!exists(now)) {
        return false;
    }
    if (!m_workers || !m_options.former_services_known) {
        return true;
    }
    return m_services.contains(queue.service) ||
           std::any_of(queue.former_services.begin(), queue.former_services.end(),
                       [this](const auto& each) { return m_services.contains(each); });
}

void predecessor_doubt::refresh_services()
{
    m_services.clear();
    for (const auto& [id, service] : *m_workers) {
        m_services.insert(service);
    }
}

} // namespace plantaindoor::job
