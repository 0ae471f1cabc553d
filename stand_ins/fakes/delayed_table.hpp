// One entry's connection to a shared table in virtual time: calls and replies are delayed, and
// either may be lost. A call whose reply is lost may take effect long after its timeout.
#pragma once

#include "fakes/memory_table.hpp"
#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/table.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace plantaindoor::fakes {

struct delayed_table_options {
    nanoseconds min_delay{milliseconds(1)};
    nanoseconds max_delay{milliseconds(5)};
    /// Time after which a lost call is reported to the caller.
    nanoseconds timeout{milliseconds(500)};
    /// Probabilities per call, in thousandths.
    unsigned lose_call = 0;
    unsigned lose_reply = 0;
    unsigned late_effect = 0;
    unsigned unavailable = 0;
};

/// The loop and the rows must outlive this object and every call.
class delayed_table final : public table {
public:
    delayed_table(event_loop& loop, memory_table& rows, delayed_table_options options,
                  std::uint64_t seed)
        : m_loop(loop), m_rows(rows), m_options(options), m_random(seed)
    {
    }

    /// While set, no call reaches the table.
    bool down = false;
    std::size_t reads = 0;
    std::size_t transactions = 0;

    void read(std::vector<std::string> keys, read_callback done) override
    {
        ++reads;
        call<read_result>([this, keys = std::move(keys)] { return m_rows.read(keys); },
                          std::move(done), std::nullopt, std::nullopt);
    }

    void scan(scan_options options, read_callback done) override
    {
        ++reads;
        call<read_result>([this, options = std::move(options)] { return m_rows.scan(options); },
                          std::move(done), std::nullopt, std::nullopt);
    }

    void transact(table_transaction transaction, transact_callback done) override
    {
        ++transactions;
        call<transact_result>(
            [this, transaction = std::move(transaction)] { return m_rows.transact(transaction); },
            std::move(done), transact_result{.outcome = transact_outcome::unknown},
            transact_result{.outcome = transact_outcome::unavailable});
    }

private:
    template<class Result, class Callback>
    void call(std::function<Result()> effect, Callback done, Result lost, Result refused)
    {
        const unsigned draw = std::uniform_int_distribution<unsigned>(0, 999)(m_random);
        unsigned threshold = m_options.unavailable;
        if (down || draw < threshold) {
            reply(delay(), std::move(done), std::move(refused));
            return;
        }
        if (draw < (threshold += m_options.lose_call)) {
            reply(m_options.timeout, std::move(done), std::move(lost));
            return;
        }
        const bool delayed_effect = draw < (threshold += m_options.late_effect);
        const bool reply_lost = delayed_effect || draw < (threshold += m_options.lose_reply);
        if (reply_lost) {
            m_loop.call_after(delayed_effect ? m_options.timeout + 20 * delay() : delay(),
                              [effect = std::move(effect)] { effect(); });
            reply(m_options.timeout, std::move(done), std::move(lost));
            return;
        }
        m_loop.call_after(delay(), [this, effect = std::move(effect), done = std::move(done)] {
            reply(delay(), done, effect());
        });
    }

    template<class Callback, class Result>
    void reply(nanoseconds reply_delay, Callback done, Result result)
    {
        m_loop.call_after(reply_delay,
                          [done = std::move(done), result = std::move(result)] { done(result); });
    }

    nanoseconds delay()
    {
        return nanoseconds(std::uniform_int_distribution<std::int64_t>(
            m_options.min_delay.count(), m_options.max_delay.count())(m_random));
    }

    event_loop& m_loop;
    memory_table& m_rows;
    delayed_table_options m_options;
    std::mt19937_64 m_random;
};

} // namespace plantaindoor::fakes
