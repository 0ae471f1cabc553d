#include "plantaindoor/version/fleet_document.hpp"

#include "plantaindoor/version/rule_set.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <string_view>
#include <utility>

#include <yaml-cpp/yaml.h>

namespace plantaindoor::version {

namespace {

// The callers' listener answers these paths itself.
constexpr std::array<std::string_view, 2> reserved_services{"health", "ready"};
constexpr std::uint32_t most_percent = 100;
constexpr std::uint32_t most_slots = 4096;
constexpr std::int64_t longest_deadline_ms = 3'600'000;
constexpr std::uint16_t least_error_status = 400;
constexpr std::uint16_t most_error_status = 599;

template<class Id>
std::vector<Id> ids_of(const std::vector<std::string>& texts)
{
    std::vector<Id> ids;
    for (const std::string& text : texts) {
        ids.emplace_back(text);
    }
    return ids;
}

/// An identifier is used in paths and table keys, so its characters are limited.
std::string identifier(document_reader& in, const char* key)
{
    std::string text = in.text(key);
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_' || c == '.';
    };
    if (!text.empty() && !std::ranges::all_of(text, allowed)) {
        in.fault_at(key, "letters, digits, '-', '_' and '.' only");
    }
    return text;
}

team read_team(document_reader& in)
{
    return {.id = team_id(identifier(in, "id")),
            .max_in_progress = in.number<std::uint32_t>("max_in_progress", 0),
            .max_requests_per_second = in.number<std::uint32_t>("max_requests_per_second", 0),
            .max_job_processors = in.number<double>("max_job_processors", 0, {.least = 0}),
            .max_job_accelerators = in.number<std::uint32_t>("max_job_accelerators", 0)};
}

pool read_pool(document_reader& in)
{
    return {.id = pool_id(identifier(in, "id")),
            .reserve = in.number<std::uint32_t>("reserve", 0),
            .lends = in.boolean("lends", false)};
}

availability_budget read_budget(document_reader& in)
{
    availability_budget budget;
    std::string minimum = in.text("minimum", "1");
    std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    if (minimum.ends_with('%')) {
        minimum.pop_back();
        budget.unit = budget_unit::percent;
        most = most_percent;
    }
    const char* const last = minimum.data() + minimum.size();
    const auto [end, code] = std::from_chars(minimum.data(), last, budget.minimum);
    if (code != std::errc{} || end != last || budget.minimum > most) {
        in.fault_at("minimum", "a number of instances, or a percentage such as \"75%\"");
    }
    budget.survive = in.named<failure_domain>("survive", failure_domain::none);
    return budget;
}

void read_refusal_statuses(document_reader& in, service& value)
{
    for (const std::string& text : in.texts("refusal_statuses")) {
        std::uint16_t status = 0;
        std::from_chars(text.data(), text.data() + text.size(), status);
        if (status < least_error_status || status > most_error_status) {
            in.fault_at("refusal_statuses", "statuses from 400 to 599");
        }
        value.refusal_statuses.push_back(status);
    }
}

service read_service(document_reader& in)
{
    service value{.id = service_id(identifier(in, "id")), .team = team_id(in.text("team"))};
    if (std::ranges::find(reserved_services, value.id.str()) != reserved_services.end()) {
        in.fault_at("id", "a name other than health and ready");
    }
    value.pools = ids_of<pool_id>(in.texts("pools"));
    if (value.pools.empty()) {
        in.fault_at("pools", "at least one pool");
    }
    in.map("budget", [&](document_reader& budget) { value.budget = read_budget(budget); });
    value.default_priority = in.named<priority>("priority", value.default_priority);
    value.idempotent = in.boolean("idempotent", false);
    value.default_deadline = milliseconds(in.number<std::int64_t>(
        "deadline_ms", value.default_deadline.count(), {.least = 1, .most = longest_deadline_ms}));
    value.longest_request =
        milliseconds(in.number<std::int64_t>("longest_request_ms", value.longest_request.count(),
                                             {.least = 1, .most = longest_deadline_ms}));
    if (value.longest_request < value.default_deadline) {
        in.fault_at("longest_request_ms", "at least deadline_ms");
    }
    read_refusal_statuses(in, value);
    return value;
}

instance read_instance(document_reader& in)
{
    return {.id = instance_id(identifier(in, "id")),
            .pool = pool_id(in.text("pool")),
            .zone = availability_zone_id(in.text("zone")),
            .rack = rack_id(in.text("rack")),
            .address = in.text("address"),
            .port = in.number<std::uint16_t>("port", std::nullopt, {.least = 1}),
            .slots = in.number<std::uint32_t>("slots", 8, {.least = 1, .most = most_slots}),
            .connections =
                in.number<std::uint32_t>("connections", 64, {.least = 1, .most = most_slots}),
            .processors = in.number<double>("processors", 0, {.least = 0}),
            .memory_mb = in.number<std::uint64_t>("memory_mb", 0, {.most = 1ULL << 40U}),
            .accelerators = in.number<std::uint32_t>("accelerators", 0)};
}

template<class Item>
void note_repeats(document_reader& in, const char* key, const std::vector<Item>& items)
{
    std::set<std::string> seen;
    for (const Item& item : items) {
        if (!seen.insert(item.id.str()).second) {
            in.fault_at(key, "each id once; \"" + item.id.str() + "\" is repeated");
        }
    }
}

template<class Item>
std::vector<Item> read_items(document_reader& in, const char* key, Item (*read)(document_reader&))
{
    std::vector<Item> items;
    in.each(key, [&](document_reader& item) { items.push_back(read(item)); });
    note_repeats(in, key, items);
    return items;
}

template<class Item>
std::set<std::string> names_of(const std::vector<Item>& items)
{
    std::set<std::string> names;
    for (const Item& item : items) {
        names.insert(item.id.str());
    }
    return names;
}

/// Rules are kept as written once the rules' own compiler finds no fault.
std::vector<rule> read_rules(document_reader& in, const std::string& file, const rule_names* names,
                             std::vector<document_fault>& faults)
{
    std::vector<rule_source> sources;
    for (const document_node& node : in.list("rules")) {
        const std::string path = "rules[" + std::to_string(sources.size()) + "]";
        sources.push_back({.node = &node, .path = path, .file = file});
    }
    const rule_set compiled(sources, {.names = names}, faults);
    std::vector<rule> rules;
    for (const compiled_rule& each : compiled.rules()) {
        rules.push_back({.id = each.id, .text = each.text});
    }
    note_repeats(in, "rules", rules);
    return rules;
}

/// Puts what is new or different. Items are in order of the document.
template<class Put, class Map, class Item>
void put_different(const Map& present, const std::vector<Item>& wanted,
                   std::vector<change>& changes)
{
    for (const Item& item : wanted) {
        const auto found = present.find(item.id);
        if (found == present.end() || !(found->second == item)) {
            changes.push_back(Put{item});
        }
    }
}

template<class Remove, class Map, class Item>
void remove_missing(const Map& present, const std::vector<Item>& wanted,
                    std::vector<change>& changes)
{
    for (const auto& [id, value] : present) {
        if (std::ranges::find(wanted, id, &Item::id) == wanted.end()) {
            changes.push_back(Remove{id});
        }
    }
}

/// The wanted instance with the planned state that the present one is in.
instance with_present_state(const instance& present, instance wanted)
{
    const pool_id& home = present.lent ? present.lent->home : present.pool;
    if (wanted.pool != home) {
        throw pool_change_error(wanted.id, home, wanted.pool);
    }
    wanted.pool = present.pool;
    wanted.state = present.state;
    wanted.state_version = present.state_version;
    wanted.outage_wave = present.outage_wave;
    wanted.last_wave = present.last_wave;
    wanted.maintained = present.maintained;
    wanted.lent = present.lent;
    wanted.moving = present.moving;
    wanted.boots_before = present.boots_before;
    return wanted;
}

std::vector<instance> with_present_states(const fleet& present, std::vector<instance> wanted)
{
    for (instance& each : wanted) {
        const auto found = present.instances.find(each.id);
        if (found != present.instances.end()) {
            each = with_present_state(found->second, std::move(each));
        }
    }
    return wanted;
}

void check_removals(const fleet& present, const std::vector<instance>& wanted)
{
    for (const auto& [id, value] : present.instances) {
        const bool kept = std::ranges::find(wanted, id, &instance::id) != wanted.end();
        const bool idle =
            value.state == instance_state::stopped || value.state == instance_state::failed;
        if (!kept && !idle) {
            throw instance_in_use_error(id);
        }
    }
}

void check_budgets(const fleet_document& wanted)
{
    for (const service& each : wanted.services) {
        const auto members = static_cast<std::size_t>(
            std::ranges::count_if(wanted.instances, [&](const instance& member) {
                return std::ranges::find(each.pools, member.pool) != each.pools.end();
            }));
        if (each.budget.unit == budget_unit::count && each.budget.minimum > members) {
            throw budget_too_large_error(each.id, each.budget.minimum, members);
        }
    }
}

struct change_describer {
    std::string operator()(const put_team& c) const { return "put team " + c.value.id.str(); }
    std::string operator()(const put_pool& c) const { return "put pool " + c.value.id.str(); }
    std::string operator()(const put_service& c) const { return "put service " + c.value.id.str(); }
    std::string operator()(const put_instance& c) const
    {
        return "put instance " + c.value.id.str();
    }
    std::string operator()(const put_wave& c) const
    {
        return "put wave " + c.value.id.str() + " " + std::string(name_of(c.value.state));
    }
    std::string operator()(const set_rules& c) const
    {
        return "set " + std::to_string(c.value.size()) + " rules";
    }
    std::string operator()(const remove_team& c) const { return "remove team " + c.id.str(); }
    std::string operator()(const remove_pool& c) const { return "remove pool " + c.id.str(); }
    std::string operator()(const remove_service& c) const { return "remove service " + c.id.str(); }
    std::string operator()(const remove_instance& c) const
    {
        return "remove instance " + c.id.str();
    }
    std::string operator()(const set_instance_state& c) const
    {
        return "set instance " + c.id.str() + " " + std::string(name_of(c.state));
    }
    std::string operator()(const move_instance& c) const
    {
        return "move instance " + c.id.str() + " to pool " + c.pool.str();
    }
};

void emit_ids(YAML::Emitter& out, const std::vector<pool_id>& ids)
{
    out << YAML::Flow << YAML::BeginSeq;
    for (const pool_id& id : ids) {
        out << id.str();
    }
    out << YAML::EndSeq;
}

template<class Value>
void emit_member(YAML::Emitter& out, const char* key, const Value& value)
{
    out << YAML::Key << key << YAML::Value << value;
}

void emit(YAML::Emitter& out, const team& value)
{
    emit_member(out, "id", value.id.str());
    emit_member(out, "max_in_progress", value.max_in_progress);
    emit_member(out, "max_requests_per_second", value.max_requests_per_second);
    emit_member(out, "max_job_processors", value.max_job_processors);
    emit_member(out, "max_job_accelerators", value.max_job_accelerators);
}

void emit(YAML::Emitter& out, const pool& value)
{
    emit_member(out, "id", value.id.str());
    emit_member(out, "reserve", value.reserve);
    emit_member(out, "lends", value.lends);
}

void emit(YAML::Emitter& out, const service& value)
{
    const bool percent = value.budget.unit == budget_unit::percent;
    emit_member(out, "id", value.id.str());
    emit_member(out, "team", value.team.str());
    out << YAML::Key << "pools" << YAML::Value;
    emit_ids(out, value.pools);
    out << YAML::Key << "budget" << YAML::Value << YAML::Flow << YAML::BeginMap;
    emit_member(out, "minimum", std::to_string(value.budget.minimum) + (percent ? "%" : ""));
    emit_member(out, "survive", std::string(name_of(value.budget.survive)));
    out << YAML::EndMap;
    emit_member(out, "priority", std::string(name_of(value.default_priority)));
    emit_member(out, "idempotent", value.idempotent);
    emit_member(out, "deadline_ms", value.default_deadline.count());
    emit_member(out, "longest_request_ms", value.longest_request.count());
    emit_member(out, "refusal_statuses", value.refusal_statuses);
}

void emit(YAML::Emitter& out, const instance& value)
{
    emit_member(out, "id", value.id.str());
    emit_member(out, "pool", value.lent ? value.lent->home.str() : value.pool.str());
    emit_member(out, "zone", value.zone.str());
    emit_member(out, "rack", value.rack.str());
    emit_member(out, "address", value.address);
    emit_member(out, "port", value.port);
    emit_member(out, "slots", value.slots);
    emit_member(out, "connections", value.connections);
    emit_member(out, "processors", value.processors);
    emit_member(out, "memory_mb", value.memory_mb);
    emit_member(out, "accelerators", value.accelerators);
}

template<class Map>
void emit_items(YAML::Emitter& out, const char* key, const Map& items)
{
    out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
    for (const auto& [id, value] : items) {
        out << YAML::BeginMap;
        emit(out, value);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

} // namespace

fleet_document parse_fleet_document(const std::string& text, const std::string& file)
{
    const document_node root = parse_document(text, file);
    std::vector<document_fault> faults;
    document_reader in(root, "", file, faults);
    fleet_document wanted;
    if (in.has("version")) {
        wanted.edited = in.number<version_number>("version", std::nullopt, {.most = 1ULL << 52U});
    }
    wanted.teams = read_items(in, "teams", &read_team);
    wanted.pools = read_items(in, "pools", &read_pool);
    wanted.services = read_items(in, "services", &read_service);
    wanted.instances = read_items(in, "instances", &read_instance);
    const rule_names names{.pools = names_of(wanted.pools),
                           .services = names_of(wanted.services),
                           .instances = names_of(wanted.instances)};
    wanted.rules = read_rules(in, file, &names, faults);
    in.finish();
    if (!faults.empty()) {
        throw document_error(std::move(faults));
    }
    return wanted;
}

std::vector<rule> parse_rules(const std::string& text, const std::string& file)
{
    const document_node root = parse_document(text, file);
    const bool only_rules = root.members.size() == 1 && root.find("rules") != nullptr;
    if (!only_rules) {
        return parse_fleet_document(text, file).rules;
    }
    std::vector<document_fault> faults;
    document_reader in(root, "", file, faults);
    std::vector<rule> rules = read_rules(in, file, nullptr, faults);
    if (!faults.empty()) {
        throw document_error(std::move(faults));
    }
    return rules;
}

std::vector<change> changes_to_match(const fleet& present, const fleet_document& wanted)
{
    std::vector<change> changes;
    check_budgets(wanted);
    const auto instances = with_present_states(present, wanted.instances);
    put_different<put_team>(present.teams, wanted.teams, changes);
    put_different<put_pool>(present.pools, wanted.pools, changes);
    put_different<put_service>(present.services, wanted.services, changes);
    put_different<put_instance>(present.instances, instances, changes);
    if (wanted.rules != present.rules) {
        changes.push_back(set_rules{wanted.rules});
    }
    remove_missing<remove_service>(present.services, wanted.services, changes);
    remove_missing<remove_instance>(present.instances, wanted.instances, changes);
    remove_missing<remove_pool>(present.pools, wanted.pools, changes);
    remove_missing<remove_team>(present.teams, wanted.teams, changes);
    if (wanted.edited && *wanted.edited != present.version && !changes.empty()) {
        throw stale_edit_error(*wanted.edited, present.version, describe(changes));
    }
    check_removals(present, wanted.instances);
    return changes;
}

std::string describe(const change& each)
{
    return std::visit(change_describer{}, each);
}

std::string describe(const std::vector<change>& changes)
{
    std::string all;
    for (const change& each : changes) {
        all += (all.empty() ? "" : "\n") + describe(each);
    }
    return all;
}

std::string to_fleet_document(const fleet& present)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    emit_member(out, "version", present.version);
    emit_items(out, "teams", present.teams);
    emit_items(out, "pools", present.pools);
    emit_items(out, "services", present.services);
    emit_items(out, "instances", present.instances);
    out << YAML::Key << "rules" << YAML::Value << YAML::BeginSeq;
    for (const rule& each : present.rules) {
        out << YAML::Load(each.text);
    }
    out << YAML::EndSeq << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace plantaindoor::version
