#include "memory_rows.hpp"

#include <algorithm>

namespace plantaindoor::fleet::testing {

namespace {

constexpr milliseconds one_way_latency{1};
constexpr milliseconds transaction_time{8};
constexpr milliseconds min_late_delay{1000};
constexpr milliseconds max_late_delay{6000};
/// Time beyond its wait after which a client gives up a watch call.
constexpr milliseconds watch_timeout_margin{700};

} // namespace

commit_result memory_rows::apply(const row_transaction& transaction)
{
    for (const row_condition& condition : transaction.conditions) {
        const stored_row* const row = find(condition.at);
        if ((row == nullptr ? absent : row->version) != condition.version) {
            commit_result refused{.outcome = commit_outcome::conflict};
            for (const row_condition& each : transaction.conditions) {
                if (const stored_row* const present = find(each.at)) {
                    refused.present.push_back(*present);
                }
            }
            return refused;
        }
    }
    ++m_version;
    for (const row_write& write : transaction.writes) {
        store_row({.at = write.at,
                   .value = write.value.value_or(""),
                   .version = m_version,
                   .removed = !write.value.has_value()});
    }
    return {.outcome = commit_outcome::applied, .present = {}, .version = m_version};
}

void memory_rows::store_row(stored_row row)
{
    if (row.removed) {
        m_rows.erase(row.at);
    }
    else {
        m_rows[row.at] = row;
    }
    const std::string table = row.at.table;
    m_history.push_back(std::move(row));
    notify_waiters(table);
}

void memory_rows::notify_waiters(const std::string& table)
{
    for (auto at = m_waiters.begin(); at != m_waiters.end();) {
        if (at->table != table) {
            ++at;
            continue;
        }
        m_loop.cancel(at->timer);
        m_loop.post(std::move(at->done));
        at = m_waiters.erase(at);
    }
}

row_page memory_rows::read(const row_query& query) const
{
    row_page page{.version = m_version};
    for (const auto& [at, row] : m_rows) {
        if (at.table != query.table || at.partition != query.partition || at.key < query.from ||
            (!query.until.empty() && at.key >= query.until)) {
            continue;
        }
        if (page.rows.size() == query.limit) {
            page.more = true;
            break;
        }
        page.rows.push_back(row);
    }
    return page;
}

std::optional<row_watch_result> memory_rows::changes(const std::string& table,
                                                     row_version after) const
{
    if (after < m_dropped_until) {
        return std::nullopt;
    }
    row_watch_result result{.outcome = row_watch_outcome::changed, .version = m_version};
    for (const stored_row& row : m_history) {
        if (row.at.table == table && row.version > after) {
            result.rows.push_back(row);
        }
    }
    return result;
}

void memory_rows::wait_for_change(const std::string& table, nanoseconds wait,
                                  std::function<void()> done)
{
    m_waiters.push_back({table, std::move(done)});
    const auto waiting = std::prev(m_waiters.end());
    waiting->timer = m_loop.call_after(wait, [this, waiting] {
        const auto run = std::move(waiting->done);
        m_waiters.erase(waiting);
        run();
    });
}

void memory_rows::put(const row_address& at, const std::string& value)
{
    ++m_version;
    store_row({.at = at, .value = value, .version = m_version});
}

void memory_rows::remove(const row_address& at)
{
    ++m_version;
    store_row({.at = at, .version = m_version, .removed = true});
}

const stored_row* memory_rows::find(const row_address& at) const
{
    const auto found = m_rows.find(at);
    return found == m_rows.end() ? nullptr : &found->second;
}

store_fault entry_store::draw_fault()
{
    if (m_fault != store_fault::refusing_part) {
        return m_fault;
    }
    return std::uniform_int_distribution<int>(0, 2)(m_random) == 0 ? store_fault::refusing
                                                                   : store_fault::none;
}

void entry_store::commit(row_transaction transaction, milliseconds timeout, commit_callback done)
{
    ++m_commits;
    switch (draw_fault()) {
    case store_fault::unresponsive:
        answer_after(timeout, std::move(done), commit_result{.outcome = commit_outcome::unknown});
        return;
    case store_fault::refusing:
    case store_fault::refusing_commits:
        answer_after(2 * one_way_latency, std::move(done),
                     commit_result{.outcome = commit_outcome::refused});
        return;
    case store_fault::late: {
        const auto delay = milliseconds(std::uniform_int_distribution<std::int64_t>(
            min_late_delay.count(), max_late_delay.count())(m_random));
        m_loop.call_after(delay, [this, transaction] { (void)m_rows.apply(transaction); });
        answer_after(timeout, std::move(done), commit_result{.outcome = commit_outcome::unknown});
        return;
    }
    case store_fault::lost_answer:
        m_loop.call_after(transaction_time,
                          [this, transaction] { (void)m_rows.apply(transaction); });
        answer_after(timeout, std::move(done), commit_result{.outcome = commit_outcome::unknown});
        return;
    case store_fault::refusing_part: // draw_fault() has resolved it.
    case store_fault::none:
        break;
    }
    m_loop.call_after(one_way_latency + transaction_time,
                      [this, transaction = std::move(transaction), done = std::move(done)] {
                          answer_after(one_way_latency, done, m_rows.apply(transaction));
                      });
}

void entry_store::read(row_query query, milliseconds timeout, read_callback done)
{
    const store_fault fault = draw_fault();
    if (fails_reads(fault)) {
        const nanoseconds delay = fault == store_fault::refusing ? 2 * one_way_latency : timeout;
        answer_after(delay, std::move(done), std::optional<row_page>());
        return;
    }
    m_loop.call_after(one_way_latency, [this, query = std::move(query), done = std::move(done)] {
        answer_after(one_way_latency, done, std::optional(m_rows.read(query)));
    });
}

void entry_store::watch(const std::string& table, row_version after, milliseconds wait,
                        row_watch_callback done)
{
    const store_fault fault = draw_fault();
    if (fails_reads(fault)) {
        const nanoseconds delay =
            fault == store_fault::refusing ? 2 * one_way_latency : wait + watch_timeout_margin;
        answer_after(delay, std::move(done), row_watch_result{});
        return;
    }
    m_loop.call_after(one_way_latency, [this, table, after, wait, done = std::move(done)] {
        const auto now = m_rows.changes(table, after);
        if (!now || !now->rows.empty()) {
            finish_watch(table, after, done);
            return;
        }
        m_rows.wait_for_change(table, wait,
                               [this, table, after, done] { finish_watch(table, after, done); });
    });
}

void entry_store::finish_watch(const std::string& table, row_version after,
                               const row_watch_callback& done)
{
    // A fault that was set during the wait makes the watch fail.
    if (m_fault != store_fault::refusing_part && fails_reads(m_fault)) {
        answer_after(one_way_latency, done, row_watch_result{});
        return;
    }
    const auto changes = m_rows.changes(table, after);
    answer_after(one_way_latency, done,
                 changes.value_or(row_watch_result{.outcome = row_watch_outcome::history_lost}));
}

} // namespace plantaindoor::fleet::testing
