// What the strategies of sharing slots have in common: who shares, and what there is to share.
#pragma once

#include "plantaindoor/request/slot_shares.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantaindoor::request {

/// The live entries in order of id; all entries agree on the order.
class entry_ring {
public:
    explicit entry_ring(entry_id self) : m_self(std::move(self)), m_entries{m_self} {}

    /// Returns whether the set changed.
    bool assign(const std::vector<entry_id>& live)
    {
        std::vector<entry_id> next = live;
        next.push_back(m_self);
        std::ranges::sort(next);
        next.erase(std::unique(next.begin(), next.end()), next.end());
        const bool changed = next != m_entries;
        m_entries = std::move(next);
        return changed;
    }

    [[nodiscard]] const std::vector<entry_id>& entries() const { return m_entries; }
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    [[nodiscard]] bool contains(const entry_id& id) const
    {
        return std::ranges::binary_search(m_entries, id);
    }
    [[nodiscard]] std::size_t own_index() const
    {
        const auto found = std::ranges::lower_bound(m_entries, m_self);
        return static_cast<std::size_t>(found - m_entries.begin());
    }

private:
    entry_id m_self;
    std::vector<entry_id> m_entries;
};

/// The positions of the part with this index.
inline slot_range range_of(const std::vector<std::uint64_t>& parts, std::size_t index)
{
    const auto last = parts.begin() + static_cast<std::ptrdiff_t>(index);
    const std::uint64_t begin = std::accumulate(parts.begin(), last, std::uint64_t{0});
    return {begin, begin + parts[index]};
}

/// What a pool offers, and which services ask it for slots.
struct pool_offer {
    std::uint64_t targets = 0;
    std::uint32_t slots_each = 0;
    std::uint64_t slots = 0;

    /// Positions, counting those of targets with fewer slots than the pool's largest.
    [[nodiscard]] std::uint64_t positions() const { return targets * slots_each; }
};

using pool_offers = std::unordered_map<pool_id, pool_offer>;

inline pool_offers offers_of(const version::fleet& fleet)
{
    pool_offers offers;
    for (const auto& [id, instance] : fleet.instances) {
        pool_offer& offer = offers[instance.pool];
        ++offer.targets;
        offer.slots += instance.slots;
        offer.slots_each = std::max(offer.slots_each, instance.slots);
    }
    return offers;
}

} // namespace plantaindoor::request
