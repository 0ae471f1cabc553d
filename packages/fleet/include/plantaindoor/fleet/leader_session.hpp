// Everything that an entry does while it leads a shard: reads the jobs, polls the workers, places
// tasks, persists progress. Ends when leadership is lost.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/fleet/job_wait_gauges.hpp"
#include "plantaindoor/fleet/leader_lease.hpp"
#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/fleet/learned_log.hpp"
#include "plantaindoor/fleet/machine_exchange.hpp"
#include "plantaindoor/fleet/machine_session.hpp"
#include "plantaindoor/fleet/platform_codec.hpp"
#include "plantaindoor/fleet/progress_writer.hpp"
#include "plantaindoor/fleet/quota_exchange.hpp"
#include "plantaindoor/fleet/quota_reporter.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"
#include "plantaindoor/fleet/withdrawn_jobs.hpp"
#include "plantaindoor/fleet/worker_poller.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::fleet {

/// Services of the process that a session uses.
struct session_context {
    event_loop& loop;
    row_store& store;
    worker_gateway& workers;
    machine_gateway& machines;
    metrics_registry& metrics;
    const platform_codec& codec;
    /// A clock that also advances while the system is suspended.
    std::function<time_point()> clock;
};

/// A shard, and the layout by which it is determined what the shard owns.
struct session_shard {
    shard_number number = 0;
    std::shared_ptr<const shard_layout> layout;
};

struct session_options {
    std::string entry;
    session_shard shard;
    leader_claim claim;
    row_condition claim_row;
    row_condition sequence_row;
    milliseconds lease{2500};
    job::scheduler_options scheduling;
    machine_planner_options planning;
    /// How long callers can query a job's state after its end; then its rows are removed.
    seconds state_retention{120};
    /// Whether machines are given to other shards and asked for.
    bool machine_transfers = false;
    /// When the transaction that claimed leadership was sent.
    time_point claimed_at{};
};

/// Loop thread only.
class leader_session {
public:
    using event = std::function<void()>;

    /// Everything in the context must outlive the session. `on_lost` runs at most once,
    /// after construction, when another entry has become leader.
    leader_session(const session_context& context, session_options options,
                   std::shared_ptr<const fleet_config> config, event on_lost);
    leader_session(const leader_session&) = delete;
    leader_session& operator=(const leader_session&) = delete;
    ~leader_session();

    void apply(std::shared_ptr<const fleet_config> config);
    /// `first_seen` is when the request was first read.
    void add_wave(const wave_request& request, time_point first_seen);
    /// Submits a job that this entry has just persisted, before the change feed delivers it.
    void submit(const job_id& id, const std::string& row_value);
    void cancel(const job_id& id);

    /// Whether all jobs have been read.
    [[nodiscard]] bool is_ready() const noexcept { return m_ready; }
    /// The state to report to callers; no value for an unknown job.
    [[nodiscard]] std::optional<job::job_status> state_of(const job_id& id) const;
    [[nodiscard]] std::size_t pending(const std::string& queue) const;
    [[nodiscard]] const job::scheduler& scheduler() const noexcept { return m_scheduler; }

private:
    void read_progress();
    void read_jobs();
    void read_workers();
    void handle_job_row(const stored_row& row);
    /// Adds a job that as many earlier leaders may have started.
    void load_job(const job_id& id, const std::string& row_value, std::uint32_t predecessors);
    void handle_worker_row(const stored_row& row);
    /// Whether this shard owns the worker's machine.
    [[nodiscard]] bool owns(const job::worker_listing& listing) const;
    /// Another shard has given the machine to this one.
    void take_over_machine(const std::string& machine, fencing_token token);
    /// The worker's machine has been given to another shard.
    void release_worker(const instance_id& id);
    void become_ready();
    void schedule_plan();
    void plan();
    /// Whether the view of the jobs is recent enough to start tasks; logs each change.
    [[nodiscard]] bool check_job_view(time_point now);
    void log_decisions();
    void log_decision(const job::decision& made);
    void note_job_ended(const job::decision& made);
    void refresh_gauges();
    /// Removes the rows of jobs that ended more than state_retention ago.
    void remove_expired_jobs();
    void remove_job_rows(const job_id& id);
    void handle_renewal(time_point sent);
    void check_lease();
    /// Polls the workers only with a valid lease and after a first round with all jobs.
    void update_polling();
    void step_down();
    void tick();

    session_context m_context;
    session_options m_options;
    std::shared_ptr<const fleet_config> m_config;
    event m_on_lost;
    std::shared_ptr<bool> m_alive;
    time_point m_started;
    leader_lease m_lease;
    job::scheduler m_scheduler;
    std::map<job_id, std::string> m_persisted_progress;
    struct ended_job {
        job_id id;
        time_point ended_at{};
    };
    /// Oldest first.
    std::deque<ended_job> m_ended_jobs;
    std::unique_ptr<table_watcher> m_progress_rows;
    std::unique_ptr<table_watcher> m_job_rows;
    std::unique_ptr<table_watcher> m_worker_rows;
    std::unique_ptr<worker_poller> m_poller;
    std::unique_ptr<progress_writer> m_progress_writer;
    std::unique_ptr<machine_exchange> m_exchange;
    /// Rows of workers whose machines this shard doesn't own.
    std::map<instance_id, stored_row> m_other_workers;
    std::unique_ptr<machine_session> m_machines;
    std::unique_ptr<quota_exchange> m_quota_exchange;
    quota_reporter m_quota_reporter;
    timer_id m_plan_timer = timer_id::none;
    timer_id m_tick_timer = timer_id::none;
    bool m_paused = false;
    /// Set when an expired lease has been renewed: nothing is planned until the job rows are up to
    /// date, so that no task of a job that was cancelled meanwhile is started.
    bool m_catching_up = false;
    bool m_ready = false;
    /// Whether the first round of placement is over.
    bool m_has_planned = false;
    bool m_leadership_lost = false;
    bool m_job_view_outdated = false;
    bool m_workers_read = false;
    /// The set of workers to poll may have changed.
    bool m_workers_changed = true;
    metric_summary& m_plan_seconds;
    metric_summary& m_job_seconds;
    metric_summary& m_first_start_seconds;
    metric_counter& m_crash_suspicions;
    metric_gauge& m_open_jobs;
    metric_gauge& m_usable_workers;
    metric_gauge& m_waiting_long_running;
    metric_gauge& m_longest_wait;
    withdrawn_jobs m_withdrawn_jobs;
    job_wait_gauges m_job_wait_gauges;
    learned_gauges m_learned_gauges;
};

} // namespace plantaindoor::fleet
