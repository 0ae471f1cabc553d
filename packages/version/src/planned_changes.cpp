#include "plantaindoor/version/planned_changes.hpp"

#include <algorithm>
#include <cstddef>

namespace plantaindoor::version {

namespace {

const instance& instance_of(const fleet& whole, const instance_id& id)
{
    const auto found = whole.instances.find(id);
    if (found == whole.instances.end()) {
        throw not_found_error("instance", id.str());
    }
    return found->second;
}

const pool& pool_of(const fleet& whole, const pool_id& id)
{
    const auto found = whole.pools.find(id);
    if (found == whole.pools.end()) {
        throw not_found_error("pool", id.str());
    }
    return found->second;
}

const wave& wave_of(const fleet& whole, const wave_id& id)
{
    const auto found = whole.waves.find(id);
    if (found == whole.waves.end()) {
        throw not_found_error("wave", id.str());
    }
    return found->second;
}

const instance& outage_of(const fleet& whole, const outage& expected)
{
    const instance& subject = instance_of(whole, expected.id);
    if (subject.state_version != expected.state_version) {
        throw stale_outage_error(subject, expected.state_version);
    }
    return subject;
}

bool drained_by_operator(const instance& subject)
{
    const bool out =
        subject.state == instance_state::draining || subject.state == instance_state::stopped;
    return out && subject.outage_wave.empty();
}

/// Throws budget_refusal if arriving at its new pool would break a budget there.
void require_arrival(const fleet& newest, const instance& subject, const planned_move& move,
                     const lost_instances& lost)
{
    fleet drained = newest;
    drained.instances.at(subject.id).state = instance_state::draining;
    fleet arrived = drained;
    arrived.instances.at(subject.id).state = instance_state::admitted;
    arrived.instances.at(subject.id).pool = move.to;
    require_budgets(drained, arrived, lost);
}

/// Drains an instance for a move whose lending terms have been checked.
std::vector<change> plan_moving_drain(const fleet& newest, const instance& subject,
                                      planned_move move, const lost_instances& lost)
{
    pool_of(newest, move.to);
    if (subject.moving || subject.pool == move.to) {
        throw conflicting_move_error(subject, move.to);
    }
    if (subject.state != instance_state::admitted && !drained_by_operator(subject)) {
        throw wrong_state_error(subject, "admitted or drained by an operator");
    }
    ledger(newest, lost).require_take_out(subject);
    require_arrival(newest, subject, move, lost);
    return {set_instance_state{
        .id = subject.id, .state = instance_state::draining, .moving = std::move(move)}};
}

std::size_t admitted_in(const fleet& whole, const pool_id& pool, const lost_instances& lost)
{
    return static_cast<std::size_t>(
        std::count_if(whole.instances.begin(), whole.instances.end(), [&](const auto& item) {
            const instance& each = item.second;
            return each.pool == pool && each.state == instance_state::admitted &&
                   !lost.contains(each.id);
        }));
}

void require_lender(const fleet& newest, const instance& subject, const lost_instances& lost)
{
    const pool& lender = pool_of(newest, subject.pool);
    const std::size_t admitted = admitted_in(newest, lender.id, lost);
    if (!lender.lends || admitted <= lender.reserve) {
        throw pool_cannot_lend_error(lender, admitted);
    }
}

} // namespace

wrong_state_error::wrong_state_error(const instance& subject, const std::string& expected)
    : error("wrong-state",
            "instance \"" + subject.id.str() + "\" is " + std::string(name_of(subject.state)) +
                ", not " + expected,
            {{"instance", subject.id.str()},
             {"state", std::string(name_of(subject.state))},
             {"wave", subject.outage_wave.str()},
             {"expected", expected}})
{
}

already_lent_error::already_lent_error(const instance& subject)
    : error("already-lent",
            "instance \"" + subject.id.str() + "\" is lent to pool \"" + subject.pool.str() + "\"",
            {{"instance", subject.id.str()},
             {"pool", subject.pool.str()},
             {"home", subject.lent ? subject.lent->home.str() : ""}})
{
}

conflicting_move_error::conflicting_move_error(const instance& subject, const pool_id& asked)
    : error("conflicting-move",
            "instance \"" + subject.id.str() + "\" is in or moving to pool \"" +
                (subject.moving ? subject.moving->to : subject.pool).str() + "\"",
            {{"instance", subject.id.str()},
             {"pool", subject.pool.str()},
             {"moving_to", subject.moving ? subject.moving->to.str() : ""},
             {"asked", asked.str()}})
{
}

pool_cannot_lend_error::pool_cannot_lend_error(const pool& lender, std::size_t admitted)
    : error("pool-cannot-lend",
            "pool \"" + lender.id.str() + "\" " +
                (lender.lends ? "has no instance above its reserve" : "does not lend"),
            {{"pool", lender.id.str()},
             {"lends", lender.lends ? "true" : "false"},
             {"admitted", std::to_string(admitted)},
             {"reserve", std::to_string(lender.reserve)}})
{
}

stale_outage_error::stale_outage_error(const instance& subject, version_number expected)
    : error("stale-outage",
            "instance \"" + subject.id.str() + "\" changed at version " +
                std::to_string(subject.state_version),
            {{"instance", subject.id.str()},
             {"expected", std::to_string(expected)},
             {"present", std::to_string(subject.state_version)}})
{
}

wave_over_error::wave_over_error(const wave& subject, wave_state asked)
    : error("wave-over",
            "wave \"" + subject.id.str() + "\" is " + std::string(name_of(subject.state)),
            {{"wave", subject.id.str()},
             {"state", std::string(name_of(subject.state))},
             {"asked", std::string(name_of(asked))}})
{
}

wave_exists_error::wave_exists_error(const wave& subject)
    : error("wave-exists", "wave \"" + subject.id.str() + "\" exists already",
            {{"wave", subject.id.str()}, {"state", std::string(name_of(subject.state))}})
{
}

std::vector<change> plan_drain(const fleet& newest, const instance_id& id,
                               const drain_options& options)
{
    const instance& subject = instance_of(newest, id);
    if (subject.state != instance_state::admitted) {
        throw wrong_state_error(subject, "admitted");
    }
    ledger(newest, options.lost).require_take_out(subject);
    return {set_instance_state{.id = id, .state = instance_state::draining, .wave = options.wave}};
}

std::vector<change> plan_undrain(const fleet& newest, const instance_id& id)
{
    const instance& subject = instance_of(newest, id);
    const bool rebooting = subject.state == instance_state::stopped && !subject.outage_wave.empty();
    if (subject.state == instance_state::admitted || rebooting) {
        throw wrong_state_error(subject, "out of service and not being rebooted");
    }
    return {set_instance_state{.id = id, .state = instance_state::admitted}};
}

std::vector<change> plan_move(const fleet& newest, const move_options& options)
{
    const instance& subject = instance_of(newest, options.id);
    if (subject.lent) {
        throw already_lent_error(subject);
    }
    return plan_moving_drain(newest, subject, {.to = options.to}, options.lost);
}

std::vector<change> plan_lend(const fleet& newest, const lend_options& options)
{
    const instance& subject = instance_of(newest, options.id);
    if (subject.lent) {
        throw already_lent_error(subject);
    }
    require_lender(newest, subject, options.lost);
    return plan_moving_drain(
        newest, subject,
        {.to = options.to, .lent = loan{.home = subject.pool, .until = options.until}},
        options.lost);
}

std::vector<change> plan_return(const fleet& newest, const return_options& options)
{
    const instance& subject = instance_of(newest, options.id);
    if (!subject.lent) {
        throw wrong_state_error(subject, "lent");
    }
    return plan_moving_drain(newest, subject, {.to = subject.lent->home}, options.lost);
}

std::vector<change> plan_end_of_drain(const fleet& newest, const outage& drain, std::uint64_t boots)
{
    const instance& subject = outage_of(newest, drain);
    if (subject.state != instance_state::draining) {
        throw wrong_state_error(subject, "draining");
    }
    if (!subject.moving) {
        return {set_instance_state{.id = subject.id,
                                   .state = instance_state::stopped,
                                   .wave = subject.outage_wave,
                                   .boots_before = boots}};
    }
    std::vector<change> changes{
        move_instance{.id = subject.id, .pool = subject.moving->to, .lent = subject.moving->lent},
        set_instance_state{.id = subject.id, .state = instance_state::admitted}};
    require_budgets(newest, *applied(newest, {.version = newest.version + 1, .changes = changes}),
                    {});
    return changes;
}

std::vector<change> plan_admit(const fleet& newest, const outage& stop, wall_time maintained)
{
    const instance& subject = outage_of(newest, stop);
    if (subject.state != instance_state::stopped || subject.outage_wave.empty()) {
        throw wrong_state_error(subject, "stopped by a wave");
    }
    return {set_instance_state{.id = subject.id,
                               .state = instance_state::admitted,
                               .wave = subject.outage_wave,
                               .maintained = maintained}};
}

std::vector<change> plan_fail(const fleet& newest, const outage& seen)
{
    const instance& subject = outage_of(newest, seen);
    return {set_instance_state{
        .id = subject.id, .state = instance_state::failed, .wave = subject.outage_wave}};
}

std::vector<change> plan_wave_state(const fleet& newest, const wave_id& id, wave_state state,
                                    const std::string& reason)
{
    wave value = wave_of(newest, id);
    if (value.state == wave_state::aborted || value.state == wave_state::finished) {
        throw wave_over_error(value, state);
    }
    value.state = state;
    value.reason = reason;
    return {put_wave{std::move(value)}};
}

std::vector<change> plan_wave_start(const fleet& newest, const wave& started)
{
    if (const auto found = newest.waves.find(started.id); found != newest.waves.end()) {
        throw wave_exists_error(found->second);
    }
    for (const pool_id& each : started.pools) {
        pool_of(newest, each);
    }
    return {put_wave{started}};
}

} // namespace plantaindoor::version
