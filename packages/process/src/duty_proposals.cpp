#include "duty_proposals.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace plantaindoor::process {

using version::change;
using version::fleet;
using version::instance;
using version::instance_state;
using version::outage;
using version::wave_state;

namespace {

/// Makes one item's changes; a refused item is left out, since another writer was faster.
template<class Plan>
bool try_plan(std::vector<change>& changes, Plan plan)
{
    try {
        const std::vector<change> more = plan();
        changes.insert(changes.end(), more.begin(), more.end());
        return true;
    }
    catch (const error&) {
        return false;
    }
}

void note(std::vector<journal_entry>& notes, const journal_entry& model, const instance_id& id)
{
    notes.push_back(model);
    notes.back().facts.push_back({"instance", id.str()});
}

std::uint32_t failed_in(const fleet& whole, const wave_id& wave)
{
    return static_cast<std::uint32_t>(
        std::count_if(whole.instances.begin(), whole.instances.end(), [&](const auto& item) {
            return item.second.state == instance_state::failed && item.second.outage_wave == wave;
        }));
}

/// Pauses the wave, if it runs, and notes why.
void pause_wave(const fleet& newest, const wave_id& wave, std::uint32_t failed,
                const journal_entry& model, std::vector<change>& changes,
                std::vector<journal_entry>& notes)
{
    const auto found = newest.waves.find(wave);
    if (found == newest.waves.end() || found->second.state != wave_state::running) {
        return;
    }
    const std::string reason = std::to_string(failed) + " instances did not come back";
    try_plan(changes, [&] { return plan_wave_state(newest, wave, wave_state::paused, reason); });
    notes.push_back(model);
    notes.back().action = "wave-paused";
    notes.back().facts = {{"wave", wave.str()}, {"failed", std::to_string(failed)}};
}

bool has_arriving(const fleet& whole, const pool_id& pool)
{
    return std::any_of(whole.instances.begin(), whole.instances.end(), [&](const auto& item) {
        return item.second.moving && item.second.moving->to == pool;
    });
}

} // namespace

std::vector<instance_id> in_pool(const std::vector<instance_id>& ids, const fleet& whole,
                                 const pool_id& pool)
{
    std::vector<instance_id> own;
    std::copy_if(ids.begin(), ids.end(), std::back_inserter(own), [&](const instance_id& id) {
        const auto found = whole.instances.find(id);
        return found != whole.instances.end() && found->second.pool == pool;
    });
    return own;
}

duty_proposal propose_undrains(std::vector<outage> drains, journal_entry model)
{
    return [drains = std::move(drains), model = std::move(model)](const fleet& newest,
                                                                  auto& notes) {
        std::vector<change> changes;
        for (const outage& each : drains) {
            const auto found = newest.instances.find(each.id);
            const bool same = found != newest.instances.end() &&
                              found->second.state_version == each.state_version;
            if (same && try_plan(changes, [&] { return plan_undrain(newest, each.id); })) {
                notes.push_back(model);
                notes.back().facts.insert(notes.back().facts.begin(), {"instance", each.id.str()});
            }
        }
        return changes;
    };
}

duty_proposal propose_ends(std::vector<std::pair<outage, std::uint64_t>> drains,
                           journal_entry model)
{
    return [drains = std::move(drains), model = std::move(model)](const fleet& newest,
                                                                  auto& notes) {
        std::vector<change> changes;
        for (const auto& each : drains) {
            const outage& drain = each.first;
            if (try_plan(changes, [&] { return plan_end_of_drain(newest, drain, each.second); })) {
                note(notes, model, drain.id);
            }
        }
        return changes;
    };
}

duty_proposal propose_admits(std::vector<outage> stops, journal_entry model)
{
    return [stops = std::move(stops), model = std::move(model)](const fleet& newest, auto& notes) {
        std::vector<change> changes;
        for (const outage& each : stops) {
            if (try_plan(changes, [&] { return plan_admit(newest, each, model.when); })) {
                note(notes, model, each.id);
            }
        }
        return changes;
    };
}

duty_proposal propose_fails(std::vector<outage> outages, std::uint32_t max_failed_in_wave,
                            journal_entry model)
{
    return [outages = std::move(outages), max_failed_in_wave,
            model = std::move(model)](const fleet& newest, auto& notes) {
        std::vector<change> changes;
        std::map<wave_id, std::uint32_t> failed;
        for (const outage& each : outages) {
            if (!try_plan(changes, [&] { return plan_fail(newest, each); })) {
                continue;
            }
            note(notes, model, each.id);
            const wave_id& wave = newest.instances.at(each.id).outage_wave;
            if (!wave.empty()) {
                ++failed[wave];
            }
        }
        for (const auto& [wave, now] : failed) {
            const std::uint32_t all = now + failed_in(newest, wave);
            if (max_failed_in_wave != 0 && all >= max_failed_in_wave) {
                pause_wave(newest, wave, all, model, changes, notes);
            }
        }
        return changes;
    };
}

duty_proposal propose_returns(std::vector<instance_id> lent,
                              std::shared_ptr<const version::lost_instances> lost,
                              journal_entry model)
{
    return [lent = std::move(lent), lost = std::move(lost),
            model = std::move(model)](const fleet& newest, auto& notes) {
        std::vector<change> changes;
        version::ledger books(newest, *lost);
        for (const instance_id& id : lent) {
            const auto subject = newest.instances.find(id);
            if (subject == newest.instances.end() || !books.may_take_out(subject->second)) {
                continue;
            }
            if (try_plan(changes, [&] { return plan_return(newest, {.id = id, .lost = *lost}); })) {
                books.take_out(subject->second);
                note(notes, model, id);
            }
        }
        return changes;
    };
}

duty_proposal propose_drains(wave_drains what, journal_entry model)
{
    return [what = std::move(what), model = std::move(model)](const fleet& newest, auto& notes) {
        std::vector<change> changes;
        const auto subject = newest.waves.find(what.wave);
        if (subject == newest.waves.end()) {
            return changes;
        }
        version::ledger books(newest, *what.lost);
        const wave_plan anew = what.planner.plan(newest, books, subject->second);
        for (const instance_id& id : in_pool(anew.drains, newest, what.pool)) {
            const instance& each = newest.instances.at(id);
            books.require_take_out(each);
            books.take_out(each);
            changes.push_back(version::set_instance_state{
                .id = id, .state = instance_state::draining, .wave = what.wave});
            note(notes, model, id);
        }
        return changes;
    };
}

duty_proposal propose_loan(wave_loan what, journal_entry model)
{
    return [what = std::move(what), model = std::move(model)](const fleet& newest, auto& notes) {
        std::vector<change> changes;
        // Another wave's duty may have borrowed for this pool since.
        if (has_arriving(newest, what.loan.to)) {
            return changes;
        }
        const version::lend_options asked{
            .id = what.loan.id, .to = what.loan.to, .until = what.until, .lost = *what.lost};
        if (try_plan(changes, [&] { return plan_lend(newest, asked); })) {
            note(notes, model, what.loan.id);
        }
        return changes;
    };
}

duty_proposal propose_finished(wave_id wave, journal_entry model)
{
    return [wave = std::move(wave), model = std::move(model)](const fleet& newest, auto& notes) {
        std::vector<change> changes;
        if (try_plan(changes, [&] {
                return plan_wave_state(newest, wave, wave_state::finished, "all done");
            })) {
            notes.push_back(model);
        }
        return changes;
    };
}

} // namespace plantaindoor::process
