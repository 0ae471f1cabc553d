#include "plantaindoor/version/table_change_log.hpp"

#include "plantaindoor/version/codec.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::version {

namespace {

/// Readings of the head that may be under way at once.
constexpr std::size_t max_polls_waiting = 2;

row_version version_in(const std::vector<table_row>& rows, const std::string& key)
{
    const auto found = std::ranges::find(rows, key, &table_row::key);
    return found == rows.end() ? absent_row : found->version;
}

bool any_guard_changed(const append_request& request, const std::vector<table_row>& present)
{
    return std::ranges::any_of(request.guards, [&](const row_condition& guard) {
        return version_in(present, guard.key) != guard.version;
    });
}

append_result accepted_result(const folded_step& folded, std::size_t position)
{
    const judged_proposal& judged = folded.judged[position];
    switch (judged.verdict) {
    case proposal_verdict::refused:
        return {.outcome = append_outcome::refused, .refusal = judged.refusal};
    case proposal_verdict::unchanged:
        return {.outcome = append_outcome::accepted, .version = folded.step.version - 1};
    case proposal_verdict::joined:
        break;
    }
    return {.outcome = append_outcome::accepted, .version = folded.step.version};
}

} // namespace

table_change_log::table_change_log(event_loop& loop, table& rows, table_change_log_options options)
    : m_loop(loop),
      m_table(rows),
      m_options(std::move(options)),
      m_poll_period(m_options.poll_period),
      m_random(static_cast<std::minstd_rand::result_type>(m_options.seed)),
      m_follower(m_options.follower)
{
    if (m_options.snapshots != nullptr) {
        m_compactor.emplace(m_table, *m_options.snapshots, m_options.compaction);
    }
}

table_change_log::~table_change_log()
{
    m_loop.cancel(m_poll_timer);
    m_loop.cancel(m_retry_timer);
}

/// Drops a callback that arrives after the log's end.
template<class Action>
auto table_change_log::while_alive(Action action)
{
    return [alive = std::weak_ptr<bool>(m_alive), action = std::move(action)](auto&&... results) {
        if (!alive.expired()) {
            action(std::forward<decltype(results)>(results)...);
        }
    };
}

void table_change_log::start()
{
    poll();
}

void table_change_log::subscribe(version_callback on_version)
{
    m_subscribers.push_back(std::move(on_version));
}

void table_change_log::poll()
{
    poll_now();
    m_poll_timer = m_loop.call_after(m_poll_period, [this] { poll(); });
}

void table_change_log::share_polling(std::size_t entries)
{
    const nanoseconds shared = nanoseconds(seconds(entries)) / m_options.max_polls_per_second;
    m_poll_period = std::max<nanoseconds>(m_options.poll_period, shared);
}

void table_change_log::poll_now()
{
    if (m_polls_waiting >= max_polls_waiting) {
        return;
    }
    ++m_polls_waiting;
    m_table.read({std::string(log_head_key)},
                 while_alive([this, asked = m_loop.now()](const read_result& rows) {
                     --m_polls_waiting;
                     on_polled(asked, rows);
                 }));
}

void table_change_log::on_polled(time_point asked, const read_result& rows)
{
    if (!rows || !take_head(*rows)) {
        return;
    }
    m_head_as_of = m_head_as_of ? std::max(*m_head_as_of, asked) : asked;
    note_currency();
    // A version in force somewhere was in the head before anyone could tell of it.
    if (m_heard_at && asked > *m_heard_at) {
        m_heard_at.reset();
        m_follower.forget_heard();
    }
    fetch_missing();
}

bool table_change_log::take_head(const std::vector<table_row>& rows)
{
    const auto row = std::ranges::find(rows, log_head_key, &table_row::key);
    if (row == rows.end()) {
        return true;
    }
    if (row->version <= m_head_row) {
        return true;
    }
    try {
        m_head = decode_log_head(row->value);
    }
    catch (const decode_error&) {
        return false;
    }
    m_head_row = row->version;
    m_follower.on_head(m_head);
    return true;
}

void table_change_log::receive(std::vector<log_record> records, version_number in_force)
{
    const version_number known = m_follower.newest();
    m_follower.on_heard(in_force);
    if (m_follower.on_records(std::move(records))) {
        publish();
    }
    if (m_follower.newest() > known) {
        m_heard_at = m_loop.now();
    }
    fetch_missing();
}

void table_change_log::receive(fleet whole)
{
    if (m_follower.on_snapshot(std::move(whole))) {
        publish();
    }
}

void table_change_log::fetch_missing()
{
    const std::optional<log_fetch> fetch = m_follower.wanted();
    if (m_fetching || !fetch) {
        return;
    }
    m_fetching = true;
    if (fetch->snapshot != 0 && m_options.snapshots != nullptr) {
        fetch_snapshot(fetch->snapshot);
    }
    else {
        fetch_records(*fetch);
    }
}

void table_change_log::fetch_records(const log_fetch& fetch)
{
    std::vector<std::string> keys;
    for (version_number version = fetch.first; version <= fetch.last; ++version) {
        keys.push_back(log_record_key(version));
    }
    m_table.read(std::move(keys), while_alive([this](const read_result& rows) {
                     std::vector<log_record> records;
                     try {
                         for (const table_row& row : rows.value_or(std::vector<table_row>{})) {
                             records.push_back(decode_log_record(row.value));
                         }
                     }
                     catch (const decode_error&) {
                         records.clear();
                     }
                     const bool stepped = m_follower.on_records(std::move(records));
                     on_fetched(stepped);
                 }));
}

void table_change_log::fetch_snapshot(version_number version)
{
    m_options.snapshots->get(
        snapshot_name(version), while_alive([this](const std::optional<std::string>& bytes) {
            bool stepped = false;
            try {
                stepped = bytes && m_follower.on_snapshot(decode_fleet(*bytes));
            }
            catch (const decode_error&) {
                stepped = false;
            }
            on_fetched(stepped);
        }));
}

void table_change_log::on_fetched(bool stepped)
{
    m_fetching = false;
    if (stepped) {
        publish();
        fetch_missing();
    }
    if (m_append_waits && !m_fetching) {
        m_append_waits = false;
        if (stepped || m_follower.current()->version >= m_head.version) {
            continue_append();
        }
        else {
            retry_later();
        }
    }
}

void table_change_log::publish()
{
    note_currency();
    const fleet_ptr newest = m_follower.current();
    for (std::size_t each = 0; each < m_subscribers.size(); ++each) {
        m_subscribers[each](newest);
    }
}

void table_change_log::note_currency()
{
    if (m_head_as_of && m_follower.current()->version >= m_head.version) {
        m_current_as_of = m_head_as_of;
    }
}

void table_change_log::append(append_request request, append_callback done)
{
    m_queue.push_back({std::move(request), std::move(done)});
    if (!m_group) {
        start_group();
    }
}

void table_change_log::start_group()
{
    m_group = group{};
    m_group->append_id = m_options.author_id + "/" + std::to_string(++m_appends);
    while (!m_queue.empty() && m_group->requests.size() < m_options.max_group &&
           compatible(m_group->requests, m_queue.front().request)) {
        m_group->requests.push_back(std::move(m_queue.front().request));
        m_group->done.push_back(std::move(m_queue.front().done));
        m_queue.pop_front();
    }
    read_head_for_append();
}

void table_change_log::read_head_for_append()
{
    if (m_group->attempts >= m_options.max_attempts) {
        finish(m_group->sent ? append_outcome::unknown : append_outcome::unavailable);
        return;
    }
    ++m_group->attempts;
    m_table.read({std::string(log_head_key)},
                 while_alive([this](const read_result& rows) { on_append_head(rows); }));
}

void table_change_log::on_append_head(const read_result& rows)
{
    if (!rows || !take_head(*rows)) {
        retry_later();
        return;
    }
    continue_append();
}

void table_change_log::continue_append()
{
    const version_number applied = m_follower.current()->version;
    if (applied < m_head.version) {
        m_append_waits = true;
        fetch_missing();
        if (!m_fetching) {
            m_append_waits = false;
            retry_later();
        }
        return;
    }
    if (m_group->sent && settle_sent()) {
        return;
    }
    if (applied > m_head.version) {
        read_head_for_append();
        return;
    }
    judge_group();
}

bool table_change_log::settle_sent()
{
    const version_number tried = m_group->folded.step.version;
    if (m_follower.current()->version < tried) {
        if (m_head_row == m_group->head_row) {
            send_transaction();
            return true;
        }
        m_group->sent = false;
        return false;
    }
    const log_record* landed = m_follower.record(tried);
    if (landed == nullptr) {
        finish(append_outcome::unknown);
        return true;
    }
    if (landed->append_id == m_group->append_id) {
        finish(append_outcome::accepted);
        return true;
    }
    m_group->sent = false;
    return false;
}

void table_change_log::judge_group()
{
    group& now = *m_group;
    now.folded = fold(*m_follower.current(), now.requests);
    if (!now.folded.any) {
        finish(append_outcome::accepted);
        return;
    }
    now.folded.step.accepted = m_loop.wall_now();
    log_head next = m_head;
    next.version = now.folded.step.version;
    const std::string head_key(log_head_key);
    now.head_row = m_head_row;
    now.transaction = {.conditions = now.folded.guards, .writes = now.folded.also};
    now.transaction.conditions.push_back({head_key, m_head_row});
    now.transaction.writes.push_back({head_key, encode(next)});
    now.transaction.writes.push_back(
        {log_record_key(next.version), encode(log_record{now.append_id, now.folded.step})});
    send_transaction();
}

void table_change_log::send_transaction()
{
    m_table.transact(m_group->transaction,
                     while_alive([this](const transact_result& result) { on_transacted(result); }));
}

void table_change_log::on_transacted(const transact_result& result)
{
    switch (result.outcome) {
    case transact_outcome::applied:
        accept(result.version);
        break;
    case transact_outcome::conflict:
        on_conflict(result.present);
        break;
    case transact_outcome::unknown:
        m_group->sent = true;
        retry_later();
        break;
    case transact_outcome::unavailable:
        retry_later();
        break;
    }
}

void table_change_log::accept(row_version head_row)
{
    const log_record landed{m_group->append_id, m_group->folded.step};
    if (head_row > m_head_row) {
        m_head.version = landed.step.version;
        m_head_row = head_row;
        m_follower.on_head(m_head);
    }
    if (m_follower.on_records({landed})) {
        publish();
    }
    if (m_compactor) {
        m_compactor->consider(m_head, m_follower.current());
    }
    finish(append_outcome::accepted);
}

void table_change_log::on_conflict(const std::vector<table_row>& present)
{
    take_head(present);
    // With the head where it was, an earlier try whose reply was lost has not taken effect, and a
    // changed guard keeps it from ever doing so.
    if (m_group->sent && m_head_row == m_group->head_row) {
        m_group->sent = false;
    }
    if (!m_group->sent) {
        drop_fenced(present);
    }
    if (m_group->requests.empty()) {
        finish(append_outcome::fenced);
        return;
    }
    retry_later();
}

void table_change_log::drop_fenced(const std::vector<table_row>& present)
{
    group& now = *m_group;
    for (std::size_t each = 0; each < now.requests.size();) {
        if (now.folded.judged[each].verdict != proposal_verdict::joined ||
            !any_guard_changed(now.requests[each], present)) {
            ++each;
            continue;
        }
        const auto at = static_cast<std::ptrdiff_t>(each);
        append_callback done = std::move(now.done[each]);
        now.requests.erase(now.requests.begin() + at);
        now.done.erase(now.done.begin() + at);
        now.folded.judged.erase(now.folded.judged.begin() + at);
        done({.outcome = append_outcome::fenced});
    }
}

void table_change_log::retry_later()
{
    m_retry_timer = m_loop.call_after(retry_delay(), [this] { read_head_for_append(); });
}

nanoseconds table_change_log::retry_delay()
{
    const auto doublings = std::min<std::size_t>(m_group->attempts, 16);
    const milliseconds ceiling =
        std::min(m_options.longest_retry, m_options.first_retry * (1U << doublings));
    std::uniform_int_distribution<std::int64_t> part(0, nanoseconds(ceiling).count());
    return nanoseconds(part(m_random));
}

void table_change_log::finish(append_outcome outcome)
{
    const group ended = std::move(*m_group);
    m_group.reset();
    for (std::size_t each = 0; each < ended.done.size(); ++each) {
        ended.done[each](outcome == append_outcome::accepted ? accepted_result(ended.folded, each)
                                                             : append_result{.outcome = outcome});
    }
    if (!m_group && !m_queue.empty()) {
        start_group();
    }
}

} // namespace plantaindoor::version
