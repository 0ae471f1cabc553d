#include "plantaindoor/fleet/machine_transfer_rows.hpp"

#include "plantaindoor/fleet/leader_tracker.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace plantaindoor::fleet {

namespace {

using nlohmann::json;

constexpr std::string_view machine_prefix = "machine/";
constexpr std::string_view request_key = "request";

/// No value unless `key` holds a whole number that fits the type.
template<class Number>
std::optional<Number> read_number(const json& from, const char* key)
{
    const auto found = from.find(key);
    if (found == from.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        return std::nullopt;
    }
    return found->get<Number>();
}

json counts_json(const machine_request::counts& counts)
{
    json text = json::object();
    for (const auto& [pool, count] : counts) {
        text[pool.str()] = count;
    }
    return text;
}

std::optional<machine_request::counts> read_counts(const json& from, const char* key)
{
    const auto found = from.find(key);
    if (found == from.end() || !found->is_object()) {
        return std::nullopt;
    }
    machine_request::counts counts;
    for (const auto& [pool, ignored] : found->items()) {
        const auto count = read_number<std::uint32_t>(*found, pool.c_str());
        if (!count) {
            return std::nullopt;
        }
        counts[service_id(pool)] = *count;
    }
    return counts;
}

row_transaction first_write(const row_condition& claim, const row_address& at, std::string value)
{
    return {.conditions = {claim, {at, absent}}, .writes = {{at, std::move(value)}}};
}

} // namespace

row_address machine_transfer_address(shard_number shard, const std::string& machine)
{
    return {std::string(machine_transfer_table), control_partition(shard),
            std::string(machine_prefix) + machine};
}

std::optional<std::string> transferred_machine(const row_address& at)
{
    return at.table == machine_transfer_table && at.key.starts_with(machine_prefix)
               ? std::optional(at.key.substr(machine_prefix.size()))
               : std::nullopt;
}

row_address machine_request_address(shard_number shard)
{
    return {std::string(machine_transfer_table), control_partition(shard),
            std::string(request_key)};
}

std::string to_text(const machine_grant& grant)
{
    return json{{"receiver", grant.receiver}}.dump();
}

std::string to_text(const machine_receipt& receipt)
{
    return json{{"giver", receipt.giver}, {"claim", receipt.claim}}.dump();
}

std::string to_text(const machine_request& request)
{
    return json{{"giver", request.giver},
                {"required", counts_json(request.required)},
                {"wanted", counts_json(request.wanted)}}
        .dump();
}

std::optional<machine_grant> parse_machine_grant(std::string_view text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const auto receiver = read_number<shard_number>(parsed, "receiver");
    return receiver ? std::optional(machine_grant{.receiver = *receiver}) : std::nullopt;
}

std::optional<machine_receipt> parse_machine_receipt(std::string_view text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const auto giver = read_number<shard_number>(parsed, "giver");
    const auto claim = read_number<row_version>(parsed, "claim");
    return giver && claim && *claim != absent
               ? std::optional(machine_receipt{.giver = *giver, .claim = *claim})
               : std::nullopt;
}

std::optional<machine_request> parse_machine_request(std::string_view text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const auto giver = read_number<shard_number>(parsed, "giver");
    auto required = read_counts(parsed, "required");
    auto wanted = read_counts(parsed, "wanted");
    return giver && required && wanted
               ? std::optional(machine_request{.giver = *giver,
                                               .required = std::move(*required),
                                               .wanted = std::move(*wanted)})
               : std::nullopt;
}

row_transaction grant_transaction(const row_condition& claim, shard_number giver,
                                  const std::string& machine, const machine_grant& grant)
{
    return first_write(claim, machine_transfer_address(giver, machine), to_text(grant));
}

row_transaction receipt_transaction(const row_condition& claim, shard_number receiver,
                                    const std::string& machine, shard_number giver)
{
    return first_write(claim, machine_transfer_address(receiver, machine),
                       to_text(machine_receipt{.giver = giver, .claim = claim.version}));
}

} // namespace plantaindoor::fleet
