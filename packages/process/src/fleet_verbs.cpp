#include "plantaindoor/process/fleet_verbs.hpp"

#include "plantaindoor/process/append_answer.hpp"
#include "plantaindoor/version/planned_changes.hpp"

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace plantaindoor::process {

using connection::operator_request;
using connection::operator_responder;
using nlohmann::json;
using version::change;
using version::fleet;
using version::lost_instances;

namespace {

constexpr std::int64_t longest_loan_minutes = std::int64_t{60} * 24 * 30;
constexpr std::size_t default_journal_limit = 100;
constexpr std::size_t most_journal_limit = 10000;
constexpr int deepest_body = 8;

/// One operator's call as a verb sees it.
struct verb_call {
    std::string subject;
    json body;
    lost_instances lost;
    wall_time now{};
};

using propose_function = std::vector<change> (*)(const fleet&, const verb_call&);

/// Refuses a body that is nested too deeply: copies of JSON recurse into it.
bool check_depth(int depth, json::parse_event_t /*event*/, json& /*parsed*/)
{
    if (depth > deepest_body) {
        throw invalid_value_error("body", "deeper nesting",
                                  "at most " + std::to_string(deepest_body) + " levels");
    }
    return true;
}

json body_of(const operator_request& request)
{
    if (request.body.empty()) {
        return json::object();
    }
    json body = json::parse(request.body, &check_depth, false);
    if (!body.is_object()) {
        throw invalid_value_error("body", request.body, "a JSON object");
    }
    return body;
}

std::string text_of(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string()) {
        throw invalid_value_error(name, found == body.end() ? "nothing" : found->dump(), "a name");
    }
    return found->get<std::string>();
}

std::string reason_of(const json& body)
{
    return body.contains("reason") ? text_of(body, "reason") : std::string();
}

std::int64_t number_of(const json& body, const char* name, std::int64_t most)
{
    const auto found = body.find(name);
    const bool fits = found != body.end() && found->is_number_integer() &&
                      found->get<std::int64_t>() >= 0 && found->get<std::int64_t>() <= most;
    if (!fits) {
        throw invalid_value_error(name, found == body.end() ? "nothing" : found->dump(),
                                  "a number from 0 to " + std::to_string(most));
    }
    return found->get<std::int64_t>();
}

std::vector<change> drain(const fleet& newest, const verb_call& call)
{
    return plan_drain(newest, instance_id(call.subject), {.lost = call.lost});
}

std::vector<change> undrain(const fleet& newest, const verb_call& call)
{
    return plan_undrain(newest, instance_id(call.subject));
}

std::vector<change> move(const fleet& newest, const verb_call& call)
{
    return plan_move(newest, {.id = instance_id(call.subject),
                              .to = pool_id(text_of(call.body, "pool")),
                              .lost = call.lost});
}

std::vector<change> lend(const fleet& newest, const verb_call& call)
{
    const auto term = std::chrono::minutes(number_of(call.body, "minutes", longest_loan_minutes));
    return plan_lend(newest, {.id = instance_id(call.subject),
                              .to = pool_id(text_of(call.body, "pool")),
                              .until = call.now + term,
                              .lost = call.lost});
}

std::vector<change> return_loan(const fleet& newest, const verb_call& call)
{
    return plan_return(newest, {.id = instance_id(call.subject), .lost = call.lost});
}

std::vector<change> start_wave(const fleet& newest, const verb_call& call)
{
    version::wave started{.id = wave_id(text_of(call.body, "id")), .started = call.now};
    const json pools = call.body.value("pools", json::array());
    if (!pools.is_array()) {
        throw invalid_value_error("pools", pools.dump(), "a list of pools");
    }
    for (const json& each : pools) {
        if (!each.is_string()) {
            throw invalid_value_error("pools", each.dump(), "a pool's name");
        }
        started.pools.emplace_back(each.get<std::string>());
    }
    if (call.body.contains("max_parallel")) {
        started.max_parallel =
            static_cast<std::uint32_t>(number_of(call.body, "max_parallel", 100000));
    }
    if (started.pools.empty()) {
        for (const auto& [id, each] : newest.pools) {
            started.pools.push_back(id);
        }
    }
    return plan_wave_start(newest, started);
}

template<version::wave_state State>
std::vector<change> set_wave_state(const fleet& newest, const verb_call& call)
{
    return plan_wave_state(newest, wave_id(call.subject), State, reason_of(call.body));
}

struct verb_route {
    const char* path;
    propose_function propose;
};

constexpr std::array<verb_route, 9> verbs{{
    {"/v1/instances/{}/drain", &drain},
    {"/v1/instances/{}/undrain", &undrain},
    {"/v1/instances/{}/move", &move},
    {"/v1/instances/{}/lend", &lend},
    {"/v1/instances/{}/return", &return_loan},
    {"/v1/waves", &start_wave},
    {"/v1/waves/{}/pause", &set_wave_state<version::wave_state::paused>},
    {"/v1/waves/{}/resume", &set_wave_state<version::wave_state::running>},
    {"/v1/waves/{}/abort", &set_wave_state<version::wave_state::aborted>},
}};

void append_verb(const fleet_verbs_options& options, propose_function propose,
                 const operator_request& request, const operator_responder& respond)
{
    const verb_call call{.subject = request.parameters.empty() ? "" : request.parameters.front(),
                         .body = body_of(request),
                         .lost = options.duties.lost(),
                         .now = options.time.wall_now()};
    options.log.append(
        {.author = request.author,
         .reason = reason_of(call.body),
         .propose = [call, propose](const fleet& newest) { return propose(newest, call); }},
        [respond](const version::append_result& result) {
            respond_appended(respond, result, [&] {
                return json{{"version", result.version}}.dump();
            });
        });
}

/// Why the wave takes nothing now; empty if it needn't wait.
std::string reason_to_wait(const wave_plan& plan)
{
    std::string text;
    for (const version::service_figures& each : plan.below_budget) {
        text += "service " + each.service.str() + " has " + std::to_string(each.admitted) + " of " +
                std::to_string(each.budget) + "; ";
    }
    for (const pool_id& each : plan.held) {
        text += "pool " + each.str() + " can spare nothing; ";
    }
    return text;
}

json wave_json(const version::wave& subject, const wave_plan& plan)
{
    const wave_progress& seen = plan.progress;
    json pools = json::array();
    for (const pool_id& each : subject.pools) {
        pools.push_back(each.str());
    }
    return {{"id", subject.id.str()},
            {"state", name_of(subject.state)},
            {"pools", std::move(pools)},
            {"reason", subject.reason},
            {"total", seen.instances},
            {"done", seen.done},
            {"out", seen.out},
            {"failed", seen.failed},
            {"waiting", seen.waiting},
            {"elsewhere", seen.elsewhere},
            {"rounds_left", seen.rounds_left},
            {"eta_seconds", std::chrono::duration_cast<seconds>(seen.estimate).count()},
            {"waiting_for", reason_to_wait(plan)}};
}

void add_wave_reads(const fleet_verbs_options& options)
{
    options.router.add(
        "GET", "/v1/waves", [options](const operator_request&, const operator_responder& respond) {
            const auto whole = options.log.current();
            json items = json::array();
            for (const auto& [id, each] : whole->waves) {
                items.push_back(wave_json(each, options.duties.plan_of(id)));
            }
            respond.json(json{{"version", whole->version}, {"items", std::move(items)}}.dump());
        });
    options.router.add(
        "GET", "/v1/waves/{}",
        [options](const operator_request& request, const operator_responder& respond) {
            const wave_id id(request.parameters.front());
            const wave_plan plan = options.duties.plan_of(id);
            respond.json(wave_json(options.log.current()->waves.at(id), plan).dump());
        });
}

void add_budget_read(const fleet_verbs_options& options)
{
    options.router.add(
        "GET", "/v1/budgets",
        [options](const operator_request&, const operator_responder& respond) {
            const auto whole = options.log.current();
            json items = json::array();
            for (const auto& each : version::ledger(*whole, options.duties.lost()).figures()) {
                items.push_back({{"service", each.service.str()},
                                 {"instances", each.instances},
                                 {"admitted", each.admitted},
                                 {"out", each.out},
                                 {"budget", each.budget},
                                 {"largest_domain", each.largest_domain},
                                 {"spare", each.spare()}});
            }
            respond.json(json{{"version", whole->version}, {"items", std::move(items)}}.dump());
        });
}

void add_drain_read(const fleet_verbs_options& options)
{
    options.router.add(
        "GET", "/v1/instances/{}/drain",
        [options](const operator_request& request, const operator_responder& respond) {
            json items = json::array();
            for (const awaited_entry& each :
                 options.duties.awaited(instance_id(request.parameters.front()))) {
                items.push_back({{"entry", each.entry.str()}, {"reason", name_of(each.reason)}});
            }
            respond.json(json{{"items", std::move(items)}}.dump());
        });
}

std::string printed(wall_time when)
{
    const auto whole = std::chrono::floor<seconds>(when);
    return fmt::format("{:%FT%T}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(whole)),
                       (when - whole).count());
}

json journal_json(const journal_entry& entry)
{
    json facts = json::array();
    for (const journal_fact& each : entry.facts) {
        facts.push_back({{"name", each.name}, {"value", each.value}});
    }
    return {{"when", printed(entry.when)}, {"actor", entry.actor.str()}, {"part", entry.part},
            {"action", entry.action},      {"version", entry.version},   {"rule", entry.rule.str()},
            {"facts", std::move(facts)}};
}

std::size_t journal_limit(const operator_request& request)
{
    const std::string text = request.query_or("limit", "");
    std::size_t limit = default_journal_limit;
    if (!text.empty()) {
        std::from_chars(text.data(), text.data() + text.size(), limit);
    }
    return std::min(limit, most_journal_limit);
}

void add_journal_read(const fleet_verbs_options& options)
{
    options.router.add(
        "GET", "/v1/journal",
        [options](const operator_request& request, const operator_responder& respond) {
            const auto show = [respond](const journal_reading& reading) {
                json items = json::array();
                for (const journal_entry& each : reading.entries) {
                    items.push_back(journal_json(each));
                }
                respond.json(
                    json{{"items", std::move(items)}, {"complete", reading.complete}}.dump());
            };
            options.journal.read_newest(journal_limit(request), show);
        });
}

} // namespace

void add_fleet_verbs(const fleet_verbs_options& options)
{
    for (const verb_route& each : verbs) {
        options.router.add(
            "POST", each.path,
            [options, &each](const operator_request& request, const operator_responder& respond) {
                append_verb(options, each.propose, request, respond);
            });
    }
    add_wave_reads(options);
    add_budget_read(options);
    add_drain_read(options);
    add_journal_read(options);
}

} // namespace plantaindoor::process
