// What a pool's duty proposes to the log. Each proposal is judged again on the newest fleet: what
// another writer has changed meanwhile is left out, and only what is left is journalled.
#pragma once

#include "plantaindoor/common/journal.hpp"
#include "plantaindoor/process/wave_planner.hpp"
#include "plantaindoor/version/delta.hpp"
#include "plantaindoor/version/planned_changes.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace plantaindoor::process {

/// Makes changes for the newest fleet and notes what they do. Pure; may run more than once.
using duty_proposal =
    std::function<std::vector<version::change>(const version::fleet&, std::vector<journal_entry>&)>;

/// Those of the instances that are in the pool. Thread-safe.
[[nodiscard]] std::vector<instance_id> in_pool(const std::vector<instance_id>& ids,
                                               const version::fleet& whole, const pool_id& pool);

/// In each of these, `model` is the journal entry of one item, but for the item's own facts.
/// Thread-safe.
[[nodiscard]] duty_proposal propose_undrains(std::vector<version::outage> drains,
                                             journal_entry model);
/// Each drain with the boots counted before it ended.
[[nodiscard]] duty_proposal
propose_ends(std::vector<std::pair<version::outage, std::uint64_t>> drains, journal_entry model);
[[nodiscard]] duty_proposal propose_admits(std::vector<version::outage> stops, journal_entry model);
/// A wave is paused when `max_failed_in_wave` of its instances have failed; zero: never.
[[nodiscard]] duty_proposal propose_fails(std::vector<version::outage> outages,
                                          std::uint32_t max_failed_in_wave, journal_entry model);
[[nodiscard]] duty_proposal propose_returns(std::vector<instance_id> lent,
                                            std::shared_ptr<const version::lost_instances> lost,
                                            journal_entry model);

/// What a wave's next drains in a pool are planned from.
struct wave_drains {
    wave_id wave;
    pool_id pool;
    std::shared_ptr<const version::lost_instances> lost;
    wave_planner planner;
};
[[nodiscard]] duty_proposal propose_drains(wave_drains what, journal_entry model);

struct wave_loan {
    proposed_loan loan;
    wall_time until{};
    std::shared_ptr<const version::lost_instances> lost;
};
[[nodiscard]] duty_proposal propose_loan(wave_loan what, journal_entry model);
[[nodiscard]] duty_proposal propose_finished(wave_id wave, journal_entry model);

} // namespace plantaindoor::process
