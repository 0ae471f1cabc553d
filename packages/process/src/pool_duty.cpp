#include "plantaindoor/process/pool_duty.hpp"

#include "duty_proposals.hpp"

#include <algorithm>
#include <set>

namespace plantaindoor::process {

using version::change;
using version::fleet;
using version::instance;
using version::instance_state;
using version::outage;
using version::wave_state;

namespace {

outage outage_of(const instance& subject)
{
    return {.id = subject.id, .state_version = subject.state_version};
}

milliseconds longest_request(const fleet& whole, const pool_id& pool)
{
    milliseconds longest{0};
    for (const auto& [id, each] : whole.services) {
        if (std::find(each.pools.begin(), each.pools.end(), pool) != each.pools.end()) {
            longest = std::max(longest, each.longest_request);
        }
    }
    return longest;
}

} // namespace

std::vector<duty_action> pool_duty::step(const duty_view& view)
{
    m_actions.clear();
    forget_ended(view);
    findings found;
    for (const instance* each : view.members) {
        if (each->state == instance_state::draining) {
            step_draining(view, *each, found);
        }
        else if (each->state == instance_state::stopped) {
            step_stopped(view, *each, found);
        }
        else if (each->state == instance_state::admitted) {
            step_admitted(view, *each, found);
        }
    }
    if (!m_appending) {
        append_one(view, found);
    }
    return std::move(m_actions);
}

void pool_duty::forget_ended(const duty_view& view)
{
    std::set<outage> present;
    std::set<instance_id> ids;
    for (const instance* each : view.members) {
        present.insert(outage_of(*each));
        ids.insert(each->id);
    }
    std::erase_if(m_work, [&](const auto& item) { return !present.contains(item.first); });
    std::erase_if(m_lost_since, [&](const auto& item) { return !ids.contains(item.first); });
}

pool_duty::work& pool_duty::work_of(const duty_view& view, const instance& subject)
{
    const auto known = m_work.find(outage_of(subject));
    if (known != m_work.end()) {
        return known->second;
    }
    work state({.drain = outage_of(subject),
                .longest_request = longest_request(view.whole, subject.pool)});
    state.first_seen = view.now;
    state.last_journal = view.now;
    return m_work.emplace(outage_of(subject), std::move(state)).first->second;
}

void pool_duty::step_draining(const duty_view& view, const instance& subject, findings& found)
{
    work& state = work_of(view, subject);
    const bool reboots = !subject.moving && !subject.outage_wave.empty();
    state.barrier.observe(view.entries, view.now);
    if (!state.checkpoint_asked) {
        state.checkpoint_asked = true;
        m_actions.push_back(checkpoint_tasks{outage_of(subject)});
    }
    if (reboots && !state.boots) {
        ask_boots(view, state, outage_of(subject));
    }
    if (state.barrier.passed() && state.checkpointed && (state.boots || !reboots)) {
        found.ends.push_back(outage_of(subject));
    }
    else {
        report_wait(view, state, subject);
    }
}

void pool_duty::step_stopped(const duty_view& view, const instance& subject, findings& found)
{
    if (subject.outage_wave.empty()) {
        return;
    }
    work& state = work_of(view, subject);
    const outage stop = outage_of(subject);
    const milliseconds limit = m_options.times.return_timeout;
    if (!state.reboot_accepted) {
        ask_reboot(view, state, stop);
        if (state.refused && view.now - state.first_seen >= limit) {
            found.fails.push_back(stop);
        }
        return;
    }
    const time_point settled = *state.reboot_accepted + m_options.times.reboot_settle;
    const bool booted = state.boots && *state.boots > subject.boots_before;
    if (booted && !view.lost->contains(subject.id)) {
        found.admits.push_back(stop);
    }
    else if (view.now - *state.reboot_accepted >= limit) {
        found.fails.push_back(stop);
    }
    else if (view.now >= settled) {
        ask_boots(view, state, stop);
    }
}

void pool_duty::step_admitted(const duty_view& view, const instance& subject, findings& found)
{
    if (!view.lost->contains(subject.id)) {
        m_lost_since.erase(subject.id);
    }
    else {
        const auto since = m_lost_since.try_emplace(subject.id, view.now).first->second;
        if (view.now - since >= m_options.times.lost_after) {
            found.fails.push_back(outage_of(subject));
        }
    }
    if (subject.lent && !subject.moving && view.wall_now >= subject.lent->until) {
        found.returns.push_back(subject.id);
    }
}

void pool_duty::ask_boots(const duty_view& view, work& state, const outage& of)
{
    if (!state.reading_boots && view.now - state.boots_asked >= m_options.times.boots_interval) {
        state.reading_boots = true;
        state.boots_asked = view.now;
        m_actions.push_back(read_boots{of});
    }
}

void pool_duty::ask_reboot(const duty_view& view, work& state, const outage& stop)
{
    if (state.rebooting || view.now < state.next_reboot) {
        return;
    }
    state.rebooting = true;
    const std::string version = std::to_string(stop.state_version);
    // The version grows over all moves of the instance, whichever pool's duty reboots it; a lease's
    // epoch grows only within one pool.
    m_actions.push_back(
        reboot_instance{.stop = stop,
                        .guard = {.id = operation_id("reboot/" + stop.id.str() + "/" + version),
                                  .epoch = stop.state_version}});
}

void pool_duty::report_wait(const duty_view& view, work& state, const instance& subject)
{
    if (view.now - state.last_journal < m_options.times.journal_interval) {
        return;
    }
    state.last_journal = view.now;
    std::vector<journal_fact> facts{{"instance", subject.id.str()}};
    for (const awaited_entry& each : state.barrier.awaited()) {
        facts.push_back({"entry", each.entry.str()});
        facts.push_back({"reason", std::string(name_of(each.reason))});
    }
    if (!state.checkpointed) {
        facts.push_back({"reason", "tasks-not-checkpointed"});
    }
    m_actions.push_back(entry_for(view, "drain-waits", std::move(facts)));
}

void pool_duty::append_one(const duty_view& view, const findings& found)
{
    using append_step = bool (pool_duty::*)(const duty_view&, const findings&);
    static constexpr std::array<append_step, 8> most_urgent_first{
        &pool_duty::append_undrains, &pool_duty::append_ends,    &pool_duty::append_admits,
        &pool_duty::append_fails,    &pool_duty::append_returns, &pool_duty::append_drains,
        &pool_duty::append_loans,    &pool_duty::append_finished};
    for (std::size_t n = 0; n < most_urgent_first.size(); ++n) {
        const std::size_t index = (m_first_append + n) % most_urgent_first.size();
        if ((this->*most_urgent_first[index])(view, found)) {
            m_last_append = index;
            return;
        }
    }
    m_first_append = 0;
}

bool pool_duty::append_undrains(const duty_view& view, const findings&)
{
    std::vector<outage> drains;
    std::vector<journal_fact> why;
    for (const auto& [wave, plan] : view.plans) {
        for (const instance_id& id : in_pool(plan.undrains, view.whole, m_options.pool)) {
            drains.push_back(outage_of(view.whole.instances.at(id)));
        }
        for (const version::service_figures& each : plan.below_budget) {
            why.push_back({"below-budget", each.service.str()});
            why.push_back({"admitted", std::to_string(each.admitted)});
            why.push_back({"budget", std::to_string(each.budget)});
        }
    }
    if (drains.empty()) {
        return false;
    }
    append("undo drains",
           propose_undrains(std::move(drains), entry_for(view, "drain-undone", std::move(why))));
    return true;
}

bool pool_duty::append_ends(const duty_view& view, const findings& found)
{
    if (found.ends.empty()) {
        return false;
    }
    std::vector<std::pair<outage, std::uint64_t>> ends;
    for (const outage& each : found.ends) {
        ends.emplace_back(each, m_work.at(each).boots.value_or(0));
    }
    append("drained", propose_ends(std::move(ends), entry_for(view, "drain-ended", {})));
    return true;
}

bool pool_duty::append_admits(const duty_view& view, const findings& found)
{
    if (found.admits.empty()) {
        return false;
    }
    append("rebooted", propose_admits(found.admits, entry_for(view, "instance-maintained", {})));
    return true;
}

bool pool_duty::append_fails(const duty_view& view, const findings& found)
{
    if (found.fails.empty()) {
        return false;
    }
    append("lost", propose_fails(found.fails, m_options.times.max_failed_in_wave,
                                 entry_for(view, "instance-failed", {})));
    return true;
}

bool pool_duty::append_returns(const duty_view& view, const findings& found)
{
    if (found.returns.empty()) {
        return false;
    }
    append("loan is due",
           propose_returns(found.returns, view.lost, entry_for(view, "loan-ending", {})));
    return true;
}

bool pool_duty::append_drains(const duty_view& view, const findings&)
{
    for (const auto& [wave, plan] : view.plans) {
        if (in_pool(plan.drains, view.whole, m_options.pool).empty()) {
            continue;
        }
        append("wave " + wave.str(),
               propose_drains({.wave = wave,
                               .pool = m_options.pool,
                               .lost = view.lost,
                               .planner = m_options.planner},
                              entry_for(view, "drain-started", {{"wave", wave.str()}})));
        return true;
    }
    return false;
}

bool pool_duty::append_loans(const duty_view& view, const findings&)
{
    std::vector<proposed_loan> loans;
    for (const auto& [wave, plan] : view.plans) {
        std::copy_if(plan.loans.begin(), plan.loans.end(), std::back_inserter(loans),
                     [&](const proposed_loan& each) { return each.to == m_options.pool; });
    }
    if (loans.empty()) {
        return false;
    }
    append("lend", propose_loan({.loan = loans.front(),
                                 .until = view.wall_now + m_options.times.loan_term,
                                 .lost = view.lost},
                                entry_for(view, "loan-started", {{"to", m_options.pool.str()}})));
    return true;
}

bool pool_duty::append_finished(const duty_view& view, const findings&)
{
    for (const auto& [wave, plan] : view.plans) {
        const version::wave& subject = view.whole.waves.at(wave);
        const bool own = !subject.pools.empty() && subject.pools.front() == m_options.pool;
        if (!own) {
            continue;
        }
        if (plan.finished && subject.state == wave_state::running) {
            append("wave finished", propose_finished(wave, entry_for(view, "wave-finished",
                                                                     {{"wave", wave.str()}})));
            return true;
        }
        const auto reported = m_hold_reported.try_emplace(wave, view.now).first;
        const bool due = view.now - reported->second >= m_options.times.journal_interval;
        if (due && !(plan.held.empty() && plan.below_budget.empty())) {
            reported->second = view.now;
            std::vector<journal_fact> facts{{"wave", wave.str()}};
            for (const pool_id& each : plan.held) {
                facts.push_back({"pool", each.str()});
            }
            for (const version::service_figures& each : plan.below_budget) {
                facts.push_back({"below-budget", each.service.str()});
            }
            m_actions.push_back(entry_for(view, "wave-held", std::move(facts)));
        }
    }
    return false;
}

void pool_duty::append(const std::string& reason, proposal propose)
{
    m_appending = true;
    m_notes = std::make_shared<std::vector<journal_entry>>();
    m_actions.push_back(append_changes{
        .author = "entry:" + m_options.self.str(),
        .reason = reason,
        .propose = [notes = m_notes, propose = std::move(propose)](const fleet& newest) {
            notes->clear();
            return propose(newest, *notes);
        }});
}

std::vector<journal_entry> pool_duty::on_appended(version::append_outcome outcome)
{
    m_appending = false;
    std::vector<journal_entry> notes;
    if (outcome == version::append_outcome::accepted && m_notes) {
        notes = std::move(*m_notes);
    }
    m_notes.reset();
    // An append that came to nothing lets the less urgent ones have their turn.
    m_first_append = notes.empty() ? m_last_append + 1 : 0;
    return notes;
}

void pool_duty::on_boots(const outage& of, std::optional<std::uint64_t> boots, time_point asked)
{
    const auto found = m_work.find(of);
    if (found == m_work.end()) {
        return;
    }
    work& state = found->second;
    state.reading_boots = false;
    const bool early =
        state.reboot_accepted && asked < *state.reboot_accepted + m_options.times.reboot_settle;
    if (boots && !early) {
        state.boots = boots;
    }
}

void pool_duty::on_rebooted(const outage& stop, operation_outcome outcome, time_point now)
{
    const auto found = m_work.find(stop);
    if (found == m_work.end()) {
        return;
    }
    work& state = found->second;
    state.rebooting = false;
    state.refused = outcome == operation_outcome::refused;
    state.next_reboot = now + m_options.times.reboot_retry;
    if (outcome == operation_outcome::accepted) {
        state.reboot_accepted = now;
    }
}

void pool_duty::on_checkpointed(const outage& drain)
{
    if (const auto found = m_work.find(drain); found != m_work.end()) {
        found->second.checkpointed = true;
    }
}

std::vector<awaited_entry> pool_duty::awaited(const instance_id& id) const
{
    const auto found = m_work.lower_bound({.id = id, .state_version = 0});
    const bool own = found != m_work.end() && found->first.id == id;
    return own ? found->second.barrier.awaited() : std::vector<awaited_entry>{};
}

journal_entry pool_duty::entry_for(const duty_view& view, const std::string& action,
                                   std::vector<journal_fact> facts) const
{
    return {.when = view.wall_now,
            .actor = m_options.self,
            .part = "wave",
            .action = action,
            .version = view.whole.version,
            .facts = std::move(facts)};
}

} // namespace plantaindoor::process
