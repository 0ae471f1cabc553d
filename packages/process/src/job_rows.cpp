#include "plantaindoor/process/job_rows.hpp"

#include "job_json.hpp"

#include <algorithm>
#include <cctype>

namespace plantaindoor::process {

using nlohmann::json;

namespace {

constexpr std::size_t longest_job_id = 200;

template<class Enum>
Enum named(const json& in, const char* key)
{
    const auto value = parse_enum<Enum>(in.at(key).get<std::string>());
    if (!value) {
        throw json::out_of_range::create(403, key, &in);
    }
    return *value;
}

wall_time time_at(const json& value)
{
    return wall_time(milliseconds(value.get<std::int64_t>()));
}

json json_of(const job_size& size)
{
    return {{"processors", size.processors},
            {"memory_mb", size.memory_mb},
            {"accelerators", size.accelerators},
            {"run_time_ms", size.run_time.count()}};
}

job_size size_from(const json& in)
{
    return {.processors = in.at("processors").get<double>(),
            .memory_mb = in.at("memory_mb").get<std::uint64_t>(),
            .accelerators = in.at("accelerators").get<std::uint32_t>(),
            .run_time = milliseconds(in.at("run_time_ms").get<std::int64_t>())};
}

json json_of(const job_spec& spec)
{
    json out{{"id", spec.id.str()},
             {"pool", spec.pool.str()},
             {"team", spec.team.str()},
             {"class", name_of(spec.work_class)},
             {"kind", spec.kind},
             {"declared", json_of(spec.declared)},
             {"checkpoints", spec.checkpoints}};
    if (spec.deadline) {
        out["deadline_ms"] = spec.deadline->time_since_epoch().count();
    }
    return out;
}

job_spec spec_from(const json& in)
{
    job_spec spec{.id = job_id(in.at("id").get<std::string>()),
                  .pool = pool_id(in.at("pool").get<std::string>()),
                  .team = team_id(in.at("team").get<std::string>()),
                  .work_class = named<version::priority>(in, "class"),
                  .kind = in.at("kind").get<std::string>(),
                  .declared = size_from(in.at("declared")),
                  .checkpoints = in.at("checkpoints").get<bool>()};
    if (in.contains("deadline_ms")) {
        spec.deadline = time_at(in.at("deadline_ms"));
    }
    return spec;
}

job job_from(const json& in)
{
    return {.spec = spec_from(in.at("spec")),
            .submitted = time_at(in.at("submitted_ms")),
            .state = named<job_state>(in, "state"),
            .run = in.at("run").get<std::uint32_t>(),
            .worker = instance_id(in.at("worker").get<std::string>()),
            .placed = time_at(in.at("placed_ms")),
            .pace = named<job_pace>(in, "pace"),
            .saved = milliseconds(in.at("saved_ms").get<std::int64_t>()),
            .failures = in.at("failures").get<std::uint32_t>(),
            .cancel_asked = in.at("cancel_asked").get<bool>(),
            .save = in.at("save").get<bool>(),
            .reason = in.at("reason").get<std::string>()};
}

job_cancel cancel_from(const json& in)
{
    job_cancel out{.pool = pool_id(in.at("pool").get<std::string>()),
                   .id = job_id(in.at("job").get<std::string>()),
                   .team = team_id(in.at("team").get<std::string>()),
                   .kind = in.at("kind").get<std::string>(),
                   .asked = time_at(in.at("asked_ms")),
                   .reason = in.at("reason").get<std::string>()};
    if (in.contains("class")) {
        out.work_class = named<version::priority>(in, "class");
    }
    return out;
}

/// The decoder's result, or nothing where the bytes are not what it expects.
} // namespace

bool job_cancel::fits(const job& subject) const
{
    const job_spec& spec = subject.spec;
    return spec.pool == pool && (id.empty() || spec.id == id) &&
           (team.empty() || spec.team == team) && (kind.empty() || spec.kind == kind) &&
           (!work_class || spec.work_class == *work_class) && subject.submitted <= asked;
}

bool is_job_id(std::string_view text)
{
    return !text.empty() && text.size() <= longest_job_id &&
           std::ranges::all_of(text, [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

std::string job_inbox_key(const job_id& id)
{
    return std::string(job_inbox_prefix) + id.str();
}

std::string job_live_key(const job_id& id)
{
    return std::string(job_live_prefix) + id.str();
}

std::string job_done_key(const job_id& id)
{
    return std::string(job_done_prefix) + id.str();
}

std::string encode(const job& row)
{
    return dumped({{"spec", json_of(row.spec)},
                   {"submitted_ms", row.submitted.time_since_epoch().count()},
                   {"state", name_of(row.state)},
                   {"run", row.run},
                   {"worker", row.worker.str()},
                   {"placed_ms", row.placed.time_since_epoch().count()},
                   {"pace", name_of(row.pace)},
                   {"saved_ms", row.saved.count()},
                   {"failures", row.failures},
                   {"cancel_asked", row.cancel_asked},
                   {"save", row.save},
                   {"reason", row.reason}});
}

std::optional<job> decode_job(std::string_view bytes)
{
    return decoded(bytes, &job_from);
}

std::string encode(const job_cancel& row)
{
    json out{{"pool", row.pool.str()},
             {"job", row.id.str()},
             {"team", row.team.str()},
             {"kind", row.kind},
             {"asked_ms", row.asked.time_since_epoch().count()},
             {"reason", row.reason}};
    if (row.work_class) {
        out["class"] = name_of(*row.work_class);
    }
    return dumped(out);
}

std::optional<job_cancel> decode_job_cancel(std::string_view bytes)
{
    return decoded(bytes, &cancel_from);
}

} // namespace plantaindoor::process
