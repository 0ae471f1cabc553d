// The jobs of one pool as the holder of its duty keeps them: what was submitted, decided and
// reported goes in, rows to write and commands to workers come out.
#pragma once

#include "plantaindoor/common/journal.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/process/job.hpp"
#include "plantaindoor/process/job_rows.hpp"
#include "plantaindoor/process/job_scheduler.hpp"
#include "plantaindoor/process/team_quotas.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::process {

/// One command to a worker; answer with job_book::on_command().
struct job_command {
    task_command what;
    operation_guard guard;
    /// The run that it is for.
    std::uint32_t run = 0;
    time_point sent{};
};

/// A run that is over, for what learns from runs.
struct ended_run {
    job_spec spec;
    instance_id worker;
    job_size used;
    task_state state = task_state::stopped;
};

/// Runs begin and end by these rules, so that no job has two live runs and none runs again once it
/// is over, whoever holds the duty:
/// - A run's row is committed before its start is sent. Only the holder's guard lets rows be
///   written, and every write is conditioned on the row as it was read.
/// - Commands carry the row's version as their epoch: it grows with every change of the row.
/// - A run counts as over when a report says that the task which its start began is over, or when
///   a stop, whose epoch fences all earlier commands, was accepted and the longest lease has passed
///   since. Only then may another run be committed.
/// - Renewals begin no task.
/// Pure; not synchronised.
class job_book {
public:
    struct options {
        pool_id pool;
        /// Names this holding of the duty in operation ids; no two holdings share it.
        std::uint64_t holding = 0;
        milliseconds lease{15000};
        /// From a renewal to the next.
        milliseconds renew{5000};
        /// Added to the lease for clocks that drift and for commands under way.
        milliseconds margin{2000};
        milliseconds checkpoint_timeout{5000};
        /// From an unanswered command to its repetition.
        milliseconds retry{500};
        /// A job that failed this often is not tried again.
        std::uint32_t max_failures = 3;
        /// Most jobs in one transaction.
        std::size_t group = 200;
    };

    explicit job_book(options how) : m_options(std::move(how)), m_quotas(m_options.pool) {}

    /// Takes in rows under job_live_prefix, read after the duty was taken. Others' jobs are left
    /// out.
    void load(const std::vector<table_row>& rows, time_point now);
    /// Takes in one consistent reading of job_inbox_prefix, or a part of it.
    void on_inbox(const std::vector<table_row>& rows);
    /// Takes in the reports of all tasks.
    void on_reports(const std::vector<task_report>& reports);
    /// Takes in what placement decided; decisions that no longer fit are left out.
    void on_decided(const std::vector<job_decision>& decisions, wall_time now);
    /// Which teams have a quota: a write that changes what their runs need here is conditioned on
    /// the quota's row, and tells the other pools.
    [[nodiscard]] team_quotas& quotas() noexcept { return m_quotas; }
    /// Ends the runs on a worker, checkpointing them first.
    void vacate(const instance_id& worker, const std::string& reason);
    /// Whether no run can be alive on the worker, as far as the table knows.
    [[nodiscard]] bool is_vacant(const instance_id& worker) const;

    /// The next rows to write, without the duty's guard; nothing while a write is under way or
    /// nothing changed. Answer with on_written().
    [[nodiscard]] std::optional<table_transaction> next_write();
    void on_written(const transact_result& result, time_point now);
    /// The commands to send now.
    [[nodiscard]] std::vector<job_command> commands(time_point now);
    void on_command(const job_command& command, operation_outcome outcome, time_point now);

    /// Whether the rows may be other than known here: the book must be made anew.
    [[nodiscard]] bool is_stale() const noexcept { return m_stale; }
    /// The jobs that are not over, as they are or are being written.
    [[nodiscard]] const std::map<job_id, job>& jobs() const noexcept { return m_jobs; }
    /// Whether any run is placed or being ended.
    [[nodiscard]] bool has_runs() const noexcept { return !m_runs.empty(); }
    /// Whether something changed since the last call that placement should look at.
    [[nodiscard]] bool take_changed();
    /// What to journal, and which runs ended, since the last call; also where the write that
    /// follows is not applied.
    [[nodiscard]] std::vector<journal_entry> take_journal();
    [[nodiscard]] std::vector<ended_run> take_ended();

private:
    /// What is known of a job's run beside its row. All of it can be lost.
    struct run_control {
        /// Whether another holding of the duty, or this one before, may have sent commands.
        bool from_table = false;
        bool command_under_way = false;
        bool start_accepted = false;
        bool checkpoint_accepted = false;
        bool saved = false;
        std::optional<time_point> stop_accepted;
        std::optional<time_point> start_sent;
        time_point next_try{};
        time_point next_renewal{};
        /// No lease reaches further than the lease time from here.
        time_point last_command{};
        std::optional<time_point> checkpoint_sent;
    };

    /// A row, and the row of the inbox that it replaces.
    struct row_state {
        row_version version = absent_row;
        row_version inbox = absent_row;
    };

    [[nodiscard]] std::map<team_id, team_usage> own_usage() const;
    void take(const table_row& row, const job& submitted);
    void cancel(const table_row& row);
    void on_report(const job_id& id, const task_report& report);
    void end_run(job& subject, const std::string& reason);
    void on_failed(job& subject, const task_report& report);
    void begin_stop(job& subject, bool save, const std::string& reason);
    void close(const job_id& id, job_state state, const std::string& reason);
    void change(const job_id& id);
    void decide(const start_job& what, wall_time now);
    void decide(const refuse_job& what, wall_time now);
    void decide(const vacate_job& what, wall_time now);
    void decide(const set_job_pace& what, wall_time now);
    void decide(const quarantine_worker&, wall_time) {}
    void decide(const warn_deadline& what, wall_time now);
    void add_write(table_transaction& into, const job_id& id) const;
    void step_run(const job_id& id, time_point now, std::vector<job_command>& out);
    void step_placed(job& subject, run_control& control, time_point now,
                     std::vector<job_command>& out);
    void step_stopping(job& subject, run_control& control, time_point now,
                       std::vector<job_command>& out);
    [[nodiscard]] job_command command_for(const job& subject, task_action action,
                                          const std::string& operation, time_point now) const;
    void note(const job& subject, const std::string& action);

    options m_options;
    team_quotas m_quotas;
    std::map<job_id, job> m_jobs;
    /// Over here, and not yet in the table.
    std::map<job_id, job> m_over;
    std::map<job_id, row_state> m_rows;
    std::map<job_id, run_control> m_runs;
    /// Changed since they were last put into a write.
    std::set<job_id> m_dirty;
    std::set<job_id> m_writing;
    /// Requests to cancel that are carried out once nothing is dirty; their versions by key.
    std::map<std::string, row_version> m_cancels;
    std::map<std::string, row_version> m_cancels_writing;
    std::vector<journal_entry> m_journal;
    std::vector<ended_run> m_ended;
    bool m_under_way = false;
    bool m_changed = true;
    bool m_stale = false;
};

} // namespace plantaindoor::process
