#include "plantaindoor/version/codec.hpp"

#include "json_fields.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <limits>
#include <unordered_map>
#include <utility>

namespace plantaindoor {

using nlohmann::json;

template<class Tag>
void to_json(json& out, const basic_id<Tag>& id)
{
    out = id.str();
}

template<class Tag>
void from_json(const json& in, basic_id<Tag>& id)
{
    id = basic_id<Tag>(in.get<std::string>());
}

} // namespace plantaindoor

namespace plantaindoor::version {

using nlohmann::json;

namespace {

template<class Enum>
Enum enum_from(const json& in, const char* name)
{
    const auto text = in.at(name).get<std::string>();
    const auto value = parse_enum<Enum>(text);
    if (!value) {
        throw decode_error(std::string(name) + ": \"" + text + "\" is not one of " +
                           expected_names<Enum>());
    }
    return *value;
}

std::int64_t millis(wall_time when)
{
    return when.time_since_epoch().count();
}

/// Rows written before boots were counted have none.
std::uint64_t boots_from(const json& in)
{
    return in.contains("boots_before")
               ? number_from<std::uint64_t>(in.at("boots_before"), "boots_before")
               : 0;
}

} // namespace

void to_json(json& out, const loan& value)
{
    out = {{"home", value.home}, {"until", millis(value.until)}};
}

void from_json(const json& in, loan& value)
{
    in.at("home").get_to(value.home);
    value.until = wall_at(in, "until");
}

void to_json(json& out, const planned_move& value)
{
    out = {{"to", value.to}};
    if (value.lent) {
        out["lent"] = *value.lent;
    }
}

void from_json(const json& in, planned_move& value)
{
    in.at("to").get_to(value.to);
    if (in.contains("lent")) {
        value.lent = in.at("lent").get<loan>();
    }
}

void to_json(json& out, const instance& value)
{
    out = {{"id", value.id},
           {"pool", value.pool},
           {"zone", value.zone},
           {"rack", value.rack},
           {"address", value.address},
           {"port", value.port},
           {"slots", value.slots},
           {"connections", value.connections},
           {"processors", value.processors},
           {"memory_mb", value.memory_mb},
           {"accelerators", value.accelerators},
           {"state", name_of(value.state)},
           {"state_version", value.state_version},
           {"outage_wave", value.outage_wave},
           {"last_wave", value.last_wave},
           {"maintained", millis(value.maintained)},
           {"boots_before", value.boots_before}};
    if (value.lent) {
        out["lent"] = *value.lent;
    }
    if (value.moving) {
        out["moving"] = *value.moving;
    }
}

void from_json(const json& in, instance& value)
{
    in.at("id").get_to(value.id);
    in.at("pool").get_to(value.pool);
    in.at("zone").get_to(value.zone);
    in.at("rack").get_to(value.rack);
    in.at("address").get_to(value.address);
    number_at(in, "port", value.port);
    number_at(in, "slots", value.slots);
    number_at(in, "connections", value.connections);
    number_at(in, "processors", value.processors);
    number_at(in, "memory_mb", value.memory_mb);
    number_at(in, "accelerators", value.accelerators);
    value.state = enum_from<instance_state>(in, "state");
    number_at(in, "state_version", value.state_version);
    in.at("outage_wave").get_to(value.outage_wave);
    in.at("last_wave").get_to(value.last_wave);
    value.maintained = wall_at(in, "maintained");
    value.boots_before = boots_from(in);
    if (in.contains("lent")) {
        value.lent = in.at("lent").get<loan>();
    }
    if (in.contains("moving")) {
        value.moving = in.at("moving").get<planned_move>();
    }
}

void to_json(json& out, const availability_budget& value)
{
    out = {{"unit", name_of(value.unit)},
           {"minimum", value.minimum},
           {"survive", name_of(value.survive)}};
}

void from_json(const json& in, availability_budget& value)
{
    value.unit = enum_from<budget_unit>(in, "unit");
    number_at(in, "minimum", value.minimum);
    value.survive = enum_from<failure_domain>(in, "survive");
}

void to_json(json& out, const service& value)
{
    out = {{"id", value.id},
           {"team", value.team},
           {"pools", value.pools},
           {"budget", value.budget},
           {"default_priority", name_of(value.default_priority)},
           {"idempotent", value.idempotent},
           {"default_deadline_ms", value.default_deadline.count()},
           {"longest_request_ms", value.longest_request.count()},
           {"refusal_statuses", value.refusal_statuses}};
}

void from_json(const json& in, service& value)
{
    in.at("id").get_to(value.id);
    in.at("team").get_to(value.team);
    in.at("pools").get_to(value.pools);
    in.at("budget").get_to(value.budget);
    value.default_priority = enum_from<priority>(in, "default_priority");
    in.at("idempotent").get_to(value.idempotent);
    value.default_deadline = duration_at(in, "default_deadline_ms");
    value.longest_request = duration_at(in, "longest_request_ms");
    for (const json& each : list_at(in, "refusal_statuses")) {
        value.refusal_statuses.push_back(number_from<std::uint16_t>(each, "refusal_statuses"));
    }
}

void to_json(json& out, const pool& value)
{
    out = {{"id", value.id}, {"reserve", value.reserve}, {"lends", value.lends}};
}

void from_json(const json& in, pool& value)
{
    in.at("id").get_to(value.id);
    number_at(in, "reserve", value.reserve);
    in.at("lends").get_to(value.lends);
}

void to_json(json& out, const team& value)
{
    out = {{"id", value.id},
           {"max_in_progress", value.max_in_progress},
           {"max_requests_per_second", value.max_requests_per_second},
           {"max_job_processors", value.max_job_processors},
           {"max_job_accelerators", value.max_job_accelerators}};
}

void from_json(const json& in, team& value)
{
    in.at("id").get_to(value.id);
    number_at(in, "max_in_progress", value.max_in_progress);
    number_at(in, "max_requests_per_second", value.max_requests_per_second);
    number_at(in, "max_job_processors", value.max_job_processors);
    number_at(in, "max_job_accelerators", value.max_job_accelerators);
}

void to_json(json& out, const wave& value)
{
    out = {{"id", value.id},
           {"pools", value.pools},
           {"state", name_of(value.state)},
           {"max_parallel", value.max_parallel},
           {"reason", value.reason},
           {"started", millis(value.started)}};
}

void from_json(const json& in, wave& value)
{
    in.at("id").get_to(value.id);
    in.at("pools").get_to(value.pools);
    value.state = enum_from<wave_state>(in, "state");
    number_at(in, "max_parallel", value.max_parallel);
    in.at("reason").get_to(value.reason);
    value.started = wall_at(in, "started");
}

void to_json(json& out, const rule& value)
{
    out = {{"id", value.id}, {"text", value.text}};
}

void from_json(const json& in, rule& value)
{
    in.at("id").get_to(value.id);
    in.at("text").get_to(value.text);
}

namespace {

template<class Put>
json put_to_json(const Put& value)
{
    return {{"value", value.value}};
}

template<class Remove>
json remove_to_json(const Remove& value)
{
    return {{"id", value.id}};
}

template<class Put>
change put_from_json(const json& in)
{
    return Put{in.at("value").get<decltype(Put::value)>()};
}

template<class Remove>
change remove_from_json(const json& in)
{
    return Remove{in.at("id").get<decltype(Remove::id)>()};
}

change state_from_json(const json& in)
{
    set_instance_state value{.id = in.at("id").get<instance_id>(),
                             .state = enum_from<instance_state>(in, "state"),
                             .wave = in.at("wave").get<wave_id>(),
                             .boots_before = boots_from(in)};
    if (in.contains("moving")) {
        value.moving = in.at("moving").get<planned_move>();
    }
    if (in.contains("maintained")) {
        value.maintained = wall_at(in, "maintained");
    }
    return value;
}

change move_from_json(const json& in)
{
    move_instance value{.id = in.at("id").get<instance_id>(), .pool = in.at("pool").get<pool_id>()};
    if (in.contains("lent")) {
        value.lent = in.at("lent").get<loan>();
    }
    return value;
}

/// Names and encodes each kind of change; the names are those of the decoders' table.
struct change_encoder {
    json operator()(const put_team& c) const { return named("put-team", put_to_json(c)); }
    json operator()(const put_pool& c) const { return named("put-pool", put_to_json(c)); }
    json operator()(const put_service& c) const { return named("put-service", put_to_json(c)); }
    json operator()(const put_instance& c) const { return named("put-instance", put_to_json(c)); }
    json operator()(const put_wave& c) const { return named("put-wave", put_to_json(c)); }
    json operator()(const set_rules& c) const { return named("set-rules", put_to_json(c)); }
    json operator()(const remove_team& c) const { return named("remove-team", remove_to_json(c)); }
    json operator()(const remove_pool& c) const { return named("remove-pool", remove_to_json(c)); }
    json operator()(const remove_service& c) const
    {
        return named("remove-service", remove_to_json(c));
    }
    json operator()(const remove_instance& c) const
    {
        return named("remove-instance", remove_to_json(c));
    }
    json operator()(const set_instance_state& c) const
    {
        json out = {{"id", c.id},
                    {"state", name_of(c.state)},
                    {"wave", c.wave},
                    {"boots_before", c.boots_before}};
        if (c.moving) {
            out["moving"] = *c.moving;
        }
        if (c.maintained) {
            out["maintained"] = millis(*c.maintained);
        }
        return named("set-instance-state", std::move(out));
    }
    json operator()(const move_instance& c) const
    {
        json out = {{"id", c.id}, {"pool", c.pool}};
        if (c.lent) {
            out["lent"] = *c.lent;
        }
        return named("move-instance", std::move(out));
    }

private:
    static json named(const char* kind, json body)
    {
        body["kind"] = kind;
        return body;
    }
};

using change_decoder = change (*)(const json&);

const std::unordered_map<std::string, change_decoder>& change_decoders()
{
    static const std::unordered_map<std::string, change_decoder> table{
        {"put-team", &put_from_json<put_team>},
        {"put-pool", &put_from_json<put_pool>},
        {"put-service", &put_from_json<put_service>},
        {"put-instance", &put_from_json<put_instance>},
        {"put-wave", &put_from_json<put_wave>},
        {"set-rules", &put_from_json<set_rules>},
        {"remove-team", &remove_from_json<remove_team>},
        {"remove-pool", &remove_from_json<remove_pool>},
        {"remove-service", &remove_from_json<remove_service>},
        {"remove-instance", &remove_from_json<remove_instance>},
        {"set-instance-state", &state_from_json},
        {"move-instance", &move_from_json},
    };
    return table;
}

change decode_change(const json& in)
{
    const auto kind = in.at("kind").get<std::string>();
    const auto decoder = change_decoders().find(kind);
    if (decoder == change_decoders().end()) {
        throw decode_error("kind: \"" + kind + "\" is not a change");
    }
    return decoder->second(in);
}

template<class Id, class Value>
json values_of(const std::map<Id, Value>& items)
{
    json out = json::array();
    for (const auto& [id, value] : items) {
        out.push_back(value);
    }
    return out;
}

template<class Id, class Value>
void values_into(const json& in, std::map<Id, Value>& items)
{
    for (const json& each : in) {
        auto value = each.get<Value>();
        const Id id = value.id;
        items.insert_or_assign(id, std::move(value));
    }
}

/// Throws invalid_value_error where a text is not UTF-8.
std::string dumped(const json& value)
{
    try {
        return value.dump();
    }
    catch (const json::type_error& failure) {
        throw invalid_value_error("text", failure.what(), "UTF-8");
    }
}

/// Turns the JSON library's failures into the one type that decoders may throw.
template<class Decode>
auto decoded(std::string_view bytes, Decode decode)
{
    try {
        return decode(json::parse(bytes));
    }
    catch (const json::exception& failure) {
        throw decode_error(failure.what());
    }
}

} // namespace

std::string encode(const delta& step)
{
    json changes = json::array();
    for (const change& each : step.changes) {
        changes.push_back(std::visit(change_encoder{}, each));
    }
    return dumped({{"version", step.version},
                   {"author", step.author},
                   {"reason", step.reason},
                   {"accepted", millis(step.accepted)},
                   {"changes", std::move(changes)}});
}

std::string encode(const fleet& whole)
{
    return dumped({{"version", whole.version},
                   {"teams", values_of(whole.teams)},
                   {"pools", values_of(whole.pools)},
                   {"services", values_of(whole.services)},
                   {"instances", values_of(whole.instances)},
                   {"waves", values_of(whole.waves)},
                   {"rules", whole.rules}});
}

delta decode_delta(std::string_view bytes)
{
    return decoded(bytes, [](const json& in) {
        delta step;
        number_at(in, "version", step.version);
        in.at("author").get_to(step.author);
        in.at("reason").get_to(step.reason);
        step.accepted = wall_at(in, "accepted");
        for (const json& each : list_at(in, "changes")) {
            step.changes.push_back(decode_change(each));
        }
        return step;
    });
}

fleet decode_fleet(std::string_view bytes)
{
    return decoded(bytes, [](const json& in) {
        fleet whole;
        number_at(in, "version", whole.version);
        values_into(list_at(in, "teams"), whole.teams);
        values_into(list_at(in, "pools"), whole.pools);
        values_into(list_at(in, "services"), whole.services);
        values_into(list_at(in, "instances"), whole.instances);
        values_into(list_at(in, "waves"), whole.waves);
        in.at("rules").get_to(whole.rules);
        return whole;
    });
}

} // namespace plantaindoor::version
