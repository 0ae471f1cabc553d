#include "plantaindoor/request/slot_shares.hpp"

#include "share_parts.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantaindoor::request {

namespace {

/// The least that an entry keeps, as a part of an equal one.
constexpr double least_part = 0.1;
class fixed_shares : public slot_shares {
public:
    explicit fixed_shares(const share_options& options) : m_ring(options.self) {}

    void update(const version::fleet& fleet, time_point /*now*/) override
    {
        m_offers = offers_of(fleet);
        m_changed = true;
    }
    void set_entries(const std::vector<entry_id>& live, time_point /*now*/) override
    {
        m_changed = m_ring.assign(live) || m_changed;
    }
    void reported(const std::vector<service_demand>& /*own*/, time_point /*now*/) override {}
    void hear(const demand_report& /*report*/, time_point /*now*/) override {}
    void taken(const instance_id& /*target*/, time_point /*now*/) override {}
    void refused(const instance_id& /*target*/, time_point /*now*/) override {}
    bool refresh(time_point /*now*/) override { return std::exchange(m_changed, false); }
    [[nodiscard]] std::uint32_t limit(const slot_place& place) const override
    {
        const auto offer = m_offers.find(place.pool);
        if (offer == m_offers.end()) {
            return 0;
        }
        const std::vector<double> equal(m_ring.size(), 0.0);
        const auto parts = split_slots(offer->second.positions(), equal);
        return slots_in_range(range_of(parts, m_ring.own_index()), place);
    }

private:
    entry_ring m_ring;
    pool_offers m_offers;
    bool m_changed = true;
};

class optimistic_shares : public slot_shares {
public:
    explicit optimistic_shares(const share_options& /*options*/) {}

    void update(const version::fleet& /*fleet*/, time_point /*now*/) override { m_changed = true; }
    void set_entries(const std::vector<entry_id>& /*live*/, time_point /*now*/) override {}
    void reported(const std::vector<service_demand>& /*own*/, time_point /*now*/) override {}
    void hear(const demand_report& /*report*/, time_point /*now*/) override {}
    void taken(const instance_id& target, time_point /*now*/) override
    {
        const auto found = m_caps.find(target);
        if (found == m_caps.end()) {
            return;
        }
        found->second += 1.0 / found->second;
        m_changed = true;
        if (found->second >= most_slots) {
            m_caps.erase(found);
        }
    }
    void refused(const instance_id& target, time_point /*now*/) override
    {
        const auto found = m_caps.try_emplace(target, double(most_slots)).first;
        found->second = std::max(1.0, found->second / 2);
        m_changed = true;
    }
    bool refresh(time_point /*now*/) override { return std::exchange(m_changed, false); }
    [[nodiscard]] std::uint32_t limit(const slot_place& place) const override
    {
        const auto found = m_caps.find(place.target);
        const double cap = found == m_caps.end() ? double(most_slots) : found->second;
        return std::min(place.slots, static_cast<std::uint32_t>(cap));
    }

private:
    static constexpr std::uint32_t most_slots = 8;

    std::unordered_map<instance_id, double> m_caps;
    bool m_changed = true;
};

} // namespace

std::uint32_t slots_in_range(const slot_range& range, const slot_place& place)
{
    // Positions of the target are index, index + targets, index + 2 * targets and so on.
    const auto below = [&place](std::uint64_t position) -> std::uint64_t {
        const std::uint64_t whole = position / place.targets;
        const std::uint64_t rest = position % place.targets;
        return std::min<std::uint64_t>(whole + (rest > place.index ? 1 : 0), place.slots);
    };
    return static_cast<std::uint32_t>(below(range.end) - below(range.begin));
}

std::vector<std::uint64_t> split_slots(std::uint64_t total, const std::vector<double>& demand)
{
    const std::size_t n = demand.size();
    const double equal = static_cast<double>(total) / static_cast<double>(n);
    std::vector<double> wanted;
    for (const double each : demand) {
        wanted.push_back(std::max(each, least_part * equal));
    }
    std::vector<double> sorted = wanted;
    std::ranges::sort(sorted);
    double left = static_cast<double>(total);
    double level = sorted.back();
    bool fits = true;
    for (std::size_t i = 0; i < n; ++i) {
        const double part = left / static_cast<double>(n - i);
        if (sorted[i] > part) {
            level = part;
            fits = false;
            break;
        }
        left -= sorted[i];
    }
    const double spare = fits ? left / static_cast<double>(n) : 0;
    std::vector<std::uint64_t> parts;
    double sum = 0;
    std::uint64_t given = 0;
    for (const double each : wanted) {
        sum += std::min(each, level) + spare;
        const auto end = std::min<std::uint64_t>(total, std::llround(sum));
        parts.push_back(end - given);
        given = end;
    }
    return parts;
}

std::unique_ptr<slot_shares> make_fixed_shares(const share_options& options)
{
    return std::make_unique<fixed_shares>(options);
}

std::unique_ptr<slot_shares> make_optimistic_shares(const share_options& options)
{
    return std::make_unique<optimistic_shares>(options);
}

} // namespace plantaindoor::request
