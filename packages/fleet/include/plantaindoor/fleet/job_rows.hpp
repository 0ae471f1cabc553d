// Rows of a job in the store: the accepted request or its withdrawal, its cancellation and its
// progress.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/job/spec.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::fleet {

inline constexpr std::string_view progress_table = "progress";
/// Each shard's accepted jobs have a table of their own, since a table has one change feed.
[[nodiscard]] std::string jobs_table(shard_number shard);

/// An accepted job as its caller sent it.
struct accepted_job {
    std::string queue;
    /// The queue's policy under which the job was accepted; nullopt in a row that lacks it.
    std::optional<job::queue_policy> policy;
    /// Empty for a job of no workspace.
    workspace_id workspace;
    wall_time accepted{};
    /// The body of the request as the caller sent it.
    std::string body;
};

/// Number of partitions that a shard's accepted jobs are distributed over by a hash of their ids.
/// Transactions of one partition are executed one after another, so they delay each other when the
/// store is slow.
inline constexpr std::size_t job_partitions = 32;
[[nodiscard]] std::vector<std::string> all_job_partitions();

[[nodiscard]] row_address accepted_address(shard_number shard, const job_id& id);
[[nodiscard]] row_address cancelled_address(shard_number shard, const job_id& id);
[[nodiscard]] row_address progress_address(shard_number shard, const job_id& id);

/// Parsed key of a row of the jobs table.
struct job_row_key {
    job_id id;
    /// Whether the row is the job's cancellation, not its accepted request.
    bool cancelling = false;
};
[[nodiscard]] job_row_key parse_job_row_key(std::string_view key);

[[nodiscard]] std::string to_text(const accepted_job& accepted);
/// Returns no value for text that isn't an accepted job.
[[nodiscard]] std::optional<accepted_job> parse_accepted_job(std::string_view text);

/// Value of the row at accepted_address() of a job that was cancelled before it was accepted. Each
/// write that accepts a job requires that there is no row, so none can succeed any more, however
/// late the store executes it.
inline constexpr std::string_view withdrawn_row_value = "withdrawn";

} // namespace plantaindoor::fleet
