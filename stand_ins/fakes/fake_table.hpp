// A table for unit tests: replies are queued and delivered by the test, with faults on demand.
#pragma once

#include "fakes/memory_table.hpp"
#include "plantaindoor/common/table.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

namespace plantaindoor::fakes {

/// The fault that is injected into subsequent calls.
enum class table_fault {
    none,
    down,       ///< the call does not reach the service: unavailable
    lose_reply, ///< the call takes effect, and its reply is lost: unknown
    lose_call,  ///< the call has no effect, which the caller cannot determine: unknown
};

/// A call takes effect at once, in call order; its reply is queued until run_one() or run_all().
class fake_table final : public table {
public:
    memory_table rows;
    table_fault fault = table_fault::none;

    void read(std::vector<std::string> keys, read_callback done) override
    {
        reply([done = std::move(done), result = read_or_fail([&] { return rows.read(keys); })] {
            done(result);
        });
    }

    void scan(scan_options options, read_callback done) override
    {
        reply([done = std::move(done), result = read_or_fail([&] { return rows.scan(options); })] {
            done(result);
        });
    }

    void transact(table_transaction transaction, transact_callback done) override
    {
        ++transactions;
        reply([done = std::move(done), result = outcome_of(transaction)] { done(result); });
    }

    /// Delivers the oldest queued reply; false if there is none.
    bool run_one()
    {
        if (m_replies.empty()) {
            return false;
        }
        auto next = std::move(m_replies.front());
        m_replies.pop_front();
        next();
        return true;
    }

    /// Delivers replies, including those queued meanwhile, until none is left.
    void run_all()
    {
        while (run_one()) {
        }
    }

    [[nodiscard]] std::size_t waiting() const { return m_replies.size(); }

    /// The number of transact() calls, including failed ones.
    std::size_t transactions = 0;

private:
    void reply(std::function<void()> deliver) { m_replies.push_back(std::move(deliver)); }

    template<class Read>
    read_result read_or_fail(Read read_rows) const
    {
        return fault == table_fault::none ? read_result(read_rows()) : std::nullopt;
    }

    transact_result outcome_of(const table_transaction& transaction)
    {
        switch (fault) {
        case table_fault::none:
            return rows.transact(transaction);
        case table_fault::lose_reply:
            rows.transact(transaction);
            return {.outcome = transact_outcome::unknown};
        case table_fault::lose_call:
            return {.outcome = transact_outcome::unknown};
        case table_fault::down:
            break;
        }
        return {.outcome = transact_outcome::unavailable};
    }

    std::deque<std::function<void()>> m_replies;
};

} // namespace plantaindoor::fakes
