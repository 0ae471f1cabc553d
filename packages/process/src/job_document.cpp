#include "plantaindoor/common/document.hpp"
#include "plantaindoor/process/job_verbs.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <sstream>

namespace plantaindoor::process {

namespace {

constexpr double most_processors = 1e6;
constexpr std::int64_t most_memory_mb = 1'000'000'000;
constexpr std::int64_t most_accelerators = 1'000'000;
constexpr std::int64_t longest_run_s = 366LL * 86'400;

/// "2026-12-04T06:30:00Z", or nothing.
std::optional<wall_time> parsed_time(const std::string& text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    std::istringstream in(text);
    char dash = 0;
    char other_dash = 0;
    char separator = 0;
    char colon = 0;
    char other_colon = 0;
    char end = 0;
    in >> year >> dash >> month >> other_dash >> day >> separator >> hour >> colon >> minute >>
        other_colon >> second >> end;
    const std::string marks{dash, other_dash, separator, colon, other_colon, end};
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                           std::chrono::day(day)};
    const bool clock_fits =
        hour >= 0 && hour < 24 && minute >= 0 && minute < 60 && second >= 0 && second < 60;
    if (!in || in.peek() != std::istringstream::traits_type::eof() || marks != "--T::Z" ||
        !date.ok() || !clock_fits) {
        return std::nullopt;
    }
    return wall_time(std::chrono::sys_days(date)) + std::chrono::hours(hour) +
           std::chrono::minutes(minute) + seconds(second);
}

job_spec read_job(document_reader& in)
{
    job_spec spec{.id = job_id(in.text("id")),
                  .pool = pool_id(in.text("pool")),
                  .team = team_id(in.text("team")),
                  .work_class = in.named<version::priority>("class", version::priority::background),
                  .kind = in.text("kind", ""),
                  .checkpoints = in.boolean("checkpoints", true)};
    if (!is_job_id(spec.id.str())) {
        in.fault_at("id", "letters, digits, '-', '_' and '.', at most 200");
    }
    spec.declared = {
        .processors = in.number<double>("processors", 1.0, {.least = 0, .most = most_processors}),
        .memory_mb = static_cast<std::uint64_t>(
            in.number<std::int64_t>("memory_mb", 0, {.least = 0, .most = most_memory_mb})),
        .accelerators = static_cast<std::uint32_t>(
            in.number<std::int64_t>("accelerators", 0, {.least = 0, .most = most_accelerators})),
        .run_time =
            seconds(in.number<std::int64_t>("run_time_s", 0, {.least = 0, .most = longest_run_s}))};
    if (in.has("deadline")) {
        spec.deadline = parsed_time(in.text("deadline"));
        if (!spec.deadline) {
            in.fault_at("deadline", "a time as 2026-12-04T06:30:00Z");
        }
    }
    return spec;
}

template<class Figure>
void check_limit(const char* type, const job_spec& spec, const char* what, Figure needed,
                 Figure most)
{
    if (needed > most) {
        throw job_too_large_error(type, spec, what, fmt::format("{}", needed),
                                  fmt::format("{}", most));
    }
}

} // namespace

job_exists_error::job_exists_error(const job& present)
    : error("job-exists", "another job has the identifier \"" + present.spec.id.str() + "\"",
            {{"job", present.spec.id.str()},
             {"team", present.spec.team.str()},
             {"pool", present.spec.pool.str()},
             {"state", std::string(name_of(present.state))}})
{
}

job_too_large_error::job_too_large_error(const char* type, const job_spec& spec,
                                         const std::string& what, const std::string& needed,
                                         const std::string& most)
    : error(type,
            fmt::format("job \"{}\" needs {} {}, and at most {} can be had", spec.id.str(), needed,
                        what, most),
            {{"job", spec.id.str()}, {"what", what}, {"needed", needed}, {"most", most}})
{
}

deadline_passed_error::deadline_passed_error(const job_spec& spec, wall_time now)
    : error("deadline-passed", "the deadline of job \"" + spec.id.str() + "\" has passed",
            {{"job", spec.id.str()},
             {"deadline_ms", std::to_string(spec.deadline->time_since_epoch().count())},
             {"now_ms", std::to_string(now.time_since_epoch().count())}})
{
}

class_refused_error::class_refused_error(const job_spec& spec, const rule_id& rule)
    : error("class-refused",
            fmt::format("rule {} refuses {} jobs at present", rule.str(), name_of(spec.work_class)),
            {{"job", spec.id.str()},
             {"class", std::string(name_of(spec.work_class))},
             {"rule", rule.str()}})
{
}

std::vector<job_spec> parse_jobs(const std::string& text, const std::string& file)
{
    const document_node root = parse_document(text, file);
    std::vector<document_fault> faults;
    std::vector<job_spec> jobs;
    if (root.find("jobs") != nullptr) {
        document_reader in(root, "", file, faults);
        in.each("jobs", [&](document_reader& each) { jobs.push_back(read_job(each)); });
        in.finish();
    }
    else {
        document_reader in(root, "", file, faults);
        jobs.push_back(read_job(in));
        in.finish();
    }
    std::set<job_id> seen;
    for (const job_spec& each : jobs) {
        if (!seen.insert(each.id).second) {
            faults.push_back({.file = file,
                              .line = root.line,
                              .path = "jobs",
                              .value = each.id.str(),
                              .expected = "named once"});
        }
    }
    if (!faults.empty()) {
        throw document_error(std::move(faults));
    }
    return jobs;
}

void check_job(const job_spec& spec, const version::fleet& whole, wall_time now)
{
    if (!whole.pools.contains(spec.pool)) {
        throw not_found_error("pool", spec.pool.str());
    }
    const auto team = whole.teams.find(spec.team);
    if (team == whole.teams.end()) {
        throw not_found_error("team", spec.team.str());
    }
    if (spec.deadline && *spec.deadline <= now) {
        throw deadline_passed_error(spec, now);
    }
    job_size most{.processors = 0};
    for (const auto& [id, each] : whole.instances) {
        if (each.pool == spec.pool) {
            most.processors = std::max(most.processors, each.processors);
            most.memory_mb = std::max(most.memory_mb, each.memory_mb);
            most.accelerators = std::max(most.accelerators, each.accelerators);
        }
    }
    const job_size& size = spec.declared;
    check_limit("job-too-large", spec, "processors", size.processors, most.processors);
    check_limit("job-too-large", spec, "MB of memory", size.memory_mb, most.memory_mb);
    check_limit("job-too-large", spec, "accelerators", size.accelerators, most.accelerators);
    const version::team& limits = team->second;
    if (limits.max_job_processors > 0) {
        check_limit("job-over-quota", spec, "processors", size.processors,
                    limits.max_job_processors);
    }
    if (limits.max_job_accelerators > 0) {
        check_limit("job-over-quota", spec, "accelerators", size.accelerators,
                    limits.max_job_accelerators);
    }
}

} // namespace plantaindoor::process
