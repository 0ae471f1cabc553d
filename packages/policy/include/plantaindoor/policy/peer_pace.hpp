// Compares the pace of a run with that of its peers: runs of the same step, else of the same kind.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace plantaindoor::policy {

/// Hashes that identify what the learning components tell apart.
using kind_key = std::uint64_t;
using step_key = std::uint64_t;
using run_key = std::uint64_t;
using worker_key = std::uint64_t;

/// Time that a run has taken for a part of its work.
struct pace_sample {
    kind_key kind = 0;
    step_key step = 0;
    run_key run = 0;
    worker_key worker = 0;
    /// Natural logarithm of the time for the whole work at this pace, relative to the estimate.
    double log_time = 0;
};

struct pace_comparison {
    /// Logarithm of the slow-down against the peers; negative if the run is faster.
    double deviation = 0;
    /// Variance of the deviation without any slow-down.
    double variance = 0;
    /// Samples of one source don't count as independent: the run, or its step where the kind was
    /// compared, as the error of an estimate is common to the step's tasks.
    std::uint64_t source = 0;
};

/// Paces by step and by kind, in tables of fixed size in which a newer key replaces another one.
/// Not thread-safe.
class peer_pace {
public:
    peer_pace();

    /// Compares a sample with those of the same step on other workers, else with those of its kind;
    /// nullopt without such.
    [[nodiscard]] std::optional<pace_comparison> compare(const pace_sample& sample) const;
    void add(const pace_sample& sample);

private:
    struct part {
        worker_key worker = 0;
        double sum = 0;
        std::uint32_t count = 0;
    };
    struct step_pace {
        step_key step = 0;
        double sum = 0;
        std::uint32_t count = 0;
        /// The parts of the first few workers. With more workers than these, the part of one that
        /// isn't among them is small.
        std::array<part, 4> parts{};
    };
    struct kind_pace {
        kind_key kind = 0;
        double mean = 0;
        double variance = 0;
        step_key last_step = 0;
        /// Samples, those of one step in succession counting less.
        double steps = 0;
    };
    struct others {
        double mean = 0;
        std::uint32_t count = 0;
    };
    [[nodiscard]] others others_of(const pace_sample& sample) const;

    std::vector<step_pace> m_steps;
    std::vector<kind_pace> m_kinds;
};

} // namespace plantaindoor::policy
