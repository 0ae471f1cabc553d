// Keeps up with one table of the store: reads its partitions whole, then follows the feed, and
// reads all again when the store has lost the history in between.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/row_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

struct table_watcher_options {
    std::string table;
    /// The partitions to read whole; the feed brings all of the table's.
    std::vector<std::string> partitions{""};
    /// How long one call of the feed waits for a change.
    milliseconds wait{10000};
    milliseconds read_timeout{1000};
    /// Pause after a call that brought changes.
    milliseconds batch_delay{0};
    /// Waits this long after a call that failed.
    milliseconds retry_delay{100};
};

/// Follows one table while it lives. Loop thread only.
class table_watcher {
public:
    /// A row as it is now, or its removal.
    using row_callback = std::function<void(const stored_row&)>;
    using event = std::function<void()>;

    struct event_handlers {
        row_callback on_row;
        /// All rows of a whole reading have been passed on.
        event on_complete;
        /// An answer of the store has come, with changes or without.
        event on_response;
        event on_failure;
    };

    /// Begins at once. Store and loop must outlive the watcher.
    table_watcher(event_loop& loop, row_store& store, table_watcher_options options,
                  event_handlers handlers);
    table_watcher(const table_watcher&) = delete;
    table_watcher& operator=(const table_watcher&) = delete;
    ~table_watcher();

    /// Asks at once for what has changed by now; on_response follows.
    void refresh();
    /// Whether a whole reading has been passed on.
    [[nodiscard]] bool is_complete() const noexcept { return m_complete; }

private:
    void read_all();
    void read_page(std::size_t partition, std::string from);
    void handle_page(std::size_t partition, const row_page& page);
    void watch();
    void watch_for(milliseconds wait);
    void handle_changes(const row_watch_result& result);
    void run_later(milliseconds delay, void (table_watcher::*what)());
    void forget_absent();

    event_loop& m_loop;
    row_store& m_store;
    table_watcher_options m_options;
    event_handlers m_handlers;
    std::shared_ptr<bool> m_alive;
    timer_id m_timer = timer_id::none;
    row_version m_version = absent;
    bool m_complete = false;
    /// Versions of the rows passed on, so that a whole reading tells what has gone.
    std::map<row_address, row_version> m_known;
    std::map<row_address, row_version> m_seen;
    std::size_t m_partitions_left = 0;
    /// Numbers the readings and calls of the feed; answers to earlier ones no longer count.
    std::uint64_t m_attempt = 0;
    row_version m_first_version = absent;
};

} // namespace plantaindoor::fleet
