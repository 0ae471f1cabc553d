// Deletes claims that are older than any repeat may be, a page at a time. All entries share one
// cursor row: whoever's transaction applies has swept the page, the others come to the next one.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/table.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace plantaindoor::process {

/// Holds where the sweep goes on, and when.
inline constexpr std::string_view sweep_cursor_key = "sweep/claims";

struct claim_sweeper_options {
    /// How long a key is remembered after its request's end; far longer than any deadline, and
    /// than the clocks of two entries may differ.
    milliseconds lifetime = std::chrono::hours(24);
    std::size_t page_rows = 200;
    /// From one page to the next, over all entries.
    milliseconds page_period{1000};
    /// From the end of the table to the next beginning.
    milliseconds pass_period{600000};
};

struct sweep_counts {
    std::size_t pages = 0;
    std::size_t deleted = 0;
};

/// Loop thread only; loop and table must outlive it.
class claim_sweeper {
public:
    claim_sweeper(event_loop& loop, table& rows, claim_sweeper_options options);
    claim_sweeper(const claim_sweeper&) = delete;
    claim_sweeper& operator=(const claim_sweeper&) = delete;
    ~claim_sweeper();

    void start();
    [[nodiscard]] const sweep_counts& counts() const { return m_counts; }

private:
    struct cursor;

    void later(nanoseconds wait);
    void read_cursor();
    void scan_page(const cursor& from);
    void sweep_page(const cursor& from, const std::vector<table_row>& page);
    [[nodiscard]] bool expired(const table_row& row) const;

    event_loop& m_loop;
    table& m_rows;
    claim_sweeper_options m_options;
    sweep_counts m_counts;
    timer_id m_timer = timer_id::none;
    /// Replies that outlive the sweeper find it gone.
    std::shared_ptr<claim_sweeper*> m_self;
};

} // namespace plantaindoor::process
