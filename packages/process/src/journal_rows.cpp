#include "plantaindoor/process/journal_rows.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace plantaindoor::process {

using nlohmann::json;

std::string journal_key_from(wall_time when)
{
    return fmt::format("{}{:015}", journal_prefix, when.time_since_epoch().count());
}

std::string journal_key(const journal_entry& entry, std::uint64_t number)
{
    return fmt::format("{}-{}-{:012}", journal_key_from(entry.when), entry.actor.str(), number);
}

std::string encode(const journal_entry& entry)
{
    json facts = json::array();
    for (const journal_fact& each : entry.facts) {
        facts.push_back({each.name, each.value});
    }
    return json{{"when", entry.when.time_since_epoch().count()},
                {"actor", entry.actor.str()},
                {"part", entry.part},
                {"action", entry.action},
                {"version", entry.version},
                {"rule", entry.rule.str()},
                {"facts", std::move(facts)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<journal_entry> decode_journal_entry(std::string_view bytes)
{
    try {
        const json in = json::parse(bytes);
        journal_entry entry{.when = wall_time(milliseconds(in.at("when").get<std::int64_t>())),
                            .actor = entry_id(in.at("actor").get<std::string>()),
                            .part = in.at("part").get<std::string>(),
                            .action = in.at("action").get<std::string>(),
                            .version = in.at("version").get<std::uint64_t>(),
                            .rule = rule_id(in.at("rule").get<std::string>())};
        for (const json& each : in.at("facts")) {
            entry.facts.push_back({each.at(0).get<std::string>(), each.at(1).get<std::string>()});
        }
        return entry;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace plantaindoor::process
