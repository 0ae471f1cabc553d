// Removes the rows of withdrawn jobs once no request can arrive any more that would accept them.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/fleet/row_store.hpp"

#include <cstddef>
#include <deque>
#include <memory>

namespace plantaindoor::fleet {

struct withdrawn_jobs_options {
    /// How long a row is kept after it was read.
    milliseconds retention{};
    /// Beyond this number of rows the oldest are removed earlier.
    std::size_t max_rows = 20000;
    /// So that the removal of many rows leaves the store's rate to others.
    std::size_t max_removals_per_tick = 8;
};

/// Loop thread only.
class withdrawn_jobs {
public:
    /// Loop and store must outlive this object.
    withdrawn_jobs(event_loop& loop, row_store& store, withdrawn_jobs_options options);
    withdrawn_jobs(const withdrawn_jobs&) = delete;
    withdrawn_jobs& operator=(const withdrawn_jobs&) = delete;
    ~withdrawn_jobs();

    /// The row of a withdrawn job has been read.
    void note_row(const stored_row& row);
    /// Removes the rows whose time is over. Requires that this process leads the shard.
    void tick();

private:
    struct kept_row {
        row_condition row;
        time_point since{};
    };

    [[nodiscard]] bool is_due(const kept_row& oldest) const;
    void remove(const kept_row& row);

    event_loop& m_loop;
    row_store& m_store;
    withdrawn_jobs_options m_options;
    std::shared_ptr<bool> m_alive;
    /// Oldest first.
    std::deque<kept_row> m_rows;
};

} // namespace plantaindoor::fleet
