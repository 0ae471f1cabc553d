// Checked changes to the planned state: each is a function of the newest fleet, to be used as
// append_request::propose by operators and duties alike, so that racing ones can't break a budget
// together. All are thread-safe and throw typed errors to refuse; nothing is changed then.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/version/delta.hpp"
#include "plantaindoor/version/ledger.hpp"

#include <string>
#include <vector>

namespace plantaindoor::version {

/// The instance's present state doesn't allow what was asked.
class wrong_state_error : public error {
public:
    wrong_state_error(const instance& subject, const std::string& expected);
};

/// The instance is already lent to the pool that it is in.
class already_lent_error : public error {
public:
    explicit already_lent_error(const instance& subject);
};

/// Another move of the instance is under way, or took it to this pool already.
class conflicting_move_error : public error {
public:
    conflicting_move_error(const instance& subject, const pool_id& asked);
};

/// The instance's pool does not lend, or would go below its reserve.
class pool_cannot_lend_error : public error {
public:
    pool_cannot_lend_error(const pool& lender, std::size_t admitted);
};

/// The drain was undone or replaced since it was decided upon.
class stale_outage_error : public error {
public:
    stale_outage_error(const instance& subject, version_number expected);
};

/// One drain or stop: valid as long as the instance's state_version is this one.
struct outage {
    instance_id id;
    version_number state_version = 0;

    friend auto operator<=>(const outage&, const outage&) = default;
};

struct drain_options {
    /// Empty for an operator's drain.
    wave_id wave;
    lost_instances lost;
};

/// Takes an admitted instance out. Throws not_found_error, wrong_state_error, budget_refusal.
[[nodiscard]] std::vector<change> plan_drain(const fleet& newest, const instance_id& id,
                                             const drain_options& options);

/// Admits an instance again that is draining, failed, quarantined, or stopped by an operator. An
/// instance that is being rebooted is refused. Throws not_found_error, wrong_state_error.
[[nodiscard]] std::vector<change> plan_undrain(const fleet& newest, const instance_id& id);

struct move_options {
    instance_id id;
    pool_id to;
    lost_instances lost;
};

/// Drains an instance to move it for good. Throws not_found_error, wrong_state_error,
/// already_lent_error, conflicting_move_error, budget_refusal.
[[nodiscard]] std::vector<change> plan_move(const fleet& newest, const move_options& options);

struct lend_options {
    instance_id id;
    pool_id to;
    /// When the instance is due back.
    wall_time until{};
    lost_instances lost;
};

/// Drains an instance to lend it. Throws what plan_move() throws, and pool_cannot_lend_error.
[[nodiscard]] std::vector<change> plan_lend(const fleet& newest, const lend_options& options);

struct return_options {
    instance_id id;
    lost_instances lost;
};

/// Drains a lent instance to return it to its pool. Throws what plan_move() throws;
/// wrong_state_error where it isn't lent.
[[nodiscard]] std::vector<change> plan_return(const fleet& newest, const return_options& options);

/// Ends a drain whose confirmations are complete: moves and admits an instance that is to move,
/// stops any other. `boots` is the platform's count of boots before the stop. Throws
/// not_found_error, stale_outage_error, wrong_state_error, budget_refusal.
[[nodiscard]] std::vector<change> plan_end_of_drain(const fleet& newest, const outage& drain,
                                                    std::uint64_t boots);

/// Admits an instance that a wave has rebooted. Throws not_found_error, stale_outage_error,
/// wrong_state_error.
[[nodiscard]] std::vector<change> plan_admit(const fleet& newest, const outage& stop,
                                             wall_time maintained);

/// Marks an instance as failed, keeping its wave. `seen` names the state that was found lost.
/// Throws not_found_error, stale_outage_error.
[[nodiscard]] std::vector<change> plan_fail(const fleet& newest, const outage& seen);

/// Pauses, resumes, aborts or finishes a wave. A wave that is aborted or finished stays so. Throws
/// not_found_error, wave_over_error.
[[nodiscard]] std::vector<change> plan_wave_state(const fleet& newest, const wave_id& id,
                                                  wave_state state, const std::string& reason);

/// A wave that is aborted or finished can't change any more.
class wave_over_error : public error {
public:
    wave_over_error(const wave& subject, wave_state asked);
};

/// A wave with this id exists already.
class wave_exists_error : public error {
public:
    explicit wave_exists_error(const wave& subject);
};

/// Starts a wave. Throws wave_exists_error, and not_found_error for an unknown pool.
[[nodiscard]] std::vector<change> plan_wave_start(const fleet& newest, const wave& started);

} // namespace plantaindoor::version
