#include "plantaindoor/request/claim_batcher.hpp"

#include "plantaindoor/request/claim_refusals.hpp"

#include <algorithm>

namespace plantaindoor::request {

namespace {

constexpr std::size_t claim_shares_of_rate = 2;

std::size_t bytes_of(const recorded_answer& answer)
{
    std::size_t bytes = answer.body.size();
    for (const answer_header& each : answer.headers) {
        bytes += each.name.size() + each.value.size();
    }
    return bytes;
}

} // namespace

claim_batcher::claim_batcher(claim_options options)
    : m_options(std::move(options)),
      m_pace(m_options.transactions_per_second),
      m_transaction_rate(m_options.transactions_per_second, m_options.transaction_burst),
      m_row_rate(m_options.rows_per_second, static_cast<double>(2 * m_options.max_group)),
      m_health(m_options.health)
{
}

void claim_batcher::share_rate(std::size_t entries)
{
    m_pace = std::min(m_options.transactions_per_second,
                      m_options.shared_transactions_per_second / static_cast<double>(entries));
    m_transaction_rate.set_per_second(m_pace);
}

claim_ticket claim_batcher::add(claim_request request, moment now)
{
    const claim_ticket ticket{++m_last_ticket};
    if (const auto holder = m_by_key.find(request.row_key); holder != m_by_key.end()) {
        judge_local(
            {.ticket = ticket, .row_key = request.row_key, .request_hash = request.request_hash},
            m_items.at(holder->second), now);
        return ticket;
    }
    if (auto why = refusal_on_arrival(request, now)) {
        refuse(ticket, std::move(why));
        return ticket;
    }
    item made{.ticket = ticket,
              .key = std::move(request.row_key),
              .priority = request.priority,
              .record = {.owner = m_options.owner_prefix + "/" + std::to_string(m_last_ticket),
                         .request_hash = std::move(request.request_hash),
                         .ends_by = request.ends_by,
                         .written = now.wall},
              .give_up_at = request.give_up_at};
    m_by_key.emplace(made.key, ticket);
    m_give_up.emplace(made.give_up_at, ticket);
    item& placed = m_items.emplace(ticket, std::move(made)).first->second;
    enqueue(placed, now);
    return ticket;
}

std::shared_ptr<const refusal> claim_batcher::refusal_on_arrival(const claim_request& request,
                                                                 moment now)
{
    const bool being_probed = !m_transactions.empty() || !m_reads.empty();
    if (m_health.outage() && (being_probed || !m_health.may_try(now.steady))) {
        return std::make_shared<claims_unavailable_refusal>("the table does not answer",
                                                            until_retry(now), claim_left::none);
    }
    const milliseconds wait = std::max(milliseconds(1), wait_for(request.priority));
    if (now.steady + (2 * wait) > request.give_up_at) {
        return std::make_shared<claims_unavailable_refusal>("too many claims wait", wait,
                                                            claim_left::none);
    }
    if (m_queue.claims() < m_options.max_waiting) {
        return nullptr;
    }
    const auto lower = m_queue.newest_below(request.priority);
    if (!lower) {
        return std::make_shared<claims_unavailable_refusal>("too many claims wait", wait,
                                                            claim_left::none);
    }
    give_up(m_items.at(*lower), "claims of a higher priority wait",
            wait_for(version::priority::background));
    return nullptr;
}

milliseconds claim_batcher::wait_for(version::priority priority) const
{
    const double rows =
        std::min(m_options.rows_per_second, m_pace * static_cast<double>(m_options.max_group));
    const double ahead =
        static_cast<double>(m_queue.claims_down_to(priority) * claim_shares_of_rate);
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(ahead / rows));
}

milliseconds claim_batcher::until_retry(moment now) const
{
    const nanoseconds left = m_health.retry_at() - now.steady;
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(left));
}

void claim_batcher::refuse(claim_ticket ticket, std::shared_ptr<const refusal> why)
{
    ++m_counts.refused;
    m_verdicts.push_back(
        {.ticket = ticket, .decision = claim_decision::refused, .why = std::move(why)});
}

void claim_batcher::judge(const repeat& request, const claim_record& row, moment now)
{
    m_verdicts.push_back(judge_repeat(request, row, now.wall, m_options.resolve_grace));
    const bool replayed = m_verdicts.back().decision == claim_decision::replay;
    ++(replayed ? m_counts.replayed : m_counts.refused);
    const bool unknown = !replayed && m_verdicts.back().why->told() == outcome::unknown;
    m_counts.unknown += unknown ? 1 : 0;
}

void claim_batcher::judge_local(const repeat& request, const item& holder, moment now)
{
    claim_record row = holder.record;
    const bool undecided = holder.at == stage::claiming || holder.at == stage::abandoned;
    if (undecided) {
        // The table may hold another request's row for this key.
        row.request_hash = request.request_hash;
    }
    // A release counts once it is in the table: until then the key may not be claimed again.
    if (undecided || row.state == claim_state::released) {
        row.state = claim_state::claimed;
        row.ends_by = std::max(row.ends_by, now.wall);
    }
    judge(request, row, now);
}

void claim_batcher::give_up(item& each, const std::string& reason, milliseconds retry_after)
{
    const bool may_exist = each.in_flight || each.maybe_written;
    refuse(each.ticket,
           std::make_shared<claims_unavailable_refusal>(
               reason, retry_after, may_exist ? claim_left::pending : claim_left::none));
    m_queue.remove(each.ticket);
    m_give_up.erase({each.give_up_at, each.ticket});
    each.at = stage::abandoned;
    if (!may_exist) {
        erase(each);
    }
}

void claim_batcher::give_up_all(moment now)
{
    while (!m_give_up.empty()) {
        give_up(m_items.at(m_give_up.begin()->second), "the table does not answer",
                until_retry(now));
    }
}

void claim_batcher::expire(moment now)
{
    while (!m_give_up.empty() && m_give_up.begin()->first <= now.steady) {
        give_up(m_items.at(m_give_up.begin()->second), "the table did not answer in time",
                std::max(milliseconds(1), wait_for(version::priority::background)));
    }
}

void claim_batcher::enqueue(item& each, moment now)
{
    if (each.at == stage::claiming) {
        m_queue.add_claim(each.priority, each.ticket);
    }
    else {
        m_queue.add_end(each.ticket, now.steady);
    }
}

void claim_batcher::erase(item& each)
{
    if (each.at == stage::closing) {
        --m_unrecorded;
        m_unrecorded_bytes -= bytes_of(each.record.answer);
    }
    m_queue.remove(each.ticket);
    m_give_up.erase({each.give_up_at, each.ticket});
    m_by_key.erase(each.key);
    m_items.erase(each.ticket);
}

void claim_batcher::finish(claim_ticket ticket, claim_end end, moment now)
{
    const auto found = m_items.find(ticket);
    if (found != m_items.end() && found->second.at == stage::held) {
        close(found->second, std::move(end), now);
    }
}

void claim_batcher::close(item& each, claim_end end, moment now)
{
    if (m_unrecorded >= m_options.max_unrecorded) {
        ++m_counts.forgotten;
        erase(each);
        return;
    }
    const std::size_t bytes = bytes_of(end.answer);
    end.answer.kept = bytes <= m_options.max_answer_bytes &&
                      m_unrecorded_bytes + bytes <= m_options.max_unrecorded_bytes;
    if (!end.answer.kept) {
        end.answer.headers.clear();
        end.answer.body.clear();
    }
    each.record.state = end.state;
    each.record.answer = std::move(end.answer);
    each.record.written = now.wall;
    each.at = stage::closing;
    ++m_unrecorded;
    m_unrecorded_bytes += bytes_of(each.record.answer);
    enqueue(each, now);
}

claim_actions claim_batcher::step(moment now)
{
    expire(now);
    claim_actions actions;
    if (m_health.may_try(now.steady)) {
        start_read(now, actions);
        start_transactions(now, actions);
    }
    actions.verdicts = std::move(m_verdicts);
    m_verdicts.clear();
    actions.wake = next_wake(now);
    return actions;
}

bool claim_batcher::worth_a_transaction(moment now) const
{
    if (m_queue.claims() > 0 || m_queue.ends() >= m_options.max_group) {
        return true;
    }
    return m_queue.ends() > 0 && now.steady >= m_queue.ends_since() + m_options.record_delay;
}

void claim_batcher::start_transactions(moment now, claim_actions& actions)
{
    while (worth_a_transaction(now) && m_transactions.size() < m_options.max_in_flight) {
        const double rows = m_row_rate.available(now.steady);
        if (m_transaction_rate.available(now.steady) < 1 || rows < 1) {
            return;
        }
        const std::size_t room = std::min(m_options.max_group, static_cast<std::size_t>(rows));
        start_transaction(m_queue.take(room, now.steady), now, actions);
    }
}

void claim_batcher::start_transaction(const group& members, moment now, claim_actions& actions)
{
    claim_transaction made{.id = ++m_last_call};
    for (const claim_ticket ticket : members) {
        item& each = m_items.at(ticket);
        each.in_flight = true;
        each.record.written = now.wall;
        made.rows.conditions.push_back({.key = each.key, .version = each.expected});
        made.rows.writes.push_back({.key = each.key, .value = encode(each.record)});
    }
    m_transaction_rate.take(1);
    m_row_rate.take(static_cast<double>(members.size()));
    ++m_counts.transactions;
    m_counts.rows += members.size();
    m_transactions.emplace(made.id, members);
    actions.transactions.push_back(std::move(made));
}

void claim_batcher::start_read(moment /*now*/, claim_actions& actions)
{
    while (!m_to_read.empty() && m_reads.size() < m_options.max_in_flight) {
        claim_read made{.id = ++m_last_call};
        group members;
        while (!m_to_read.empty() && members.size() < m_options.max_group) {
            item& each = m_items.at(m_to_read.front());
            m_to_read.pop_front();
            each.in_flight = true;
            made.keys.push_back(each.key);
            members.push_back(each.ticket);
        }
        ++m_counts.reads;
        m_reads.emplace(made.id, std::move(members));
        actions.reads.push_back(std::move(made));
    }
}

std::optional<time_point> claim_batcher::next_wake(moment now) const
{
    std::optional<time_point> wake;
    const auto consider = [&wake](time_point at) { wake = wake ? std::min(*wake, at) : at; };
    if (!m_give_up.empty()) {
        consider(m_give_up.begin()->first);
    }
    const bool waiting = m_queue.claims() + m_queue.ends() + m_to_read.size() > 0;
    if (waiting && !m_health.may_try(now.steady)) {
        consider(m_health.retry_at());
        return wake;
    }
    if (m_transactions.size() >= m_options.max_in_flight) {
        return wake;
    }
    if (worth_a_transaction(now)) {
        consider(std::max(m_transaction_rate.next(), m_row_rate.next()));
    }
    else if (m_queue.ends() > 0) {
        consider(m_queue.ends_since() + m_options.record_delay);
    }
    return wake;
}

} // namespace plantaindoor::request
