#include "plantaindoor/request/claim_queue.hpp"

#include <algorithm>

namespace plantaindoor::request {

namespace {

void move_oldest(std::set<claim_ticket>& from, std::size_t most, std::vector<claim_ticket>& to)
{
    while (most > 0 && !from.empty()) {
        to.push_back(*from.begin());
        from.erase(from.begin());
        --most;
    }
}

std::size_t index_of(version::priority priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

void claim_queue::add_claim(version::priority priority, claim_ticket ticket)
{
    m_claims.at(index_of(priority)).insert(ticket);
}

void claim_queue::add_end(claim_ticket ticket, time_point now)
{
    if (m_ends.empty()) {
        m_ends_since = now;
    }
    m_ends.insert(ticket);
}

void claim_queue::remove(claim_ticket ticket)
{
    for (auto& claims : m_claims) {
        claims.erase(ticket);
    }
    m_ends.erase(ticket);
}

std::vector<claim_ticket> claim_queue::take(std::size_t room, time_point now)
{
    std::vector<claim_ticket> taken;
    m_odd_row_for_ends = !m_odd_row_for_ends;
    const std::size_t half = (room + (m_odd_row_for_ends ? 1 : 0)) / 2;
    const std::size_t left_by_claims = room - std::min(room, claims());
    const std::size_t for_ends = std::min(ends(), std::max(half, left_by_claims));
    const std::size_t for_claims = room - for_ends;
    for (auto& claims : m_claims) {
        move_oldest(claims, for_claims - taken.size(), taken);
    }
    move_oldest(m_ends, for_ends, taken);
    m_ends_since = now;
    return taken;
}

std::size_t claim_queue::claims() const
{
    return claims_down_to(version::priority::background);
}

std::size_t claim_queue::claims_down_to(version::priority priority) const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index <= index_of(priority); ++index) {
        count += m_claims.at(index).size();
    }
    return count;
}

std::optional<claim_ticket> claim_queue::newest_below(version::priority priority) const
{
    for (std::size_t index = priorities - 1; index > index_of(priority); --index) {
        if (const auto& claims = m_claims.at(index); !claims.empty()) {
            return *claims.rbegin();
        }
    }
    return std::nullopt;
}

} // namespace plantaindoor::request
