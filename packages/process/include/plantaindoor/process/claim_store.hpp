// Runs the claim decisions against the table: carries their transactions and reads out, feeds the
// replies back, and hands each verdict to the request that waits for it.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/request/claim_batcher.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

namespace plantaindoor::process {

/// Loop thread only; loop and table must outlive it.
class claim_store {
public:
    using verdict_callback = std::function<void(request::claim_verdict)>;

    claim_store(event_loop& loop, table& rows, request::claim_options options);
    claim_store(const claim_store&) = delete;
    claim_store& operator=(const claim_store&) = delete;
    ~claim_store();

    /// Claims a key. The callback runs exactly once, later, unless the store ends before.
    void claim(request::claim_request request, verdict_callback done);
    /// Records how a granted claim's request ended.
    void finish(request::claim_ticket ticket, request::claim_end end);

    /// See claim_batcher::share_rate().
    void share_rate(std::size_t entries) { m_batcher.share_rate(entries); }

    /// Claims and ends that are not settled in the table yet.
    [[nodiscard]] std::size_t unsettled() const { return m_batcher.unsettled(); }
    [[nodiscard]] const request::claim_counts& counts() const { return m_batcher.counts(); }

private:
    [[nodiscard]] request::moment now() const;
    void step_soon();
    void step();
    void start(request::claim_transaction transaction);
    void start(request::claim_read read);
    void deliver(request::claim_verdict verdict);

    event_loop& m_loop;
    table& m_rows;
    request::claim_batcher m_batcher;
    std::unordered_map<request::claim_ticket, verdict_callback> m_waiting;
    timer_id m_timer = timer_id::none;
    bool m_step_pending = false;
    /// Replies that outlive the store find it gone.
    std::shared_ptr<claim_store*> m_self;
};

} // namespace plantaindoor::process
