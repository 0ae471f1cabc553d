#include "plantaindoor/job/scheduler.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantaindoor::job {

bool scheduler::is_outdated(const worker_listing& listing) const
{
    const auto known = latest_start(listing.id);
    return listing.started_at && known && *listing.started_at < *known;
}

bool scheduler::is_outdated(const worker_record& worker, const worker_report& report,
                            time_point sent)
{
    if (!report.started_at) {
        return false;
    }
    // A worker's own word goes before its row, which another writer may have written: a report that
    // was requested after the row was noted refutes it.
    return (worker.started_at && *report.started_at < *worker.started_at) ||
           (worker.listed_start && *report.started_at < *worker.listed_start &&
            sent < worker.listed_start_noted);
}

std::optional<wall_time> scheduler::latest_start(const instance_id& id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? std::nullopt : found->second.latest_start();
}

void scheduler::begin_incarnation(worker_record& worker, const worker_report& report,
                                  time_point sent)
{
    std::map<run_name, worker_run> kept;
    const auto keep = [&](const auto& belongs) {
        for (auto at = worker.runs.begin(); at != worker.runs.end();) {
            const auto next = std::next(at);
            if (belongs(*at)) {
                kept.insert(worker.runs.extract(at));
            }
            at = next;
        }
    };
    const auto names = [](const auto& list, const run_name& run) {
        return std::any_of(list.begin(), list.end(),
                           [&](const auto& each) { return each.run == run; });
    };
    // Orders that were sent before the restart was known may have reached this incarnation.
    keep([&](const auto& each) {
        return each.second.last_report == 0 &&
               (names(report.running, each.first) || names(report.ended.runs, each.first));
    });
    const bool planned = is_planned_end(worker);
    const auto suspects = planned ? std::vector<crash_suspect>() : crash_suspects(worker);
    // Those without an answer may still reach it, so they are not over until it refuses them.
    // A partial list may yet name any of them.
    keep([&](const auto& each) {
        return each.second.last_report == 0 &&
               (report.ended.extent == list_extent::partial ||
                each.second.confirmed == time_point{} || each.second.confirmed >= sent);
    });
    remove_lost_runs(worker, worker_end::restarted);
    worker.runs = std::move(kept);
    for (auto& [name, run] : worker.runs) {
        run.stop_sent.reset();
        run.stop_answered.reset();
    }
    worker.token_acknowledged = false;
    worker.predecessor_runs_known = false;
    worker.reported_capacity.reset();
    worker.departure.reset();
    if (worker.listing.draining) {
        // The row may still be the earlier incarnation's.
        worker.departure.emplace(m_now);
    }
    worker.clock.reset();
    worker.applied_sequence = 0;
    worker.committed_sequence = 0;
    m_persisting_sequences.erase(worker.listing.id);
    worker.consecutive_failures = 0;
    note_crash(suspects);
}

void scheduler::note_listed_start(worker_record& worker, const worker_listing& listing,
                                  time_point now)
{
    if (!listing.started_at ||
        (worker.latest_start() && *listing.started_at <= *worker.latest_start())) {
        return;
    }
    worker.listed_start = listing.started_at;
    worker.listed_start_noted = now;
    if (worker.started_at) {
        worker.token_acknowledged = false;
        worker.predecessor_runs_known = false;
        worker.clock.reset();
        worker.departure.reset();
        worker.last_answer = now;
        worker.planned_restart = worker.planned_restart || worker.listing.draining ||
                                 worker.listing.service != listing.service;
    }
}

void scheduler::note_reported_start(worker_record& worker, const worker_report& report,
                                    time_point sent)
{
    if (report.started_at) {
        worker.started_at = report.started_at;
    }
    if (report.started_at || sent >= worker.listed_start_noted) {
        worker.listed_start.reset();
        worker.planned_restart = false;
    }
}

} // namespace plantaindoor::job
