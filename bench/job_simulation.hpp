// Simulates an hour of job submissions on one pool in virtual time, placed by the scheduler or by
// first fit.
#pragma once

#include "plantaindoor/process/job_scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace plantaindoor::process {

inline const pool_id pool_name("p");
inline const team_id team_name("t");
inline constexpr milliseconds tick{250};
inline constexpr milliseconds checkpoint_time{300};
inline constexpr milliseconds failure_delay{1000};
inline constexpr milliseconds load_start{std::chrono::minutes(20)};
inline constexpr milliseconds load_end{std::chrono::minutes(35)};
inline constexpr milliseconds max_duration{std::chrono::hours(2)};
inline constexpr milliseconds max_urgent_wait{1100};
inline constexpr std::uint32_t max_failures = 5;
inline constexpr int throttled_divisor = 4;
inline constexpr double worker_processors = 16;

struct scenario {
    const char* name = "";
    bool wrong_sizes = false;
    std::size_t failing_workers = 0;
    bool load = false;
};

struct arrival {
    milliseconds at{0};
    job_spec spec;
    job_size real;
};

/// An hour of submissions: urgent, interactive and background jobs, and a rebuild with a deadline.
class arrival_list {
public:
    explicit arrival_list(bool wrong_sizes) : m_wrong_sizes(wrong_sizes)
    {
        using std::chrono::minutes;
        for (milliseconds at{0}; at < minutes(60); at += seconds(20)) {
            add(at, version::priority::urgent, "urgent", random_real(2, 4),
                seconds(random_integer(10, 30)));
        }
        for (milliseconds at{0}; at < minutes(60); at += seconds(2)) {
            add(at, version::priority::interactive, "check", random_real(1, 2),
                seconds(random_integer(20, 60)));
        }
        for (milliseconds at{0}; at < minutes(60); at += seconds(20)) {
            add(at, version::priority::background, "batch" + std::to_string(random_integer(0, 5)),
                random_real(2, 8), seconds(random_integer(300, 1200)));
        }
        for (int n = 0; n < 60; ++n) {
            add(minutes(10), version::priority::background, "rebuild", 4,
                seconds(random_integer(600, 900)));
            m_all.back().spec.deadline = wall_time{} + minutes(50);
        }
        std::ranges::stable_sort(m_all, {}, &arrival::at);
    }

    [[nodiscard]] const std::vector<arrival>& all() const { return m_all; }

private:
    double random_real(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }
    int random_integer(int from, int to)
    {
        return std::uniform_int_distribution<int>(from, to)(m_random);
    }

    void add(milliseconds at, version::priority work_class, const std::string& kind,
             double processors, milliseconds run_time)
    {
        // The error of a declared size depends mainly on the job's kind, as in practice: a team
        // misjudges a kind consistently rather than at random.
        const double kind_factor = 0.5 * (1 + kind.back() % 6);
        const double factor = m_wrong_sizes ? kind_factor * random_real(0.9, 1.1) : 1;
        const job_size real{.processors = processors,
                            .memory_mb = static_cast<std::uint64_t>(processors * 1000),
                            .run_time = run_time};
        m_all.push_back(
            {.at = at,
             .spec = {.id = job_id(fmt::format("{}-{:05}", kind, m_all.size())),
                      .pool = pool_name,
                      .team = team_name,
                      .work_class = work_class,
                      .kind = kind,
                      .declared = {.processors = std::min(processors * factor, worker_processors),
                                   .memory_mb = static_cast<std::uint64_t>(std::min(
                                       processors * factor * 1000, worker_processors * 2000)),
                                   .run_time = milliseconds(std::llround(
                                       static_cast<double>(run_time.count()) / factor))}},
             .real = real});
    }

    bool m_wrong_sizes;
    std::mt19937 m_random{20261203};
    std::vector<arrival> m_all;
};

inline version::fleet fleet_of(std::size_t workers, std::uint32_t reserve = 0)
{
    version::fleet whole;
    whole.teams[team_name] = {.id = team_name};
    whole.pools[pool_name] = {.id = pool_name, .reserve = reserve};
    for (std::size_t n = 0; n < workers; ++n) {
        const instance_id id(fmt::format("w{:04}", n));
        whole.instances[id] = {.id = id,
                               .pool = pool_name,
                               .rack = rack_id(std::to_string(n / 4)),
                               .slots = 32,
                               .processors = worker_processors,
                               .memory_mb = 32000};
    }
    return whole;
}

struct placement_policy {
    virtual ~placement_policy() = default;
    virtual std::vector<job_decision> decide(const job_view& view) = 0;
    virtual void on_run_ended(const job_id& job, const instance_id& worker, bool failed) = 0;
};

struct scheduler_policy : placement_policy {
    job_scheduler scheduler{{}};
    std::vector<job_decision> decide(const job_view& view) override
    {
        return scheduler.decide(view);
    }
    void on_run_ended(const job_id& job, const instance_id& worker, bool failed) override
    {
        scheduler.on_run_ended(job, worker, failed);
    }
};

/// Places jobs in order of submission on the first worker with enough free capacity for the
/// declared size.
struct first_fit_policy : placement_policy {
    std::vector<job_decision> decide(const job_view& view) override
    {
        std::map<instance_id, std::pair<double, std::int64_t>> free_capacity;
        for (const auto& [id, each] : view.whole.instances) {
            free_capacity[id] = {each.processors, static_cast<std::int64_t>(each.memory_mb)};
        }
        std::vector<const job*> waiting;
        for (const auto& [id, row] : view.jobs) {
            if (row.state == job_state::waiting) {
                waiting.push_back(&row);
                continue;
            }
            free_capacity[row.worker].first -= row.spec.declared.processors;
            free_capacity[row.worker].second -=
                static_cast<std::int64_t>(row.spec.declared.memory_mb);
        }
        std::ranges::stable_sort(waiting, {}, &job::submitted);
        std::vector<job_decision> decisions;
        for (const job* each : waiting) {
            const job_size& size = each->spec.declared;
            const auto memory = static_cast<std::int64_t>(size.memory_mb);
            const auto found = std::ranges::find_if(free_capacity, [&](const auto& entry) {
                return entry.second.first >= size.processors && entry.second.second >= memory;
            });
            if (found != free_capacity.end()) {
                found->second.first -= size.processors;
                found->second.second -= memory;
                decisions.emplace_back(start_job{.job = each->spec.id, .worker = found->first});
            }
        }
        return decisions;
    }
    void on_run_ended(const job_id& /*job*/, const instance_id& /*worker*/,
                      bool /*failed*/) override
    {
    }
};

struct simulation_result {
    std::size_t workers = 0;
    std::size_t missed_deadlines = 0;
    std::size_t deadline_warnings = 0;
    std::size_t moves = 0;
    std::size_t failed = 0;
    std::size_t unfinished = 0;
    double urgent_p99_ms = 0;
    double interactive_p99_s = 0;
    /// Mean share of the pool's processors that run background jobs at full pace while requests
    /// load the pool.
    double background_in_load = 0;

    [[nodiscard]] bool meets_goals() const
    {
        return missed_deadlines == 0 && failed == 0 && unfinished == 0 &&
               urgent_p99_ms <= static_cast<double>(max_urgent_wait.count());
    }
};

inline double p99(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, values.size() * 99 / 100)];
}

/// Runs a list of arrivals on one pool.
class simulation {
public:
    simulation(const scenario& conditions, placement_policy& policy, std::size_t workers,
               std::uint32_t reserve)
        : m_scenario(conditions), m_policy(policy), m_fleet(fleet_of(workers, reserve))
    {
        m_result.workers = workers;
    }

    simulation_result run(const std::vector<arrival>& arrivals)
    {
        auto next = arrivals.begin();
        for (m_elapsed = milliseconds(0); m_elapsed < max_duration; m_elapsed += tick) {
            for (; next != arrivals.end() && next->at <= m_elapsed; ++next) {
                m_jobs[next->spec.id] = {.spec = next->spec, .submitted = now()};
                m_runs[next->spec.id] = {.real = next->real};
            }
            progress();
            decide();
            if (next == arrivals.end() && m_jobs.empty()) {
                break;
            }
        }
        m_result.unfinished = m_jobs.size();
        for (const auto& [id, row] : m_jobs) {
            m_result.missed_deadlines += row.spec.deadline ? 1 : 0;
        }
        m_result.urgent_p99_ms = p99(m_urgent_waits_ms);
        m_result.interactive_p99_s = p99(m_interactive_waits_ms) / 1000;
        m_result.background_in_load = m_load_ticks > 0 ? m_background_share_sum / m_load_ticks : 0;
        return m_result;
    }

private:
    struct run_state {
        job_size real;
        /// Progress in terms of the real run time at full pace. The saved part outlasts the run.
        double progress_ms = 0;
        milliseconds stops_at{0};
        bool started_once = false;
    };

    [[nodiscard]] wall_time now() const { return wall_time{} + m_elapsed; }
    [[nodiscard]] bool under_load() const
    {
        return m_scenario.load && m_elapsed >= load_start && m_elapsed < load_end;
    }
    [[nodiscard]] bool fails(const instance_id& worker) const
    {
        const auto position =
            std::distance(m_fleet.instances.begin(), m_fleet.instances.find(worker));
        return static_cast<std::size_t>(position) < m_scenario.failing_workers;
    }

    /// Demand for each worker's processors as a share of them. Above one, all of its jobs slow
    /// down.
    std::map<instance_id, double> demand() const
    {
        std::map<instance_id, double> demand_by_worker;
        for (const auto& [id, row] : m_jobs) {
            if (row.state == job_state::placed) {
                const double share = row.pace == job_pace::throttled ? 1.0 / throttled_divisor : 1;
                demand_by_worker[row.worker] +=
                    share * m_runs.at(id).real.processors / worker_processors;
            }
        }
        return demand_by_worker;
    }

    void progress()
    {
        const auto demand_by_worker = demand();
        std::vector<job_id> ended;
        for (auto& [id, row] : m_jobs) {
            run_state& run = m_runs.at(id);
            if (row.state == job_state::stopping && m_elapsed >= run.stops_at) {
                row.saved = milliseconds(static_cast<std::int64_t>(run.progress_ms));
                row.state = job_state::waiting;
            }
            if (row.state != job_state::placed) {
                continue;
            }
            if (fails(row.worker)) {
                if (now() - row.placed >= failure_delay) {
                    end_failed(row, ended);
                }
                continue;
            }
            const bool throttled = row.pace == job_pace::throttled;
            if (under_load() && row.spec.work_class == version::priority::background &&
                !throttled) {
                m_background_share_sum += run.real.processors / worker_processors /
                                          static_cast<double>(m_fleet.instances.size());
            }
            run.progress_ms += static_cast<double>(tick.count()) /
                               (throttled ? throttled_divisor : 1) /
                               std::max(1.0, demand_by_worker.at(row.worker));
            if (run.progress_ms >= static_cast<double>(run.real.run_time.count())) {
                end_finished(row, ended);
            }
        }
        m_load_ticks += under_load() ? 1 : 0;
        for (const job_id& id : ended) {
            m_jobs.erase(id);
        }
    }

    void end_failed(job& row, std::vector<job_id>& ended)
    {
        m_policy.on_run_ended(row.spec.id, row.worker, true);
        row.state = job_state::waiting;
        if (++row.failures >= max_failures) {
            ++m_result.failed;
            m_result.missed_deadlines += row.spec.deadline ? 1 : 0;
            ended.push_back(row.spec.id);
        }
    }

    void end_finished(job& row, std::vector<job_id>& ended)
    {
        m_policy.on_run_ended(row.spec.id, row.worker, false);
        m_learned.on_run(row.spec, m_runs.at(row.spec.id).real, true);
        m_result.missed_deadlines += row.spec.deadline && now() > *row.spec.deadline ? 1 : 0;
        ended.push_back(row.spec.id);
    }

    void decide()
    {
        const auto decisions = m_policy.decide({.now = now(),
                                                .whole = m_fleet,
                                                .pool = pool_name,
                                                .jobs = m_jobs,
                                                .learned = m_learned,
                                                .used_elsewhere = m_no_usage,
                                                .limits = {},
                                                .interactive_load = under_load() ? 0.9 : 0.2});
        for (const job_decision& each : decisions) {
            std::visit([&](const auto& decision) { apply(decision); }, each);
        }
    }

    void apply(const start_job& decision)
    {
        job& row = m_jobs.at(decision.job);
        run_state& run = m_runs.at(decision.job);
        row.state = job_state::placed;
        row.worker = decision.worker;
        row.placed = now();
        row.pace = job_pace::full;
        ++row.run;
        run.progress_ms = static_cast<double>(row.saved.count());
        const auto waited = static_cast<double>((now() - row.submitted + tick).count());
        if (!std::exchange(run.started_once, true)) {
            if (row.spec.work_class == version::priority::urgent) {
                m_urgent_waits_ms.push_back(waited);
            }
            else if (row.spec.work_class == version::priority::interactive) {
                m_interactive_waits_ms.push_back(waited);
            }
        }
    }
    void apply(const vacate_job& decision)
    {
        m_jobs.at(decision.job).state = job_state::stopping;
        m_runs.at(decision.job).stops_at = m_elapsed + checkpoint_time;
        ++m_result.moves;
    }
    void apply(const set_job_pace& decision) { m_jobs.at(decision.job).pace = decision.pace; }
    void apply(const quarantine_worker& decision)
    {
        m_fleet.instances.at(decision.worker).state = version::instance_state::quarantined;
    }
    void apply(const refuse_job& decision)
    {
        ++m_result.failed;
        m_jobs.erase(decision.job);
    }
    void apply(const warn_deadline& /*decision*/) { ++m_result.deadline_warnings; }

    const scenario& m_scenario;
    placement_policy& m_policy;
    version::fleet m_fleet;
    milliseconds m_elapsed{0};
    std::map<job_id, job> m_jobs;
    std::map<job_id, run_state> m_runs;
    std::map<team_id, team_usage> m_no_usage;
    learned_sizes m_learned;
    std::vector<double> m_urgent_waits_ms;
    std::vector<double> m_interactive_waits_ms;
    double m_background_share_sum = 0;
    double m_load_ticks = 0;
    simulation_result m_result;
};

} // namespace plantaindoor::process
