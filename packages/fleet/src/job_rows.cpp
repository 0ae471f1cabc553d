#include "plantaindoor/fleet/job_rows.hpp"

#include "plantaindoor/common/hash.hpp"
#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/job/queue_policy.hpp"

#include <nlohmann/json.hpp>

namespace plantaindoor::fleet {

namespace {

using nlohmann::json;

constexpr std::string_view cancel_suffix = "!cancel";

std::string partition_name(std::size_t number)
{
    return "jobs-" + std::to_string(number);
}

std::string partition_of(const job_id& id)
{
    return partition_name(hash64(id.str()) % job_partitions);
}

} // namespace

std::string jobs_table(shard_number shard)
{
    return shard == 0 ? "jobs" : "jobs-" + std::to_string(shard);
}

std::vector<std::string> all_job_partitions()
{
    std::vector<std::string> all;
    for (std::size_t number = 0; number < job_partitions; ++number) {
        all.push_back(partition_name(number));
    }
    return all;
}

row_address accepted_address(shard_number shard, const job_id& id)
{
    return {jobs_table(shard), partition_of(id), id.str()};
}

row_address cancelled_address(shard_number shard, const job_id& id)
{
    return {jobs_table(shard), partition_of(id), id.str() + std::string(cancel_suffix)};
}

row_address progress_address(shard_number shard, const job_id& id)
{
    return {std::string(progress_table), control_partition(shard), id.str()};
}

job_row_key parse_job_row_key(std::string_view key)
{
    const bool cancelling = key.ends_with(cancel_suffix);
    if (cancelling) {
        key.remove_suffix(cancel_suffix.size());
    }
    return {.id = job_id(std::string(key)), .cancelling = cancelling};
}

std::string to_text(const accepted_job& accepted)
{
    json row{{"queue", accepted.queue},
             {"accepted_ms", accepted.accepted.time_since_epoch().count()},
             {"body", accepted.body}};
    if (accepted.policy) {
        row["policy"] = to_json(*accepted.policy);
    }
    if (!accepted.workspace.empty()) {
        row["workspace"] = accepted.workspace.str();
    }
    return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<accepted_job> parse_accepted_job(std::string_view text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    try {
        const auto policy = parsed.find("policy");
        return accepted_job{
            .queue = parsed.at("queue"),
            .policy = policy == parsed.end()
                          ? std::nullopt
                          : std::optional(job::parse_queue_policy(parsed.at("queue"), *policy)),
            .workspace = workspace_id(parsed.value("workspace", "")),
            .accepted = wall_time(milliseconds(parsed.at("accepted_ms").get<std::int64_t>())),
            .body = parsed.at("body")};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace plantaindoor::fleet
