// The platform's store in memory and virtual time, with a view for each entry that can be faulty.
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

/// What one entry meets at the store.
enum class store_trouble {
    none,
    silent,      ///< no answer, and nothing is done
    refusing,    ///< nothing is done, and the entry is told so
    lost_answer, ///< done, and not answered
    late,        ///< done seconds later, and not answered
};

class memory_rows {
public:
    explicit memory_rows(fakes::virtual_loop& loop) : m_loop(loop) {}

    [[nodiscard]] commit_result apply(const row_transaction& transaction);
    [[nodiscard]] row_page read(const row_query& query) const;
    /// Nothing: the history doesn't reach back so far.
    [[nodiscard]] std::optional<row_watch_result> changes(const std::string& table,
                                                          row_version after) const;
    /// Calls once a table has changed, or the wait is over.
    void wait_for_change(const std::string& table, nanoseconds wait, std::function<void()> done);
    void forget_history() { m_forgotten = m_version; }

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

    void note(stored_row row);
    void wake(const std::string& table);

    fakes::virtual_loop& m_loop;
    row_version m_version = 0;
    row_version m_forgotten = 0;
    std::map<row_address, stored_row> m_rows;
    std::deque<stored_row> m_history;
    std::list<waiter> m_waiters;
};

/// One entry's way to the store.
class entry_store final : public row_store {
public:
    /// `entry_loop` gates the answers; the store's side runs on `loop`.
    entry_store(fakes::virtual_loop& loop, event_loop& entry_loop, memory_rows& rows,
                std::mt19937_64& random)
        : m_loop(loop), m_entry_loop(entry_loop), m_rows(rows), m_random(random)
    {
    }

    void set_trouble(store_trouble trouble) { m_trouble = trouble; }

    void commit(row_transaction transaction, milliseconds timeout, commit_callback done) override;
    void read(row_query query, milliseconds timeout, read_callback done) override;
    void watch(const std::string& table, row_version after, milliseconds wait,
               row_watch_callback done) override;

private:
    /// Hands an answer to the entry, as its loop lets it.
    template<class Callback, class Result>
    void answer_after(nanoseconds delay, Callback done, Result result)
    {
        m_loop.call_after(delay, [this, done = std::move(done), result = std::move(result)] {
            m_entry_loop.call_after(nanoseconds(0), [done, result] { done(result); });
        });
    }
    void finish_watch(const std::string& table, row_version after, const row_watch_callback& done);

    fakes::virtual_loop& m_loop;
    event_loop& m_entry_loop;
    memory_rows& m_rows;
    std::mt19937_64& m_random;
    store_trouble m_trouble = store_trouble::none;
};

} // namespace plantaindoor::fleet::testing
