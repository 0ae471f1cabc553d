// An in-memory row store in virtual time, with a client for each entry that can inject faults.
#pragma once

#include "fakes/virtual_loop.hpp"
#include "plantaindoor/fleet/row_store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <utility>

namespace plantaindoor::fleet::testing {

/// Fault injected into one entry's requests to the store.
enum class store_fault {
    none,
    unresponsive,     ///< the request is not executed; it times out
    refusing,         ///< the request is not executed; it fails at once
    lost_answer,      ///< a commit is applied; every request times out
    late,             ///< a commit is applied seconds later; every request times out
    refusing_commits, ///< commits fail at once; other requests succeed
    refusing_part,    ///< a third of the requests is not executed and fails at once
};

/// The store's state, shared by all entries. Not synchronised.
class memory_rows {
public:
    explicit memory_rows(fakes::virtual_loop& loop) : m_loop(loop) {}

    [[nodiscard]] commit_result apply(const row_transaction& transaction);
    [[nodiscard]] row_page read(const row_query& query) const;
    /// Changes of a table after a version; no value if the history no longer covers them.
    [[nodiscard]] std::optional<row_watch_result> changes(const std::string& table,
                                                          row_version after) const;
    /// Calls `done` once: on the next change of the table, or when `wait` has passed.
    void wait_for_change(const std::string& table, nanoseconds wait, std::function<void()> done);
    /// Makes every watch from before the present version report lost history.
    void drop_history() { m_dropped_until = m_version; }

    void put(const row_address& at, const std::string& value);
    void remove(const row_address& at);
    [[nodiscard]] const stored_row* find(const row_address& at) const;
    [[nodiscard]] row_version version() const { return m_version; }

private:
    struct waiter {
        std::string table;
        std::function<void()> done;
        timer_id timer = timer_id::none;
    };

    void store_row(stored_row row);
    void notify_waiters(const std::string& table);

    fakes::virtual_loop& m_loop;
    row_version m_version = 0;
    row_version m_dropped_until = 0;
    std::map<row_address, stored_row> m_rows;
    std::deque<stored_row> m_history;
    std::list<waiter> m_waiters;
};

/// One entry's client of the store, subject to the entry's fault.
class entry_store final : public row_store {
public:
    /// The store's side runs on `loop`, the callbacks on `entry_loop`, which may be frozen or dead.
    entry_store(fakes::virtual_loop& loop, event_loop& entry_loop, memory_rows& rows,
                std::mt19937_64& random)
        : m_loop(loop), m_entry_loop(entry_loop), m_rows(rows), m_random(random)
    {
    }

    void set_fault(store_fault fault) { m_fault = fault; }
    /// Number of commits requested so far.
    [[nodiscard]] std::size_t commits() const { return m_commits; }

    void commit(row_transaction transaction, milliseconds timeout, commit_callback done) override;
    void read(row_query query, milliseconds timeout, read_callback done) override;
    void watch(const std::string& table, row_version after, milliseconds wait,
               row_watch_callback done) override;

private:
    /// Calls `done` on the entry's loop after a delay.
    template<class Callback, class Result>
    void answer_after(nanoseconds delay, Callback done, Result result)
    {
        m_loop.call_after(delay, [this, done = std::move(done), result = std::move(result)] {
            m_entry_loop.call_after(nanoseconds(0), [done, result] { done(result); });
        });
    }
    void finish_watch(const std::string& table, row_version after, const row_watch_callback& done);
    /// The fault of the next request.
    [[nodiscard]] store_fault draw_fault();
    /// Whether the fault makes reads and watches fail.
    [[nodiscard]] static bool fails_reads(store_fault fault)
    {
        return fault != store_fault::none && fault != store_fault::refusing_commits;
    }

    fakes::virtual_loop& m_loop;
    event_loop& m_entry_loop;
    memory_rows& m_rows;
    std::mt19937_64& m_random;
    store_fault m_fault = store_fault::none;
    std::size_t m_commits = 0;
};

} // namespace plantaindoor::fleet::testing
