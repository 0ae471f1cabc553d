// Tracks the workers that may run, or have done, tasks that a predecessor started and that aren't
// known to a new leader.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/list_extent.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/worker.hpp"

#include <map>
#include <optional>
#include <set>

namespace plantaindoor::job {

struct predecessor_doubt_options {
    /// When a predecessor that is still alive has detected that it was replaced: until then it may
    /// discover new workers.
    time_point detected{};
    /// When all leases that a predecessor extended have expired.
    time_point lease_bound{};
    /// Whether queue_policy::former_services reaches back as far as a predecessor's runs can last.
    bool former_services_known = false;
};

/// Deterministic; not thread-safe.
class predecessor_doubt {
public:
    using worker_records = std::map<instance_id, worker_record>;

    explicit predecessor_doubt(predecessor_doubt_options options) : m_options(options) {}

    /// When all leases that a predecessor extended have expired.
    [[nodiscard]] time_point lease_bound() const noexcept { return m_options.lease_bound; }
    /// Records which workers are alive, including workers that are not listed. Workers that start
    /// after the predecessor has detected its replacement can't run what it started.
    void note_live_workers(const std::map<instance_id, service_id>& live_workers,
                           list_extent extent, const worker_records& workers, time_point now);
    /// Records that all that a predecessor has started on a worker is known.
    void note_runs_known(const instance_id& worker);
    /// Forgets the workers whose earlier runs, still unknown, have lost their leases.
    void drop_lapsed(const worker_records& workers, time_point now);

    /// Whether any such worker may exist.
    [[nodiscard]] bool exists(time_point now) const;
    /// Whether such a worker may run, or have done, tasks of a queue's jobs.
    [[nodiscard]] bool concerns(const queue_policy& queue, time_point now) const;

private:
    void refresh_services();

    predecessor_doubt_options m_options;
    /// Workers that were alive when this process became leader and whose runs from before aren't
    /// known to it; nullopt until live workers were reported.
    std::optional<std::map<instance_id, service_id>> m_workers;
    /// The services of m_workers.
    std::set<service_id> m_services;
};

} // namespace plantaindoor::job
