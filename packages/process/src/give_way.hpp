// Which running jobs give way to an urgent one that finds no room.
#pragma once

#include "job_outlook.hpp"
#include "worker_index.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace plantaindoor::process {

/// One worker as the search sees it.
struct occupied_worker {
    /// Free now, or once runs end that are being ended, less what was promised of it.
    worker_room coming;
    /// Placed jobs of lower classes that can be checkpointed.
    std::vector<const job_outlook*> movable;
};

struct give_way_plan {
    /// The number of workers, if none can be freed.
    std::size_t worker = 0;
    std::vector<const job_outlook*> leaving;
};

/// The worker where the least is lost, and the jobs that have to leave it: never more than needed,
/// background jobs before hurried and interactive ones, then the least run time since the start,
/// then the latest deadline. Precondition: the spans are of one length. Thread-safe.
[[nodiscard]] give_way_plan plan_give_way(std::span<const occupied_worker> occupied,
                                          std::span<const worker> workers, const worker_wish& wish,
                                          wall_time now);

} // namespace plantaindoor::process
