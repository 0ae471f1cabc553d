#include "plantaindoor/process/claim_store.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

claim_store::claim_store(event_loop& loop, table& rows, request::claim_options options)
    : m_loop(loop),
      m_rows(rows),
      m_batcher(std::move(options)),
      m_self(std::make_shared<claim_store*>(this))
{
}

claim_store::~claim_store()
{
    m_loop.cancel(m_timer);
    *m_self = nullptr;
}

request::moment claim_store::now() const
{
    return {.steady = m_loop.now(), .wall = m_loop.wall_now()};
}

void claim_store::claim(request::claim_request request, verdict_callback done)
{
    const auto ticket = m_batcher.add(std::move(request), now());
    m_waiting.emplace(ticket, std::move(done));
    step_soon();
}

void claim_store::finish(request::claim_ticket ticket, request::claim_end end)
{
    m_batcher.finish(ticket, std::move(end), now());
    step_soon();
}

/// Claims that arrive in one turn of the loop share a transaction.
void claim_store::step_soon()
{
    if (m_step_pending) {
        return;
    }
    m_step_pending = true;
    m_loop.cancel(m_timer);
    m_timer = m_loop.call_after(nanoseconds(0), [this] { step(); });
}

void claim_store::step()
{
    m_step_pending = false;
    m_timer = timer_id::none;
    const request::moment present = now();
    request::claim_actions actions = m_batcher.step(present);
    for (auto& transaction : actions.transactions) {
        start(std::move(transaction));
    }
    for (auto& read : actions.reads) {
        start(std::move(read));
    }
    for (auto& verdict : actions.verdicts) {
        deliver(std::move(verdict));
    }
    if (actions.wake && !m_step_pending) {
        const nanoseconds wait = std::max(nanoseconds(0), *actions.wake - present.steady);
        m_timer = m_loop.call_after(wait, [this] { step(); });
    }
}

void claim_store::start(request::claim_transaction transaction)
{
    m_rows.transact(std::move(transaction.rows),
                    [self = m_self, id = transaction.id](const transact_result& result) {
                        if (*self != nullptr) {
                            (*self)->m_batcher.transacted(id, result, (*self)->now());
                            (*self)->step_soon();
                        }
                    });
}

void claim_store::start(request::claim_read read)
{
    m_rows.read(std::move(read.keys), [self = m_self, id = read.id](const read_result& rows) {
        if (*self != nullptr) {
            (*self)->m_batcher.read_back(id, rows, (*self)->now());
            (*self)->step_soon();
        }
    });
}

void claim_store::deliver(request::claim_verdict verdict)
{
    auto waiting = m_waiting.extract(verdict.ticket);
    if (!waiting.empty()) {
        waiting.mapped()(std::move(verdict));
    }
}

} // namespace plantaindoor::process
