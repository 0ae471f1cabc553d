#include "plantaindoor/version/log_rows.hpp"

#include "json_fields.hpp"
#include "plantaindoor/version/codec.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace plantaindoor::version {

using nlohmann::json;

std::string log_record_key(version_number version)
{
    return fmt::format("log/delta/{:020}", version);
}

std::string snapshot_name(version_number version)
{
    return fmt::format("snapshot-{:020}", version);
}

std::string encode(const log_head& head)
{
    return json{{"version", head.version}, {"snapshot", head.snapshot}, {"oldest", head.oldest}}
        .dump();
}

std::string encode(const log_record& record)
{
    return record.append_id + '\n' + encode(record.step);
}

log_head decode_log_head(std::string_view bytes)
{
    try {
        const json in = json::parse(bytes);
        return {.version = number_from<version_number>(in.at("version"), "version"),
                .snapshot = number_from<version_number>(in.at("snapshot"), "snapshot"),
                .oldest = number_from<version_number>(in.at("oldest"), "oldest")};
    }
    catch (const json::exception& failure) {
        throw decode_error(failure.what());
    }
}

log_record decode_log_record(std::string_view bytes)
{
    const std::size_t end_of_id = bytes.find('\n');
    if (end_of_id == std::string_view::npos) {
        throw decode_error("a log record has no append id");
    }
    return {.append_id = std::string(bytes.substr(0, end_of_id)),
            .step = decode_delta(bytes.substr(end_of_id + 1))};
}

} // namespace plantaindoor::version
