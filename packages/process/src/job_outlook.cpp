#include "job_outlook.hpp"

#include <algorithm>

namespace plantaindoor::process {

namespace {

/// A run that takes longer than expected is taken to need this share of the expected time more.
constexpr double least_left = 0.1;
/// Keeps sums of times in range, whatever was declared.
constexpr milliseconds longest_run_time = std::chrono::days(3650);
/// Pace of a throttled run; the platform promises no figure, so the slow end of what is usual.
constexpr int throttled_divisor = 4;

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

milliseconds time_left(const job& row, const job_size& need, wall_time now)
{
    milliseconds done = row.saved;
    if (row.state == job_state::placed) {
        const milliseconds since = std::max(milliseconds(0), now - row.placed);
        done += row.pace == job_pace::throttled ? since / throttled_divisor : since;
    }
    return std::max(need.run_time - done, scaled(need.run_time, least_left));
}

bool contains(const worker_room& whole, const worker_room& other)
{
    return whole.processors >= other.processors && whole.memory_mb >= other.memory_mb &&
           whole.accelerators >= other.accelerators;
}

job_rank own_rank(version::priority work_class)
{
    return static_cast<job_rank>(work_class);
}

} // namespace

void largest_workers::add(const worker_room& whole)
{
    const auto holds = [&](const worker_room& each) { return contains(each, whole); };
    if (std::ranges::any_of(m_rooms, holds)) {
        return;
    }
    std::erase_if(m_rooms, [&](const worker_room& each) { return contains(whole, each); });
    m_rooms.push_back(whole);
}

bool largest_workers::fit(const job_size& need) const
{
    return std::ranges::any_of(m_rooms, [&](const worker_room& each) { return each.fits(need); });
}

job_size needed(const job_spec& spec, const learned_sizes& learned, const largest_workers& largest)
{
    job_size expected = learned.expected(spec);
    if (!largest.fit(expected)) {
        expected.processors = spec.declared.processors;
        expected.memory_mb = spec.declared.memory_mb;
    }
    expected.run_time = std::clamp(expected.run_time, milliseconds(0), longest_run_time);
    return expected;
}

job_outlook outlook_of(const job& row, const job_size& need, wall_time now,
                       const job_scheduler::options& how, bool hurried)
{
    const bool background = row.spec.work_class == version::priority::background;
    job_outlook seen{.row = &row,
                     .need = need,
                     .remaining = time_left(row, need, now),
                     .rank = own_rank(row.spec.work_class),
                     .due = row.submitted + (background ? how.patience : how.interactive_patience)};
    const auto& deadline = row.spec.deadline;
    // A deadline that can't be met any more must not cost others theirs.
    if (!deadline || now + seen.remaining > *deadline) {
        return seen;
    }
    const milliseconds with_margin = scaled(seen.remaining, 1 + how.deadline_margin);
    const wall_time latest = *deadline - with_margin;
    seen.hurried = hurried || now + scaled(with_margin, how.rise_ahead) >= latest;
    seen.due = std::min(seen.due, latest);
    if (seen.hurried) {
        seen.rank = std::min(seen.rank, job_rank::interactive);
    }
    return seen;
}

std::vector<missed_deadline> missed_deadlines(const std::vector<job_outlook>& all, wall_time now,
                                              double processors)
{
    std::vector<const job_outlook*> by_deadline;
    double work = 0;
    const auto work_of = [](const job_outlook& each) {
        return static_cast<double>(each.remaining.count()) * each.need.processors;
    };
    for (const job_outlook& each : all) {
        if (each.row->spec.deadline) {
            by_deadline.push_back(&each);
        }
        else if (each.rank == job_rank::urgent) {
            work += work_of(each);
        }
    }
    std::ranges::stable_sort(by_deadline, {},
                             [](const job_outlook* each) { return *each->row->spec.deadline; });
    std::vector<missed_deadline> missed;
    for (const job_outlook* each : by_deadline) {
        const wall_time alone = now + each->remaining;
        wall_time expected = alone;
        if (each->row->state != job_state::placed && processors > 0) {
            const double queued = (work + work_of(*each)) / processors;
            expected = std::max(alone, now + milliseconds(static_cast<std::int64_t>(queued)));
        }
        if (expected > *each->row->spec.deadline) {
            missed.push_back({.row = each->row, .expected = expected});
            continue;
        }
        work += work_of(*each);
    }
    return missed;
}

} // namespace plantaindoor::process
