#include "job_world.hpp"

#include <algorithm>

namespace plantaindoor::process {

job_world::job_world(std::size_t workers, const job_scheduler::options& how) : scheduler(how)
{
    whole.teams[team_id("t")] = {.id = team_id("t")};
    whole.pools[pool_id("p")] = {.id = pool_id("p")};
    for (std::size_t n = 1; n <= workers; ++n) {
        const std::string name = "w" + std::to_string(n);
        whole.instances[instance_id(name)] = {.id = instance_id(name),
                                              .pool = pool_id("p"),
                                              .rack = rack_id(n % 2 == 0 ? "even" : "odd"),
                                              .processors = 8,
                                              .memory_mb = 8000};
    }
}

version::instance& job_world::worker(const std::string& name)
{
    return whole.instances.at(instance_id(name));
}

job& job_world::add(const std::string& name, version::priority work_class, const job_size& size)
{
    return jobs[job_id(name)] = {.spec = {.id = job_id(name),
                                          .pool = pool_id("p"),
                                          .team = team_id("t"),
                                          .work_class = work_class,
                                          .kind = "k",
                                          .declared = size},
                                 .submitted = now};
}

job& job_world::add_running(const std::string& name, const std::string& worker,
                            version::priority work_class, const job_size& size)
{
    job& row = add(name, work_class, size);
    row.state = job_state::placed;
    row.run = 1;
    row.worker = instance_id(worker);
    row.placed = now;
    return row;
}

std::vector<job_decision> job_world::decide()
{
    return scheduler.decide({.now = now,
                             .whole = whole,
                             .pool = pool_id("p"),
                             .jobs = jobs,
                             .learned = learned,
                             .used_elsewhere = used_elsewhere,
                             .limits = limits,
                             .interactive_load = interactive_load});
}

void job_world::carry_out(const std::vector<job_decision>& decisions)
{
    for (const start_job& each : only<start_job>(decisions)) {
        job& row = jobs.at(each.job);
        row.state = job_state::placed;
        row.worker = each.worker;
        row.placed = now;
        row.pace = job_pace::full;
        ++row.run;
    }
    for (const refuse_job& each : only<refuse_job>(decisions)) {
        jobs.at(each.job).state = job_state::refused;
    }
    for (const vacate_job& each : only<vacate_job>(decisions)) {
        jobs.at(each.job).state = job_state::stopping;
    }
    for (const set_job_pace& each : only<set_job_pace>(decisions)) {
        jobs.at(each.job).pace = each.pace;
    }
}

std::vector<job_decision> job_world::step()
{
    std::vector<job_decision> decisions = decide();
    carry_out(decisions);
    return decisions;
}

bool job_world::takes_jobs(const instance_id& id) const
{
    return whole.instances.at(id).processors > 0;
}

bool job_world::anything_stopping() const
{
    return std::ranges::any_of(
        jobs, [](const auto& entry) { return entry.second.state == job_state::stopping; });
}

std::string job_world::place_of(const std::string& name) const
{
    const job& row = jobs.at(job_id(name));
    return row.state == job_state::placed ? row.worker.str() : "";
}

} // namespace plantaindoor::process
