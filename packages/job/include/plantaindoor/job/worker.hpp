// The scheduler's state of a worker: its capacity, its lease and the runs on it.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/list_extent.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/task_name.hpp"
#include "plantaindoor/policy/departure.hpp"
#include "plantaindoor/policy/neighbours.hpp"
#include "plantaindoor/policy/peer_pace.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::job {

/// Longest time by this process's clock in which `time` passes on a worker's clock. Thread-safe.
[[nodiscard]] milliseconds with_clock_margins(milliseconds time);

/// A worker as listed by the platform.
struct worker_listing {
    instance_id id;
    service_id service;
    /// Host and port, such as "10.0.0.1:80".
    std::string address;
    availability_zone_id zone;
    /// All labels that a step may require, including the rack.
    std::vector<std::string> labels;
    rack_id rack;
    /// The machine of which this worker is one incarnation.
    std::string machine;
    resources capacity;
    bool draining = false;
    /// Shortest time that is left to a worker that drains; nullopt if the row doesn't tell.
    std::optional<milliseconds> remaining;
    /// When this incarnation of the worker started: a worker may start again under its id. nullopt
    /// on a platform that doesn't tell.
    std::optional<wall_time> started_at;

    [[nodiscard]] bool has_label(const std::string& label) const;
    friend bool operator==(const worker_listing&, const worker_listing&) = default;
};

/// How a run ended, as reported by its worker. `lapsed`: its lease expired.
enum class run_end_reason { done, failed, stopped, lapsed, broken, alone };

struct reported_run {
    run_name run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// Tail latency in ms for a task that serves requests, otherwise processor time in use.
    std::int64_t load = 0;
};

struct ended_run {
    /// Counted from 1 in each incarnation of a worker.
    std::uint64_t sequence = 0;
    run_name run;
    run_end_reason end_reason = run_end_reason::stopped;
    std::string checkpoint;
};

/// The ends of which a worker hasn't received an acknowledgement, in order of their sequence
/// numbers. Partial if there are more of them, which are listed once these are acknowledged.
struct ended_run_list {
    std::vector<ended_run> runs;
    list_extent extent = list_extent::complete;
};

/// A worker's report of the runs that are active there and those that have ended.
struct worker_report {
    milliseconds worker_clock{0};
    /// When the reporting incarnation of the worker started; nullopt if the report doesn't tell.
    std::optional<wall_time> started_at;
    /// nullopt if the report doesn't tell.
    std::optional<resources> capacity;
    /// As in worker_listing.
    std::optional<milliseconds> remaining;
    std::vector<reported_run> running;
    ended_run_list ended;
};

/// Outcome of an order to a worker.
enum class order_answer {
    accepted,
    stale_token,   ///< the worker has seen a higher fencing token
    stale_run,     ///< this or a later run has been stopped or has ended there
    lease_expired, ///< the lease had expired when the order arrived
    no_capacity,
    no_ticket,
    malformed,
    unhealthy,      ///< the worker rejected the order and has done nothing
    other_instance, ///< the address belongs to another instance now
    unreachable,    ///< the order can't have arrived
    unanswered,     ///< the order may have been executed, or may be later
};

/// What showed that a worker has ended, or that nothing runs there any more.
enum class worker_end {
    machine_down,  ///< its machine is listed as down
    successor,     ///< its machine has another worker in the same pool
    machine_moved, ///< its machine is in another pool, or being moved or maintained
    order,         ///< a move or maintenance of its machine was accepted
    other_address, ///< its address belongs to another instance
    lease_expired, ///< it has not answered since before its leases expired
    restarted,     ///< it has started again under its id
};

enum class run_phase {
    ordered,     ///< the start is in flight
    running,     ///< the worker has confirmed it
    unconfirmed, ///< the start was not answered
    stopping,    ///< the run is to be stopped
};

/// What speed_learner needs to measure the pace of a run.
struct run_pace {
    policy::kind_key kind = 0;
    /// Whether the run's pace is measured, or, of a serving run, its tail latency.
    bool measured = false;
    bool serving = false;
    /// Urgent or serving: a slow-down of this run weighs more.
    bool sensitive = false;
    /// Natural logarithm of the estimate in ms, or of the target of the tail latency.
    double log_estimate = 0;
    /// When the part of the run began that is measured next, and the progress then; nullopt if
    /// that isn't known.
    std::optional<time_point> since;
    std::uint32_t since_percent = 0;
};

struct worker_run {
    run_phase phase = run_phase::ordered;
    bool long_running = false;
    resources footprint;
    time_point ordered{};
    time_point confirmed{};
    /// Of a long-running run: since when its task had waited.
    std::optional<time_point> waited_since;
    /// When a stop was last sent; nullopt if none was.
    std::optional<time_point> stop_sent;
    /// When the worker accepted a stop; nullopt before.
    std::optional<time_point> stop_answered;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::int64_t load = 0;
    /// Number of the last report that listed the run.
    std::uint64_t last_report = 0;
    /// Share of its capacity to which a best-effort run is limited.
    std::uint32_t share_percent = 100;
    /// When the run was first reported at full rate; nullopt before.
    std::optional<time_point> working_since;
    /// Started by a predecessor, or by an order without an answer, at an unknown time before
    /// `ordered`.
    bool adopted = false;
    /// The workspace against whose cap the run counts, and its amounts; empty: none.
    workspace_id workspace;
    resources need;
    /// Whether it counts there as a run that isn't known to run yet.
    bool counts_as_starting = false;
    /// How long after its start the run keeps tasks of other jobs off the worker; zero: it doesn't,
    /// or that time is over.
    milliseconds isolation{0};
    /// A crash during the isolation is the last one before the task is given up.
    bool last_start = false;
    run_pace pace;

    [[nodiscard]] bool is_isolated() const noexcept { return isolation > milliseconds(0); }
};

struct worker_record {
    worker_listing listing;
    bool listed = false;
    /// The worker has answered under this process's fencing token.
    bool token_acknowledged = false;
    /// Successive machine lists that lack the worker's machine, while it hasn't answered.
    std::uint32_t lists_without_machine = 0;
    /// Start of the incarnation that has answered last; nullopt if its reports don't tell.
    std::optional<wall_time> started_at;
    /// Start of a later incarnation that is listed and hasn't answered yet, and when it was listed.
    std::optional<wall_time> listed_start;
    time_point listed_start_noted{};
    /// The later incarnation is listed in another service, or the earlier one was draining: the end
    /// of the earlier one is not a crash.
    bool planned_restart = false;
    /// Of a worker that drains, or whose report says that it leaves.
    std::optional<policy::departure> departure;
    /// Awaits planned work: no new task is placed there, except a long-running one that fits on no
    /// usable worker.
    bool cordoned = false;
    /// Of a cordoned worker.
    time_point cordoned_since{};
    /// As last reported by the worker itself; nullopt if it never was. Goes before the listing,
    /// whose row may be outdated.
    std::optional<resources> reported_capacity;
    resources used;
    std::map<run_name, worker_run> runs;
    std::uint32_t long_running_runs = 0;
    std::uint32_t isolated_runs = 0;
    /// The last report listed only some of the worker's unacknowledged ends.
    bool has_unlisted_ends = false;
    /// All that a predecessor has started there is known: a report has listed everything that runs,
    /// and the reports up to it have listed all ends.
    bool predecessor_runs_known = false;
    /// Last ended run that was applied, and the last whose effects are durable.
    std::uint64_t applied_sequence = 0;
    std::uint64_t committed_sequence = 0;
    /// The worker's clock at `clock_read_at`; nullopt before its first report.
    std::optional<milliseconds> clock;
    time_point clock_read_at{};
    /// When all leases of its runs have expired unless the worker answers again.
    time_point lease_bound{};
    time_point last_answer{};
    std::uint32_t missed_polls = 0;
    /// When the last order or poll was answered.
    time_point last_contact{};
    /// When the first order or poll since then failed; nullopt if none has.
    std::optional<time_point> unresponsive_since;
    /// When a start was last left without an answer; it may be carried out later.
    std::optional<time_point> unanswered_start;
    /// Number of reports received from the worker.
    std::uint64_t reports = 0;
    /// Loads have been reported since best-effort runs were last throttled.
    bool has_new_loads = false;
    std::uint32_t consecutive_failures = 0;
    time_point quarantined_until{};
    time_point full_until{};
    /// Learned: the worker is at least twice as slow as others.
    bool slow = false;
    policy::recent_presences ended_runs;

    /// Start of the latest known incarnation; nullopt if the platform doesn't tell.
    [[nodiscard]] std::optional<wall_time> latest_start() const
    {
        return listed_start ? listed_start : started_at;
    }
    /// Identifies the incarnation that has answered last: the id, with the start if it is known.
    [[nodiscard]] instance_id incarnation() const;
    /// Whether the platform has no machine of the listed name, so that the row is not a worker's.
    [[nodiscard]] bool has_no_machine() const { return lists_without_machine >= 2; }
    /// Whether the worker drains, by its row or by its own report.
    [[nodiscard]] bool is_leaving() const noexcept { return departure.has_value(); }
    /// Since when the tasks there are to move to other workers; nullopt if they aren't.
    [[nodiscard]] std::optional<time_point> displaces_since() const;
    /// Whether a long-running task there isn't being stopped.
    [[nodiscard]] bool keeps_long_running() const;
    /// Whether the worker hasn't answered for so long that its tasks may be lost.
    [[nodiscard]] bool is_silent(time_point now) const;
    /// Whether the worker takes new tasks, apart from what may have passed in a moment.
    [[nodiscard]] bool accepts_tasks() const;
    /// Whether new tasks may be placed on the worker.
    [[nodiscard]] bool is_usable(time_point now) const;
    /// Whether the worker answers and has ended runs that it couldn't list yet. These may be done
    /// however long ago they were started.
    [[nodiscard]] bool may_list_earlier_ends(time_point now) const;
    [[nodiscard]] resources capacity() const
    {
        return reported_capacity.value_or(listing.capacity);
    }
    /// Negative if the capacity has shrunk below what runs.
    [[nodiscard]] resources free_capacity() const { return capacity() - used; }
    /// What is free once all tasks but the long-running ones have ended.
    [[nodiscard]] resources capacity_beside_long_running() const;
};

} // namespace plantaindoor::job

namespace plantaindoor {

template<>
struct enum_names<job::run_end_reason> {
    static constexpr std::array<enum_name<job::run_end_reason>, 6> table{{
        {job::run_end_reason::done, "done"},
        {job::run_end_reason::failed, "failed"},
        {job::run_end_reason::stopped, "stopped"},
        {job::run_end_reason::lapsed, "lapsed"},
        {job::run_end_reason::broken, "broken"},
        {job::run_end_reason::alone, "alone"},
    }};
};

template<>
struct enum_names<job::worker_end> {
    static constexpr std::array<enum_name<job::worker_end>, 7> table{{
        {job::worker_end::machine_down, "machine-down"},
        {job::worker_end::successor, "successor"},
        {job::worker_end::machine_moved, "machine-moved"},
        {job::worker_end::order, "order"},
        {job::worker_end::other_address, "other-address"},
        {job::worker_end::lease_expired, "lease-expired"},
        {job::worker_end::restarted, "restarted"},
    }};
};

template<>
struct enum_names<job::order_answer> {
    static constexpr std::array<enum_name<job::order_answer>, 11> table{{
        {job::order_answer::accepted, "accepted"},
        {job::order_answer::stale_token, "stale-token"},
        {job::order_answer::stale_run, "stale-run"},
        {job::order_answer::lease_expired, "too-late"},
        {job::order_answer::no_capacity, "no-room"},
        {job::order_answer::no_ticket, "no-ticket"},
        {job::order_answer::malformed, "malformed"},
        {job::order_answer::unhealthy, "unhealthy"},
        {job::order_answer::other_instance, "another-life"},
        {job::order_answer::unreachable, "unreachable"},
        {job::order_answer::unanswered, "unanswered"},
    }};
};

} // namespace plantaindoor
