// The rows of the platform's table that hold jobs: submitted, alive, over, and asked to be
// cancelled.
#pragma once

#include "plantaindoor/process/job.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::process {

/// Submitted and not yet taken by the holder of the pool's duty; the key ends with the job.
inline constexpr std::string_view job_inbox_prefix = "job/inbox/";
/// Requests to cancel, in the same reading as the inbox and behind all its jobs.
inline constexpr std::string_view job_cancel_prefix = "job/inbox/~";
/// Not over; written by the holder of the pool's duty only.
inline constexpr std::string_view job_live_prefix = "job/live/";
/// Over.
inline constexpr std::string_view job_done_prefix = "job/done/";

/// Cancels the jobs of one pool that fit everything that is set here.
struct job_cancel {
    pool_id pool;
    /// Empty: any.
    job_id id;
    team_id team;
    std::string kind;
    std::optional<version::priority> work_class;
    /// Jobs submitted later are not meant.
    wall_time asked{};
    std::string reason;

    /// Whether the job is meant. Thread-safe.
    [[nodiscard]] bool fits(const job& subject) const;

    friend bool operator==(const job_cancel&, const job_cancel&) = default;
};

/// Whether the text may be a job's identifier: it becomes a part of keys. Thread-safe.
[[nodiscard]] bool is_job_id(std::string_view text);

[[nodiscard]] std::string job_inbox_key(const job_id& id);
[[nodiscard]] std::string job_live_key(const job_id& id);
[[nodiscard]] std::string job_done_key(const job_id& id);

/// Thread-safe; decode gives nothing for bytes that are not such a row.
[[nodiscard]] std::string encode(const job& row);
[[nodiscard]] std::optional<job> decode_job(std::string_view bytes);
[[nodiscard]] std::string encode(const job_cancel& row);
[[nodiscard]] std::optional<job_cancel> decode_job_cancel(std::string_view bytes);

} // namespace plantaindoor::process
