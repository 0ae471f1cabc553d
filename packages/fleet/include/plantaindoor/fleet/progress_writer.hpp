// Keeps the jobs' progress in the store, in groups, and renews the duty's lease with the same
// transactions. Each depends on the one before, so that none that arrives late undoes a later one.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

struct progress_writer_options {
    row_condition claim;
    /// Written by every transaction, so that each depends on the one before.
    row_condition sequence;
    /// Watched by the other entries, so written only as often as the lease needs.
    row_address renewal;
    /// Tells this holder's transactions from others'.
    std::string incarnation;
    /// Collects what changes within this time into one transaction.
    milliseconds batch_window{12};
    milliseconds renew_interval{800};
    milliseconds commit_timeout{1500};
    milliseconds retry_delay{100};
};

/// Loop thread only.
class progress_writer {
public:
    using event = std::function<void()>;

    struct event_handlers {
        /// Something has become durable.
        event on_persisted;
        /// The lease has been renewed by a transaction that was sent at this time.
        std::function<void(time_point sent)> on_renewed;
        /// The claim no longer stands.
        event on_lost;
    };

    /// Everything passed must outlive the writer. `clock` must also count suspended time.
    progress_writer(event_loop& loop, row_store& store, job::scheduler& scheduler,
                    metrics_registry& metrics, progress_writer_options options,
                    std::function<time_point()> clock, event_handlers handlers);
    progress_writer(const progress_writer&) = delete;
    progress_writer& operator=(const progress_writer&) = delete;
    ~progress_writer();

    /// Something may have to be kept.
    void refresh();
    /// Removes a row of the claim's partition with a later transaction.
    void queue_removal(const row_address& at) { m_removals.push_back(at); }

private:
    void send();
    void finish(time_point sent, const commit_result& result);
    void settle_conflict(const commit_result& result);
    void send_after(milliseconds delay);

    event_loop& m_loop;
    row_store& m_store;
    job::scheduler& m_scheduler;
    progress_writer_options m_options;
    std::function<time_point()> m_clock;
    event_handlers m_handlers;
    std::shared_ptr<bool> m_alive;
    timer_id m_timer = timer_id::none;
    /// When the timer will have waited only to gather.
    bool m_batching = false;
    bool m_busy = false;
    std::uint64_t m_count = 0;
    /// When the renewal was last sent, and whether the present transaction has it.
    time_point m_renewal_sent{};
    bool m_renewing = false;
    std::vector<job_id> m_unsent;
    std::vector<row_address> m_removals;
    std::vector<row_address> m_removing;
    metric_counter& m_commits;
    metric_counter& m_rows;
    metric_counter& m_bytes;
};

} // namespace plantaindoor::fleet
