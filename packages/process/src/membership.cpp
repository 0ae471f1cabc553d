#include "plantaindoor/process/membership.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

membership::membership(membership_options options, time_point started)
    : m_options(std::move(options)), m_started(started)
{
}

void membership::listen_at(std::string address, std::uint16_t port)
{
    m_options.peer_address = std::move(address);
    m_options.peer_port = port;
}

void membership::on_applied(version::version_number version, bool urgent)
{
    m_applied = std::max(m_applied, version);
    m_urgent = m_urgent || urgent;
    settle();
}

void membership::on_head_applied(time_point asked)
{
    take_head_reading({asked, m_applied});
}

void membership::on_peer(const peer_status& status)
{
    if (status.entry == m_options.self) {
        return;
    }
    hear(status.entry, status.asked, status.version);
    for (const heard_entry& each : status.heard) {
        hear(each.entry, status.asked - each.age, status.version);
    }
    if (status.head_age) {
        take_head_reading({status.asked - *status.head_age, status.version});
    }
    take_sync(status);
    settle();
}

void membership::hear(const entry_id& entry, time_point as_of, version::version_number version)
{
    if (entry == m_options.self) {
        return;
    }
    const auto [found, added] = m_others.try_emplace(entry, other{.first_known = as_of});
    if (added || !found->second.heard || *found->second.heard < as_of) {
        found->second.heard = as_of;
        found->second.version = version;
    }
}

void membership::take_head_reading(const head_reading& reading)
{
    if (reading.version > m_applied) {
        if (!m_head_ahead || m_head_ahead->as_of < reading.as_of) {
            m_head_ahead = reading;
        }
        return;
    }
    m_head_as_of = m_head_as_of ? std::max(*m_head_as_of, reading.as_of) : reading.as_of;
}

void membership::take_sync(const peer_status& status)
{
    const bool late_enough =
        status.asked >= m_started + m_options.list_lag || !m_options.rules.sync_after_list;
    if (late_enough && (status.serving || !m_options.rules.sync_from_serving)) {
        m_sync_version =
            m_sync_version ? std::min(*m_sync_version, status.version) : status.version;
    }
}

/// Counts what had to wait until its version was applied.
void membership::settle()
{
    if (m_head_ahead && m_head_ahead->version <= m_applied) {
        take_head_reading(*std::exchange(m_head_ahead, std::nullopt));
    }
    m_synced = m_synced || (m_sync_version && *m_sync_version <= m_applied);
}

void membership::on_registered(const std::set<entry_id>& entries, time_point now)
{
    m_rows_read = true;
    for (const entry_id& each : entries) {
        if (each != m_options.self) {
            m_others.try_emplace(each, other{.first_known = now});
        }
    }
    std::erase_if(m_others, [&](const auto& each) {
        return !entries.contains(each.first) && !recent(each.second, now);
    });
}

void membership::on_listed(const std::set<entry_id>& entries, time_point now)
{
    std::erase_if(m_others, [&](const auto& each) {
        const bool must_show = now - each.second.first_known > m_options.list_lag;
        return must_show && !entries.contains(each.first) && !recent(each.second, now);
    });
}

void membership::on_busy(const std::vector<instance_id>& busy)
{
    const bool any_ended = std::ranges::any_of(m_written_busy, [&](const instance_id& written) {
        return std::ranges::find(busy, written) == busy.end();
    });
    m_urgent = m_urgent || any_ended;
}

bool membership::write_due(time_point now) const
{
    if (m_writing) {
        return false;
    }
    if (!m_last_write) {
        return true;
    }
    const nanoseconds gap = now - *m_last_write;
    return gap >= renewal_gap() || ((m_urgent || !m_registered) && gap >= urgent_gap());
}

registration_write membership::begin_write(time_point now, wall_time wall,
                                           std::vector<instance_id> busy)
{
    m_writing = true;
    m_urgent = false;
    m_last_write = now;
    m_written_busy = busy;
    return {.row = {.entry = m_options.self,
                    .incarnation = m_options.incarnation,
                    .zone = m_options.zone,
                    .peer_address = m_options.peer_address,
                    .peer_port = m_options.peer_port,
                    .applied = m_applied,
                    .busy = std::move(busy),
                    .lease_until = wall + m_options.lease},
            .first = !m_registered};
}

void membership::on_written(registration_outcome outcome)
{
    m_writing = false;
    switch (outcome) {
    case registration_outcome::written:
        m_registered = true;
        m_was_registered = true;
        break;
    case registration_outcome::row_missing:
        m_registered = false;
        m_urgent = true;
        break;
    case registration_outcome::failed:
        m_urgent = true;
        break;
    }
}

serving_state membership::may_serve(time_point now) const
{
    if (m_ending) {
        return serving_state::ending;
    }
    if (!m_registered && m_was_registered) {
        return serving_state::registration_lost;
    }
    if (!m_registered && !m_synced) {
        return serving_state::starting;
    }
    return current(now) || hears_majority(now) ? serving_state::serving : serving_state::cut_off;
}

std::vector<heard_entry> membership::heard(time_point now, std::size_t limit) const
{
    std::vector<heard_entry> found;
    for (const auto& [entry, known] : m_others) {
        if (recent(known, now)) {
            found.push_back({entry, std::chrono::ceil<milliseconds>(now - *known.heard)});
        }
    }
    std::ranges::stable_sort(found, {}, &heard_entry::age);
    found.resize(std::min(found.size(), limit));
    return found;
}

bool membership::recent(const other& entry, time_point now) const
{
    return entry.heard && now - *entry.heard <= m_options.currency_bound &&
           entry.version <= m_applied;
}

bool membership::current(time_point now) const
{
    return m_head_as_of && now - *m_head_as_of <= m_options.currency_bound;
}

/// With the table out of everyone's reach nothing can be accepted. That it is out of everyone's
/// reach is taken from more than half of the others, none of whom has read the head lately.
bool membership::hears_majority(time_point now) const
{
    const auto heard_now =
        std::ranges::count_if(m_others, [&](const auto& each) { return recent(each.second, now); });
    const bool alone = m_rows_read && m_others.empty();
    const std::size_t needed = alone ? 0 : m_others.size() / 2 + 1;
    return static_cast<std::size_t>(heard_now) >= needed;
}

nanoseconds membership::renewal_gap() const
{
    const nanoseconds shared =
        nanoseconds(seconds(m_others.size() + 1)) / m_options.max_renewals_per_second;
    return std::clamp<nanoseconds>(shared, m_options.renew_period, m_options.longest_renew_period);
}

nanoseconds membership::urgent_gap() const
{
    const nanoseconds shared =
        nanoseconds(seconds(m_others.size() + 1)) / m_options.max_urgent_writes_per_second;
    return std::max<nanoseconds>(m_options.shortest_write_gap, shared);
}

} // namespace plantaindoor::process
