// Plans a maintenance wave's next steps from one version of the fleet: any entry computes the same
// plan, so a wave goes on wherever its duties are. See docs/design/budgets-and-waves.md.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/version/ledger.hpp"

#include <cstdint>
#include <vector>

namespace plantaindoor::process {

/// What a deployment pays for, in units of one round of the wave.
struct wave_weights {
    /// One more round.
    double roll_out = 1;
    /// One more move; a loan is two.
    double moves = 2;
    /// One instance of spare capacity held for one round.
    double buffer = 0.1;
};

/// Weights of a deployment whose spare capacity is dear.
inline constexpr wave_weights buffer_saving_weights{.roll_out = 1, .moves = 0.5, .buffer = 1};
/// Weights of a deployment in which every move risks an order.
inline constexpr wave_weights move_saving_weights{.roll_out = 1, .moves = 8, .buffer = 0.1};

struct wave_progress {
    std::uint32_t instances = 0;
    std::uint32_t done = 0;
    std::uint32_t out = 0;
    std::uint32_t failed = 0;
    /// Admitted and still to be taken.
    std::uint32_t waiting = 0;
    /// Out for another reason, or moving; the wave waits for them.
    std::uint32_t elsewhere = 0;
    /// Rounds that the budgets and failure domains still need.
    std::uint32_t rounds_left = 0;
    milliseconds estimate{0};

    friend bool operator==(const wave_progress&, const wave_progress&) = default;
};

/// An instance to lend to a pool that has nothing to spare.
struct proposed_loan {
    instance_id id;
    pool_id to;

    friend bool operator==(const proposed_loan&, const proposed_loan&) = default;
};

struct wave_plan {
    /// To be drained now; together they break no budget.
    std::vector<instance_id> drains;
    /// Drains to be undone: the wave was aborted, or a service is below its budget.
    std::vector<instance_id> undrains;
    std::vector<proposed_loan> loans;
    /// Services of the wave's pools that are below their budget.
    std::vector<version::service_figures> below_budget;
    /// Pools that wait for a service with nothing to spare and nothing out.
    std::vector<pool_id> held;
    wave_progress progress;
    /// Nothing is left to do.
    bool finished = false;
};

/// Pure planner of waves. Immutable; thread-safe.
class wave_planner {
public:
    struct options {
        /// Only one of these domains has a service's instances out at a time.
        version::failure_domain one_at_a_time = version::failure_domain::availability_zone;
        wave_weights weights;
        /// Most instances lent to one pool for the sake of a wave.
        std::uint32_t max_loans_per_pool = 2;
        /// From drain to admission, for estimates.
        milliseconds expected_outage{240000};
    };

    explicit wave_planner(const options& how) : m_options(how) {}

    /// Plans the wave's next steps. `books` counts the same fleet.
    [[nodiscard]] wave_plan plan(const version::fleet& whole, const version::ledger& books,
                                 const version::wave& subject) const;

private:
    options m_options;
};

/// How many instances to borrow for a pool with `waiting` instances to maintain and `spare` that it
/// can miss: the number that costs least by the weights. Thread-safe.
[[nodiscard]] std::uint32_t loans_worth_making(std::uint32_t waiting, std::uint32_t spare,
                                               std::uint32_t most, const wave_weights& weights);

} // namespace plantaindoor::process
