#include "plantaindoor/fleet/job_writer.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

/// An item needs two transaction entries: a condition and a write.
constexpr std::size_t max_items = max_transaction_entries / 2;
constexpr std::string_view cancel_value = "cancelled";

/// Callers rarely leave sooner; limits the number of checks.
constexpr milliseconds caller_check_delay{100};

/// The outcome of writing the value `wanted` where there is a row with the value `present`.
job_write_outcome outcome_beside(const std::string& wanted, const std::string& present)
{
    using enum job_write_outcome;
    if (wanted == cancel_value) {
        return persisted;
    }
    if (present == withdrawn_row_value) {
        return wanted == withdrawn_row_value ? persisted : withdrawn;
    }
    const auto ours = parse_accepted_job(wanted);
    const auto theirs = parse_accepted_job(present);
    return ours && theirs && ours->body == theirs->body ? persisted : id_conflict;
}

} // namespace

job_writer::job_writer(event_loop& loop, row_store& store, job_writer_options options)
    : m_loop(loop), m_store(store), m_options(options), m_alive(std::make_shared<bool>(true))
{
}

job_writer::~job_writer()
{
    *m_alive = false;
    for (auto& [key, part] : m_partitions) {
        m_loop.cancel(part.timer);
    }
}

void job_writer::accept(shard_number shard, const job_id& id, const accepted_job& accepted,
                        acceptance_limits limits, callback done)
{
    add({.at = accepted_address(shard, id),
         .value = to_text(accepted),
         .limits = std::move(limits),
         .done = std::move(done)});
}

void job_writer::withdraw(shard_number shard, const job_id& id, time_point deadline, callback done)
{
    add({.at = accepted_address(shard, id),
         .value = std::string(withdrawn_row_value),
         .limits = {.deadline = deadline},
         .done = std::move(done)});
}

void job_writer::cancel(shard_number shard, const job_id& id, time_point deadline, callback done)
{
    add({.at = cancelled_address(shard, id),
         .value = std::string(cancel_value),
         .limits = {.deadline = deadline},
         .done = std::move(done)});
}

void job_writer::add(item new_item)
{
    ++m_waiting;
    if (m_waiting > m_options.max_waiting) {
        answer(new_item, job_write_outcome::not_persisted);
        return;
    }
    const partition_key key{new_item.at.table, new_item.at.partition};
    partition& part = m_partitions[key];
    new_item.added = m_loop.now();
    part.queue.push_back(std::move(new_item));
    if (!part.busy && part.timer == timer_id::none) {
        send(key);
    }
}

void job_writer::send(const partition_key& key)
{
    if (m_partitions[key].busy) {
        return;
    }
    expire(key);
    partition& part = m_partitions[key];
    if (part.busy || part.queue.empty()) {
        return;
    }
    row_transaction transaction;
    std::size_t bytes = 0;
    const auto is_in_transaction = [&](const row_address& at) {
        return std::any_of(part.sent.begin(), part.sent.end(),
                           [&](const item& each) { return each.at == at; });
    };
    while (!part.queue.empty() && part.sent.size() < max_items &&
           bytes + part.queue.front().value.size() < max_transaction_bytes &&
           !is_in_transaction(part.queue.front().at)) {
        item& next = part.queue.front();
        bytes += next.value.size();
        transaction.conditions.push_back({next.at, absent});
        transaction.writes.push_back({next.at, next.value});
        part.sent.push_back(std::move(next));
        part.queue.pop_front();
    }
    part.busy = true;
    m_store.commit(std::move(transaction), m_options.commit_timeout,
                   [this, key, alive = m_alive](const commit_result& result) {
                       if (*alive) {
                           handle_commit(key, result);
                       }
                   });
}

void job_writer::handle_commit(const partition_key& key, const commit_result& result)
{
    partition& part = m_partitions[key];
    part.busy = false;
    switch (result.outcome) {
    case commit_outcome::applied:
        for (item& each : std::exchange(part.sent, {})) {
            answer(each, job_write_outcome::persisted);
        }
        part.retry_delay = milliseconds(0);
        break;
    case commit_outcome::conflict:
        resolve_conflict(part, result.present);
        part.retry_delay = milliseconds(0);
        break;
    case commit_outcome::refused:
    case commit_outcome::unknown:
        // The retry has the same condition, so its conflict shows whether the item was written
        // before.
        requeue(part, result.outcome == commit_outcome::unknown);
        schedule_retry(key);
        return;
    }
    send(key);
}

void job_writer::resolve_conflict(partition& part, const std::vector<stored_row>& present)
{
    auto sent = std::exchange(part.sent, {});
    std::vector<item> retried;
    for (item& each : sent) {
        const auto existing = std::find_if(present.begin(), present.end(), [&](const auto& row) {
            return row.at == each.at && row.version != absent && !row.removed;
        });
        if (existing == present.end()) {
            retried.push_back(std::move(each));
        }
        else {
            answer(each, outcome_beside(each.value, existing->value));
        }
    }
    for (auto each = retried.rbegin(); each != retried.rend(); ++each) {
        part.queue.push_front(std::move(*each));
    }
}

void job_writer::requeue(partition& part, bool outcome_unknown)
{
    auto sent = std::exchange(part.sent, {});
    for (auto each = sent.rbegin(); each != sent.rend(); ++each) {
        each->outcome_unknown = each->outcome_unknown || outcome_unknown;
        part.queue.push_front(std::move(*each));
    }
}

void job_writer::schedule_retry(const partition_key& key)
{
    partition& part = m_partitions[key];
    part.retry_delay =
        std::clamp(part.retry_delay * 2, m_options.initial_retry_delay, m_options.max_retry_delay);
    part.timer = m_loop.call_after(part.retry_delay, [this, key] {
        m_partitions[key].timer = timer_id::none;
        send(key);
    });
}

bool job_writer::is_expired(const item& queued) const
{
    const time_point now = m_loop.now();
    return queued.limits.deadline <= now + m_options.initial_retry_delay ||
           (queued.limits.caller_gone && now - queued.added >= caller_check_delay &&
            queued.limits.caller_gone());
}

void job_writer::expire(const partition_key& key)
{
    partition& part = m_partitions[key];
    std::deque<item> remaining;
    for (item& each : std::exchange(part.queue, {})) {
        if (is_expired(each)) {
            answer(each, each.outcome_unknown ? job_write_outcome::unknown
                                              : job_write_outcome::not_persisted);
        }
        else {
            remaining.push_back(std::move(each));
        }
    }
    // The callbacks of expired items may have added new items.
    for (item& each : part.queue) {
        remaining.push_back(std::move(each));
    }
    part.queue = std::move(remaining);
}

void job_writer::answer(item& answered, job_write_outcome outcome)
{
    --m_waiting;
    answered.done(outcome);
}

} // namespace plantaindoor::fleet
