// What the entries have reported of their demand, and the demand for each pool that follows.
#pragma once

#include "plantaindoor/request/demand.hpp"
#include "share_parts.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace plantaindoor::request {

/// The newest report of each entry. Pure; not synchronised.
class demand_book {
public:
    explicit demand_book(milliseconds lifetime) : m_lifetime(lifetime) {}

    void update(const version::fleet& fleet, const pool_offers& offers);
    /// Returns false for a report that is older than one already heard.
    bool set(const demand_report& report, time_point now);
    /// Forgets entries that are no longer live.
    void keep(const entry_ring& ring);
    /// No value for an entry that was not heard within a report's lifetime.
    [[nodiscard]] std::optional<double> demand(const entry_id& entry, const pool_id& pool,
                                               time_point now) const;
    /// Which entries are known now; a change of it changes shares.
    [[nodiscard]] std::vector<bool> known(const entry_ring& ring, time_point now) const;

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
                                           const pool_offers& offers);
    [[nodiscard]] std::unordered_map<pool_id, double>
    by_pool(const std::vector<service_demand>& services) const;

    milliseconds m_lifetime;
    std::unordered_map<service_id, std::vector<pool_part>> m_parts;
    std::unordered_map<entry_id, known_demand> m_known;
};

} // namespace plantaindoor::request
