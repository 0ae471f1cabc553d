#include "job_round.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace plantaindoor::process {

using version::instance_state;
using version::priority;

job_round::job_round(const job_view& view, const job_scheduler::options& how,
                     job_scheduler_memory& memory)
    : m_view(view), m_how(how), m_memory(memory), m_placement(view, how, memory)
{
}

std::vector<job_decision> job_round::run()
{
    judge_workers();
    look_at_jobs();
    make_way_for_drains_and_limits();
    set_paces();
    place_waiting();
    warn_of_deadlines();
    return std::move(m_decisions);
}

void job_round::judge_workers()
{
    auto& failed_here = m_memory.failed_here;
    std::erase_if(failed_here, [&](const auto& entry) { return !m_placement.has(entry.first); });
    std::vector<std::pair<instance_id, std::size_t>> suspects;
    for (const auto& [id, failed] : failed_here) {
        if (failed.size() >= m_how.worker_failures) {
            suspects.emplace_back(id, failed.size());
        }
    }
    // What fails on most workers has another cause than the workers.
    if (suspects.size() * 2 > m_placement.workers()) {
        return;
    }
    for (const auto& [id, jobs] : suspects) {
        m_placement.close(id);
        m_decisions.emplace_back(quarantine_worker{
            .worker = id, .reason = fmt::format("{} different jobs in a row failed there", jobs)});
    }
}

std::uint32_t job_round::label_of(const job_spec& spec)
{
    return m_labels.try_emplace({spec.team, spec.kind}, m_labels.size()).first->second;
}

void job_round::look_at_jobs()
{
    m_jobs.reserve(m_view.jobs.size());
    for (const auto& [id, row] : m_view.jobs) {
        if (!is_over(row.state)) {
            look_at(row);
        }
    }
    const auto gone = [&](const job_id& id) { return !m_view.jobs.contains(id); };
    std::erase_if(m_memory.failed_on, [&](const auto& entry) { return gone(entry.first); });
    std::erase_if(m_memory.hurried, gone);
    for (const job_outlook& each : m_jobs) {
        if (each.row->state != job_state::waiting) {
            m_placement.occupy(each);
        }
    }
}

void job_round::look_at(const job& row)
{
    if (row.state == job_state::waiting && !row.cancel_asked) {
        if (auto refused = refusal_of(row)) {
            m_decisions.emplace_back(std::move(*refused));
            return;
        }
    }
    const job_size need = needed(row.spec, m_view.learned, m_placement.largest());
    job_outlook seen =
        outlook_of(row, need, m_view.now, m_how, m_memory.hurried.contains(row.spec.id));
    seen.label = label_of(row.spec);
    if (seen.hurried) {
        m_memory.hurried.insert(row.spec.id);
    }
    m_jobs.push_back(seen);
}

std::optional<refuse_job> job_round::refusal_of(const job& row) const
{
    const job_spec& spec = row.spec;
    const job_size& size = spec.declared;
    const auto refusal = [&](std::string type, std::string message) {
        return refuse_job{.job = spec.id, .type = std::move(type), .message = std::move(message)};
    };
    if (!m_view.whole.pools.contains(m_view.pool)) {
        return refusal("unknown-pool", fmt::format("there is no pool {}", m_view.pool.str()));
    }
    const auto team = m_view.whole.teams.find(spec.team);
    if (team == m_view.whole.teams.end()) {
        return refusal("unknown-team", fmt::format("there is no team {}", spec.team.str()));
    }
    if (!m_placement.largest().fit(size)) {
        return refusal("job-too-large",
                       m_placement.largest().none()
                           ? fmt::format("no worker of pool {} takes jobs", m_view.pool.str())
                           : fmt::format("{} processors, {} MB and {} accelerators fit on no "
                                         "worker of pool {}, not on an empty one either",
                                         size.processors, size.memory_mb, size.accelerators,
                                         m_view.pool.str()));
    }
    const version::team& quota = team->second;
    if ((quota.max_job_processors > 0 && size.processors > quota.max_job_processors) ||
        (quota.max_job_accelerators > 0 && size.accelerators > quota.max_job_accelerators)) {
        return refusal("job-over-quota",
                       fmt::format("{} processors and {} accelerators are above the quota of team "
                                   "{}, {} and {} (0: no limit)",
                                   size.processors, size.accelerators, spec.team.str(),
                                   quota.max_job_processors, quota.max_job_accelerators));
    }
    if (row.run == 0 && spec.deadline && *spec.deadline <= row.submitted) {
        return refusal("deadline-passed", "the deadline had passed when the job was submitted");
    }
    if (row.run == 0 && m_view.limits.refused.contains(spec.work_class)) {
        return refusal("class-refused",
                       fmt::format("a rule refuses {} jobs", name_of(spec.work_class)));
    }
    return std::nullopt;
}

void job_round::vacate(const job_outlook& each, bool save, std::string reason)
{
    m_leaving.insert(each.row);
    m_decisions.emplace_back(
        vacate_job{.job = each.row->spec.id, .save = save, .reason = std::move(reason)});
}

void job_round::make_way_for_drains_and_limits()
{
    for (const job_outlook& each : m_jobs) {
        if (each.row->state != job_state::placed || each.row->cancel_asked) {
            continue;
        }
        const job_spec& spec = each.row->spec;
        const auto at = m_view.whole.instances.find(each.row->worker);
        if (at != m_view.whole.instances.end() && at->second.state == instance_state::draining) {
            vacate(each, spec.checkpoints, "its worker is being drained");
        }
        else if (m_view.limits.stopped.contains(spec.work_class)) {
            vacate(each, false, "a rule stops its class");
        }
        else if (m_view.limits.checkpointed.contains(spec.work_class) && spec.checkpoints) {
            vacate(each, true, "a rule checkpoints its class");
        }
        if (m_leaving.contains(each.row)) {
            m_placement.on_leaving(each);
        }
        else if (spec.checkpoints && spec.work_class != priority::urgent) {
            m_placement.on_movable(each);
        }
    }
}

void job_round::set_paces()
{
    bool& throttling = m_memory.throttling;
    throttling = m_view.interactive_load >= m_how.throttle_from ||
                 (throttling && m_view.interactive_load > m_how.throttle_until);
    for (const job_outlook& each : m_jobs) {
        const job& row = *each.row;
        if (row.state != job_state::placed || m_leaving.contains(&row)) {
            continue;
        }
        const bool by_rule = m_view.limits.throttled.contains(row.spec.work_class);
        const bool by_load =
            throttling && row.spec.work_class == priority::background && !each.hurried;
        const job_pace wanted = by_rule || by_load ? job_pace::throttled : job_pace::full;
        if (wanted != row.pace) {
            m_decisions.emplace_back(
                set_job_pace{.job = row.spec.id,
                             .pace = wanted,
                             .reason = by_rule   ? "a rule throttles its class"
                                       : by_load ? "interactive load"
                                       : throttling && row.spec.work_class == priority::background
                                           ? "its deadline is near"
                                           : "nothing throttles its class any more"});
        }
    }
}

void job_round::place_waiting()
{
    std::vector<const job_outlook*> waiting;
    for (const job_outlook& each : m_jobs) {
        if (each.row->state == job_state::waiting) {
            waiting.push_back(&each);
        }
    }
    std::ranges::move(m_placement.place(std::move(waiting)), std::back_inserter(m_decisions));
}

void job_round::warn_of_deadlines()
{
    std::set<job_id> missed;
    for (const missed_deadline& each :
         missed_deadlines(m_jobs, m_view.now, m_placement.processors())) {
        missed.insert(each.row->spec.id);
        if (!m_memory.warned.contains(each.row->spec.id)) {
            m_decisions.emplace_back(
                warn_deadline{.job = each.row->spec.id, .expected = each.expected});
        }
    }
    m_memory.warned = std::move(missed);
}

} // namespace plantaindoor::process
