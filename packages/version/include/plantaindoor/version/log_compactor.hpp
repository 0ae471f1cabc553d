// Keeps what a starting entry reads bounded: writes a snapshot every so many versions, then deletes
// old records behind it.
#pragma once

#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/version/log_rows.hpp"

#include <cstddef>
#include <memory>

namespace plantaindoor::version {

struct compaction_options {
    /// Versions from one snapshot to the next.
    version_number every = 100;
    /// Records kept behind the newest snapshot, for entries that lag a little.
    version_number keep = 200;
    /// Most records deleted in one transaction.
    std::size_t max_deleted = 100;
    /// Tries after losing a race for the head.
    std::size_t max_attempts = 5;
};

/// Whether a snapshot of the version is due.
[[nodiscard]] bool snapshot_due(const log_head& head, version_number applied,
                                const compaction_options& options);

/// The head with the snapshot entered and as many old records given up as one transaction may
/// delete: those from the old head's oldest up to the new one's, exclusively.
[[nodiscard]] log_head compacted(const log_head& head, version_number snapshot,
                                 const compaction_options& options);

/// Runs compactions one at a time. Any entry may run one at any moment: the head's row decides.
/// The table and the store must outlive it. Loop thread only.
class log_compactor {
public:
    log_compactor(table& rows, object_store& store, compaction_options options);

    /// Takes a version that this entry has just appended, with the newest head known.
    void consider(const log_head& head, const fleet_ptr& appended);

private:
    void enter_snapshot(version_number snapshot);
    void on_head(version_number snapshot, const read_result& rows);
    void on_transacted(version_number snapshot, version_number replaced,
                       const transact_result& result);

    table& m_table;
    object_store& m_store;
    compaction_options m_options;
    std::size_t m_attempts = 0;
    bool m_running = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantaindoor::version
