// How jobs lie in the store: the accepted request, its cancelling, and its progress.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/row_store.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::fleet {

inline constexpr std::string_view jobs_table = "jobs";
inline constexpr std::string_view progress_table = "progress";

/// An accepted job as its caller sent it.
struct accepted_job {
    std::string queue;
    wall_time accepted{};
    /// The request's body, in the callers' form.
    std::string body;
};

/// Accepted jobs are spread over this many partitions by their ids: a partition carries out one
/// transaction after another, so a slow store makes those of one partition wait for each other.
inline constexpr std::size_t job_partitions = 32;
[[nodiscard]] std::vector<std::string> all_job_partitions();

[[nodiscard]] row_address accepted_address(const job_id& id);
[[nodiscard]] row_address cancelled_address(const job_id& id);
[[nodiscard]] row_address progress_address(const job_id& id);

/// The job that a row of the jobs' table is about, and whether the row is its cancelling.
struct job_row_key {
    job_id id;
    bool cancelling = false;
};
[[nodiscard]] job_row_key parse_job_row_key(std::string_view key);

[[nodiscard]] std::string to_text(const accepted_job& accepted);
/// Nothing for text that isn't an accepted job.
[[nodiscard]] std::optional<accepted_job> parse_accepted_job(std::string_view text);

} // namespace plantaindoor::fleet
