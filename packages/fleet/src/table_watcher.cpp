#include "plantaindoor/fleet/table_watcher.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

table_follower::table_follower(event_loop& loop, row_store& store, follower_options options,
                               observers told)
    : m_loop(loop),
      m_store(store),
      m_options(std::move(options)),
      m_observers(std::move(told)),
      m_alive(std::make_shared<bool>(true))
{
    read_all();
}

table_follower::~table_follower()
{
    *m_alive = false;
    m_loop.cancel(m_timer);
}

void table_follower::read_all()
{
    ++m_attempt;
    m_seen.clear();
    m_first_version = absent;
    m_partitions_left = m_options.partitions.size();
    for (std::size_t partition = 0; partition < m_options.partitions.size(); ++partition) {
        read_page(partition, {});
    }
}

void table_follower::read_page(std::size_t partition, std::string from)
{
    m_store.read({.table = m_options.table,
                  .partition = m_options.partitions[partition],
                  .from = std::move(from)},
                 m_options.read_timeout,
                 [this, partition, alive = m_alive,
                  attempt = m_attempt](const std::optional<row_page>& page) {
                     if (!*alive || attempt != m_attempt) {
                         return;
                     }
                     if (page) {
                         take_page(partition, *page);
                         return;
                     }
                     // The other partitions' answers to this attempt no longer count.
                     ++m_attempt;
                     m_observers.on_failure();
                     run_later(m_options.retry, &table_follower::read_all);
                 });
}

void table_follower::take_page(std::size_t partition, const row_page& page)
{
    m_observers.on_alive();
    // Changes made while the pages were read come again by the feed.
    m_first_version =
        m_first_version == absent ? page.version : std::min(m_first_version, page.version);
    for (const stored_row& row : page.rows) {
        m_seen[row.at] = row.version;
        if (m_known[row.at] < row.version) {
            m_known[row.at] = row.version;
            m_observers.on_row(row);
        }
    }
    if (page.more && !page.rows.empty()) {
        read_page(partition, page.rows.back().at.key + '\0');
        return;
    }
    if (--m_partitions_left == 0) {
        forget_absent();
        m_version = m_first_version;
        m_complete = true;
        m_observers.on_complete();
        follow();
    }
}

void table_follower::forget_absent()
{
    std::vector<row_address> gone;
    for (const auto& [at, version] : m_known) {
        if (!m_seen.contains(at)) {
            gone.push_back(at);
        }
    }
    for (const row_address& at : gone) {
        m_known.erase(at);
        m_observers.on_row({.at = at, .removed = true});
    }
}

void table_follower::follow()
{
    follow_for(m_options.wait);
}

void table_follower::refresh()
{
    if (m_complete) {
        m_loop.cancel(m_timer);
        follow_for(milliseconds(0));
    }
}

void table_follower::follow_for(milliseconds wait)
{
    ++m_attempt;
    m_store.follow(m_options.table, m_version, wait,
                   [this, alive = m_alive, attempt = m_attempt](const feed_result& result) {
                       if (*alive && attempt == m_attempt) {
                           take_changes(result);
                       }
                   });
}

void table_follower::take_changes(const feed_result& result)
{
    if (result.outcome == feed_outcome::failed) {
        m_observers.on_failure();
        run_later(m_options.retry, &table_follower::follow);
        return;
    }
    if (result.outcome == feed_outcome::history_lost) {
        read_all();
        return;
    }
    m_version = std::max(m_version, result.version);
    for (const stored_row& row : result.rows) {
        if (row.removed) {
            m_known.erase(row.at);
            m_observers.on_row(row);
        }
        else if (m_known[row.at] < row.version) {
            m_known[row.at] = row.version;
            m_observers.on_row(row);
        }
    }
    m_observers.on_alive();
    if (result.rows.empty() || m_options.gap == milliseconds(0)) {
        follow();
    }
    else {
        run_later(m_options.gap, &table_follower::follow);
    }
}

void table_follower::run_later(milliseconds delay, void (table_follower::*what)())
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.call_after(delay, [this, what] { (this->*what)(); });
}

} // namespace plantaindoor::fleet
