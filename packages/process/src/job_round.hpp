// One round of a pool's placement, from the view to the decisions.
#pragma once

#include "give_way.hpp"
#include "job_outlook.hpp"
#include "worker_index.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace plantaindoor::process {

/// Used once. Not synchronised.
class job_round {
public:
    job_round(const job_view& view, const job_scheduler::options& how,
              job_scheduler_memory& memory);

    [[nodiscard]] std::vector<job_decision> run();

private:
    void gather_workers();
    void judge_workers();
    void look_at_jobs();
    void look_at(const job& row);
    void occupy(const job_outlook& each);
    void hold_back();
    void make_way_for_drains_and_limits();
    void set_paces();
    void order_waiting();
    void place_waiting();
    void place(const job_outlook& each);
    void start(const job_outlook& each, const worker_wish& wish, std::size_t position);
    void make_room(const worker_wish& wish);
    void keep_worker_for(const job_outlook& each);
    void warn_of_deadlines();

    [[nodiscard]] std::optional<refuse_job> refusal_of(const job& row) const;
    [[nodiscard]] bool may_start(version::priority work_class) const;
    [[nodiscard]] bool quota_left(const job& row) const;
    [[nodiscard]] scarce_resource scarcest() const;
    void use_quota(const job& row);
    void vacate(const job_outlook& each, bool save, std::string reason);
    std::uint32_t label_of(const job_spec& spec);

    const job_view& m_view;
    const job_scheduler::options& m_how;
    job_scheduler_memory& m_memory;
    std::vector<job_decision> m_decisions;

    std::vector<worker> m_workers;
    std::unordered_map<instance_id, std::size_t> m_positions;
    largest_workers m_largest;
    /// By the workers' positions.
    std::vector<occupied_worker> m_occupied;
    std::vector<double> m_ordinary_processors;
    std::vector<wall_time> m_free_at;
    std::vector<std::vector<std::uint32_t>> m_labels_at;

    std::vector<job_outlook> m_jobs;
    std::vector<const job_outlook*> m_waiting;
    std::unordered_set<const job*> m_leaving;
    std::map<team_id, team_usage> m_used;
    std::map<std::pair<team_id, std::string>, std::uint32_t> m_labels;

    std::optional<worker_index> m_index;
    std::vector<job_size> m_no_way_given;
    std::size_t m_starts = 0;
    std::size_t m_searches = 0;
    std::size_t m_kept = 0;
};

} // namespace plantaindoor::process
