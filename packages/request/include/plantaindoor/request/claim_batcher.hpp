// Claims idempotency keys in the table before their requests are sent, and records how they ended:
// many rows in each transaction, within a rate, truthful through lost replies and outages.
//
// Safety rests on one rule: a claim is granted only after its own owner mark was seen in the row,
// by an applied transaction or by reading back; and a claim that was refused is never granted.
#pragma once

#include "plantaindoor/common/table.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/claim_queue.hpp"
#include "plantaindoor/request/claim_record.hpp"
#include "plantaindoor/request/claim_verdict.hpp"
#include "plantaindoor/request/table_health.hpp"
#include "plantaindoor/request/write_rate.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantaindoor::request {

struct claim_options {
    /// Distinct for each start of each entry.
    std::string owner_prefix;
    /// Rows in one transaction or read.
    std::size_t max_group = 100;
    std::size_t max_in_flight = 4;
    /// Most transactions of this entry.
    double transactions_per_second = 30;
    /// Most transactions of all entries together, of the several hundred that the platform writes.
    double shared_transactions_per_second = 210;
    double transaction_burst = 5;
    /// For a platform that counts each row of a transaction.
    double rows_per_second = 3000;
    /// Claims that wait for a transaction.
    std::size_t max_waiting = 2000;
    /// Ends that wait to be recorded; past it a further end is forgotten and its row stays claimed.
    std::size_t max_unrecorded = 5000;
    /// Past it ends are recorded without their answers' bodies.
    std::size_t max_unrecorded_bytes = std::size_t{4} << 20;
    /// Largest answer recorded for repeats: body and headers.
    std::size_t max_answer_bytes = 4096;
    /// How long an end may wait for others, so that they share a transaction.
    milliseconds record_delay{250};
    table_health_options health;
    /// How long after the owner's deadline a repeat is still told to come back.
    milliseconds resolve_grace{2000};
};

struct claim_request {
    /// From claim_key().
    std::string row_key;
    std::string request_hash;
    version::priority priority = version::priority::interactive;
    /// Past this the request isn't sent any more. A claim that is expected to wait for half of the
    /// time until then is refused on arrival.
    time_point give_up_at{};
    /// The request's deadline.
    wall_time ends_by{};
};

/// How a granted claim's request ended.
struct claim_end {
    /// Never `claimed`.
    claim_state state = claim_state::unknown;
    /// Only for answered; `kept` is decided by the batcher.
    recorded_answer answer;
};

struct claim_transaction {
    std::uint64_t id = 0;
    table_transaction rows;
};

struct claim_read {
    std::uint64_t id = 0;
    std::vector<std::string> keys;
};

/// What is to be done after an event.
struct claim_actions {
    std::vector<claim_transaction> transactions;
    std::vector<claim_read> reads;
    std::vector<claim_verdict> verdicts;
    /// When to call step() again if nothing happens before; none: not needed.
    std::optional<time_point> wake;
};

struct claim_counts {
    std::uint64_t granted = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    /// Those of the refused whose request, or an earlier one of its key, may have run.
    std::uint64_t unknown = 0;
    std::uint64_t transactions = 0;
    std::uint64_t rows = 0;
    std::uint64_t reads = 0;
    std::uint64_t recorded = 0;
    /// Ends that were forgotten for want of room.
    std::uint64_t forgotten = 0;
};

/// One per entry. Events change the state and step() returns what follows; call step() after each
/// event and at the wake time. Every add() gets exactly one verdict. Time never decreases. Not
/// synchronised.
class claim_batcher {
public:
    explicit claim_batcher(claim_options options);

    claim_ticket add(claim_request request, moment now);
    /// Precondition: the ticket was granted and not finished before.
    void finish(claim_ticket ticket, claim_end end, moment now);
    /// The reply to a transaction that step() asked for.
    void transacted(std::uint64_t id, const transact_result& result, moment now);
    /// The reply to a read that step() asked for.
    void read_back(std::uint64_t id, const read_result& result, moment now);
    [[nodiscard]] claim_actions step(moment now);
    /// Takes the number of live entries, which share the rate of all. Precondition: at least 1.
    void share_rate(std::size_t entries);

    [[nodiscard]] const claim_counts& counts() const { return m_counts; }
    /// Claims without a verdict, granted claims, and ends without a record.
    [[nodiscard]] std::size_t unsettled() const { return m_items.size(); }

private:
    /// What the row is written for.
    enum class stage {
        claiming,  ///< the caller waits for a verdict
        abandoned, ///< refused, while the row may have been written
        held,      ///< granted
        closing,   ///< the end is being recorded
    };

    struct item {
        claim_ticket ticket = claim_ticket::none;
        std::string key;
        version::priority priority = version::priority::interactive;
        stage at = stage::claiming;
        /// In a transaction or a read whose reply has not come.
        bool in_flight = false;
        /// A transaction's reply was lost and the row was not read since.
        bool maybe_written = false;
        /// What the row is to become.
        claim_record record;
        /// The version that the row must have for the write.
        row_version expected = absent_row;
        time_point give_up_at{};
    };

    using group = std::vector<claim_ticket>;

    void judge(const repeat& request, const claim_record& row, moment now);
    void judge_local(const repeat& request, const item& holder, moment now);
    [[nodiscard]] std::shared_ptr<const refusal> refusal_on_arrival(const claim_request& request,
                                                                    moment now);
    [[nodiscard]] milliseconds wait_for(version::priority priority) const;
    [[nodiscard]] milliseconds until_retry(moment now) const;
    void refuse(claim_ticket ticket, std::shared_ptr<const refusal> why);
    void give_up(item& each, const std::string& reason, milliseconds retry_after);
    void give_up_all(moment now);
    void expire(moment now);

    void enqueue(item& each, moment now);
    void erase(item& each);
    [[nodiscard]] group take_call(std::unordered_map<std::uint64_t, group>& calls,
                                  std::uint64_t id);

    void applied(item& each, row_version version, moment now);
    void seen(item& each, const table_row* row, moment now);
    void seen_while_claiming(item& each, const table_row* row, moment now);
    void seen_while_closing(item& each, const table_row* row, moment now);
    void owned(item& each, row_version version, moment now);
    void read_later(item& each);
    void close(item& each, claim_end end, moment now);

    void start_transactions(moment now, claim_actions& actions);
    void start_transaction(const group& members, moment now, claim_actions& actions);
    void start_read(moment now, claim_actions& actions);
    [[nodiscard]] bool worth_a_transaction(moment now) const;
    [[nodiscard]] std::optional<time_point> next_wake(moment now) const;

    claim_options m_options;
    /// Transactions a second that this entry may write now.
    double m_pace;
    write_rate m_transaction_rate;
    write_rate m_row_rate;
    table_health m_health;
    std::uint64_t m_last_ticket = 0;
    std::uint64_t m_last_call = 0;
    std::unordered_map<claim_ticket, item> m_items;
    std::unordered_map<std::string, claim_ticket> m_by_key;
    claim_queue m_queue;
    /// Rows to be read back.
    std::deque<claim_ticket> m_to_read;
    std::set<std::pair<time_point, claim_ticket>> m_give_up;
    std::size_t m_unrecorded = 0;
    std::size_t m_unrecorded_bytes = 0;
    std::unordered_map<std::uint64_t, group> m_transactions;
    std::unordered_map<std::uint64_t, group> m_reads;
    std::vector<claim_verdict> m_verdicts;
    claim_counts m_counts;
};

} // namespace plantaindoor::request
