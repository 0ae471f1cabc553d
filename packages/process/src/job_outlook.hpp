// What placement has to know of one job: what it needs, how urgent it has become, what it blocks.
#pragma once

#include "plantaindoor/process/job_scheduler.hpp"
#include "worker_index.hpp"

#include <cstdint>
#include <vector>

namespace plantaindoor::process {

/// The class that a job has now: one near its deadline counts as interactive.
enum class job_rank { urgent, interactive, background };

struct job_outlook {
    const job* row = nullptr;
    job_size need;
    /// Run time that is left, at full pace.
    milliseconds remaining{0};
    job_rank rank = job_rank::background;
    /// Near its deadline while that can still be met: it rises and isn't throttled for load.
    bool hurried = false;
    /// Jobs of one rank go in this order.
    wall_time due{};
    /// Of its team and kind.
    std::uint32_t label = 0;
};

/// The largest workers of a pool, also those that are out: what can ever run there.
class largest_workers {
public:
    void add(const worker_room& whole);
    [[nodiscard]] bool fit(const job_size& need) const;
    [[nodiscard]] bool none() const { return m_rooms.empty(); }

private:
    /// None is contained in another.
    std::vector<worker_room> m_rooms;
};

/// What the job is expected to take of a worker; as declared where more than the declared would fit
/// nowhere. Thread-safe.
[[nodiscard]] job_size needed(const job_spec& spec, const learned_sizes& learned,
                              const largest_workers& largest);

/// Judges one job; `hurried` says that it got near its deadline before. Thread-safe.
[[nodiscard]] job_outlook outlook_of(const job& row, const job_size& need, wall_time now,
                                     const job_scheduler::options& how, bool hurried);

/// A job that will miss its deadline, and when it is expected to end.
struct missed_deadline {
    const job* row = nullptr;
    wall_time expected{};
};

/// The jobs that miss their deadlines even if the pool's `processors` do nothing but urgent work
/// and what is due before: a lower bound, so never a false alarm as far as run times are right.
/// Thread-safe.
[[nodiscard]] std::vector<missed_deadline> missed_deadlines(const std::vector<job_outlook>& all,
                                                            wall_time now, double processors);

} // namespace plantaindoor::process
