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
            m_answered.push_back(&worker);
        }
        if (will_take_tasks(worker)) {
            m_pools[worker.listing.service].places.push_back(
                {.worker = &worker,
                 .room = worker.capacity_beside_long_running(),
                 .in_use = worker.long_running_runs > 0});
        }
    }
}

void missing_workers::add(const job_record& job, const occurrence_record& occurrence,
                          std::uint32_t step, std::uint32_t waiting)
{
    const step_spec& spec = job.spec().steps[step];
    if (!m_read) {
        read_workers();
    }
    const resources need = spec.footprint();
    const auto runs = occurrence.steps[step].runs_by_worker();
    const auto fill = [&](place& at) {
        if (!has_label(at, spec.required_label)) {
            return;
        }
        std::uint32_t limit = waiting;
        if (spec.max_per_worker > 0 && at.worker != nullptr) {
            const auto known = runs.find(at.worker->listing.id);
            const std::uint32_t siblings = known == runs.end() ? 0 : known->second;
            limit = std::min(limit, spec.max_per_worker - std::min(spec.max_per_worker, siblings));
        }
        else if (spec.max_per_worker > 0) {
            limit = std::min(limit, spec.max_per_worker);
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
    const auto capacity = waiting > 0 ? suitable_capacity(spec) : std::nullopt;
    while (waiting > 0 && capacity) {
        chosen.places.push_back({.label = spec.required_label, .room = *capacity});
        fill(chosen.places.back());
        ++chosen.added;
    }
}

bool missing_workers::has_label(const place& at, const std::string& label)
{
    return label.empty() ||
           (at.worker == nullptr ? at.label == label : at.worker->listing.has_label(label));
}

std::optional<resources> missing_workers::suitable_capacity(const step_spec& spec) const
{
    const resources need = spec.footprint();
    const auto find = [&](const auto& suits) -> std::optional<resources> {
        const auto found =
            std::find_if(m_answered.begin(), m_answered.end(), [&](const auto* each) {
                return each->capacity().can_fit(need) && suits(*each);
            });
        return found == m_answered.end() ? std::nullopt : std::optional((*found)->capacity());
    };
    const auto of_label = find([&](const worker_record& worker) {
        return spec.required_label.empty() || worker.listing.has_label(spec.required_label);
    });
    // The machines that have the label may all be off.
    return of_label ? of_label : find([](const worker_record& /*worker*/) { return true; });
}

std::uint32_t missing_workers::in_use(const service_id& service) const
{
    const auto found = m_pools.find(service);
    return found == m_pools.end()
               ? 0
               : static_cast<std::uint32_t>(std::count_if(
                     found->second.places.begin(), found->second.places.end(),
                     [](const place& each) { return each.in_use && each.worker != nullptr; }));
}

std::uint32_t missing_workers::of(const service_id& service) const
{
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? 0 : found->second.added;
}

std::map<std::string, std::uint32_t> missing_workers::labelled_of(const service_id& service) const
{
    std::map<std::string, std::uint32_t> counts;
    if (const auto found = m_pools.find(service); found != m_pools.end()) {
        for (const place& each : found->second.places) {
            if (each.worker == nullptr && !each.label.empty()) {
                ++counts[each.label];
            }
        }
    }
    return counts;
}

} // namespace plantaindoor::job
