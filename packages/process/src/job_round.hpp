// One round of a pool's placement, from the view to the decisions.
#pragma once

#include "job_outlook.hpp"
#include "job_placement.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace plantaindoor::process {

/// Used once. Not synchronised.
class job_round {
public:
    /// Precondition: the arguments outlive the round.
    job_round(const job_view& view, const job_scheduler::options& how,
              job_scheduler_memory& memory);

    [[nodiscard]] std::vector<job_decision> run();

private:
    void judge_workers();
    void look_at_jobs();
    void look_at(const job& row);
    void make_way_for_drains_and_limits();
    void set_paces();
    void place_waiting();
    void warn_of_deadlines();

    [[nodiscard]] std::optional<refuse_job> refusal_of(const job& row) const;
    void vacate(const job_outlook& each, bool save, std::string reason);
    std::uint32_t label_of(const job_spec& spec);

    const job_view& m_view;
    const job_scheduler::options& m_how;
    job_scheduler_memory& m_memory;
    job_placement m_placement;
    std::vector<job_decision> m_decisions;
    std::vector<job_outlook> m_jobs;
    std::unordered_set<const job*> m_leaving;
    std::map<std::pair<team_id, std::string>, std::uint32_t> m_labels;
};

} // namespace plantaindoor::process
