#include "plantaindoor/fleet/job_writer.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

/// Each item takes a condition and a write.
constexpr std::size_t most_items = max_transaction_entries / 2;
constexpr std::string_view cancel_mark = "cancelled";

/// Whether a row that is there already is what the item would have written.
bool is_same(const std::string& wanted, const std::string& present)
{
    if (wanted == cancel_mark) {
        return true;
    }
    const auto ours = parse_accepted_job(wanted);
    const auto theirs = parse_accepted_job(present);
    return ours && theirs && ours->body == theirs->body;
}

} // namespace

job_writer::job_writer(event_loop& loop, row_store& store, job_writer_options options)
    : m_loop(loop), m_store(store), m_options(options), m_alive(std::make_shared<bool>(true))
{
}

job_writer::~job_writer()
{
    *m_alive = false;
    for (auto& [name, part] : m_partitions) {
        m_loop.cancel(part.timer);
    }
}

void job_writer::accept(const job_id& id, const accepted_job& accepted, time_point deadline,
                        callback done)
{
    add({.at = accepted_address(id),
         .value = to_text(accepted),
         .deadline = deadline,
         .done = std::move(done)});
}

void job_writer::cancel(const job_id& id, time_point deadline, callback done)
{
    add({.at = cancelled_address(id),
         .value = std::string(cancel_mark),
         .deadline = deadline,
         .done = std::move(done)});
}

void job_writer::add(item added)
{
    ++m_waiting;
    if (m_waiting > m_options.max_waiting) {
        answer(added, job_write_outcome::not_persisted);
        return;
    }
    const std::string name = added.at.partition;
    partition& part = m_partitions[name];
    part.queue.push_back(std::move(added));
    if (!part.busy && part.timer == timer_id::none) {
        send(name);
    }
}

void job_writer::send(const std::string& name)
{
    if (m_partitions[name].busy) {
        return;
    }
    expire(name);
    partition& part = m_partitions[name];
    if (part.busy || part.queue.empty()) {
        return;
    }
    row_transaction transaction;
    std::size_t bytes = 0;
    while (!part.queue.empty() && part.sent.size() < most_items &&
           bytes + part.queue.front().value.size() < max_transaction_bytes) {
        item& next = part.queue.front();
        bytes += next.value.size();
        transaction.conditions.push_back({next.at, absent});
        transaction.writes.push_back({next.at, next.value});
        part.sent.push_back(std::move(next));
        part.queue.pop_front();
    }
    part.busy = true;
    m_store.commit(std::move(transaction), m_options.commit_timeout,
                   [this, name, alive = m_alive](const commit_result& result) {
                       if (*alive) {
                           finish(name, result);
                       }
                   });
}

void job_writer::finish(const std::string& name, const commit_result& result)
{
    partition& part = m_partitions[name];
    part.busy = false;
    switch (result.outcome) {
    case commit_outcome::applied:
        for (item& each : std::exchange(part.sent, {})) {
            answer(each, job_write_outcome::persisted);
        }
        part.retry_delay = milliseconds(0);
        break;
    case commit_outcome::conflict:
        settle_conflict(part, result.present);
        part.retry_delay = milliseconds(0);
        break;
    case commit_outcome::refused:
    case commit_outcome::unknown:
        // Written again under the same condition, an item tells whether it was kept before.
        put_back(part, result.outcome == commit_outcome::unknown);
        wait_and_retry(name);
        return;
    }
    send(name);
}

void job_writer::settle_conflict(partition& part, const std::vector<stored_row>& present)
{
    auto sent = std::exchange(part.sent, {});
    std::vector<item> again;
    for (item& each : sent) {
        const auto there = std::find_if(present.begin(), present.end(), [&](const auto& row) {
            return row.at == each.at && row.version != absent && !row.removed;
        });
        if (there == present.end()) {
            again.push_back(std::move(each));
        }
        else {
            answer(each, is_same(each.value, there->value) ? job_write_outcome::persisted
                                                           : job_write_outcome::id_conflict);
        }
    }
    for (auto each = again.rbegin(); each != again.rend(); ++each) {
        part.queue.push_front(std::move(*each));
    }
}

void job_writer::put_back(partition& part, bool doubtful)
{
    auto sent = std::exchange(part.sent, {});
    for (auto each = sent.rbegin(); each != sent.rend(); ++each) {
        each->doubtful = each->doubtful || doubtful;
        part.queue.push_front(std::move(*each));
    }
}

void job_writer::wait_and_retry(const std::string& name)
{
    partition& part = m_partitions[name];
    part.retry_delay =
        std::clamp(part.retry_delay * 2, m_options.initial_retry_delay, m_options.max_retry_delay);
    part.timer = m_loop.call_after(part.retry_delay, [this, name] {
        m_partitions[name].timer = timer_id::none;
        send(name);
    });
}

void job_writer::expire(const std::string& name)
{
    partition& part = m_partitions[name];
    const time_point latest = m_loop.now() + m_options.initial_retry_delay;
    std::deque<item> left;
    for (item& each : std::exchange(part.queue, {})) {
        if (each.deadline <= latest) {
            answer(each,
                   each.doubtful ? job_write_outcome::unknown : job_write_outcome::not_persisted);
        }
        else {
            left.push_back(std::move(each));
        }
    }
    // An answer may have added items meanwhile.
    for (item& each : part.queue) {
        left.push_back(std::move(each));
    }
    part.queue = std::move(left);
}

void job_writer::answer(item& answered, job_write_outcome outcome)
{
    --m_waiting;
    answered.done(outcome);
}

} // namespace plantaindoor::fleet
