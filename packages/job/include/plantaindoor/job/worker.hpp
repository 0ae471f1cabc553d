// What the scheduler knows of one worker: its capacity, its lease and what runs there.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/task_name.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::job {

/// A worker as the platform lists it.
struct worker_listing {
    instance_id id;
    service_id service;
    /// "10.0.0.1:80".
    std::string address;
    availability_zone_id zone;
    /// Everything a step may require; the rack among them.
    std::vector<std::string> labels;
    rack_id rack;
    /// The machine that this is one life of.
    std::string machine;
    resources capacity;
    bool draining = false;

    [[nodiscard]] bool has_label(const std::string& label) const;
    friend bool operator==(const worker_listing&, const worker_listing&) = default;
};

/// How a run ended, as its worker tells.
enum class run_end_reason { done, failed, stopped, lapsed, broken, alone };

struct reported_run {
    run_name run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// Tail of the response times in ms for a task that serves, else processor time in use.
    std::int64_t load = 0;
};

struct ended_run {
    /// Counted from 1 in each life of a worker.
    std::uint64_t sequence = 0;
    run_name run;
    run_end_reason end_reason = run_end_reason::stopped;
    std::string checkpoint;
};

/// A worker's own account of what runs there and what has ended.
struct worker_report {
    milliseconds worker_clock{0};
    std::vector<reported_run> running;
    std::vector<ended_run> ended;
};

/// How far an order to a worker got.
enum class order_answer {
    accepted,
    stale_token,   ///< the worker has seen a higher fencing token
    stale_run,     ///< a run as high as this one has been stopped or has ended there
    lease_expired, ///< the lease was over when the order arrived
    no_capacity,
    no_ticket,
    malformed,
    unhealthy,      ///< the worker refused and has done nothing
    other_instance, ///< the address belongs to another instance now
    unreachable,    ///< nothing of the order can have arrived
    unanswered,     ///< the order may have been carried out, or will be
};

enum class run_phase {
    ordered,     ///< the start is on its way
    running,     ///< the worker has confirmed it
    unconfirmed, ///< the start was not answered
    stopping,    ///< a stop is wanted
};

struct worker_run {
    run_phase phase = run_phase::ordered;
    bool long_running = false;
    resources footprint;
    time_point ordered{};
    time_point confirmed{};
    /// When a stop was last sent; nothing while none was.
    std::optional<time_point> stop_sent;
    /// When a stop was answered.
    std::optional<time_point> stop_answered;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::int64_t load = 0;
    /// Number of the last report that listed it.
    std::uint64_t last_report = 0;
    /// Share of its capacity at which a filler works.
    std::uint32_t share_percent = 100;
    /// When the run was last seen at work; nothing before.
    std::optional<time_point> working_since;
};

struct worker_record {
    worker_listing listing;
    bool listed = false;
    /// It has answered under this process's fencing token.
    bool token_acknowledged = false;
    /// Planned work will take it: nothing new is placed there.
    bool cordoned = false;
    resources used;
    std::map<run_name, worker_run> runs;
    std::uint32_t long_running_runs = 0;
    std::uint64_t applied_sequence = 0;
    std::uint64_t committed_sequence = 0;
    std::optional<milliseconds> clock;
    time_point clock_read_at{};
    /// Everything there has lapsed by then unless it answers again.
    time_point lease_bound{};
    time_point last_answer{};
    std::uint32_t missed_polls = 0;
    /// Counts the worker's reports.
    std::uint64_t reports = 0;
    /// Loads have been reported since fillers were last paced.
    bool has_new_loads = false;
    std::uint32_t consecutive_failures = 0;
    time_point quarantined_until{};
    time_point full_until{};

    /// May be given new tasks.
    [[nodiscard]] bool is_usable(time_point now) const;
    [[nodiscard]] resources free_capacity() const { return listing.capacity - used; }
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
