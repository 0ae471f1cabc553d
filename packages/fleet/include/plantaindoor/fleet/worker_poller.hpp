// Looks at every worker again and again, and carries the scheduler's orders to them.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <functional>
#include <map>
#include <memory>

namespace plantaindoor::fleet {

struct worker_poller_options {
    fencing_token token = 0;
    /// Between two looks at a worker, so that one look brings several ends.
    milliseconds poll_interval{80};
    /// After a look that wasn't answered.
    milliseconds retry_delay{250};
    /// Longest pause while ends can't be acknowledged.
    milliseconds max_unacknowledged_time{200};
};

/// Loop thread only.
class worker_poller {
public:
    using event = std::function<void()>;

    /// Everything passed must outlive the watch.
    worker_poller(event_loop& loop, worker_gateway& workers, job::scheduler& scheduler,
                  metrics_registry& metrics, worker_poller_options options, event on_change,
                  event on_stale_token);
    worker_poller(const worker_poller&) = delete;
    worker_poller& operator=(const worker_poller&) = delete;
    ~worker_poller();

    /// Begins to look at workers that are new.
    void refresh();
    /// Sends orders out.
    void send(const job::orders& orders);
    /// While paused nothing is sent; looks on their way are still taken in.
    void set_paused(bool paused);

private:
    struct polled_worker {
        bool polling = false;
        timer_id timer = timer_id::none;
        milliseconds unacknowledged{0};
    };

    void poll(const instance_id& id);
    void handle_poll_result(const instance_id& id, time_point sent, const poll_result& result);
    void poll_after(const instance_id& id, milliseconds delay);
    [[nodiscard]] milliseconds pause_after_report(const instance_id& id, polled_worker& at);
    [[nodiscard]] worker_address address_of(const instance_id& id) const;

    event_loop& m_loop;
    worker_gateway& m_workers;
    job::scheduler& m_scheduler;
    worker_poller_options m_options;
    event m_on_change;
    event m_on_stale_token;
    std::shared_ptr<bool> m_alive;
    std::map<instance_id, polled_worker> m_polled;
    bool m_paused = false;
    metric_counter& m_polls;
    metric_counter& m_missed_polls;
    metric_counter& m_starts;
    metric_counter& m_stops;
    metric_counter& m_throttles;
};

} // namespace plantaindoor::fleet
