// What jobs really use, learned from their reports: declared sizes and run times are often far off.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/process/job.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace plantaindoor::process {

/// Corrections by team and kind, for a bounded number of kinds. Pure; not synchronised.
class learned_sizes {
public:
    struct options {
        std::size_t most_kinds = 1000;
        /// Weight of the newest run.
        double newest = 0.3;
    };

    learned_sizes() = default;
    explicit learned_sizes(options how) : m_options(how) {}

    /// Takes in what a run used at most, and its whole run time where it ran to its end.
    void on_run(const job_spec& spec, const job_size& used, bool finished);
    /// What to expect of a job: as declared until something was learned.
    [[nodiscard]] job_size expected(const job_spec& spec) const;

private:
    struct learned {
        /// Used divided by declared.
        double processors = 1;
        double memory = 1;
        double run_time = 1;
        std::size_t runs = 0;
        /// Of them, those that ran to their end.
        std::size_t whole_runs = 0;
    };

    options m_options;
    std::map<std::pair<team_id, std::string>, learned> m_kinds;
};

} // namespace plantaindoor::process
