// The rows by which the duties tell one another of jobs: quotas in use, figures for rules, and what
// rules ask of the classes of jobs.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/process/job_scheduler.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::process {

/// Prefix of all of them, so that one scan reads all.
inline constexpr std::string_view job_shared_prefix = "job/shared/";
/// What the rule in effect asks; written by the holder of the rules' duty.
inline constexpr std::string_view job_limits_key = "job/shared/limits";
/// The key ends with the pool; written by the holder of its duty.
inline constexpr std::string_view job_figures_prefix = "job/shared/figures/";
/// The key ends with the team; written by the holders of all pools that run its jobs.
inline constexpr std::string_view job_quota_prefix = "job/shared/quota/";

/// Without a rule nothing is asked.
struct job_limits {
    rule_id rule;
    version::priority work_class = version::priority::background;
    /// One of throttle, checkpoint, stop and refuse.
    std::string verb;

    friend bool operator==(const job_limits&, const job_limits&) = default;
};

/// One pool's jobs, as rules ask for them.
struct job_figures {
    std::uint32_t waiting = 0;
    /// Of them, the urgent ones.
    std::uint32_t urgent = 0;
    /// Of them, the nearest.
    std::optional<wall_time> deadline;

    friend bool operator==(const job_figures&, const job_figures&) = default;
};

/// What a team's runs need, by pool.
using quota_usage = std::map<pool_id, team_usage>;

[[nodiscard]] std::string job_figures_key(const pool_id& pool);
[[nodiscard]] std::string job_quota_key(const team_id& team);

/// Thread-safe; decode gives nothing for bytes that are not such a row.
[[nodiscard]] std::string encode(const job_limits& row);
[[nodiscard]] std::optional<job_limits> decode_job_limits(std::string_view bytes);
[[nodiscard]] std::string encode(const job_figures& row);
[[nodiscard]] std::optional<job_figures> decode_job_figures(std::string_view bytes);
[[nodiscard]] std::string encode(const quota_usage& row);
[[nodiscard]] std::optional<quota_usage> decode_quota_usage(std::string_view bytes);

} // namespace plantaindoor::process
