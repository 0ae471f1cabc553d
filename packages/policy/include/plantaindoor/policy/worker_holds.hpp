// Decides which worker is kept free of other tasks for a short task that finds no room.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/long_running_reservations.hpp"
#include "plantaindoor/policy/resources.hpp"

#include <map>
#include <optional>
#include <vector>

namespace plantaindoor::policy {

/// Holds at most one worker of each service, for the first job of a round that asks for it and
/// finds one: narrower tasks would otherwise take each bit of room before there is enough. No run
/// is stopped for it. Deterministic; not thread-safe.
class worker_holds {
public:
    /// How long a job has nothing running before a worker is held for it.
    static constexpr milliseconds patience{1000};
    /// Bounds the processor time where rounds follow each other quickly.
    static constexpr milliseconds choice_interval{200};

    /// `stop_time`: how long a worker takes to stop a run.
    explicit worker_holds(milliseconds stop_time) : m_stop_time(stop_time) {}

    /// Begins a round of placement.
    void begin_round(time_point now);
    /// Whether a worker of the service is held in this round.
    [[nodiscard]] bool has_hold(const service_id& service) const
    {
        return m_renewed.contains(service);
    }
    /// The worker that was held for the job in the last round; nullopt if none was.
    [[nodiscard]] std::optional<instance_id> held_for(const job_id& job,
                                                      const service_id& service) const;
    /// Holds that worker. Requires that no other of the service is held in this round.
    void hold(const job_id& job, const service_id& service, const instance_id& worker);
    /// Whether a worker of the service may be chosen in this round.
    [[nodiscard]] bool may_choose(const service_id& service) const;
    /// Records that the workers of the service are searched in this round.
    void note_choice(const service_id& service) { m_chosen_at[service] = m_now; }
    /// Returns the worker that is expected to have the room first; nullopt if none ever has.
    [[nodiscard]] std::optional<instance_id>
    choose(const resources& need, const std::vector<reservable_worker>& workers) const;
    /// Ends the round: what was not held again is released.
    void end_round();

    /// Whether the worker was held in the last complete round.
    [[nodiscard]] bool is_held(const instance_id& worker) const;

    /// Records that no worker of the service can ever take a task with that need in this round.
    void note_unfit(const service_id& service, const resources& need);
    /// Whether that is known for an equal or smaller need.
    [[nodiscard]] bool is_unfit(const service_id& service, const resources& need) const;

private:
    struct held_worker {
        job_id job;
        instance_id worker;
    };

    milliseconds m_stop_time;
    time_point m_now{};
    /// Of the last round, and of the current one.
    std::map<service_id, held_worker> m_held;
    std::map<service_id, held_worker> m_renewed;
    std::map<service_id, std::vector<resources>> m_unfit;
    /// The last round in which the workers of a service were searched.
    std::map<service_id, time_point> m_chosen_at;
};

} // namespace plantaindoor::policy
