#include "plantaindoor/fleet/table_watcher.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part store_log("store");

} // namespace

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

void table_watcher::note_sent()
{
    m_sent_at = m_loop.now();
    m_sent_at_clock = m_options.clock ? m_options.clock() : m_sent_at;
}

void table_watcher::read_all()
{
    ++m_attempt;
    note_sent();
    m_read_rows.clear();
    m_read_extent = list_extent::complete;
    m_oldest_page_version = absent;
    m_partitions_remaining = m_options.partitions.size();
    for (std::size_t partition = 0; partition < m_options.partitions.size(); ++partition) {
        read_page(partition, {});
    }
}

void table_watcher::read_again()
{
    // A full read may be outdated as soon as it is complete. The next one then waits, since all
    // entries share the rate of reads.
    if (m_loop.now() - m_full_read_at < m_options.retry_delay) {
        schedule(m_options.retry_delay, &table_watcher::read_all);
    }
    else {
        read_all();
    }
}

void table_watcher::read_page(std::size_t partition, const std::string& from)
{
    m_store.read(
        {.table = m_options.table, .partition = m_options.partitions[partition], .from = from},
        m_options.read_timeout,
        [this, partition, from, alive = m_alive,
         attempt = m_attempt](const std::optional<row_page>& page) {
            if (!*alive || attempt != m_attempt) {
                return;
            }
            if (page) {
                handle_page(partition, *page);
                return;
            }
            m_handlers.on_failure();
            retry_page(partition, from);
        });
}

void table_watcher::retry_page(std::size_t partition, const std::string& from)
{
    // The pages that were read stay valid: the change feed continues from the oldest one. A full
    // read that starts over with each failure would hardly end while a part of the calls fails.
    m_loop.call_after(m_options.retry_delay,
                      [this, partition, from, alive = m_alive, attempt = m_attempt] {
                          if (*alive && attempt == m_attempt) {
                              read_page(partition, from);
                          }
                      });
}

void table_watcher::handle_page(std::size_t partition, const row_page& page)
{
    m_handlers.on_response();
    if (page.version < m_version) {
        // Rows that are newer than the page would seem removed.
        store_log.warning(fmt::format("read of table {} at version {} is older than version {}",
                                      m_options.table, page.version, m_version));
        ++m_attempt; // Ignores the other pages of this read.
        schedule(m_options.retry_delay, &table_watcher::read_all);
        return;
    }
    // Watching continues from the oldest page, so that the change feed repeats the changes made
    // while the pages were read.
    m_oldest_page_version = m_oldest_page_version == absent
                                ? page.version
                                : std::min(m_oldest_page_version, page.version);
    for (const stored_row& row : page.rows) {
        m_read_rows[row.at] = row.version;
        if (m_known_rows[row.at] < row.version) {
            m_known_rows[row.at] = row.version;
            m_handlers.on_row(row);
        }
    }
    if (page.extent == list_extent::partial) {
        m_read_extent = list_extent::partial;
    }
    if (page.more && !page.rows.empty()) {
        read_page(partition, page.rows.back().at.key + '\0');
        return;
    }
    if (--m_partitions_remaining == 0) {
        report_removed_rows(m_read_extent);
        m_version = m_oldest_page_version;
        m_complete = true;
        m_current_as_of = m_sent_at;
        m_last_answered = m_sent_at_clock;
        m_full_read_at = m_loop.now();
        m_handlers.on_complete();
        watch();
    }
}

void table_watcher::report_removed_rows(list_extent extent)
{
    if (extent == list_extent::partial) {
        store_log.warning(fmt::format("table {} has rows that can't be read", m_options.table));
        return;
    }
    std::vector<row_address> removed_rows;
    for (const auto& [at, version] : m_known_rows) {
        if (!m_read_rows.contains(at)) {
            removed_rows.push_back(at);
        }
    }
    for (const row_address& at : removed_rows) {
        m_known_rows.erase(at);
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
    note_sent();
    m_wait = wait;
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
        schedule(m_options.retry_delay, &table_watcher::watch);
        return;
    }
    if (result.outcome == row_watch_outcome::history_lost) {
        store_log.info(
            fmt::format("changes of table {} after version {} are lost: reading it again",
                        m_options.table, m_version));
        read_again();
        return;
    }
    m_version = std::max(m_version, result.version);
    for (const stored_row& row : result.rows) {
        if (row.removed) {
            m_known_rows.erase(row.at);
            m_handlers.on_row(row);
        }
        else if (m_known_rows[row.at] < row.version) {
            m_known_rows[row.at] = row.version;
            m_handlers.on_row(row);
        }
    }
    // An answer without changes shows that there were none during the whole wait.
    m_current_as_of = result.rows.empty() ? std::min(m_sent_at + m_wait, m_loop.now()) : m_sent_at;
    m_last_answered = m_sent_at_clock;
    m_handlers.on_response();
    if (result.rows.empty() || m_options.batch_delay == milliseconds(0)) {
        watch();
    }
    else {
        schedule(m_options.batch_delay, &table_watcher::watch);
    }
}

void table_watcher::schedule(milliseconds delay, void (table_watcher::*method)())
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.call_after(delay, [this, method] { (this->*method)(); });
}

} // namespace plantaindoor::fleet
