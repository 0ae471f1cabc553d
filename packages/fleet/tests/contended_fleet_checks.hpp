// Checks that the tests of contended fleets share.
#pragma once

#include "contended_fleet.hpp"

#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

/// From the end of the traffic until all accepted jobs must be done.
inline constexpr milliseconds finish_time{14000};

/// The longest waits of each service, to be printed with a failure.
[[nodiscard]] std::string waits_of(const contended_fleet& fleet);
/// No accepted job was left without a run, and no order broke a rule.
void check_served(contended_fleet& fleet);
/// No pool was starved.
void check_pools(const contended_fleet& fleet);
/// The indices of all services.
[[nodiscard]] std::vector<std::size_t> random_order(contended_fleet& fleet);

} // namespace plantaindoor::fleet::testing
