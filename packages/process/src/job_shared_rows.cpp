#include "plantaindoor/process/job_shared_rows.hpp"

#include "job_json.hpp"

namespace plantaindoor::process {

using nlohmann::json;

std::string job_figures_key(const pool_id& pool)
{
    return std::string(job_figures_prefix) + pool.str();
}

std::string job_quota_key(const team_id& team)
{
    return std::string(job_quota_prefix) + team.str();
}

std::string encode(const job_limits& row)
{
    return dumped(
        {{"rule", row.rule.str()}, {"class", name_of(row.work_class)}, {"verb", row.verb}});
}

std::optional<job_limits> decode_job_limits(std::string_view bytes)
{
    return decoded(bytes, [](const json& in) {
        const auto work_class = parse_enum<version::priority>(in.at("class").get<std::string>());
        return job_limits{.rule = rule_id(in.at("rule").get<std::string>()),
                          .work_class = work_class.value_or(version::priority::background),
                          .verb = in.at("verb").get<std::string>()};
    });
}

std::string encode(const job_figures& row)
{
    json out{{"waiting", row.waiting}, {"urgent", row.urgent}};
    if (row.deadline) {
        out["deadline_ms"] = row.deadline->time_since_epoch().count();
    }
    return dumped(out);
}

std::optional<job_figures> decode_job_figures(std::string_view bytes)
{
    return decoded(bytes, [](const json& in) {
        job_figures out{.waiting = in.at("waiting").get<std::uint32_t>(),
                        .urgent = in.at("urgent").get<std::uint32_t>()};
        if (in.contains("deadline_ms")) {
            out.deadline = wall_time(milliseconds(in.at("deadline_ms").get<std::int64_t>()));
        }
        return out;
    });
}

std::string encode(const quota_usage& row)
{
    json out = json::object();
    for (const auto& [pool, used] : row) {
        out[pool.str()] = {{"processors", used.processors}, {"accelerators", used.accelerators}};
    }
    return dumped(out);
}

std::optional<quota_usage> decode_quota_usage(std::string_view bytes)
{
    return decoded(bytes, [](const json& in) {
        quota_usage out;
        for (const auto& [pool, used] : in.items()) {
            out[pool_id(pool)] = {.processors = used.at("processors").get<double>(),
                                  .accelerators = used.at("accelerators").get<std::uint32_t>()};
        }
        return out;
    });
}

} // namespace plantaindoor::process
