#include "job_placement.hpp"

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

} // namespace

job_placement::job_placement(const job_view& view, const job_scheduler::options& how,
                             const job_scheduler_memory& memory)
    : m_view(view), m_how(how), m_memory(memory), m_used(view.used_elsewhere)
{
    gather_workers();
}

double job_placement::processors() const
{
    double sum = 0;
    for (const worker& each : m_workers) {
        sum += each.whole.processors;
    }
    return sum;
}

void job_placement::close(const instance_id& worker)
{
    m_workers[m_positions.at(worker)].open = false;
}

void job_placement::gather_workers()
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

void job_placement::use_quota(const job& row)
{
    team_usage& used = m_used[row.spec.team];
    used.processors += row.spec.declared.processors;
    used.accelerators += row.spec.declared.accelerators;
}

bool job_placement::quota_left(const job& row) const
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

void job_placement::occupy(const job_outlook& each)
{
    use_quota(*each.row);
    m_wanted_processors += each.need.processors;
    m_wanted_memory_mb += static_cast<double>(each.need.memory_mb);
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

void job_placement::on_leaving(const job_outlook& each)
{
    const auto found = m_positions.find(each.row->worker);
    if (found != m_positions.end()) {
        m_occupied[found->second].coming.give(each.need);
    }
}

void job_placement::on_movable(const job_outlook& each)
{
    const auto found = m_positions.find(each.row->worker);
    if (found != m_positions.end()) {
        m_occupied[found->second].movable.push_back(&each);
    }
}

bool job_placement::may_start(priority work_class) const
{
    const class_limits& limits = m_view.limits;
    return !limits.stopped.contains(work_class) && !limits.checkpointed.contains(work_class) &&
           !limits.refused.contains(work_class);
}

void job_placement::hold_back()
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

scarce_resource job_placement::scarcest() const
{
    worker_room whole;
    for (const worker& each : m_workers) {
        whole.processors += each.whole.processors;
        whole.memory_mb += each.whole.memory_mb;
    }
    return m_wanted_memory_mb * whole.processors >
                   m_wanted_processors * static_cast<double>(whole.memory_mb)
               ? scarce_resource::memory
               : scarce_resource::processors;
}

std::vector<job_decision> job_placement::place(std::vector<const job_outlook*> waiting)
{
    const auto earlier = [](const job_outlook* left, const job_outlook* right) {
        return std::tie(left->rank, left->due, left->row->submitted) <
               std::tie(right->rank, right->due, right->row->submitted);
    };
    // Stable: equals stay in the order of their ids.
    std::ranges::stable_sort(waiting, earlier);
    for (const job_outlook* each : waiting) {
        m_wanted_processors += each->need.processors;
        m_wanted_memory_mb += static_cast<double>(each->need.memory_mb);
    }
    hold_back();
    build_index();
    for (const job_outlook* each : waiting) {
        if (m_starts == m_how.max_starts) {
            break;
        }
        place_one(*each);
    }
    return std::move(m_decisions);
}

void job_placement::build_index()
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
}

const std::set<instance_id>* job_placement::avoided_by(const job_outlook& each) const
{
    const auto failed = m_memory.failed_on.find(each.row->spec.id);
    if (failed == m_memory.failed_on.end()) {
        return nullptr;
    }
    // It rather waits than fails again: a failing worker is the one that always has room.
    const bool urgent = each.row->spec.work_class == priority::urgent;
    const bool others = std::ranges::any_of(m_workers, [&](const worker& candidate) {
        const bool allowed = candidate.open && (urgent || candidate.group != worker_group::held);
        return allowed && candidate.whole.fits(each.need) &&
               !failed->second.contains(candidate.row->id);
    });
    return others ? &failed->second : nullptr;
}

bool job_placement::suits(std::size_t position, const worker_wish& wish) const
{
    const worker& candidate = m_workers[position];
    return candidate.open && candidate.whole.fits(wish.need) &&
           (wish.avoided == nullptr || !wish.avoided->contains(candidate.row->id));
}

void job_placement::place_one(const job_outlook& each)
{
    const job& row = *each.row;
    if (row.cancel_asked || !may_start(row.spec.work_class) || !quota_left(row)) {
        return;
    }
    const worker_wish wish{.need = each.need,
                           .label = each.label,
                           .urgent = row.spec.work_class == priority::urgent,
                           .avoided = avoided_by(each)};
    const std::size_t position = m_index->find(wish);
    if (position != m_index->none()) {
        start(each, wish, position);
    }
    else if (wish.urgent) {
        if (make_room(wish)) {
            // Else a later job of its team takes the quota that it needs once the room is there.
            use_quota(row);
        }
    }
    else if (m_view.now >= each.due) {
        keep_worker_for(wish);
    }
}

void job_placement::start(const job_outlook& each, const worker_wish& wish, std::size_t position)
{
    m_index->take(position, wish);
    m_occupied[position].coming.take(wish.need);
    use_quota(*each.row);
    ++m_starts;
    m_decisions.emplace_back(
        start_job{.job = each.row->spec.id, .worker = m_workers[position].row->id});
}

bool job_placement::make_room(const worker_wish& wish)
{
    const auto smaller = [&](const job_size& each) { return as_large(wish.need, each); };
    if (m_searches == most_searches || std::ranges::any_of(m_no_way_given, smaller)) {
        return false;
    }
    ++m_searches;
    std::size_t position = 0;
    while (position < m_workers.size() &&
           !(suits(position, wish) && m_occupied[position].coming.fits(wish.need))) {
        ++position;
    }
    if (position == m_workers.size()) {
        const give_way_plan plan = plan_give_way(m_occupied, m_workers, wish, m_view.now);
        if (plan.leaving.empty()) {
            if (wish.avoided == nullptr) {
                m_no_way_given.push_back(wish.need);
            }
            return false;
        }
        position = plan.worker;
        occupied_worker& occupied = m_occupied[position];
        for (const job_outlook* leaving : plan.leaving) {
            m_decisions.emplace_back(vacate_job{.job = leaving->row->spec.id,
                                                .save = true,
                                                .reason = "gives way to an urgent job"});
            occupied.coming.give(leaving->need);
            std::erase(occupied.movable, leaving);
        }
    }
    // Promised to it, so that nothing else takes the room before the runs there have ended.
    m_index->take(position, wish);
    m_occupied[position].coming.take(wish.need);
    return true;
}

void job_placement::keep_worker_for(const worker_wish& wish)
{
    // A backlog of aged jobs must not keep a small pool idle.
    const std::size_t most = std::clamp<std::size_t>(m_workers.size() / 8, 1, most_kept);
    if (m_kept == most) {
        return;
    }
    std::size_t soonest = m_workers.size();
    for (std::size_t at = 0; at < m_workers.size(); ++at) {
        if (suits(at, wish) && m_workers[at].group != worker_group::held &&
            (soonest == m_workers.size() || m_free_at[at] < m_free_at[soonest])) {
            soonest = at;
        }
    }
    if (soonest != m_workers.size()) {
        ++m_kept;
        m_index->close(soonest);
    }
}

} // namespace plantaindoor::process
