#include "plantaindoor/connection/http_platform.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace plantaindoor::connection {

using nlohmann::json;

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_accepted = 202;
constexpr std::uint16_t status_not_modified = 304;
constexpr std::uint16_t status_conflict = 409;

http_call make_call(const platform_options& options, const char* method, std::string target,
                    std::string body = {})
{
    return {.to = options.at,
            .request = {.method = method,
                        .target = std::move(target),
                        .headers = {{"Content-Type", "application/json"}},
                        .body = std::move(body)},
            .timeout = options.timeout,
            .connect_timeout = options.timeout,
            .answer_limit_bytes = 64U << 20U};
}

/// The callback, after the call's bytes were counted for the part.
template<class Done>
http_client::callback counted(const platform_options& options, std::string_view part, Done done)
{
    return [meter = options.traffic, part = std::string(part),
            done = std::move(done)](http_result result) {
        if (meter != nullptr) {
            meter->add(part, {.sent = result.bytes_sent, .received = result.bytes_received});
        }
        done(std::move(result));
    };
}

std::string_view part_of(const std::vector<std::string>& keys)
{
    return keys.empty() ? "none" : traffic_meter::part_of(keys.front());
}

std::string_view part_of(const table_transaction& transaction)
{
    return transaction.writes.empty() ? "none"
                                      : traffic_meter::part_of(transaction.writes.front().key);
}

bool answered_with(const http_result& result, std::uint16_t status)
{
    return result.fault == transport_fault::none && result.response.status == status;
}

/// Decodes a JSON answer; no value where the bytes are not what was expected.
template<class Decode>
auto decoded(const std::string& body, Decode decode) -> std::optional<decltype(decode(json()))>
{
    try {
        return decode(json::parse(body));
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<table_row> rows_of(const json& in)
{
    std::vector<table_row> rows;
    for (const json& each : in) {
        rows.push_back({.key = each.at("key").get<std::string>(),
                        .value = each.at("value").get<std::string>(),
                        .version = each.at("version").get<row_version>()});
    }
    return rows;
}

void deliver_rows(const http_result& result, const table::read_callback& done)
{
    if (!answered_with(result, status_ok)) {
        done(std::nullopt);
        return;
    }
    done(decoded(result.response.body, [](const json& in) { return rows_of(in.at("rows")); }));
}

json condition_json(const row_condition& condition)
{
    return {{"key", condition.key}, {"version", condition.version}};
}

json write_json(const row_write& write)
{
    if (write.value) {
        return {{"key", write.key}, {"value", *write.value}};
    }
    return {{"key", write.key}, {"delete", true}};
}

json transaction_json(const table_transaction& transaction)
{
    json conditions = json::array();
    for (const row_condition& each : transaction.conditions) {
        conditions.push_back(condition_json(each));
    }
    json writes = json::array();
    for (const row_write& each : transaction.writes) {
        writes.push_back(write_json(each));
    }
    return {{"conditions", std::move(conditions)}, {"writes", std::move(writes)}};
}

transact_result transact_result_of(const http_result& result)
{
    if (!result.sent) {
        return {.outcome = transact_outcome::unavailable};
    }
    std::optional<transact_result> read;
    if (answered_with(result, status_ok)) {
        read = decoded(result.response.body, [](const json& in) {
            return transact_result{.outcome = transact_outcome::applied,
                                   .version = in.at("version").get<row_version>()};
        });
    }
    else if (answered_with(result, status_conflict)) {
        read = decoded(result.response.body, [](const json& in) {
            return transact_result{.outcome = transact_outcome::conflict,
                                   .present = rows_of(in.at("present"))};
        });
    }
    return read.value_or(transact_result{.outcome = transact_outcome::unknown});
}

operation_outcome operation_outcome_of(const http_result& result)
{
    if (answered_with(result, status_accepted)) {
        return operation_outcome::accepted;
    }
    return answered_with(result, status_conflict) ? operation_outcome::refused
                                                  : operation_outcome::unknown;
}

listed_instance listed_from(const json& in)
{
    listed_instance line{.id = in.at("id").get<std::string>()};
    line.role = parse_enum<listed_role>(in.at("role").get<std::string>()).value_or(line.role);
    line.state = parse_enum<listed_state>(in.at("state").get<std::string>()).value_or(line.state);
    return line;
}

task_report report_from(const json& in)
{
    task_report report{.job = job_id(in.at("job").get<std::string>()),
                       .worker = instance_id(in.at("worker").get<std::string>()),
                       .processors_used = in.at("processors_used").get<double>(),
                       .memory_mb_used = in.at("memory_mb_used").get<std::uint64_t>(),
                       .run_ms = in.at("run_ms").get<std::uint64_t>(),
                       .saved_ms = in.value("saved_ms", std::uint64_t{0}),
                       .started_by = operation_id(in.value("started_by", std::string()))};
    report.state = parse_enum<task_state>(in.at("state").get<std::string>()).value_or(report.state);
    return report;
}

/// Decodes a JSON list with one decoder for each of its items.
template<class Item>
std::optional<std::vector<Item>> items_of(const http_result& result, const char* list,
                                          Item (*item_from)(const json&))
{
    if (!answered_with(result, status_ok)) {
        return std::nullopt;
    }
    return decoded(result.response.body, [&](const json& in) {
        std::vector<Item> items;
        for (const json& each : in.at(list)) {
            items.push_back(item_from(each));
        }
        return items;
    });
}

std::string object_target(const std::string& name)
{
    return "/objects/" + name;
}

} // namespace

http_table::http_table(http_client& client, platform_options options)
    : m_client(client), m_options(std::move(options))
{
}

void http_table::read(std::vector<std::string> keys, read_callback done)
{
    m_client.start(
        make_call(m_options, "POST", "/table/read", json{{"keys", keys}}.dump()),
        counted(m_options, part_of(keys), [done = std::move(done)](const http_result& result) {
            deliver_rows(result, done);
        }));
}

void http_table::scan(scan_options options, read_callback done)
{
    const json body{{"prefix", options.prefix}, {"after", options.after}, {"limit", options.limit}};
    m_client.start(make_call(m_options, "POST", "/table/scan", body.dump()),
                   counted(m_options, traffic_meter::part_of(options.prefix),
                           [done = std::move(done)](const http_result& result) {
                               deliver_rows(result, done);
                           }));
}

void http_table::transact(table_transaction transaction, transact_callback done)
{
    m_client.start(
        make_call(m_options, "POST", "/table/transact", transaction_json(transaction).dump()),
        counted(m_options, part_of(transaction),
                [done = std::move(done)](const http_result& result) {
                    done(transact_result_of(result));
                }));
}

http_instances::http_instances(http_client& client, platform_options options)
    : m_client(client), m_options(std::move(options))
{
}

void http_instances::list(list_callback done)
{
    http_call call = make_call(m_options, "GET", "/instances");
    const auto known = m_memory->newest;
    if (known != nullptr) {
        call.request.headers.push_back({"If-None-Match", known->tag});
    }
    const auto on_result = [memory = m_memory, known,
                            done = std::move(done)](const http_result& result) {
        if (answered_with(result, status_not_modified) && known != nullptr) {
            done(known->lines);
            return;
        }
        auto lines = items_of(result, "instances", &listed_from);
        if (lines) {
            const std::string* tag = find_header(result.response.headers, "ETag");
            memory->newest =
                tag == nullptr ? nullptr : std::make_shared<tagged_list>(tagged_list{*tag, *lines});
        }
        done(std::move(lines));
    };
    m_client.start(std::move(call), counted(m_options, "list", on_result));
}

void http_instances::reboot(const instance_id& instance, const operation_guard& guard,
                            operation_callback done)
{
    const json body{{"operation_id", guard.id.str()}, {"epoch", guard.epoch}};
    m_client.start(
        make_call(m_options, "POST", "/instances/" + instance.str() + "/reboot", body.dump()),
        counted(m_options, "instances", [done = std::move(done)](const http_result& result) {
            done(operation_outcome_of(result));
        }));
}

void http_instances::boot_count(const instance_id& instance,
                                std::function<void(std::optional<std::uint64_t>)> done)
{
    m_client.start(
        make_call(m_options, "GET", "/instances/" + instance.str()),
        counted(m_options, "instances", [done = std::move(done)](const http_result& result) {
            if (!answered_with(result, status_ok)) {
                done(std::nullopt);
                return;
            }
            done(decoded(result.response.body,
                         [](const json& in) { return in.at("boot_count").get<std::uint64_t>(); }));
        }));
}

http_tasks::http_tasks(http_client& client, platform_options options)
    : m_client(client), m_options(std::move(options))
{
}

void http_tasks::command(const task_command& command, const operation_guard& guard,
                         operation_callback done)
{
    const json body{{"operation_id", guard.id.str()},    {"epoch", guard.epoch},
                    {"action", name_of(command.action)}, {"job", command.job.str()},
                    {"worker", command.worker.str()},    {"processors", command.processors},
                    {"memory_mb", command.memory_mb},    {"accelerators", command.accelerators},
                    {"lease_ms", command.lease_ms}};
    m_client.start(make_call(m_options, "POST", "/tasks", body.dump()),
                   counted(m_options, "tasks", [done = std::move(done)](const http_result& result) {
                       done(operation_outcome_of(result));
                   }));
}

void http_tasks::reports(report_callback done)
{
    m_client.start(make_call(m_options, "GET", "/tasks"),
                   counted(m_options, "tasks", [done = std::move(done)](const http_result& result) {
                       done(items_of(result, "tasks", &report_from));
                   }));
}

http_objects::http_objects(http_client& client, platform_options options)
    : m_client(client), m_options(std::move(options))
{
}

void http_objects::put(std::string name, std::string bytes, std::function<void(bool)> done)
{
    m_client.start(
        make_call(m_options, "PUT", object_target(name), std::move(bytes)),
        counted(m_options, "objects", [done = std::move(done)](const http_result& result) {
            done(answered_with(result, status_ok));
        }));
}

void http_objects::get(std::string name, std::function<void(std::optional<std::string>)> done)
{
    m_client.start(make_call(m_options, "GET", object_target(name)),
                   counted(m_options, "objects", [done = std::move(done)](http_result result) {
                       done(answered_with(result, status_ok)
                                ? std::optional(std::move(result.response.body))
                                : std::nullopt);
                   }));
}

void http_objects::remove(std::string name, std::function<void(bool)> done)
{
    m_client.start(
        make_call(m_options, "DELETE", object_target(name)),
        counted(m_options, "objects", [done = std::move(done)](const http_result& result) {
            done(answered_with(result, status_ok));
        }));
}

} // namespace plantaindoor::connection
