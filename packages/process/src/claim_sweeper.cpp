#include "plantaindoor/process/claim_sweeper.hpp"

#include "plantaindoor/request/claim_record.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace plantaindoor::process {

using nlohmann::json;

struct claim_sweeper::cursor {
    row_version version = absent_row;
    /// Last key that was swept; empty for the beginning.
    std::string after;
    /// When the next page is due.
    wall_time due{};
};

namespace {

std::string encode_cursor(const std::string& after, wall_time due)
{
    return json{{"after", after}, {"due", due.time_since_epoch().count()}}.dump();
}

} // namespace

claim_sweeper::claim_sweeper(event_loop& loop, table& rows, claim_sweeper_options options)
    : m_loop(loop), m_rows(rows), m_options(options), m_self(std::make_shared<claim_sweeper*>(this))
{
}

claim_sweeper::~claim_sweeper()
{
    m_loop.cancel(m_timer);
    *m_self = nullptr;
}

void claim_sweeper::start()
{
    later(m_options.page_period);
}

void claim_sweeper::later(nanoseconds wait)
{
    m_timer = m_loop.call_after(std::max<nanoseconds>(wait, m_options.page_period),
                                [this] { read_cursor(); });
}

void claim_sweeper::read_cursor()
{
    m_rows.read({std::string(sweep_cursor_key)}, [self = m_self](const read_result& found) {
        if (*self == nullptr) {
            return;
        }
        if (!found) {
            (*self)->later((*self)->m_options.page_period);
            return;
        }
        cursor from;
        if (!found->empty()) {
            from.version = found->front().version;
            // A row that can't be read starts the pass anew.
            const json in = json::parse(found->front().value, nullptr, false);
            if (in.is_object()) {
                from.after = in.value("after", "");
                from.due = wall_time(milliseconds(in.value("due", std::int64_t{0})));
            }
        }
        (*self)->scan_page(from);
    });
}

void claim_sweeper::scan_page(const cursor& from)
{
    const wall_time now = m_loop.wall_now();
    // A cursor from a clock that runs far ahead must not stop the sweep.
    if (from.due > now && from.due <= now + m_options.pass_period) {
        later(from.due - now);
        return;
    }
    m_rows.scan({.prefix = std::string(request::claim_prefix),
                 .after = from.after,
                 .limit = m_options.page_rows},
                [self = m_self, from](const read_result& page) {
                    if (*self == nullptr) {
                        return;
                    }
                    if (page) {
                        (*self)->sweep_page(from, *page);
                    }
                    else {
                        (*self)->later((*self)->m_options.page_period);
                    }
                });
}

bool claim_sweeper::expired(const table_row& row) const
{
    try {
        const auto record = request::decode_claim(row.value);
        return std::max(record.written, record.ends_by) + m_options.lifetime <= m_loop.wall_now();
    }
    catch (const request::claim_decode_error&) {
        return false;
    }
}

void claim_sweeper::sweep_page(const cursor& from, const std::vector<table_row>& page)
{
    const bool more = page.size() >= m_options.page_rows;
    const milliseconds wait = more ? m_options.page_period : m_options.pass_period;
    table_transaction sweep;
    for (const table_row& row : page) {
        if (expired(row)) {
            sweep.conditions.push_back({.key = row.key, .version = row.version});
            sweep.writes.push_back({.key = row.key});
        }
    }
    const std::size_t deletes = sweep.writes.size();
    const std::string cursor_key(sweep_cursor_key);
    sweep.conditions.push_back({.key = cursor_key, .version = from.version});
    sweep.writes.push_back(
        {.key = cursor_key,
         .value = encode_cursor(more ? page.back().key : "", m_loop.wall_now() + wait)});
    m_rows.transact(std::move(sweep), [self = m_self, deletes](const transact_result& result) {
        if (*self == nullptr) {
            return;
        }
        if (result.outcome == transact_outcome::applied) {
            ++(*self)->m_counts.pages;
            (*self)->m_counts.deleted += deletes;
        }
        (*self)->later((*self)->m_options.page_period);
    });
}

} // namespace plantaindoor::process
