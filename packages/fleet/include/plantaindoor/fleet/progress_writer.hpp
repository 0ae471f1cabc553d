// Writes the jobs' progress to the store in batches, and renews the leader's lease in the same
// transactions. Each is conditioned on the previous one, so that a transaction that arrives late
// can't overwrite a later one.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

struct progress_writer_options {
    row_condition claim;
    /// Written by every transaction, so that each depends on the previous one.
    row_condition sequence;
    /// Watched by the other entries, so written only as often as the lease requires.
    row_address renewal;
    shard_number shard = 0;
    /// Distinguishes this leader's transactions from others'.
    std::string incarnation;
    /// Changes within this time are written in one transaction.
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
        /// The progress of the last batch has become durable.
        event on_persisted;
        /// The lease has been renewed by a transaction that was sent at this time.
        std::function<void(time_point sent)> on_renewed;
        /// The claim is no longer valid.
        event on_lost;
    };

    /// Everything passed must outlive the writer. `clock` must also advance while the
    /// system is suspended.
    progress_writer(event_loop& loop, row_store& store, job::scheduler& scheduler,
                    metrics_registry& metrics, progress_writer_options options,
                    std::function<time_point()> clock, event_handlers handlers);
    progress_writer(const progress_writer&) = delete;
    progress_writer& operator=(const progress_writer&) = delete;
    ~progress_writer();

    /// Schedules a transaction if there is progress to persist or a row to remove.
    void refresh();
    /// Queues the removal of a row in the claim's partition for a later transaction.
    void queue_removal(const row_address& at) { m_removals.push_back(at); }

private:
    void send();
    void handle_commit_result(time_point sent, const commit_result& result);
    void resolve_conflict(const commit_result& result);
    void send_after(milliseconds delay);

    event_loop& m_loop;
    row_store& m_store;
    job::scheduler& m_scheduler;
    progress_writer_options m_options;
    std::function<time_point()> m_clock;
    event_handlers m_handlers;
    std::shared_ptr<bool> m_alive;
    timer_id m_timer = timer_id::none;
    /// Whether the timer is waiting for the end of the batch window.
    bool m_batching = false;
    bool m_committing = false;
    std::uint64_t m_transaction_count = 0;
    /// When the last applied renewal was sent, and whether the current transaction has one.
    time_point m_renewal_sent_at{};
    bool m_renewing = false;
    std::vector<job_id> m_unsent;
    std::vector<row_address> m_removals;
    std::vector<row_address> m_sent_removals;
    metric_counter& m_commits;
    metric_counter& m_rows;
    metric_counter& m_bytes;
};

} // namespace plantaindoor::fleet
