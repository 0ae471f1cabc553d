// How much of a pool's slots callers who wait for their answer take, over all entries.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/demand.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace plantaindoor::request {

/// Built from the entries' reports; one that was not renewed for the lifetime counts no more.
/// Services of the background class are left out. Pure; not synchronised.
class interactive_load {
public:
    explicit interactive_load(milliseconds lifetime = milliseconds(2000)) : m_lifetime(lifetime) {}

    /// Takes a new version; its slots are counted once, not at each question.
    void update(version::fleet_ptr whole);
    /// Takes what this entry has just reported to the others.
    void reported(std::vector<service_demand> own, time_point now);
    /// Takes a peer's report; an older one than the last of its sender changes nothing.
    void hear(const demand_report& report, time_point now);
    /// Demand divided by the slots of the pool's admitted instances: above 1 where requests wait.
    /// A service of several pools asks of each in the proportion of their slots. Zero without
    /// slots.
    [[nodiscard]] double of(const pool_id& pool, time_point now) const;

private:
    struct heard {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point at{};
        std::vector<service_demand> services;
    };

    [[nodiscard]] std::map<service_id, double> demand(time_point now) const;

    milliseconds m_lifetime;
    version::fleet_ptr m_fleet = std::make_shared<const version::fleet>();
    /// Of the admitted instances.
    std::map<pool_id, std::uint32_t> m_slots;
    heard m_own;
    std::map<entry_id, heard> m_peers;
};

} // namespace plantaindoor::request
