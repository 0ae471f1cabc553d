// Polls every worker periodically, and sends the scheduler's orders to the workers.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/fleet/leader_lease.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace plantaindoor::fleet {

struct worker_poller_options {
    /// Delay between two polls of a worker, so that one poll reports several ended runs.
    milliseconds poll_interval{80};
    /// Up to which the delay rises while the process can't keep up: then fewer reports, of more
    /// ended runs each, leave more processor time for starts.
    milliseconds max_poll_interval{250};
    /// Lateness of the polls above which the process counts as not keeping up.
    milliseconds max_lateness{8};
    /// Delay after a poll that wasn't answered.
    milliseconds retry_delay{250};
    /// Maximum delay between polls while ended runs can't be acknowledged.
    milliseconds max_unacknowledged_time{200};
};

/// Loop thread only.
class worker_poller {
public:
    using event = std::function<void()>;

    /// Everything passed must outlive the poller.
    worker_poller(event_loop& loop, worker_gateway& workers, job::scheduler& scheduler,
                  const leader_lease& lease, metrics_registry& metrics,
                  worker_poller_options options, event on_change, event on_stale_token);
    worker_poller(const worker_poller&) = delete;
    worker_poller& operator=(const worker_poller&) = delete;
    ~worker_poller();

    /// Starts to poll new workers and removes those that no longer need polling.
    void refresh();
    /// Sends the orders to their workers, as long as the lease is valid.
    void send(const job::orders& orders);
    /// The worker belongs to another leader now: the answer to a poll in flight is ignored.
    void forget(const instance_id& id);
    /// While paused, or without a valid lease, no polls are sent; the results of polls in flight
    /// are still processed.
    void set_paused(bool paused);
    /// The delay between two polls of a worker at the current load.
    [[nodiscard]] milliseconds current_interval() const noexcept { return m_interval; }

private:
    struct polled_worker {
        bool polling = false;
        timer_id timer = timer_id::none;
        /// Doubles with each report while ended runs can't be acknowledged; otherwise 0.
        milliseconds unacknowledged_delay{0};
    };

    void poll(const instance_id& id);
    void send_stop(const job::stop_order& order, fencing_token token);
    void send_start(const job::start_order& order, fencing_token token);
    /// `start` is the worker's latest start that was known when the poll was sent.
    void handle_poll_result(const instance_id& id, time_point sent,
                            const std::optional<wall_time>& start, const poll_result& result);
    /// Whether a later incarnation of the worker is known than the one that started at `start`.
    [[nodiscard]] bool has_restarted(const instance_id& id,
                                     const std::optional<wall_time>& start) const;
    void poll_after(const instance_id& id, milliseconds delay);
    [[nodiscard]] milliseconds delay_after_report(const instance_id& id, polled_worker& polled);
    /// Adapts the interval to the lateness of a poll that was due at `due`.
    void note_lateness(time_point due);
    [[nodiscard]] worker_address address_of(const instance_id& id) const;
    [[nodiscard]] std::optional<machine_authority> authority_for(const instance_id& id) const;

    event_loop& m_loop;
    worker_gateway& m_workers;
    job::scheduler& m_scheduler;
    const leader_lease& m_lease;
    worker_poller_options m_options;
    event m_on_change;
    event m_on_stale_token;
    std::shared_ptr<bool> m_alive;
    std::map<instance_id, polled_worker> m_polled;
    /// Workers that were forgotten while a poll was in flight.
    std::set<instance_id> m_forgotten;
    milliseconds m_interval;
    bool m_paused = false;
    metric_counter& m_polls;
    metric_counter& m_missed_polls;
    metric_counter& m_starts;
    metric_counter& m_stops;
    metric_counter& m_throttles;
};

} // namespace plantaindoor::fleet
