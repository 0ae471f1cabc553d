#include "plantaindoor/job/worker.hpp"

#include <algorithm>
#include <string>

namespace plantaindoor::job {

namespace {

/// Longer silence of a worker makes its tasks count on others.
constexpr milliseconds brief_silence{1500};
/// Margins of a lease bound: a worker's clock may be 2% slow according to the platform's
/// documentation, and an answer takes time.
constexpr double clock_margin_factor = 1.03;
constexpr milliseconds lease_slack{300};

} // namespace

milliseconds with_clock_margins(milliseconds time)
{
    return milliseconds(static_cast<std::int64_t>(double(time.count()) * clock_margin_factor)) +
           lease_slack;
}

bool worker_listing::has_label(const std::string& label) const
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

instance_id worker_record::incarnation() const
{
    if (!started_at) {
        return listing.id;
    }
    return instance_id(listing.id.str() + "@" +
                       std::to_string(started_at->time_since_epoch().count()));
}

bool worker_record::is_silent(time_point now) const
{
    return unresponsive_since && now - *unresponsive_since >= brief_silence;
}

std::optional<time_point> worker_record::displaces_since() const
{
    if (departure) {
        return departure->announced();
    }
    return cordoned ? std::optional(cordoned_since) : std::nullopt;
}

bool worker_record::keeps_long_running() const
{
    return long_running_runs > 0 && std::any_of(runs.begin(), runs.end(), [](const auto& each) {
               return each.second.long_running && each.second.phase != run_phase::stopping;
           });
}

bool worker_record::accepts_tasks() const
{
    return listed && token_acknowledged && !cordoned && !is_leaving();
}

bool worker_record::is_usable(time_point now) const
{
    return accepts_tasks() && missed_polls == 0 && now >= quarantined_until && now >= full_until;
}

bool worker_record::may_list_earlier_ends(time_point now) const
{
    return token_acknowledged && has_unlisted_ends && !predecessor_runs_known &&
           (missed_polls == 0 || now <= lease_bound);
}

resources worker_record::capacity_beside_long_running() const
{
    resources left = capacity();
    for (const auto& [name, run] : runs) {
        left -= run.long_running ? run.footprint : resources{};
    }
    return left;
}

} // namespace plantaindoor::job
