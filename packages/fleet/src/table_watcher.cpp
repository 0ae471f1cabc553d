#include "plantaindoor/fleet/table_watcher.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

table_watcher::table_watcher(event_loop& loop, row_store& store, table_watcher_options options,
                             event_handlers handlers)
    : m_loop(loop),
      m_store(store),
      m_options(std::move(options)),
      m_handlers(std::move(handlers)),
      m_alive(std::make_shared<bool>(true))
{
    read_all();
}

table_watcher::~table_watcher()
{
    *m_alive = false;
    m_loop.cancel(m_timer);
}

void table_watcher::read_all()
{
    ++m_attempt;
    m_seen.clear();
    m_first_version = absent;
    m_partitions_left = m_options.partitions.size();
    for (std::size_t partition = 0; partition < m_options.partitions.size(); ++partition) {
        read_page(partition, {});
    }
}

void table_watcher::read_page(std::size_t partition, std::string from)
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
                         handle_page(partition, *page);
                         return;
                     }
                     // The other partitions' answers to this attempt no longer count.
                     ++m_attempt;
                     m_handlers.on_failure();
                     run_later(m_options.retry_delay, &table_watcher::read_all);
                 });
}

void table_watcher::handle_page(std::size_t partition, const row_page& page)
{
    m_handlers.on_response();
    // Changes made while the pages were read come again by the feed.
    m_first_version =
        m_first_version == absent ? page.version : std::min(m_first_version, page.version);
    for (const stored_row& row : page.rows) {
        m_seen[row.at] = row.version;
        if (m_known[row.at] < row.version) {
            m_known[row.at] = row.version;
            m_handlers.on_row(row);
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
        m_handlers.on_complete();
        watch();
    }
}

void table_watcher::forget_absent()
{
    std::vector<row_address> gone;
    for (const auto& [at, version] : m_known) {
        if (!m_seen.contains(at)) {
            gone.push_back(at);
        }
    }
    for (const row_address& at : gone) {
        m_known.erase(at);
        m_handlers.on_row({.at = at, .removed = true});
    }
}

void table_watcher::watch()
{
    watch_for(m_options.wait);
}

void table_watcher::refresh()
{
    if (m_complete) {
        m_loop.cancel(m_timer);
        watch_for(milliseconds(0));
    }
}

void table_watcher::watch_for(milliseconds wait)
{
    ++m_attempt;
    m_store.watch(m_options.table, m_version, wait,
                  [this, alive = m_alive, attempt = m_attempt](const row_watch_result& result) {
                      if (*alive && attempt == m_attempt) {
                          handle_changes(result);
                      }
                  });
}

void table_watcher::handle_changes(const row_watch_result& result)
{
    if (result.outcome == row_watch_outcome::failed) {
        m_handlers.on_failure();
        run_later(m_options.retry_delay, &table_watcher::watch);
        return;
    }
    if (result.outcome == row_watch_outcome::history_lost) {
        read_all();
        return;
    }
    m_version = std::max(m_version, result.version);
    for (const stored_row& row : result.rows) {
        if (row.removed) {
            m_known.erase(row.at);
            m_handlers.on_row(row);
        }
        else if (m_known[row.at] < row.version) {
            m_known[row.at] = row.version;
            m_handlers.on_row(row);
        }
    }
    m_handlers.on_response();
    if (result.rows.empty() || m_options.batch_delay == milliseconds(0)) {
        watch();
    }
    else {
        run_later(m_options.batch_delay, &table_watcher::watch);
    }
}

void table_watcher::run_later(milliseconds delay, void (table_watcher::*what)())
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.call_after(delay, [this, what] { (this->*what)(); });
}

} // namespace plantaindoor::fleet
