#include "plantaindoor/version/log_follower.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace plantaindoor::version {

log_follower::log_follower(options limits)
    : m_limits(limits), m_current(std::make_shared<const fleet>())
{
}

void log_follower::on_head(const log_head& head)
{
    if (head.version < m_head.version) {
        return;
    }
    m_head = head;
    on_heard(head.version);
}

void log_follower::on_heard(version_number version)
{
    m_newest = std::max(m_newest, version);
}

void log_follower::forget_heard()
{
    m_newest = std::max(m_head.version, m_current->version);
}

bool log_follower::on_records(std::vector<log_record> records)
{
    const version_number limit = m_current->version + m_limits.max_fetch;
    for (log_record& each : records) {
        const version_number version = each.step.version;
        on_heard(version);
        if (version > m_current->version && version <= limit) {
            m_waiting.emplace(version, std::move(each));
        }
    }
    return apply_waiting();
}

bool log_follower::on_snapshot(fleet whole)
{
    on_heard(whole.version);
    if (whole.version <= m_current->version) {
        return false;
    }
    m_current = std::make_shared<const fleet>(std::move(whole));
    m_retained.clear();
    m_stalled = false;
    apply_waiting();
    return true;
}

std::optional<log_fetch> log_follower::wanted() const
{
    if (caught_up() || m_stalled) {
        return std::nullopt;
    }
    const version_number next = m_current->version + 1;
    if (next < m_head.oldest && m_head.snapshot >= next) {
        return log_fetch{.snapshot = m_head.snapshot};
    }
    const version_number last = std::min<version_number>(m_newest, next + m_limits.max_fetch - 1);
    return log_fetch{.first = next, .last = last};
}

std::vector<log_record> log_follower::records_after(version_number have, std::size_t limit) const
{
    std::vector<log_record> found;
    for (version_number next = have + 1; found.size() < limit; ++next) {
        const log_record* kept = record(next);
        if (kept == nullptr) {
            break;
        }
        found.push_back(*kept);
    }
    return found;
}

const log_record* log_follower::record(version_number version) const
{
    const auto found = m_retained.find(version);
    return found == m_retained.end() ? nullptr : &found->second;
}

bool log_follower::apply_waiting()
{
    const version_number before = m_current->version;
    m_waiting.erase(m_waiting.begin(), m_waiting.upper_bound(before));
    while (!m_waiting.empty() && m_waiting.begin()->first == m_current->version + 1) {
        auto next = m_waiting.extract(m_waiting.begin());
        try {
            m_current = applied(*m_current, next.mapped().step);
        }
        catch (const error&) {
            m_stalled = true;
            break;
        }
        retain(std::move(next.mapped()));
    }
    return m_current->version != before;
}

void log_follower::retain(log_record record)
{
    m_retained.emplace(record.step.version, std::move(record));
    if (m_retained.size() > m_limits.max_retained) {
        m_retained.erase(m_retained.begin());
    }
}

} // namespace plantaindoor::version
