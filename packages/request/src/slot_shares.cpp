#include "plantaindoor/request/slot_shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <utility>

namespace plantaindoor::request {

namespace {

/// The least that an entry keeps, as a part of an equal one.
constexpr double least_part = 0.1;
/// Known demand beyond this many times the slots leaves nothing to borrow.
constexpr double overload = 2;
/// How long a target that refused for want of a slot isn't asked beyond what it then held.
constexpr milliseconds refusal_memory{200};

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

slot_range range_of(const std::vector<std::uint64_t>& parts, std::size_t index)
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

std::unordered_map<pool_id, pool_offer> offers_of(const version::fleet& fleet)
{
    std::unordered_map<pool_id, pool_offer> offers;
    for (const auto& [id, instance] : fleet.instances) {
        pool_offer& offer = offers[instance.pool];
        ++offer.targets;
        offer.slots += instance.slots;
        offer.slots_each = std::max(offer.slots_each, instance.slots);
    }
    return offers;
}

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
    std::unordered_map<pool_id, pool_offer> m_offers;
    bool m_changed = true;
};

/// The newest report of each entry, and the demand for each pool that follows from it.
class demand_book {
public:
    explicit demand_book(milliseconds lifetime) : m_lifetime(lifetime) {}

    void update(const version::fleet& fleet, const std::unordered_map<pool_id, pool_offer>& offers)
    {
        m_parts.clear();
        for (const auto& [id, service] : fleet.services) {
            m_parts.emplace(id, parts_of(service, offers));
        }
        for (auto& [entry, known] : m_known) {
            known.by_pool = by_pool(known.services);
        }
    }

    /// Returns false for a report that is older than one already heard.
    bool set(const demand_report& report, time_point now)
    {
        known_demand& known = m_known[report.entry];
        const auto order = std::pair(report.incarnation, report.sequence);
        const bool same_life = known.incarnation == report.incarnation;
        if (same_life && order <= std::pair(known.incarnation, known.sequence)) {
            return false;
        }
        known.incarnation = report.incarnation;
        known.sequence = report.sequence;
        known.heard = now;
        known.services = report.services;
        known.by_pool = by_pool(report.services);
        return true;
    }

    /// Forgets entries that are no longer live.
    void keep(const entry_ring& ring)
    {
        std::erase_if(m_known, [&](const auto& item) { return !ring.contains(item.first); });
    }

    /// No value for an entry that was not heard within a report's lifetime.
    [[nodiscard]] std::optional<double> demand(const entry_id& entry, const pool_id& pool,
                                               time_point now) const
    {
        const auto known = m_known.find(entry);
        if (known == m_known.end() || now - known->second.heard > m_lifetime) {
            return std::nullopt;
        }
        const auto found = known->second.by_pool.find(pool);
        return found == known->second.by_pool.end() ? 0.0 : found->second;
    }

    /// Which entries are known now; a change of it changes shares.
    [[nodiscard]] std::vector<bool> known(const entry_ring& ring, time_point now) const
    {
        std::vector<bool> result;
        for (const entry_id& entry : ring.entries()) {
            const auto found = m_known.find(entry);
            result.push_back(found != m_known.end() && now - found->second.heard <= m_lifetime);
        }
        return result;
    }

private:
    struct pool_part {
        pool_id pool;
        double part = 0;
    };
    struct known_demand {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard{};
        std::vector<service_demand> services;
        std::unordered_map<pool_id, double> by_pool;
    };

    static std::vector<pool_part> parts_of(const version::service& service,
                                           const std::unordered_map<pool_id, pool_offer>& offers)
    {
        std::vector<pool_part> parts;
        double slots = 0;
        for (const pool_id& pool : service.pools) {
            const auto offer = offers.find(pool);
            if (offer != offers.end()) {
                parts.push_back({pool, static_cast<double>(offer->second.slots)});
                slots += parts.back().part;
            }
        }
        for (pool_part& each : parts) {
            each.part /= std::max(slots, 1.0);
        }
        return parts;
    }

    [[nodiscard]] std::unordered_map<pool_id, double>
    by_pool(const std::vector<service_demand>& services) const
    {
        std::unordered_map<pool_id, double> result;
        for (const service_demand& each : services) {
            const auto parts = m_parts.find(each.service);
            if (parts == m_parts.end()) {
                continue;
            }
            for (const pool_part& part : parts->second) {
                result[part.pool] += part.part * (double(each.in_progress) + each.waiting);
            }
        }
        return result;
    }

    milliseconds m_lifetime;
    std::unordered_map<service_id, std::vector<pool_part>> m_parts;
    std::unordered_map<entry_id, known_demand> m_known;
};

class demand_shares : public slot_shares {
public:
    explicit demand_shares(const share_options& options)
        : m_self(options.self), m_ring(options.self), m_book(options.report_lifetime)
    {
    }

    void update(const version::fleet& fleet, time_point now) override
    {
        m_offers = offers_of(fleet);
        m_book.update(fleet, m_offers);
        recompute(now);
    }
    void set_entries(const std::vector<entry_id>& live, time_point now) override
    {
        if (m_ring.assign(live)) {
            m_book.keep(m_ring);
            recompute(now);
        }
    }
    void reported(const std::vector<service_demand>& own, time_point now) override
    {
        m_book.set({.entry = m_self, .sequence = ++m_own_sequence, .services = own}, now);
        m_stale = true;
    }
    void hear(const demand_report& report, time_point now) override
    {
        const bool news = m_ring.contains(report.entry) && report.entry != m_self;
        m_stale = (news && m_book.set(report, now)) || m_stale;
    }
    void taken(const instance_id& /*target*/, time_point /*now*/) override {}
    void refused(const instance_id& /*target*/, time_point /*now*/) override {}
    bool refresh(time_point now) override
    {
        if (m_stale || m_book.known(m_ring, now) != m_known) {
            recompute(now);
        }
        return std::exchange(m_changed, false);
    }
    [[nodiscard]] std::uint32_t limit(const slot_place& place) const override
    {
        const auto share = m_shares.find(place.pool);
        return share == m_shares.end() ? 0 : slots_in_range(share->second.range, place);
    }

protected:
    /// Whether the demand that is known of is far beyond the pool's slots.
    [[nodiscard]] bool overloaded(const pool_id& pool) const
    {
        const auto share = m_shares.find(pool);
        return share != m_shares.end() && share->second.overloaded;
    }

private:
    struct pool_share {
        slot_range range;
        bool overloaded = false;

        friend bool operator==(const pool_share&, const pool_share&) = default;
    };

    void recompute(time_point now)
    {
        m_stale = false;
        m_known = m_book.known(m_ring, now);
        std::unordered_map<pool_id, pool_share> next;
        for (const auto& [pool, offer] : m_offers) {
            next.emplace(pool, share_in(pool, offer, now));
        }
        m_changed = m_changed || next != m_shares;
        m_shares = std::move(next);
    }

    [[nodiscard]] pool_share share_in(const pool_id& pool, const pool_offer& offer,
                                      time_point now) const
    {
        const auto positions = offer.positions();
        const double equal = static_cast<double>(positions) / static_cast<double>(m_ring.size());
        std::vector<double> demand;
        double known = 0;
        for (const entry_id& entry : m_ring.entries()) {
            const auto reported = m_book.demand(entry, pool, now);
            known += reported.value_or(0);
            demand.push_back(reported.value_or(equal));
        }
        return {.range = range_of(split_slots(positions, demand), m_ring.own_index()),
                .overloaded = known > overload * static_cast<double>(offer.slots)};
    }

    entry_id m_self;
    entry_ring m_ring;
    demand_book m_book;
    std::unordered_map<pool_id, pool_offer> m_offers;
    std::unordered_map<pool_id, pool_share> m_shares;
    std::vector<bool> m_known;
    std::uint64_t m_own_sequence = 0;
    bool m_stale = false;
    bool m_changed = true;
};

/// Targets that lately refused for want of a slot.
class refusal_record {
public:
    void add(const instance_id& target, time_point now)
    {
        m_until[target] = now + refusal_memory;
        m_changed = true;
    }
    bool refresh(time_point now)
    {
        const auto removed =
            std::erase_if(m_until, [now](const auto& item) { return item.second <= now; });
        return std::exchange(m_changed, false) || removed > 0;
    }
    [[nodiscard]] bool contains(const instance_id& target) const
    {
        return m_until.contains(target);
    }

private:
    std::unordered_map<instance_id, time_point> m_until;
    bool m_changed = false;
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

class borrowing_shares : public demand_shares {
public:
    using demand_shares::demand_shares;

    void refused(const instance_id& target, time_point now) override
    {
        m_refusals.add(target, now);
    }
    bool refresh(time_point now) override
    {
        const bool refusals_changed = m_refusals.refresh(now);
        return demand_shares::refresh(now) || refusals_changed;
    }
    [[nodiscard]] std::uint32_t limit(const slot_place& place) const override
    {
        const std::uint32_t own = demand_shares::limit(place);
        const bool may_borrow =
            own < place.slots && !overloaded(place.pool) && !m_refusals.contains(place.target);
        return own + (may_borrow ? 1U : 0U);
    }

private:
    refusal_record m_refusals;
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

std::unique_ptr<slot_shares> make_demand_shares(const share_options& options)
{
    return std::make_unique<demand_shares>(options);
}

std::unique_ptr<slot_shares> make_optimistic_shares(const share_options& options)
{
    return std::make_unique<optimistic_shares>(options);
}

std::unique_ptr<slot_shares> make_borrowing_shares(const share_options& options)
{
    return std::make_unique<borrowing_shares>(options);
}

} // namespace plantaindoor::request
