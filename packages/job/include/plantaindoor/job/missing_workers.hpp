// How many more workers a service needs for the long-running tasks that wait.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/record.hpp"
#include "plantaindoor/job/worker.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace plantaindoor::job {

/// Places waiting long-running tasks beside those that run, whatever else runs there, and counts
/// the workers that would have to be added. Not thread-safe.
class missing_workers {
public:
    /// `workers` must outlive the object.
    missing_workers(const std::map<instance_id, worker_record>& workers, time_point now)
        : m_workers(workers), m_now(now)
    {
    }

    /// Places `waiting` of the waiting tasks of a step.
    void add(const job_record& job, const occurrence_record& occurrence, std::uint32_t step,
             std::uint32_t waiting);
    [[nodiscard]] std::uint32_t of(const service_id& service) const;
    /// Those of them that need a label, by label.
    [[nodiscard]] std::map<std::string, std::uint32_t> labelled_of(const service_id& service) const;
    /// Present workers of a service with waiting tasks that run long-running tasks or on which
    /// waiting ones were placed.
    [[nodiscard]] std::uint32_t in_use(const service_id& service) const;

private:
    struct place {
        /// nullptr: a worker to be added.
        const worker_record* worker = nullptr;
        /// Of a worker to be added; empty: any.
        std::string label;
        resources room;
        bool in_use = false;
    };
    struct pool {
        std::vector<place> places;
        std::uint32_t added = 0;
    };

    [[nodiscard]] static bool has_label(const place& at, const std::string& label);
    /// The capacity of a worker on which a task of the step fits: one with the label that it
    /// requires, if any such is known.
    [[nodiscard]] std::optional<resources> suitable_capacity(const step_spec& spec) const;

    /// Whether the worker takes new tasks, now or in a moment.
    [[nodiscard]] bool will_take_tasks(const worker_record& worker) const;
    void read_workers();

    const std::map<instance_id, worker_record>& m_workers;
    time_point m_now;
    bool m_read = false;
    std::map<service_id, pool> m_pools;
    /// All that have answered: an added worker may be as these.
    std::vector<const worker_record*> m_answered;
};

} // namespace plantaindoor::job
