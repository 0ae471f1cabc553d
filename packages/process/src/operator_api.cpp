#include "plantaindoor/process/operator_api.hpp"

#include "plantaindoor/process/append_answer.hpp"
#include "plantaindoor/version/codec.hpp"
#include "plantaindoor/version/fleet_document.hpp"
#include "plantaindoor/version/registration.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace plantaindoor::process {

using connection::operator_request;
using connection::operator_responder;
using connection::table_unavailable_error;
using nlohmann::json;

namespace {

constexpr std::array<const char*, 5> kinds{"teams", "pools", "services", "instances", "rules"};

void add_reads(const operator_api_options& options)
{
    for (const char* const kind : kinds) {
        options.router.add(
            "GET", std::string("/v1/") + kind,
            [&log = options.log, kind](const operator_request&, const operator_responder& respond) {
                const auto fleet = log.current();
                const json whole = json::parse(encode(*fleet));
                respond.json(json{{"version", fleet->version}, {"items", whole.at(kind)}}.dump());
            });
    }
    options.router.add(
        "GET", "/v1/fleet",
        [&log = options.log](const operator_request&, const operator_responder& respond) {
            respond.respond({.status = 200,
                             .headers = {{"Content-Type", "application/yaml"}},
                             .body = to_fleet_document(*log.current())});
        });
}

json claims_json(const entry_status& now)
{
    return {{"granted", now.claims.granted},           {"replayed", now.claims.replayed},
            {"refused", now.claims.refused},           {"recorded", now.claims.recorded},
            {"forgotten", now.claims.forgotten},       {"unsettled", now.claims_unsettled},
            {"transactions", now.claims.transactions}, {"rows", now.claims.rows}};
}

void add_status(const operator_api_options& options)
{
    options.router.add("GET", "/v1/status",
                       [&log = options.log, status = options.status](
                           const operator_request&, const operator_responder& respond) {
                           const entry_status now = status();
                           const auto fleet = log.current();
                           respond.json(json{{"entry", now.entry.str()},
                                             {"zone", now.zone.str()},
                                             {"incarnation", now.incarnation},
                                             {"ready", now.not_ready_reason.empty()},
                                             {"reason", now.not_ready_reason},
                                             {"version", fleet->version},
                                             {"requests_in_progress", now.requests_in_progress},
                                             {"claims", claims_json(now)},
                                             {"pools", fleet->pools.size()},
                                             {"services", fleet->services.size()},
                                             {"instances", fleet->instances.size()}}
                                            .dump());
                       });
}

json entry_json(const table_row& row)
{
    const auto entry = version::decode_registration(row.value);
    json busy = json::array();
    for (const instance_id& each : entry.busy) {
        busy.push_back(each.str());
    }
    return {{"id", entry.entry.str()},
            {"incarnation", entry.incarnation},
            {"zone", entry.zone.str()},
            {"peers", entry.peer_address + ":" + std::to_string(entry.peer_port)},
            {"version", entry.applied},
            {"busy", std::move(busy)},
            {"lease_until_ms", entry.lease_until.time_since_epoch().count()}};
}

void list_entries(table& rows, const operator_responder& respond)
{
    rows.scan({.prefix = std::string(version::registration_prefix)},
              [respond](const read_result& found) {
                  try {
                      if (!found) {
                          throw table_unavailable_error("no answer");
                      }
                      json items = json::array();
                      for (const table_row& row : *found) {
                          items.push_back(entry_json(row));
                      }
                      respond.json(json{{"items", std::move(items)}}.dump());
                  }
                  catch (const std::exception&) {
                      respond.fail(std::current_exception());
                  }
              });
}

/// What an apply changes, and against which version it was judged.
struct judged_apply {
    version::version_number before = 0;
    std::vector<version::change> changes;
};

std::string applied_body(const judged_apply& judged, version::version_number after,
                         const std::vector<version::rule>& rules)
{
    json lines = json::array();
    for (const version::change& each : judged.changes) {
        lines.push_back(version::describe(each));
    }
    return json{{"before", judged.before},
                {"version", after},
                {"changes", std::move(lines)},
                {"warnings", warning_lines(rules)}}
        .dump();
}

void apply_document(version::change_log& log, const operator_request& request,
                    const operator_responder& respond)
{
    const auto wanted = std::make_shared<version::fleet_document>(
        version::parse_fleet_document(request.body, request.query_or("file", "fleet.yaml")));
    if (request.query_or("dry_run", "false") == "true") {
        const auto fleet = log.current();
        respond.json(applied_body({fleet->version, version::changes_to_match(*fleet, *wanted)},
                                  fleet->version, wanted->rules));
        return;
    }
    auto last = std::make_shared<judged_apply>();
    log.append({.author = request.author,
                .reason = request.query_or("reason", "apply"),
                .propose =
                    [wanted, last](const version::fleet& newest) {
                        last->before = newest.version;
                        last->changes = version::changes_to_match(newest, *wanted);
                        return last->changes;
                    }},
               [respond, last, wanted](const version::append_result& result) {
                   respond_appended(respond, result, [&] {
                       return applied_body(*last, result.version, wanted->rules);
                   });
               });
}

} // namespace

void add_operator_routes(const operator_api_options& options)
{
    add_status(options);
    add_reads(options);
    options.router.add(
        "GET", "/v1/entries",
        [&rows = options.rows](const operator_request&, const operator_responder& respond) {
            list_entries(rows, respond);
        });
    options.router.add(
        "POST", "/v1/apply",
        [&log = options.log](const operator_request& request, const operator_responder& respond) {
            apply_document(log, request, respond);
        });
}

} // namespace plantaindoor::process
