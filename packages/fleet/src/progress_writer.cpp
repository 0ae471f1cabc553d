#include "plantaindoor/fleet/progress_writer.hpp"

#include "plantaindoor/fleet/job_rows.hpp"
#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part progress_log("progress");
/// Leaves room for two conditions and for the writes of the sequence and renewal rows.
constexpr std::size_t max_rows = max_transaction_entries - 4;

} // namespace

progress_writer::progress_writer(event_loop& loop, row_store& store, job::scheduler& scheduler,
                                 metrics_registry& metrics, progress_writer_options options,
                                 std::function<time_point()> clock, event_handlers handlers)
    : m_loop(loop),
      m_store(store),
      m_scheduler(scheduler),
      m_options(std::move(options)),
      m_clock(std::move(clock)),
      m_handlers(std::move(handlers)),
      m_alive(std::make_shared<bool>(true)),
      m_commits(metrics.counter({"progress_commits_total", "Progress transactions sent", {}})),
      m_rows(metrics.counter({"progress_rows_total", "Rows written by progress transactions", {}})),
      m_bytes(metrics.counter({"progress_bytes_total", "Bytes of progress written", {}}))
{
    send_after(m_options.renew_interval);
}

progress_writer::~progress_writer()
{
    *m_alive = false;
    m_loop.cancel(m_timer);
}

void progress_writer::send_after(milliseconds delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.call_after(delay, [this] {
        m_timer = timer_id::none;
        send();
    });
}

void progress_writer::refresh()
{
    const bool has_changes = !m_scheduler.dirty_jobs().empty() || !m_removals.empty();
    if (has_changes && !m_committing && !m_batching) {
        m_batching = true;
        send_after(m_options.batch_window);
    }
}

void progress_writer::send()
{
    m_batching = false;
    if (m_unsent.empty()) {
        m_unsent = m_scheduler.begin_persist();
    }
    const time_point sent = m_clock();
    row_transaction transaction{.conditions = {m_options.claim, m_options.sequence}, .writes = {}};
    const std::string transaction_id =
        m_options.incarnation + ' ' + std::to_string(++m_transaction_count);
    transaction.writes.push_back({m_options.sequence.at, transaction_id});
    m_renewing = sent - m_renewal_sent_at >= m_options.renew_interval;
    if (m_renewing) {
        transaction.writes.push_back({m_options.renewal, transaction_id});
    }
    std::size_t bytes = 0;
    while (!m_unsent.empty() && transaction.writes.size() < max_rows &&
           bytes < max_transaction_bytes / 2) {
        const job::job_record* const job = m_scheduler.find(m_unsent.back());
        if (job != nullptr) {
            transaction.writes.push_back(
                {progress_address(m_options.shard, job->id()), job->progress()});
            bytes += transaction.writes.back().value->size();
        }
        m_unsent.pop_back();
    }
    while (!m_removals.empty() && transaction.writes.size() < max_rows) {
        transaction.writes.push_back({m_removals.back(), std::nullopt});
        m_sent_removals.push_back(m_removals.back());
        m_removals.pop_back();
    }
    m_commits.add();
    m_rows.add(transaction.writes.size());
    m_bytes.add(bytes);
    m_committing = true;
    m_store.commit(std::move(transaction), m_options.commit_timeout,
                   [this, sent, alive = m_alive](const commit_result& result) {
                       if (*alive) {
                           handle_commit_result(sent, result);
                       }
                   });
}

void progress_writer::handle_commit_result(time_point sent, const commit_result& result)
{
    m_committing = false;
    if (result.outcome == commit_outcome::applied) {
        m_options.sequence.version = result.version;
        m_sent_removals.clear();
        if (m_renewing) {
            m_renewal_sent_at = sent;
            m_handlers.on_renewed(sent);
        }
        if (!m_unsent.empty()) {
            send();
            return;
        }
        m_scheduler.note_persisted();
        m_handlers.on_persisted();
        send_after(m_options.renew_interval);
        refresh();
        return;
    }
    m_removals.insert(m_removals.end(), m_sent_removals.begin(), m_sent_removals.end());
    m_sent_removals.clear();
    m_unsent.clear();
    m_scheduler.note_persist_failed();
    if (result.outcome == commit_outcome::conflict) {
        resolve_conflict(result);
        return;
    }
    progress_log.info(fmt::format("progress not persisted: {}", name_of(result.outcome)));
    send_after(m_options.retry_delay);
}

void progress_writer::resolve_conflict(const commit_result& result)
{
    const auto row_at = [&](const row_address& at) {
        return std::find_if(result.present.begin(), result.present.end(),
                            [&](const stored_row& row) { return row.at == at; });
    };
    const auto claim = row_at(m_options.claim.at);
    const auto sequence = row_at(m_options.sequence.at);
    const auto not_found = result.present.end();
    const bool claim_valid = claim != not_found && claim->version == m_options.claim.version;
    // If so, an earlier transaction of this leader, whose answer was lost, has written the row.
    const bool own_sequence =
        sequence != not_found && sequence->value.starts_with(m_options.incarnation + ' ');
    if (!claim_valid || !own_sequence) {
        progress_log.warning("the leader claim is no longer valid");
        m_handlers.on_lost();
        return;
    }
    m_options.sequence.version = sequence->version;
    send();
}

} // namespace plantaindoor::fleet
