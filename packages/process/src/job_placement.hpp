// The rooms of a pool's workers in one round: what occupies them, and what starts in what is left.
#pragma once

#include "give_way.hpp"
#include "job_outlook.hpp"
#include "worker_index.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace plantaindoor::process {

/// Used for one round: first what is there is told, then `place`. Not synchronised.
class job_placement {
public:
    /// Precondition: the arguments and all outlooks given later outlive the placement.
    job_placement(const job_view& view, const job_scheduler::options& how,
                  const job_scheduler_memory& memory);

    [[nodiscard]] const largest_workers& largest() const { return m_largest; }
    [[nodiscard]] std::size_t workers() const { return m_workers.size(); }
    /// Of all workers, free or not.
    [[nodiscard]] double processors() const;
    [[nodiscard]] bool has(const instance_id& worker) const { return m_positions.contains(worker); }
    /// Starts nothing on the worker. Precondition: `has`.
    void close(const instance_id& worker);

    /// Counts a placed or stopping job against its worker and its team's quota.
    void occupy(const job_outlook& each);
    /// The placed job's run is to be ended in this round.
    void on_leaving(const job_outlook& each);
    /// The placed job gives way to urgent ones if it has to.
    void on_movable(const job_outlook& each);

    /// Starts what can be started, and what gives way.
    [[nodiscard]] std::vector<job_decision> place(std::vector<const job_outlook*> waiting);

private:
    void gather_workers();
    void hold_back();
    void build_index();
    void place_one(const job_outlook& each);
    void start(const job_outlook& each, const worker_wish& wish, std::size_t position);
    /// Whether room is promised, now or once runs have ended.
    bool make_room(const worker_wish& wish);
    void keep_worker_for(const worker_wish& wish);
    void use_quota(const job& row);

    [[nodiscard]] bool may_start(version::priority work_class) const;
    [[nodiscard]] bool quota_left(const job& row) const;
    [[nodiscard]] const std::set<instance_id>* avoided_by(const job_outlook& each) const;
    [[nodiscard]] bool suits(std::size_t position, const worker_wish& wish) const;
    [[nodiscard]] scarce_resource scarcest() const;

    const job_view& m_view;
    const job_scheduler::options& m_how;
    const job_scheduler_memory& m_memory;
    std::vector<job_decision> m_decisions;

    std::vector<worker> m_workers;
    std::unordered_map<instance_id, std::size_t> m_positions;
    largest_workers m_largest;
    /// By the workers' positions.
    std::vector<occupied_worker> m_occupied;
    std::vector<double> m_ordinary_processors;
    std::vector<wall_time> m_free_at;
    std::vector<std::vector<std::uint32_t>> m_labels_at;

    std::map<team_id, team_usage> m_used;
    /// Of all jobs, running or waiting.
    double m_wanted_processors = 0;
    double m_wanted_memory_mb = 0;

    std::optional<worker_index> m_index;
    std::vector<job_size> m_no_way_given;
    std::size_t m_starts = 0;
    std::size_t m_searches = 0;
    std::size_t m_kept = 0;
};

} // namespace plantaindoor::process
