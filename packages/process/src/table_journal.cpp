#include "plantaindoor/process/table_journal.hpp"

#include "plantaindoor/process/journal_rows.hpp"
#include "plantaindoor/process/logging.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

namespace {

constexpr log_part journal_log("journal");

/// The first stretch of time that is searched for the newest entries, and how much longer each
/// next one is.
constexpr milliseconds first_window{600000};
constexpr int window_growth = 8;

std::string line_of(const journal_entry& entry)
{
    std::string line = entry.part + " " + entry.action;
    if (!entry.rule.empty()) {
        line += " rule=" + entry.rule.str();
    }
    for (const journal_fact& each : entry.facts) {
        line += " " + each.name + "=" + each.value;
    }
    return line;
}

} // namespace

/// One reading of the newest entries under way.
struct table_journal::reading {
    std::size_t limit = 0;
    milliseconds window{first_window};
    wall_time now{};
    std::string after;
    std::deque<journal_entry> found;
    reading_callback done;
};

table_journal::table_journal(table_journal_options how) : m_options(std::move(how)) {}

table_journal::~table_journal()
{
    m_options.loop.cancel(m_write_timer);
    m_options.loop.cancel(m_trim_timer);
}

template<class Action>
auto table_journal::while_alive(Action run) const
{
    return [alive = std::weak_ptr<bool>(m_alive), run = std::move(run)](auto&&... results) {
        if (!alive.expired()) {
            run(std::forward<decltype(results)>(results)...);
        }
    };
}

void table_journal::start()
{
    m_trim_timer = m_options.loop.call_after(m_options.trim_period, [this] { trim(); });
}

void table_journal::record(journal_entry entry)
{
    journal_log.info(line_of(entry));
    enqueue(entry);
    m_recent.push_back(std::move(entry));
    if (m_recent.size() > m_options.max_recent) {
        m_recent.pop_front();
    }
    write_later(m_options.group_delay);
}

void table_journal::enqueue(const journal_entry& entry)
{
    // The rows of a group under way stay until its outcome is known.
    if (m_waiting.size() - m_group >= m_options.max_waiting) {
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(m_group));
        ++m_dropped;
    }
    // The incarnation parts the counts of two runs.
    m_waiting.push_back(
        {journal_key(entry, ++m_count) + "-" + std::to_string(m_options.incarnation),
         encode(entry)});
}

void table_journal::write_later(milliseconds delay)
{
    if (m_group != 0 || m_write_timer != timer_id::none || m_waiting.empty()) {
        return;
    }
    m_write_timer = m_options.loop.call_after(delay, [this] {
        m_write_timer = timer_id::none;
        write_group();
    });
}

void table_journal::write_group()
{
    const std::size_t count = std::min(m_options.max_group, m_waiting.size());
    table_transaction group;
    for (std::size_t at = 0; at < count; ++at) {
        group.writes.push_back({.key = m_waiting[at].key, .value = m_waiting[at].value});
    }
    m_group = count;
    m_options.rows.transact(std::move(group), while_alive([this](const transact_result& result) {
                                on_written(result.outcome);
                            }));
}

void table_journal::on_written(transact_outcome outcome)
{
    const std::size_t count = std::exchange(m_group, 0);
    if (outcome != transact_outcome::applied) {
        // Writing the same rows again is harmless, whatever became of the first try.
        write_later(m_options.retry_delay);
        return;
    }
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(count));
    // Earlier the report itself could make another entry be dropped.
    if (m_waiting.empty()) {
        report_dropped();
    }
    write_later(m_options.group_delay);
}

void table_journal::report_dropped()
{
    if (m_dropped == m_dropped_reported) {
        return;
    }
    const std::uint64_t dropped = m_dropped - m_dropped_reported;
    m_dropped_reported = m_dropped;
    record({.when = m_options.loop.wall_now(),
            .actor = m_options.self,
            .part = "journal",
            .action = "entries-dropped",
            .facts = {{"count", std::to_string(dropped)}}});
}

void table_journal::read_newest(std::size_t limit, reading_callback done)
{
    auto state = std::make_shared<reading>();
    state->limit = limit;
    state->now = m_options.loop.wall_now();
    state->done = std::move(done);
    scan_window(state);
}

void table_journal::scan_window(const std::shared_ptr<reading>& state)
{
    state->found.clear();
    state->after = journal_key_from(std::max(wall_time{}, state->now - state->window));
    on_page(state, std::nullopt);
}

void table_journal::on_page(const std::shared_ptr<reading>& state, const read_result& page)
{
    if (page) {
        for (const table_row& row : *page) {
            if (auto entry = decode_journal_entry(row.value)) {
                state->found.push_back(std::move(*entry));
            }
            if (state->found.size() > state->limit) {
                state->found.pop_front();
            }
        }
        if (page->size() < m_options.max_scan) {
            if (state->found.size() >= state->limit || state->window >= m_options.kept) {
                finish(*state, true);
                return;
            }
            state->window *= window_growth;
            scan_window(state);
            return;
        }
        state->after = page->back().key;
    }
    m_options.rows.scan(
        {.prefix = std::string(journal_prefix), .after = state->after, .limit = m_options.max_scan},
        while_alive([this, state](const read_result& next) {
            if (next) {
                on_page(state, next);
            }
            else {
                finish(*state, false);
            }
        }));
}

void table_journal::finish(reading& state, bool complete)
{
    journal_reading result{.complete = complete};
    if (complete) {
        result.entries.assign(state.found.begin(), state.found.end());
    }
    else {
        const std::size_t count = std::min(state.limit, m_recent.size());
        result.entries.assign(m_recent.end() - static_cast<std::ptrdiff_t>(count), m_recent.end());
    }
    state.done(std::move(result));
}

void table_journal::trim()
{
    m_options.rows.scan({.prefix = std::string(journal_prefix), .limit = m_options.max_trimmed},
                        while_alive([this](const read_result& page) { on_trim_page(page); }));
}

void table_journal::on_trim_page(const read_result& page)
{
    const std::string oldest =
        journal_key_from(std::max(wall_time{}, m_options.loop.wall_now() - m_options.kept));
    table_transaction deletes;
    for (const table_row& row : page ? *page : std::vector<table_row>{}) {
        if (row.key < oldest) {
            deletes.writes.push_back({.key = row.key});
        }
    }
    const bool more = deletes.writes.size() == m_options.max_trimmed;
    if (!deletes.writes.empty()) {
        m_options.rows.transact(std::move(deletes), [](const transact_result&) {});
    }
    m_trim_timer = m_options.loop.call_after(more ? m_options.retry_delay : m_options.trim_period,
                                             [this] { trim(); });
}

} // namespace plantaindoor::process
