#include "plantaindoor/policy/neighbours.hpp"

#include <algorithm>

namespace plantaindoor::policy {

void add_neighbour(std::vector<neighbour>& beside, const neighbour& added)
{
    const auto known = std::find_if(beside.begin(), beside.end(),
                                    [&](const neighbour& each) { return each.kind == added.kind; });
    if (known == beside.end()) {
        beside.push_back(added);
    }
    else {
        known->share = std::max(known->share, added.share);
    }
}

void recent_presences::add(const presence& ended)
{
    m_ended[m_next] = ended;
    m_next = (m_next + 1) % m_ended.size();
}

void recent_presences::collect(std::vector<neighbour>& beside, time_point at) const
{
    for (const presence& each : m_ended) {
        if (each.begin <= at && at < each.end) {
            add_neighbour(beside, {.kind = each.kind});
        }
    }
}

} // namespace plantaindoor::policy
