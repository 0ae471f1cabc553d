// The platform beside its table: the lagging list of instances, reboots, tasks under leases and the
// object store. Each is one interface, so that another protocol is one new adapter.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor {

enum class listed_state { live, leaving };

template<>
struct enum_names<listed_state> {
    static constexpr std::array<enum_name<listed_state>, 2> table{{
        {listed_state::live, "live"},
        {listed_state::leaving, "leaving"},
    }};
};

enum class listed_role { target, entry };

template<>
struct enum_names<listed_role> {
    static constexpr std::array<enum_name<listed_role>, 2> table{{
        {listed_role::target, "target"},
        {listed_role::entry, "entry"},
    }};
};

/// One line of the platform's list; it may be older than the truth by the list's lag.
struct listed_instance {
    std::string id;
    listed_role role = listed_role::target;
    listed_state state = listed_state::live;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// The lagging list. Same calling rules as table.
class instance_list {
public:
    using list_callback = std::function<void(std::optional<std::vector<listed_instance>>)>;

    instance_list() = default;
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;
    virtual ~instance_list() = default;

    /// Reads the list; no value when the platform did not answer.
    virtual void list(list_callback done) = 0;
};

/// How the platform took an operation. The same operation id is never carried out twice.
enum class operation_outcome {
    accepted, ///< carried out or under way, now or by an earlier try with the same id
    refused,  ///< not carried out: stale epoch, or unknown subject
    unknown,  ///< no answer; a retry must use the same operation id
};

template<>
struct enum_names<operation_outcome> {
    static constexpr std::array<enum_name<operation_outcome>, 3> table{{
        {operation_outcome::accepted, "accepted"},
        {operation_outcome::refused, "refused"},
        {operation_outcome::unknown, "unknown"},
    }};
};

/// Fences an effect outside the table: retried with the same id, refused under an older epoch.
struct operation_guard {
    operation_id id;
    /// Lease epoch of the duty's holder; the platform refuses a lower one than it has seen for the
    /// same subject.
    std::uint64_t epoch = 0;
};

/// Reboots instances. Same calling rules as table.
class instance_control {
public:
    using operation_callback = std::function<void(operation_outcome)>;

    instance_control() = default;
    instance_control(const instance_control&) = delete;
    instance_control& operator=(const instance_control&) = delete;
    virtual ~instance_control() = default;

    /// Reboots an instance. It leaves the list or shows as leaving while down, and is listed as
    /// live with a higher boot count when back.
    virtual void reboot(const instance_id& instance, const operation_guard& guard,
                        operation_callback done) = 0;
    /// Reads how many times the instance has booted; no value when unknown or not answered.
    virtual void boot_count(const instance_id& instance,
                            std::function<void(std::optional<std::uint64_t>)> done) = 0;
};

enum class task_state { running, checkpointing, throttled, stopped, finished, failed };

template<>
struct enum_names<task_state> {
    static constexpr std::array<enum_name<task_state>, 6> table{{
        {task_state::running, "running"},
        {task_state::checkpointing, "checkpointing"},
        {task_state::throttled, "throttled"},
        {task_state::stopped, "stopped"},
        {task_state::finished, "finished"},
        {task_state::failed, "failed"},
    }};
};

/// What a worker is asked to do with a task.
enum class task_action { start, checkpoint, throttle, resume, stop };

template<>
struct enum_names<task_action> {
    static constexpr std::array<enum_name<task_action>, 5> table{{
        {task_action::start, "start"},
        {task_action::checkpoint, "checkpoint"},
        {task_action::throttle, "throttle"},
        {task_action::resume, "resume"},
        {task_action::stop, "stop"},
    }};
};

struct task_command {
    task_action action = task_action::start;
    job_id job;
    instance_id worker;
    double processors = 0;
    std::uint64_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    /// How long the worker may run the task without a renewal. `start` sets it; `resume` and
    /// `throttle` renew the lease of a running task where this is not zero, and begin none.
    std::uint64_t lease_ms = 0;
};

/// A worker's report of one task, delivered with a lag.
struct task_report {
    job_id job;
    instance_id worker;
    task_state state = task_state::running;
    double processors_used = 0;
    std::uint64_t memory_mb_used = 0;
    std::uint64_t run_ms = 0;
    /// The part of run_ms that a checkpoint has saved.
    std::uint64_t saved_ms = 0;
    /// The `start` that began the task; empty where the platform doesn't tell.
    operation_id started_by;
};

/// Tasks on workers, under leases. Same calling rules as table.
class task_control {
public:
    using operation_callback = std::function<void(operation_outcome)>;
    using report_callback = std::function<void(std::optional<std::vector<task_report>>)>;

    task_control() = default;
    task_control(const task_control&) = delete;
    task_control& operator=(const task_control&) = delete;
    virtual ~task_control() = default;

    /// `stop` is accepted also where no task runs: no command under an older epoch is carried out
    /// for the job from then on.
    virtual void command(const task_command& command, const operation_guard& guard,
                         operation_callback done) = 0;
    /// Reads the reports of all tasks that the platform knows.
    virtual void reports(report_callback done) = 0;
};

/// Immutable objects by name. Same calling rules as table.
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    virtual ~object_store() = default;

    virtual void put(std::string name, std::string bytes, std::function<void(bool)> done) = 0;
    virtual void get(std::string name, std::function<void(std::optional<std::string>)> done) = 0;
    virtual void remove(std::string name, std::function<void(bool)> done) = 0;
};

} // namespace plantaindoor
