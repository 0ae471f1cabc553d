// How entries that don't see one another's requests share the slots of the targets: one interface,
// several strategies. docs/design/slots.md compares them.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/demand.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace plantaindoor::request {

/// A target's place among the instances of its pool in order of id.
struct slot_place {
    instance_id target;
    pool_id pool;
    std::uint32_t index = 0;
    std::uint32_t targets = 1;
    std::uint32_t slots = 8;

    friend bool operator==(const slot_place&, const slot_place&) = default;
};

/// Decides how many slots of each target this entry may use. Pure: time is an argument. Not
/// synchronised.
class slot_shares {
public:
    slot_shares() = default;
    slot_shares(const slot_shares&) = delete;
    slot_shares& operator=(const slot_shares&) = delete;
    virtual ~slot_shares() = default;

    virtual void update(const version::fleet& fleet, time_point now) = 0;
    /// Replaces the live entries; self is always one of them.
    virtual void set_entries(const std::vector<entry_id>& live, time_point now) = 0;
    /// Takes what this entry has just reported to the others.
    virtual void reported(const std::vector<service_demand>& own, time_point now) = 0;
    virtual void hear(const demand_report& report, time_point now) = 0;
    /// The target took a request of this entry, or refused one for want of a slot.
    virtual void taken(const instance_id& target, time_point now) = 0;
    virtual void refused(const instance_id& target, time_point now) = 0;
    /// Lets what is too old run out. Returns whether any limit may have changed since last asked.
    virtual bool refresh(time_point now) = 0;
    [[nodiscard]] virtual std::uint32_t limit(const slot_place& place) const = 0;
};

struct share_options {
    entry_id self;
    milliseconds report_lifetime{2000};
};

/// Consecutive positions of a pool's slots, counted over all targets' first slots, then all their
/// second ones and so on, so that a short run touches many targets.
struct slot_range {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;

    friend bool operator==(const slot_range&, const slot_range&) = default;
};

/// How many positions of the range are slots of the target with this index.
[[nodiscard]] std::uint32_t slots_in_range(const slot_range& range, const slot_place& place);

/// Splits `total` slots among entries by their demand; the parts sum up to `total`. Where the
/// demand fits, each entry gets its own and an equal part of the rest; where it doesn't, entries
/// with less than an equal part get what they ask for and the others equal parts. Nobody gets less
/// than a tenth of an equal part.
[[nodiscard]] std::vector<std::uint64_t> split_slots(std::uint64_t total,
                                                     const std::vector<double>& demand);

/// Equal parts for all live entries, whatever their demand.
[[nodiscard]] std::unique_ptr<slot_shares> make_fixed_shares(const share_options& options);

/// Parts by the demand that entries report to one another. An entry whose report is too old counts
/// with an equal part, so entries that hear nobody fall back to equal parts.
[[nodiscard]] std::unique_ptr<slot_shares> make_demand_shares(const share_options& options);

/// Any slot of any target; a target that refuses is used less until it has taken some again.
[[nodiscard]] std::unique_ptr<slot_shares> make_optimistic_shares(const share_options& options);

/// Parts by demand, and beyond them one slot of each target until it refuses, while the demand that
/// is known of isn't far beyond the pool's slots.
[[nodiscard]] std::unique_ptr<slot_shares> make_borrowing_shares(const share_options& options);

} // namespace plantaindoor::request
