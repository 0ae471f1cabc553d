// Which kinds of tasks ran on a worker at the same time as a run.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/peer_pace.hpp"

#include <array>
#include <cstddef>
#include <vector>

namespace plantaindoor::policy {

/// A kind that ran on the same worker at the middle of a sample's time. Presence for a part of that
/// time would depend on the sample's length: with such a rule, runs that were long by themselves
/// had other neighbours than short ones, and pairs without interference were accused.
struct neighbour {
    kind_key kind = 0;
    /// Share of its capacity to which the neighbour was limited, up to 1.
    double share = 1;
};

/// A time during which a kind ran on a worker.
struct presence {
    kind_key kind = 0;
    time_point begin{};
    time_point end{};
};

/// Adds a neighbour, or raises its share if the kind is among them.
void add_neighbour(std::vector<neighbour>& beside, const neighbour& added);

/// The runs that have ended last on a worker. Not thread-safe.
class recent_presences {
public:
    void add(const presence& ended);
    /// Adds those that were present at `at`.
    void collect(std::vector<neighbour>& beside, time_point at) const;

private:
    /// Half again as many as usually run on a worker at a time.
    std::array<presence, 12> m_ended{};
    std::size_t m_next = 0;
};

} // namespace plantaindoor::policy
