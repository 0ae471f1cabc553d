#include "plantaindoor/fleet/withdrawn_jobs.hpp"

#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr milliseconds removal_timeout{1500};

} // namespace

withdrawn_jobs::withdrawn_jobs(event_loop& loop, row_store& store, withdrawn_jobs_options options)
    : m_loop(loop), m_store(store), m_options(options), m_alive(std::make_shared<bool>(true))
{
}

withdrawn_jobs::~withdrawn_jobs()
{
    *m_alive = false;
}

void withdrawn_jobs::note_row(const stored_row& row)
{
    m_rows.push_back({.row = {row.at, row.version}, .since = m_loop.now()});
}

void withdrawn_jobs::tick()
{
    for (std::size_t removals = 0; removals < m_options.max_removals_per_tick; ++removals) {
        if (m_rows.empty() || !is_due(m_rows.front())) {
            return;
        }
        const kept_row oldest = std::move(m_rows.front());
        m_rows.pop_front();
        remove(oldest);
    }
}

bool withdrawn_jobs::is_due(const kept_row& oldest) const
{
    return m_rows.size() > m_options.max_rows || m_loop.now() - oldest.since > m_options.retention;
}

void withdrawn_jobs::remove(const kept_row& row)
{
    row_transaction transaction;
    transaction.conditions.push_back(row.row);
    transaction.writes.push_back({row.row.at, std::nullopt});
    m_store.commit(std::move(transaction), removal_timeout,
                   [this, row, alive = m_alive](const commit_result& result) {
                       const bool failed = result.outcome == commit_outcome::refused ||
                                           result.outcome == commit_outcome::unknown;
                       if (*alive && failed) {
                           m_rows.push_back({.row = row.row, .since = m_loop.now()});
                       }
                   });
}

} // namespace plantaindoor::fleet
