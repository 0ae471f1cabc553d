// A pool, its jobs and a scheduler, with the decisions carried out as a book would.
#pragma once

#include "plantaindoor/process/job_scheduler.hpp"

#include <string>
#include <vector>

namespace plantaindoor::process {

/// Pool `p` of workers w1.. in two racks, team `t` without quotas. Not synchronised.
struct job_world {
    version::fleet whole;
    std::map<job_id, job> jobs;
    learned_sizes learned;
    std::map<team_id, team_usage> used_elsewhere;
    class_limits limits;
    double interactive_load = 0;
    wall_time now{std::chrono::hours(1)};
    job_scheduler scheduler;

    explicit job_world(std::size_t workers, const job_scheduler::options& how = {});

    version::instance& worker(const std::string& name);
    /// Adds a waiting job of one processor.
    job& add(const std::string& name, version::priority work_class = version::priority::background,
             const job_size& size = {.processors = 1, .run_time = seconds(60)});
    job& add_running(const std::string& name, const std::string& worker,
                     version::priority work_class, const job_size& size);
    /// Decides; changes nothing but the scheduler's memory.
    std::vector<job_decision> decide();
    /// Decides and carries the decisions out; vacated jobs are `stopping` afterwards.
    std::vector<job_decision> step();
    void carry_out(const std::vector<job_decision>& decisions);
    [[nodiscard]] bool takes_jobs(const instance_id& id) const;
    [[nodiscard]] bool anything_stopping() const;
    /// Where the job would run after `step`; empty if it doesn't.
    [[nodiscard]] std::string place_of(const std::string& name) const;
};

/// The decisions of one kind.
template<class Decision>
std::vector<Decision> only(const std::vector<job_decision>& all)
{
    std::vector<Decision> some;
    for (const job_decision& each : all) {
        if (const auto* found = std::get_if<Decision>(&each)) {
            some.push_back(*found);
        }
    }
    return some;
}

} // namespace plantaindoor::process
