// What claim_batcher learns from the table's replies.
#include "plantaindoor/request/claim_batcher.hpp"
#include "plantaindoor/request/claim_refusals.hpp"

#include <algorithm>

namespace plantaindoor::request {

namespace {

const table_row* find_row(const std::vector<table_row>& rows, const std::string& key)
{
    const auto found = std::ranges::find(rows, key, &table_row::key);
    return found == rows.end() ? nullptr : &*found;
}

row_version version_of(const table_row* row)
{
    return row == nullptr ? absent_row : row->version;
}

/// Nothing for a row that another writer spoilt.
std::optional<claim_record> decoded(const table_row& row)
{
    try {
        return decode_claim(row.value);
    }
    catch (const claim_decode_error&) {
        return std::nullopt;
    }
}

} // namespace

claim_batcher::group claim_batcher::take_call(std::unordered_map<std::uint64_t, group>& calls,
                                              std::uint64_t id)
{
    auto found = calls.extract(id);
    if (found.empty()) {
        return {};
    }
    for (const claim_ticket ticket : found.mapped()) {
        m_items.at(ticket).in_flight = false;
    }
    return std::move(found.mapped());
}

void claim_batcher::transacted(std::uint64_t id, const transact_result& result, moment now)
{
    const group members = take_call(m_transactions, id);
    if (result.outcome == transact_outcome::applied ||
        result.outcome == transact_outcome::conflict) {
        m_health.recovered();
    }
    else {
        m_health.failed(now.steady);
    }
    for (const claim_ticket ticket : members) {
        item& each = m_items.at(ticket);
        switch (result.outcome) {
        case transact_outcome::applied:
            applied(each, result.version, now);
            break;
        case transact_outcome::conflict:
            seen(each, find_row(result.present, each.key), now);
            break;
        case transact_outcome::unknown:
            each.maybe_written = true;
            read_later(each);
            break;
        case transact_outcome::unavailable:
            if (each.at == stage::abandoned) {
                erase(each);
            }
            else {
                enqueue(each, now);
            }
            break;
        }
    }
    if (m_health.outage()) {
        give_up_all(now);
    }
}

void claim_batcher::read_back(std::uint64_t id, const read_result& result, moment now)
{
    const group members = take_call(m_reads, id);
    if (result) {
        m_health.recovered();
    }
    else {
        m_health.failed(now.steady);
    }
    for (const claim_ticket ticket : members) {
        item& each = m_items.at(ticket);
        if (result) {
            seen(each, find_row(*result, each.key), now);
        }
        else {
            read_later(each);
        }
    }
    if (m_health.outage()) {
        give_up_all(now);
    }
}

void claim_batcher::applied(item& each, row_version version, moment now)
{
    if (each.at == stage::closing) {
        ++m_counts.recorded;
        erase(each);
        return;
    }
    owned(each, version, now);
}

void claim_batcher::seen(item& each, const table_row* row, moment now)
{
    each.maybe_written = false;
    if (each.at == stage::closing) {
        seen_while_closing(each, row, now);
    }
    else {
        seen_while_claiming(each, row, now);
    }
}

void claim_batcher::seen_while_claiming(item& each, const table_row* row, moment now)
{
    if (row == nullptr) {
        each.expected = absent_row;
        if (each.at == stage::abandoned) {
            erase(each);
            return;
        }
        enqueue(each, now);
        return;
    }
    const auto found = decoded(*row);
    if (found && found->owner == each.record.owner) {
        owned(each, row->version, now);
        return;
    }
    if (each.at == stage::abandoned) {
        erase(each);
        return;
    }
    if (!found) {
        refuse(each.ticket, std::make_shared<key_outcome_unknown_refusal>(each.key));
        erase(each);
        return;
    }
    if (found->state == claim_state::released && found->request_hash == each.record.request_hash) {
        each.expected = row->version;
        enqueue(each, now);
        return;
    }
    judge({.ticket = each.ticket, .row_key = each.key, .request_hash = each.record.request_hash},
          *found, now);
    erase(each);
}

void claim_batcher::seen_while_closing(item& each, const table_row* row, moment now)
{
    const auto found = row == nullptr ? std::nullopt : decoded(*row);
    const bool unchanged = version_of(row) == each.expected;
    const bool still_own =
        found && found->owner == each.record.owner && found->state == claim_state::claimed;
    if (unchanged || still_own) {
        each.expected = version_of(row);
        enqueue(each, now);
        return;
    }
    ++m_counts.recorded;
    erase(each);
}

void claim_batcher::owned(item& each, row_version version, moment now)
{
    each.expected = version;
    each.maybe_written = false;
    if (each.at == stage::claiming && now.steady >= each.give_up_at) {
        each.maybe_written = true;
        give_up(each, "the table did not answer in time", milliseconds(1));
    }
    if (each.at == stage::abandoned) {
        close(each, {.state = claim_state::released}, now);
        return;
    }
    each.at = stage::held;
    m_give_up.erase({each.give_up_at, each.ticket});
    ++m_counts.granted;
    m_verdicts.push_back({.ticket = each.ticket, .decision = claim_decision::granted});
}

void claim_batcher::read_later(item& each)
{
    m_to_read.push_back(each.ticket);
}

} // namespace plantaindoor::request
