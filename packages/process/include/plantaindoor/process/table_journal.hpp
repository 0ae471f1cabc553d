// The journal of all entries: each entry's actions go to the log of its process and, grouped, to
// the platform's table, where they last for some time. While the table is down they wait here.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/journal.hpp"
#include "plantaindoor/common/table.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::process {

struct table_journal_options {
    event_loop& loop;
    table& rows;
    entry_id self;
    /// Differs between runs of the same entry, so that their rows don't collide.
    std::uint64_t incarnation = 0;
    /// Entries kept in memory for reading while the table is down.
    std::size_t max_recent = 1000;
    /// Entries that may wait for the table; the oldest are dropped and counted.
    std::size_t max_waiting = 4000;
    /// Entries in one transaction.
    std::size_t max_group = 64;
    /// From an entry to the transaction that writes it with those that follow.
    milliseconds group_delay{200};
    milliseconds retry_delay{2000};
    /// Rows older than this are deleted.
    milliseconds kept{std::chrono::hours(24 * 14)};
    milliseconds trim_period{60000};
    /// Rows deleted in one transaction.
    std::size_t max_trimmed = 100;
    /// Rows read in one scan.
    std::size_t max_scan = 1000;
};

/// The newest entries, oldest first.
struct journal_reading {
    std::vector<journal_entry> entries;
    /// Whether they are of all entries; else the table did not answer, and they are this process's.
    bool complete = true;
};

/// Loop thread only. What the options refer to must outlive it.
class table_journal final : public journal_sink {
public:
    using reading_callback = std::function<void(journal_reading)>;

    explicit table_journal(table_journal_options how);
    table_journal(const table_journal&) = delete;
    table_journal& operator=(const table_journal&) = delete;
    ~table_journal() override;

    /// Begins to delete what is too old. Precondition: called once.
    void start();
    void record(journal_entry entry) override;
    /// Reads the newest `limit` entries; the callback runs later.
    void read_newest(std::size_t limit, reading_callback done);

    /// This process's newest entries, oldest first.
    [[nodiscard]] const std::deque<journal_entry>& recent() const noexcept { return m_recent; }
    /// Entries that are not in the table yet.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// Entries that never reached the table because too many waited.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    struct waiting_row {
        std::string key;
        std::string value;
    };
    struct reading;

    void enqueue(const journal_entry& entry);
    void write_later(milliseconds delay);
    void write_group();
    void on_written(transact_outcome outcome);
    void report_dropped();
    void scan_window(const std::shared_ptr<reading>& state);
    void on_page(const std::shared_ptr<reading>& state, const read_result& page);
    void finish(reading& state, bool complete);
    void trim();
    void on_trim_page(const read_result& page);
    template<class Action>
    [[nodiscard]] auto while_alive(Action run) const;

    table_journal_options m_options;
    std::deque<journal_entry> m_recent;
    std::deque<waiting_row> m_waiting;
    std::uint64_t m_count = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_reported = 0;
    /// Rows at the front that are being written.
    std::size_t m_group = 0;
    timer_id m_write_timer = timer_id::none;
    timer_id m_trim_timer = timer_id::none;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantaindoor::process
