#include "plantaindoor/job/missing_workers.hpp"

#include <algorithm>

namespace plantaindoor::job {

bool missing_workers::will_take_tasks(const worker_record& worker) const
{
    // One that has just been full or hasn't answered a poll usually takes tasks again in a moment.
    // One with a task in isolation may be kept for another.
    return !worker.is_silent(m_now) && worker.accepts_tasks() &&
           m_now >= worker.quarantined_until && worker.isolated_runs == 0;
}

void missing_workers::read_workers()
{
    m_read = true;
    for (const auto& [id, worker] : m_workers) {
        if (worker.token_acknowledged) {
            m_capacities.push_back(worker.capacity());
        }
        if (will_take_tasks(worker)) {
            m_pools[worker.listing.service].places.push_back(
                {.worker = id,
                 .room = worker.capacity_beside_long_running(),
                 .in_use = worker.long_running_runs > 0});
        }
    }
}

void missing_workers::add(const job_record& job, const occurrence_record& occurrence,
                          std::uint32_t step, std::uint32_t waiting)
{
    const step_spec& spec = job.spec().steps[step];
    // Which machines have a label isn't known before they have a worker.
    if (!spec.required_label.empty()) {
        return;
    }
    if (!m_read) {
        read_workers();
    }
    const resources need = spec.footprint();
    const auto runs = occurrence.steps[step].runs_by_worker();
    const auto fill = [&](place& at) {
        std::uint32_t limit = waiting;
        if (spec.max_per_worker > 0) {
            const auto known = runs.find(at.worker);
            const std::uint32_t siblings = known == runs.end() ? 0 : known->second;
            limit = std::min(limit, spec.max_per_worker - std::min(spec.max_per_worker, siblings));
        }
        for (; limit > 0 && at.room.can_fit(need); --limit) {
            at.room -= need;
            at.in_use = true;
            --waiting;
        }
    };
    pool& chosen = m_pools[job.queue().service];
    for (place& each : chosen.places) {
        fill(each);
    }
    const auto suits =
        std::find_if(m_capacities.begin(), m_capacities.end(),
                     [&](const resources& capacity) { return capacity.can_fit(need); });
    while (waiting > 0 && suits != m_capacities.end()) {
        chosen.places.push_back({.worker = instance_id(), .room = *suits});
        fill(chosen.places.back());
        ++chosen.added;
    }
}

std::uint32_t missing_workers::in_use(const service_id& service) const
{
    const auto found = m_pools.find(service);
    return found == m_pools.end()
               ? 0
               : static_cast<std::uint32_t>(std::count_if(
                     found->second.places.begin(), found->second.places.end(),
                     [](const place& each) { return each.in_use && !each.worker.empty(); }));
}

std::uint32_t missing_workers::of(const service_id& service) const
{
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? 0 : found->second.added;
}

} // namespace plantaindoor::job
