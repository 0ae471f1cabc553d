// The journal's newest entries of this process, kept in memory and written to the log.
#pragma once

#include "plantaindoor/common/journal.hpp"

#include <cstddef>
#include <deque>

namespace plantaindoor::process {

/// A bounded ring. Loop thread only.
class recent_journal final : public journal_sink {
public:
    explicit recent_journal(std::size_t max_entries = 1000) : m_max_entries(max_entries) {}

    void record(journal_entry entry) override;

    /// Oldest first.
    [[nodiscard]] const std::deque<journal_entry>& entries() const noexcept { return m_entries; }

private:
    std::size_t m_max_entries;
    std::deque<journal_entry> m_entries;
};

} // namespace plantaindoor::process
