#include "plantaindoor/version/log_compactor.hpp"

#include "plantaindoor/version/codec.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::version {

namespace {

/// Drops a callback that arrives after its owner's end.
template<class Action>
auto while_alive(const std::shared_ptr<bool>& alive, Action action)
{
    return [weak = std::weak_ptr<bool>(alive), action = std::move(action)](auto&&... results) {
        if (!weak.expired()) {
            action(std::forward<decltype(results)>(results)...);
        }
    };
}

} // namespace

bool snapshot_due(const log_head& head, version_number applied, const compaction_options& options)
{
    return applied >= head.snapshot + options.every;
}

log_head compacted(const log_head& head, version_number snapshot, const compaction_options& options)
{
    log_head next = head;
    next.snapshot = std::max(head.snapshot, snapshot);
    const version_number kept_from =
        next.snapshot > options.keep ? next.snapshot - options.keep + 1 : 1;
    const version_number reachable = head.oldest + options.max_deleted;
    next.oldest = std::max(head.oldest, std::min(kept_from, reachable));
    return next;
}

log_compactor::log_compactor(table& rows, object_store& store, compaction_options options)
    : m_table(rows), m_store(store), m_options(options)
{
}

void log_compactor::consider(const log_head& head, const fleet_ptr& appended)
{
    if (m_running || !snapshot_due(head, appended->version, m_options)) {
        return;
    }
    m_running = true;
    m_attempts = 0;
    const version_number snapshot = appended->version;
    m_store.put(snapshot_name(snapshot), encode(*appended),
                while_alive(m_alive, [this, snapshot](bool stored) {
                    if (stored) {
                        enter_snapshot(snapshot);
                    }
                    else {
                        m_running = false;
                    }
                }));
}

void log_compactor::enter_snapshot(version_number snapshot)
{
    if (m_attempts >= m_options.max_attempts) {
        m_running = false;
        return;
    }
    ++m_attempts;
    m_table.read({std::string(log_head_key)},
                 while_alive(m_alive, [this, snapshot](const read_result& rows) {
                     on_head(snapshot, rows);
                 }));
}

void log_compactor::on_head(version_number snapshot, const read_result& rows)
{
    if (!rows || rows->empty()) {
        m_running = false;
        return;
    }
    const table_row& row = rows->front();
    log_head head;
    try {
        head = decode_log_head(row.value);
    }
    catch (const decode_error&) {
        m_running = false;
        return;
    }
    if (head.snapshot >= snapshot) {
        m_running = false;
        return;
    }
    const log_head next = compacted(head, snapshot, m_options);
    table_transaction step{.conditions = {{row.key, row.version}},
                           .writes = {{row.key, encode(next)}}};
    for (version_number old = head.oldest; old < next.oldest; ++old) {
        step.writes.push_back({log_record_key(old), std::nullopt});
    }
    m_table.transact(std::move(step),
                     while_alive(m_alive, [this, snapshot, replaced = head.snapshot](
                                              const transact_result& result) {
                         on_transacted(snapshot, replaced, result);
                     }));
}

void log_compactor::on_transacted(version_number snapshot, version_number replaced,
                                  const transact_result& result)
{
    if (result.outcome == transact_outcome::conflict) {
        enter_snapshot(snapshot);
        return;
    }
    m_running = false;
    if (result.outcome == transact_outcome::applied && replaced != 0) {
        m_store.remove(snapshot_name(replaced), [](bool) {});
    }
}

} // namespace plantaindoor::version
