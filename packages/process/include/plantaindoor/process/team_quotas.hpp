// What limited teams' runs need in each pool: one row of the table for each team, written by the
// holders of all pools that run its jobs.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/process/job_shared_rows.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace plantaindoor::process {

/// One pool's view of the quotas. Pure; not synchronised.
class team_quotas {
public:
    explicit team_quotas(pool_id pool) : m_pool(std::move(pool)) {}

    /// Which teams have a limit.
    void set_limited(std::set<team_id> teams) { m_limited = std::move(teams); }
    /// Takes in the rows of quotas; an older one than known changes nothing.
    void observe(const std::vector<table_row>& rows);
    /// What the limited teams use in the fleet's other pools.
    [[nodiscard]] std::map<team_id, team_usage> used_elsewhere(const version::fleet& whole) const;

    /// Adds what differs from `own`, this pool's usage, on the condition that no other pool has
    /// changed it; false where nothing does. Answer with on_written(), unless the transaction
    /// conflicted.
    [[nodiscard]] bool add_changes(std::map<team_id, team_usage> own, table_transaction& into);
    /// `version` is that of the rows written, if the transaction was applied.
    void on_written(bool applied, row_version version);

private:
    struct state {
        row_version version = absent_row;
        quota_usage usage;
    };

    pool_id m_pool;
    std::set<team_id> m_limited;
    std::map<team_id, state> m_known;
    std::map<team_id, quota_usage> m_writing;
};

} // namespace plantaindoor::process
