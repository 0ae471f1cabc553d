#include "plantaindoor/job/job_tier.hpp"

namespace plantaindoor::job {

namespace {

/// A job that completes after this many times its objective is worth nothing to its callers.
constexpr int zero_value_factor = 3;

} // namespace

job_tier tier_of(const job_record& job, time_point now)
{
    // A long-running job that has started serves users: it isn't made to wait when it moves.
    if (job.is_long_running()) {
        return job.is_beyond_rate() && job.state() == job_state::queued ? job_tier::beyond_rate
                                                                        : job_tier::long_running;
    }
    const time_point objective = job.objective();
    const time_point earliest_end = now + job.remaining_path();
    if (earliest_end > job.submitted() + (objective - job.submitted()) * zero_value_factor) {
        return job_tier::zero_value;
    }
    if (job.is_beyond_rate()) {
        return job_tier::beyond_rate;
    }
    return earliest_end > objective ? job_tier::late : job_tier::on_time;
}

} // namespace plantaindoor::job
