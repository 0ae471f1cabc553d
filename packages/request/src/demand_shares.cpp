#include "demand_book.hpp"
#include "plantaindoor/request/slot_shares.hpp"

#include <unordered_map>
#include <utility>

namespace plantaindoor::request {

namespace {

/// Known demand beyond this many times the slots leaves nothing to borrow.
constexpr double overload = 2;
/// How long a target that refused for want of a slot isn't asked beyond what it then held.
constexpr milliseconds refusal_memory{200};

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
    pool_offers m_offers;
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

std::unique_ptr<slot_shares> make_demand_shares(const share_options& options)
{
    return std::make_unique<demand_shares>(options);
}

std::unique_ptr<slot_shares> make_borrowing_shares(const share_options& options)
{
    return std::make_unique<borrowing_shares>(options);
}

} // namespace plantaindoor::request
