#include "plantaindoor/job/worker.hpp"

#include <algorithm>
#include <string>

namespace plantaindoor::job {

namespace {

/// Longer silence of a worker makes its tasks count on others.
constexpr milliseconds brief_silence{1500};

} // namespace

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

bool worker_record::accepts_tasks() const
{
    return listed && token_acknowledged && !cordoned && !is_leaving();
}

bool worker_record::is_usable(time_point now) const
{
    return accepts_tasks() && missed_polls == 0 && now >= quarantined_until && now >= full_until;
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
