// Watches one table of the store: reads its partitions in full, then follows the change feed, and
// reads the partitions again when the store no longer has the changes in between.
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
    /// The partitions to read in full; the change feed covers all partitions of the table.
    std::vector<std::string> partitions{""};
    /// How long one watch call waits for a change.
    milliseconds wait{10000};
    milliseconds read_timeout{1000};
    /// Delay after a watch call that returned changes.
    milliseconds batch_delay{0};
    /// Delay after a failed call.
    milliseconds retry_delay{100};
    /// The clock of last_answered_request(); the event loop's where there is none.
    std::function<time_point()> clock;
};

/// Watches one table until destroyed. Loop thread only.
class table_watcher {
public:
    /// Receives a row's current state, or its removal.
    using row_callback = std::function<void(const stored_row&)>;
    using event = std::function<void()>;

    struct event_handlers {
        row_callback on_row;
        /// All rows of a full read have been passed on.
        event on_complete;
        /// The store has answered, with or without changes.
        event on_response;
        event on_failure;
    };

    /// Starts reading at once. Store and loop must outlive the watcher.
    table_watcher(event_loop& loop, row_store& store, table_watcher_options options,
                  event_handlers handlers);
    table_watcher(const table_watcher&) = delete;
    table_watcher& operator=(const table_watcher&) = delete;
    ~table_watcher();

    /// Requests the changes so far without waiting for new ones; on_response follows. Does nothing
    /// before the first full read has been passed on.
    void refresh();
    /// Whether a full read has been passed on.
    [[nodiscard]] bool is_complete() const noexcept { return m_complete; }
    /// All changes until this time, by the event loop's clock, have been passed on.
    [[nodiscard]] time_point current_as_of() const noexcept { return m_current_as_of; }
    /// When the last request that has been answered was sent, by options.clock: what the store
    /// acknowledged until then has been passed on.
    [[nodiscard]] time_point last_answered_request() const noexcept { return m_last_answered; }

private:
    /// Records when a full read or a watch call is sent.
    void note_sent();
    void read_all();
    /// Reads all after the change feed was lost.
    void read_again();
    void read_page(std::size_t partition, const std::string& from);
    void retry_page(std::size_t partition, const std::string& from);
    void handle_page(std::size_t partition, const row_page& page);
    void watch();
    void watch_for(milliseconds wait);
    void handle_changes(const row_watch_result& result);
    void schedule(milliseconds delay, void (table_watcher::*method)());
    /// Reports the known rows that a full read of this extent lacks.
    void report_removed_rows(list_extent extent);

    event_loop& m_loop;
    row_store& m_store;
    table_watcher_options m_options;
    event_handlers m_handlers;
    std::shared_ptr<bool> m_alive;
    timer_id m_timer = timer_id::none;
    /// When the pending full read or watch call was sent.
    time_point m_sent_at{};
    /// The same by options.clock.
    time_point m_sent_at_clock{};
    time_point m_last_answered{};
    /// How long the pending watch call waits.
    milliseconds m_wait{0};
    time_point m_current_as_of{};
    /// When the last full read was complete.
    time_point m_full_read_at{};
    row_version m_version = absent;
    bool m_complete = false;
    /// Versions of the rows passed on, so that a full read detects removed rows.
    std::map<row_address, row_version> m_known_rows;
    std::map<row_address, row_version> m_read_rows;
    list_extent m_read_extent = list_extent::complete;
    std::size_t m_partitions_remaining = 0;
    /// Numbers the full reads and watch calls; answers to earlier ones are ignored.
    std::uint64_t m_attempt = 0;
    row_version m_oldest_page_version = absent;
};

} // namespace plantaindoor::fleet
