// The targets of one pool as an entry routes to them: sums and lists that make a choice's cost
// independent of the pool's size.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/slot_shares.hpp"
#include "plantaindoor/request/target_health.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantaindoor::request {

/// Position of a target in the router's store.
using target_index = std::uint32_t;

/// Lists of targets with a free slot, in the order of preference.
enum class target_tier : std::uint8_t { near, far, suspect, none };
inline constexpr std::size_t tier_count = 3;

struct target_state {
    instance_id id;
    rack_id rack;
    availability_zone_id zone;
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t connections = 64;
    version::version_number state_version = 0;
    slot_place place;
    std::size_t pool = 0;
    /// Whether it is counted in its pool; false once the plan doesn't name it any more.
    bool listed = false;
    bool near = false;
    bool admitted = false;
    bool leaving = false;
    /// Failing or slow, but needed for a service's budget.
    bool suspect = false;
    bool ejected = false;
    /// Ejected for being slow, so that a probe puts its request at little risk.
    bool ejected_slow = false;
    bool probing = false;
    std::uint32_t share = 0;
    std::uint32_t in_progress = 0;
    /// Ejections in a row, and answers since the last one.
    std::uint32_t ejections = 0;
    std::uint32_t answers = 0;
    time_point probe_due{};
    target_health health;
    target_tier tier = target_tier::none;
    std::size_t tier_position = 0;

    [[nodiscard]] bool usable() const { return admitted && !leaving && !ejected; }
    [[nodiscard]] bool healthy() const { return usable() && !suspect; }
};

/// In use and in all, of some targets' slots.
struct slot_load {
    std::uint64_t in_use = 0;
    std::uint64_t slots = 0;
};

/// Not synchronised. The targets live in the router's store, which every call is given.
class target_pool {
public:
    using store = std::vector<target_state>;

    explicit target_pool(pool_id id) : m_id(std::move(id)) {}

    [[nodiscard]] const pool_id& id() const { return m_id; }
    /// Counts a target in and lists it; each target is in at most once.
    void add(store& targets, target_index index);
    /// Counts it out. Whatever decides on usable() or healthy() may change only while it is out.
    void remove(store& targets, target_index index);
    /// Changes the target's share and requests in progress.
    void set_load(store& targets, target_index index, std::uint32_t share,
                  std::uint32_t in_progress);

    [[nodiscard]] const std::vector<target_index>& tier(target_tier which) const
    {
        return m_tiers.at(static_cast<std::size_t>(which));
    }
    [[nodiscard]] const slot_load& near_load() const { return m_near; }
    [[nodiscard]] const slot_load& far_load() const { return m_far; }
    /// Slots that this entry may use at usable targets, and those of them that are free.
    [[nodiscard]] std::uint64_t slots() const { return m_slots; }
    [[nodiscard]] std::uint64_t free_slots() const { return m_free; }
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] std::size_t admitted() const { return m_usable + m_probes.size() + m_probing; }
    [[nodiscard]] std::size_t usable() const { return m_usable; }
    [[nodiscard]] std::size_t healthy() const { return m_healthy; }
    [[nodiscard]] std::size_t usable_in(const rack_id& rack) const;
    [[nodiscard]] const std::unordered_map<rack_id, std::size_t>& usable_by_rack() const
    {
        return m_by_rack;
    }
    [[nodiscard]] const std::unordered_map<availability_zone_id, std::size_t>&
    usable_by_zone() const
    {
        return m_by_zone;
    }
    /// Ejected targets that are not being probed, by the time when a probe is due.
    [[nodiscard]] const std::set<std::pair<time_point, target_index>>& probes() const
    {
        return m_probes;
    }
    [[nodiscard]] std::size_t probing() const { return m_probing; }

private:
    [[nodiscard]] std::uint32_t limit(const target_state& target) const;
    void count_load(store& targets, target_index index);
    void uncount_load(store& targets, target_index index);
    void set_healthy(store& targets, std::size_t healthy);

    pool_id m_id;
    std::array<std::vector<target_index>, tier_count> m_tiers;
    std::set<target_index> m_suspects;
    std::set<std::pair<time_point, target_index>> m_probes;
    std::unordered_map<rack_id, std::size_t> m_by_rack;
    std::unordered_map<availability_zone_id, std::size_t> m_by_zone;
    slot_load m_near;
    slot_load m_far;
    std::uint64_t m_slots = 0;
    std::uint64_t m_free = 0;
    std::size_t m_size = 0;
    std::size_t m_usable = 0;
    std::size_t m_healthy = 0;
    std::size_t m_probing = 0;
};

} // namespace plantaindoor::request
