// Learns which workers are slow by themselves: everything that runs there is slower than its peers.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/peer_pace.hpp"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace plantaindoor::policy {

/// A worker has begun or ceased to count as slow, with the inputs of the decision.
struct worker_speed_change {
    worker_key worker = 0;
    bool slow = false;
    /// How many times slower than their peers its runs were, without regard to the prior.
    double slow_down = 1;
    /// Number of recent samples, older ones counting less.
    double samples = 0;
    /// Share of the evidence that came from runs at the usual pace.
    double usual_share = 0;
};

/// Weighs recent comparisons of a worker's runs with their peers; evidence fades within seconds, so
/// that a worker that gets no more runs is tried again. State is kept only for workers with recent
/// runs. Not thread-safe.
class worker_speed {
public:
    /// Records a comparison, from which the slow-down by known neighbours has been subtracted.
    void note(worker_key worker, const pace_comparison& compared, time_point now);
    /// Lets evidence fade; call about every 100 ms.
    void refresh(time_point now);

    /// Whether the worker counts as at least twice as slow as its peers.
    [[nodiscard]] bool is_slow(worker_key worker) const;
    [[nodiscard]] std::size_t slow_count() const noexcept { return m_slow_count; }
    /// Returns the changes since the last call, in order.
    [[nodiscard]] std::vector<worker_speed_change> take_changes();

private:
    struct evidence {
        /// Sums over samples, which fade with their age: of the inverse variances, these times the
        /// deviations, and the part of the first from runs at the usual pace.
        double precision = 0;
        double weighted = 0;
        double usual = 0;
        double samples = 0;
        /// How often the source of the samples has changed.
        double sources = 0;
        std::uint64_t last_source = 0;
        time_point at{};
        bool slow = false;
    };
    static void fade(evidence& of, time_point now);
    void decide(worker_key worker, evidence& of);

    std::unordered_map<worker_key, evidence> m_workers;
    std::size_t m_slow_count = 0;
    std::vector<worker_speed_change> m_changes;
    time_point m_next_refresh{};
};

} // namespace plantaindoor::policy
