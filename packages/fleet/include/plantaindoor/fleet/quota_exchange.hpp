// Exchanges parts of the workspaces' caps with the leaders of the other shards, by rows in the
// store.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"
#include "plantaindoor/job/scheduler.hpp"
#include "plantaindoor/policy/quota_division.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace plantaindoor::fleet {

struct quota_exchange_options {
    row_condition claim;
    shard_number shard = 0;
    shard_number shards = 1;
    /// Shortest time between two writes, to which the time for the row's size is added.
    milliseconds write_interval{1000};
    milliseconds call_timeout{1500};
    milliseconds retry_delay{200};
};

/// Reads and writes the rows, and passes the shard's shares on to the scheduler. Does nothing at
/// all while no workspace has a cap, or if there is one shard. Loop thread only.
class quota_exchange {
public:
    using event = std::function<void()>;

    /// Everything passed must outlive the exchange. `on_share` runs when the shard's shares have
    /// changed.
    quota_exchange(event_loop& loop, row_store& store, job::scheduler& scheduler,
                   metrics_registry& metrics, quota_exchange_options options, event on_share);
    quota_exchange(const quota_exchange&) = delete;
    quota_exchange& operator=(const quota_exchange&) = delete;
    ~quota_exchange();

    /// The scheduler's workspaces have been replaced. Must be called before tasks are placed.
    void note_workspaces();
    /// Decides on transfers and requests. Call every 100 ms or so after a placement round, while
    /// the leader may send orders.
    void tick();

private:
    void read_own();
    void handle_own(const std::optional<row_page>& page);
    void read_others();
    void note_row(const stored_row& row);
    void pass_shares();
    void write();
    void handle_commit(const commit_result& result);

    event_loop& m_loop;
    row_store& m_store;
    job::scheduler& m_scheduler;
    quota_exchange_options m_options;
    event m_on_share;
    std::shared_ptr<bool> m_alive;
    /// Whether any workspace had a cap since the session began, and whether one has now.
    bool m_began = false;
    bool m_active = false;
    policy::quota_division m_division;
    std::unique_ptr<table_watcher> m_others;
    timer_id m_timer = timer_id::none;
    row_version m_version = absent;
    bool m_writing = false;
    /// What is in the store may differ from the division's row.
    bool m_unwritten = false;
    bool m_claim_lost = false;
    std::uint64_t m_writes = 0;
    time_point m_next_write{};
    metric_counter& m_rows;
    metric_counter& m_bytes;
};

} // namespace plantaindoor::fleet
