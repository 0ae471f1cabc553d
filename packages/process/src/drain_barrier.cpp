#include "plantaindoor/process/drain_barrier.hpp"

#include <algorithm>

namespace plantaindoor::process {

namespace {

/// Of two writes seen after a moment, the later was begun after it, since a process has at most
/// one write of its row under way.
constexpr std::uint64_t writes_that_prove_life = 2;

std::set<entry_id> listed_entries(const membership_reading& reading)
{
    std::set<entry_id> entries;
    for (const listed_instance& each : reading.listed) {
        if (each.role == listed_role::entry) {
            entries.emplace(each.id);
        }
    }
    return entries;
}

std::set<entry_id> without_row(const membership_reading& reading, std::set<entry_id> listed)
{
    for (const version::registration_row& each : reading.rows) {
        listed.erase(each.value.entry);
    }
    return listed;
}

} // namespace

void confirmation_set::observe(const membership_reading& reading, time_point now)
{
    restart_after_gap(now);
    std::set<std::pair<entry_id, std::uint64_t>> written;
    for (confirmation_member& each : m_members) {
        each.present = false;
    }
    for (const version::registration_row& each : reading.rows) {
        const confirmation_member* known = find(each.value.entry, each.value.incarnation);
        if (known == nullptr || known->version != each.version) {
            written.emplace(each.value.entry, each.value.incarnation);
        }
        observe_row(each, now);
    }
    count_rivals(written, now);
    const auto listed = listed_entries(reading);
    const auto unregistered = without_row(reading, listed);
    for (const entry_id& each : unregistered) {
        observe_unregistered(each, now);
    }
    observe_list(listed, unregistered, now);
    forget_long_gone(now);
}

void confirmation_set::restart_after_gap(time_point now)
{
    if (!m_started || now - m_last > m_options.longest_gap) {
        m_members.clear();
        m_started = now;
    }
    m_last = now;
}

void confirmation_set::observe_row(const version::registration_row& seen, time_point now)
{
    confirmation_member* known = find(seen.value.entry, seen.value.incarnation);
    if (known == nullptr) {
        m_members.push_back(
            {.entry = seen.value.entry, .incarnation = seen.value.incarnation, .first_seen = now});
        known = &m_members.back();
    }
    known->present = true;
    if (known->version != seen.version) {
        known->row = seen.value;
        known->version = seen.version;
        ++known->writes;
        known->unlisted_since.reset();
        known->rival_writes.clear();
    }
}

void confirmation_set::observe_unregistered(const entry_id& entry, time_point now)
{
    if (find(entry, std::nullopt) == nullptr) {
        m_members.push_back({.entry = entry, .first_seen = now});
    }
}

void confirmation_set::count_rivals(const std::set<std::pair<entry_id, std::uint64_t>>& written,
                                    time_point now)
{
    for (confirmation_member& each : m_members) {
        if (!each.incarnation || each.first_seen == now) {
            continue;
        }
        for (const auto& [entry, incarnation] : written) {
            if (entry != each.entry || incarnation == *each.incarnation) {
                continue;
            }
            if (++each.rival_writes[incarnation] == writes_that_prove_life) {
                each.replaced_since = each.replaced_since.value_or(now);
            }
        }
    }
}

void confirmation_set::observe_list(const std::set<entry_id>& listed,
                                    const std::set<entry_id>& unregistered, time_point now)
{
    for (confirmation_member& each : m_members) {
        if (listed.contains(each.entry)) {
            each.unlisted_since.reset();
        }
        else {
            each.unlisted_since = each.unlisted_since.value_or(now);
        }
        if (!each.incarnation) {
            if (unregistered.contains(each.entry)) {
                each.replaced_since.reset();
            }
            else if (listed.contains(each.entry)) {
                each.replaced_since = each.replaced_since.value_or(now);
            }
        }
    }
}

void confirmation_set::forget_long_gone(time_point now)
{
    std::erase_if(m_members, [&](const confirmation_member& each) {
        const auto since = each.replaced_since ? each.replaced_since : each.unlisted_since;
        return !each.present && since && now - *since > m_options.forget_after;
    });
}

confirmation_member* confirmation_set::find(const entry_id& entry,
                                            std::optional<std::uint64_t> incarnation)
{
    const auto found =
        std::find_if(m_members.begin(), m_members.end(), [&](const confirmation_member& each) {
            return each.entry == entry && each.incarnation == incarnation;
        });
    return found == m_members.end() ? nullptr : &*found;
}

bool confirmation_set::has_left(const confirmation_member& subject, milliseconds longest_request,
                                time_point now) const
{
    if (subject.replaced_since && now - *subject.replaced_since >= longest_request) {
        return true;
    }
    return subject.unlisted_since &&
           now - *subject.unlisted_since >= m_options.list_lag_bound + longest_request;
}

bool confirmation_set::has_settled(milliseconds longest_request, time_point now) const
{
    return m_started && now - *m_started >= longest_request;
}

void drain_barrier::observe(const confirmation_set& entries, time_point now)
{
    std::vector<const confirmation_member*> members;
    for (const confirmation_member& each : entries.members()) {
        if (!entries.has_left(each, m_options.longest_request, now)) {
            members.push_back(&each);
        }
    }
    if (m_set_started != entries.started()) {
        m_set_started = entries.started();
        m_writes_at_confirmation.clear();
    }
    const bool all_confirmed =
        std::all_of(members.begin(), members.end(),
                    [&](const confirmation_member* each) { return confirmed(*each); });
    if (!all_confirmed) {
        m_writes_at_confirmation.clear();
    }
    if (all_confirmed) {
        note_confirmations(members);
    }
    m_awaited.clear();
    for (const confirmation_member* each : members) {
        const bool holds_back = all_confirmed || !confirmed(*each);
        if (const auto reason = reason_to_wait(*each, now); reason && holds_back) {
            m_awaited.push_back({.entry = each->entry, .reason = *reason});
        }
    }
    m_passed = all_confirmed && m_awaited.empty() && !members.empty() &&
               entries.has_settled(m_options.longest_request, now);
}

void drain_barrier::note_confirmations(const std::vector<const confirmation_member*>& members)
{
    const auto key_of = [](const confirmation_member* each) {
        return member_key{each->entry, *each->incarnation};
    };
    // What the others wrote before a new incarnation was seen says nothing of what it did
    // meanwhile.
    if (std::any_of(members.begin(), members.end(), [&](const confirmation_member* each) {
            return !m_writes_at_confirmation.contains(key_of(each));
        })) {
        m_writes_at_confirmation.clear();
    }
    for (const confirmation_member* each : members) {
        m_writes_at_confirmation.try_emplace(key_of(each), each->writes);
    }
}

bool drain_barrier::confirmed(const confirmation_member& subject) const
{
    const auto& busy = subject.row.busy;
    return subject.incarnation && subject.present &&
           subject.row.applied >= m_options.drain.state_version &&
           std::find(busy.begin(), busy.end(), m_options.drain.id) == busy.end();
}

std::optional<std::uint64_t> drain_barrier::renewals(const confirmation_member& subject) const
{
    if (!subject.incarnation) {
        return std::nullopt;
    }
    const auto found = m_writes_at_confirmation.find({subject.entry, *subject.incarnation});
    if (found == m_writes_at_confirmation.end()) {
        return std::nullopt;
    }
    return subject.writes - found->second;
}

std::optional<awaited_reason> drain_barrier::reason_to_wait(const confirmation_member& subject,
                                                            time_point now) const
{
    const bool gone = subject.unlisted_since || subject.replaced_since;
    if (!subject.incarnation) {
        return gone ? awaited_reason::may_still_run : awaited_reason::not_registered;
    }
    if (!confirmed(subject)) {
        return gone ? awaited_reason::may_still_run : awaited_reason::not_confirmed;
    }
    if (now - subject.first_seen < m_options.longest_request) {
        return awaited_reason::recently_seen;
    }
    if (renewals(subject).value_or(0) < writes_that_prove_life) {
        return gone ? awaited_reason::may_still_run : awaited_reason::not_renewed;
    }
    return std::nullopt;
}

} // namespace plantaindoor::process
