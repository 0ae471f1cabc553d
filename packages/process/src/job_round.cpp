#include "job_round.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace plantaindoor::process {

using version::instance;
using version::instance_state;
using version::priority;

namespace {

/// Searches for jobs that give way, and workers kept free for jobs that fit nowhere, in one round.
constexpr std::size_t most_searches = 50;
constexpr std::size_t most_kept = 4;

bool takes_jobs(const instance& each)
{
    return each.processors > 0 && each.slots > 0;
}

worker_room room_of(const instance& each)
{
    return {.processors = each.processors,
            .memory_mb = static_cast<std::int64_t>(each.memory_mb),
            .accelerators = each.accelerators,
            .slots = each.slots};
}

/// Whether a running wave over its pool still has to take the instance.
bool leaves_soon(const version::fleet& whole, const instance& each)
{
    return std::ranges::any_of(whole.waves, [&](const auto& entry) {
        const version::wave& open = entry.second;
        return open.state == version::wave_state::running && open.id != each.last_wave &&
               std::ranges::find(open.pools, each.pool) != open.pools.end();
    });
}

worker_group group_of(bool accelerated, bool leaving)
{
    if (accelerated) {
        return leaving ? worker_group::accelerated_leaving : worker_group::accelerated;
    }
    return leaving ? worker_group::plain_leaving : worker_group::plain;
}

bool as_large(const job_size& left, const job_size& right)
{
    return left.processors >= right.processors && left.memory_mb >= right.memory_mb &&
           left.accelerators >= right.accelerators;
}

} // namespace

job_round::job_round(const job_view& view, const job_scheduler::options& how,
                     job_scheduler_memory& memory)
    : m_view(view), m_how(how), m_memory(memory), m_used(view.used_elsewhere)
{
}

std::vector<job_decision> job_round::run()
{
    gather_workers();
    judge_workers();
    look_at_jobs();
    make_way_for_drains_and_limits();
    set_paces();
    hold_back();
    order_waiting();
    place_waiting();
    warn_of_deadlines();
    return std::move(m_decisions);
}

void job_round::gather_workers()
{
    std::map<std::pair<availability_zone_id, rack_id>, std::uint32_t> racks;
    for (const auto& [id, each] : m_view.whole.instances) {
        const bool lent_out = each.lent && each.lent->home == m_view.pool;
        if ((each.pool != m_view.pool && !lent_out) || !takes_jobs(each)) {
            continue;
        }
        m_largest.add(room_of(each));
        if (each.pool != m_view.pool || each.state != instance_state::admitted || each.moving) {
            continue;
        }
        const auto rack = racks.try_emplace({each.zone, each.rack}, racks.size()).first->second;
        m_positions.emplace(id, m_workers.size());
        m_workers.push_back(
            {.row = &each,
             .whole = room_of(each),
             .free = room_of(each),
             .rack = rack,
             .group = group_of(each.accelerators > 0, leaves_soon(m_view.whole, each))});
    }
    m_occupied.resize(m_workers.size());
    m_ordinary_processors.resize(m_workers.size());
    m_free_at.resize(m_workers.size(), m_view.now);
    m_labels_at.resize(m_workers.size());
}

void job_round::judge_workers()
{
    std::erase_if(m_memory.failed_here,
                  [&](const auto& entry) { return !m_positions.contains(entry.first); });
    std::vector<const worker*> suspects;
    for (const auto& [id, failed] : m_memory.failed_here) {
        if (failed.size() >= m_how.worker_failures) {
            suspects.push_back(&m_workers[m_positions.at(id)]);
        }
    }
    // What fails on most workers has another cause than the workers.
    if (suspects.size() * 2 > m_workers.size()) {
        return;
    }
    for (const worker* each : suspects) {
        m_workers[m_positions.at(each->row->id)].open = false;
        m_decisions.emplace_back(quarantine_worker{
            .worker = each->row->id,
            .reason = fmt::format("{} different jobs in a row failed there",
                                  m_memory.failed_here.at(each->row->id).size())});
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
        if (each.row->state == job_state::waiting) {
            m_waiting.push_back(&each);
        }
        else {
            use_quota(*each.row);
            occupy(each);
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
    const job_size need = needed(row.spec, m_view.learned, m_largest);
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
    if (!m_largest.fit(size)) {
        return refusal("job-too-large",
                       m_largest.none()
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

void job_round::use_quota(const job& row)
{
    team_usage& used = m_used[row.spec.team];
    used.processors += row.spec.declared.processors;
    used.accelerators += row.spec.declared.accelerators;
}

bool job_round::quota_left(const job& row) const
{
    const version::team& quota = m_view.whole.teams.at(row.spec.team);
    const auto found = m_used.find(row.spec.team);
    const team_usage used = found == m_used.end() ? team_usage{} : found->second;
    const job_size& size = row.spec.declared;
    constexpr double rounding = 1e-6;
    const bool processors_left =
        quota.max_job_processors <= 0 ||
        used.processors + size.processors <= quota.max_job_processors + rounding;
    const bool accelerators_left =
        quota.max_job_accelerators == 0 || size.accelerators == 0 ||
        std::uint64_t{used.accelerators} + size.accelerators <= quota.max_job_accelerators;
    return processors_left && accelerators_left;
}

void job_round::occupy(const job_outlook& each)
{
    const auto found = m_positions.find(each.row->worker);
    if (found == m_positions.end()) {
        return;
    }
    const std::size_t at = found->second;
    m_workers[at].free.take(each.need);
    m_labels_at[at].push_back(each.label);
    if (each.row->spec.work_class != priority::urgent) {
        m_ordinary_processors[at] += each.need.processors;
    }
    if (each.row->state == job_state::stopping) {
        m_occupied[at].coming.give(each.need);
        return;
    }
    m_free_at[at] = std::max(m_free_at[at], m_view.now + each.remaining);
}

bool job_round::may_start(priority work_class) const
{
    const class_limits& limits = m_view.limits;
    return !limits.stopped.contains(work_class) && !limits.checkpointed.contains(work_class) &&
           !limits.refused.contains(work_class);
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
        const auto position = m_positions.find(each.row->worker);
        if (position == m_positions.end()) {
            continue;
        }
        occupied_worker& occupied = m_occupied[position->second];
        if (m_leaving.contains(each.row)) {
            occupied.coming.give(each.need);
        }
        else if (spec.checkpoints && spec.work_class != priority::urgent) {
            occupied.movable.push_back(&each);
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

void job_round::hold_back()
{
    const std::size_t reserve =
        m_view.whole.pools.contains(m_view.pool) ? m_view.whole.pools.at(m_view.pool).reserve : 0;
    std::vector<std::size_t> order;
    for (std::size_t at = 0; at < m_workers.size(); ++at) {
        if (m_workers[at].open) {
            order.push_back(at);
        }
    }
    // Those with least ordinary work, so that what is held back is free soonest; once held back
    // they get none, so the choice stays.
    const auto key = [&](std::size_t at) {
        const worker& each = m_workers[at];
        const bool leaving = each.group == worker_group::plain_leaving ||
                             each.group == worker_group::accelerated_leaving;
        return std::tuple(m_ordinary_processors[at], leaving, -each.whole.processors, at);
    };
    std::ranges::sort(order, {}, key);
    for (std::size_t n = 0; n < std::min(reserve, order.size()); ++n) {
        m_workers[order[n]].group = worker_group::held;
    }
}

scarce_resource job_round::scarcest() const
{
    worker_room whole;
    for (const worker& each : m_workers) {
        whole.processors += each.whole.processors;
        whole.memory_mb += each.whole.memory_mb;
    }
    double processors = 0;
    double memory = 0;
    for (const job_outlook& each : m_jobs) {
        processors += each.need.processors;
        memory += static_cast<double>(each.need.memory_mb);
    }
    return memory * whole.processors > processors * static_cast<double>(whole.memory_mb)
               ? scarce_resource::memory
               : scarce_resource::processors;
}

void job_round::order_waiting()
{
    const auto earlier = [](const job_outlook* left, const job_outlook* right) {
        return std::tie(left->rank, left->due, left->row->submitted) <
               std::tie(right->rank, right->due, right->row->submitted);
    };
    // Stable: equals stay in the order of their ids.
    std::ranges::stable_sort(m_waiting, earlier);
}

void job_round::place_waiting()
{
    m_index.emplace(m_workers, scarcest());
    for (std::size_t at = 0; at < m_workers.size(); ++at) {
        worker_room& coming = m_occupied[at].coming;
        const worker_room& free = m_workers[at].free;
        coming = {.processors = coming.processors + free.processors,
                  .memory_mb = coming.memory_mb + free.memory_mb,
                  .accelerators = coming.accelerators + free.accelerators,
                  .slots = coming.slots + free.slots};
        for (const std::uint32_t label : m_labels_at[at]) {
            m_index->count(at, label);
        }
    }
    for (const job_outlook* each : m_waiting) {
        if (m_starts == m_how.max_starts) {
            return;
        }
        place(*each);
    }
}

void job_round::place(const job_outlook& each)
{
    const job& row = *each.row;
    if (row.cancel_asked || !may_start(row.spec.work_class) || !quota_left(row)) {
        return;
    }
    const auto failed = m_memory.failed_on.find(row.spec.id);
    const worker_wish wish{.need = each.need,
                           .label = each.label,
                           .urgent = row.spec.work_class == priority::urgent,
                           .avoided =
                               failed == m_memory.failed_on.end() ? nullptr : &failed->second};
    const std::size_t position = m_index->find(wish);
    if (position != m_index->none()) {
        start(each, wish, position);
    }
    else if (wish.urgent) {
        make_room(wish);
    }
    else if (m_view.now >= each.due || each.hurried) {
        keep_worker_for(each);
    }
}

void job_round::start(const job_outlook& each, const worker_wish& wish, std::size_t position)
{
    m_index->take(position, wish);
    m_occupied[position].coming.take(wish.need);
    use_quota(*each.row);
    ++m_starts;
    m_decisions.emplace_back(
        start_job{.job = each.row->spec.id, .worker = m_workers[position].row->id});
}

void job_round::make_room(const worker_wish& wish)
{
    const auto smaller = [&](const job_size& each) { return as_large(wish.need, each); };
    if (m_searches == most_searches || std::ranges::any_of(m_no_way_given, smaller)) {
        return;
    }
    ++m_searches;
    std::size_t position = 0;
    while (position < m_workers.size() &&
           !(m_workers[position].open && m_occupied[position].coming.fits(wish.need))) {
        ++position;
    }
    if (position == m_workers.size()) {
        const give_way_plan plan = plan_give_way(m_occupied, m_workers, wish.need, m_view.now);
        if (plan.leaving.empty()) {
            m_no_way_given.push_back(wish.need);
            return;
        }
        position = plan.worker;
        occupied_worker& occupied = m_occupied[position];
        for (const job_outlook* leaving : plan.leaving) {
            vacate(*leaving, true, "gives way to an urgent job");
            occupied.coming.give(leaving->need);
            std::erase(occupied.movable, leaving);
        }
    }
    // Promised to it, so that nothing else takes the room before the runs there have ended.
    m_index->take(position, wish);
    m_occupied[position].coming.take(wish.need);
}

void job_round::keep_worker_for(const job_outlook& each)
{
    if (m_kept == most_kept) {
        return;
    }
    std::size_t soonest = m_workers.size();
    for (std::size_t at = 0; at < m_workers.size(); ++at) {
        const worker& candidate = m_workers[at];
        if (candidate.open && candidate.group != worker_group::held &&
            candidate.whole.fits(each.need) &&
            (soonest == m_workers.size() || m_free_at[at] < m_free_at[soonest])) {
            soonest = at;
        }
    }
    if (soonest != m_workers.size()) {
        ++m_kept;
        m_index->close(soonest);
    }
}

void job_round::warn_of_deadlines()
{
    double processors = 0;
    for (const worker& each : m_workers) {
        processors += each.whole.processors;
    }
    std::set<job_id> missed;
    for (const missed_deadline& each : missed_deadlines(m_jobs, m_view.now, processors)) {
        missed.insert(each.row->spec.id);
        if (!m_memory.warned.contains(each.row->spec.id)) {
            m_decisions.emplace_back(
                warn_deadline{.job = each.row->spec.id, .expected = each.expected});
        }
    }
    m_memory.warned = std::move(missed);
}

} // namespace plantaindoor::process
