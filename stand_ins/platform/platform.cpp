#include "platform.hpp"

#include "plantaindoor/common/hash.hpp"
#include "plantaindoor/common/scope_guard.hpp"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <thread>
#include <utility>
#include <vector>

namespace plantaindoor::stand_in {

using nlohmann::json;

namespace {

constexpr long reboot_call_timeout_ms = 1000;

time_point now()
{
    return std::chrono::steady_clock::now();
}

http_reply json_reply(const json& body, unsigned status = 200)
{
    return {.status = status, .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_reply error_reply(unsigned status, const std::string& type)
{
    return json_reply({{"type", type}}, status);
}

/// Adds an entity tag (a hash of the body); replies 304 if the client's tag matches.
http_reply with_entity_tag(http_reply reply, const std::string& client_tag)
{
    reply.entity_tag = '"' + std::to_string(hash64(reply.body)) + '"';
    if (reply.entity_tag == client_tag) {
        reply.status = 304;
        reply.body.clear();
    }
    return reply;
}

json rows_to_json(const std::vector<table_row>& rows)
{
    json all = json::array();
    for (const table_row& row : rows) {
        all.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version}});
    }
    return all;
}

table_transaction parse_transaction(const json& in)
{
    table_transaction out;
    for (const json& each : in.value("conditions", json::array())) {
        out.conditions.push_back({each.at("key"), each.at("version").get<row_version>()});
    }
    for (const json& each : in.value("writes", json::array())) {
        row_write write{.key = each.at("key")};
        if (!each.value("delete", false)) {
            write.value = each.at("value").get<std::string>();
        }
        out.writes.push_back(std::move(write));
    }
    return out;
}

http_reply operation_reply(operation_result operation)
{
    switch (operation) {
    case operation_result::started:
        return json_reply(json{{"accepted", true}}, 202);
    case operation_result::already_accepted:
        return json_reply(json{{"accepted", true}, {"repeated", true}}, 202);
    case operation_result::stale_epoch:
        return error_reply(409, "stale-epoch");
    case operation_result::unknown_subject:
        break;
    }
    return error_reply(409, "unknown-subject");
}

/// Notifies a target stand-in that its machine reboots; errors are ignored.
void notify_reboot(const std::string& address, milliseconds down_time)
{
    CURL* easy = curl_easy_init();
    const scope_guard cleanup([easy] { curl_easy_cleanup(easy); });
    const std::string url = "http://" + address + "/admin/reboot";
    const std::string body = json{{"down_ms", down_time.count()}}.dump();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, reboot_call_timeout_ms);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(
        easy, CURLOPT_WRITEFUNCTION,
        +[](char*, std::size_t size, std::size_t count, void*) -> std::size_t {
            return size * count;
        });
    curl_easy_perform(easy);
}

} // namespace

platform::platform(const platform_options& options)
{
    m_instances.lag = options.list_lag;
    m_tasks.lag = options.list_lag;
    m_instances.reboot_time = options.reboot_time;
}

std::optional<http_reply> platform::handle(const http_call& call)
{
    const route to = parse_route(call.path);
    std::this_thread::sleep_for(injected_delay(to));
    std::string address_to_notify;
    std::optional<http_reply> reply;
    {
        const std::lock_guard lock(m_mutex);
        const injected_fault fault = next_fault(call, to);
        if (fault == injected_fault::refused) {
            return error_reply(503, "down");
        }
        if (fault == injected_fault::call_lost) {
            return std::nullopt;
        }
        try {
            reply = dispatch(call, to);
        }
        catch (const json::exception& json_error) {
            return json_reply({{"type", "bad-request"}, {"detail", json_error.what()}}, 400);
        }
        if (to.verb == "reboot" && reply->body == operation_reply(operation_result::started).body) {
            address_to_notify = m_instances.reboot_address(to.name);
        }
        if (fault == injected_fault::reply_lost) {
            reply.reset();
        }
    }
    if (!address_to_notify.empty()) {
        notify_reboot(address_to_notify, m_instances.reboot_time);
    }
    return reply;
}

platform::route platform::parse_route(const std::string& path)
{
    const auto first = path.find('/', 1);
    if (first == std::string::npos) {
        return {.part = path.substr(1)};
    }
    const std::string part = path.substr(1, first - 1);
    const auto second = part == "instances" ? path.find('/', first + 1) : std::string::npos;
    const std::string name = path.substr(first + 1, second - first - 1);
    return {part, name, second == std::string::npos ? "" : path.substr(second + 1)};
}

bool platform::has_effect(const http_call& call, const route& to)
{
    return to.part == "table" ? to.name == "transact" : call.method != "GET";
}

milliseconds platform::injected_delay(const route& to)
{
    const std::lock_guard lock(m_mutex);
    const bool affected = to.part != "admin" && (m_faults.only.empty() || m_faults.only == to.part);
    return affected ? m_faults.slow : milliseconds(0);
}

platform::injected_fault platform::next_fault(const http_call& call, const route& to)
{
    if (to.part == "admin") {
        return injected_fault::none;
    }
    ++m_counts[to.part == "table" ? to.part + "/" + to.name : call.method + " " + to.part];
    if (!m_faults.only.empty() && m_faults.only != to.part) {
        return injected_fault::none;
    }
    if (m_faults.down) {
        ++m_counts["refused"];
        return injected_fault::refused;
    }
    const bool consumes_fault = !m_faults.effects_only || has_effect(call, to);
    if (consumes_fault && m_faults.lose_call > 0) {
        --m_faults.lose_call;
        ++m_counts["lost_calls"];
        return injected_fault::call_lost;
    }
    if (consumes_fault && m_faults.lose_reply > 0) {
        --m_faults.lose_reply;
        ++m_counts["lost_replies"];
        return injected_fault::reply_lost;
    }
    return injected_fault::none;
}

http_reply platform::dispatch(const http_call& call, const route& to)
{
    using handler = http_reply (platform::*)(const http_call&, const route&);
    static const std::map<std::string, handler> handlers{
        {"table", &platform::on_table},         {"objects", &platform::on_objects},
        {"instances", &platform::on_instances}, {"tasks", &platform::on_tasks},
        {"admin", &platform::on_admin},
    };
    const auto found = handlers.find(to.part);
    return found == handlers.end() ? error_reply(404, "unknown-path")
                                   : (this->*found->second)(call, to);
}

http_reply platform::on_table(const http_call& call, const route& to)
{
    const json in = json::parse(call.body);
    if (to.name == "read") {
        return json_reply({{"rows", rows_to_json(m_table.read(in.at("keys")))}});
    }
    if (to.name == "scan") {
        const scan_options options{.prefix = in.at("prefix"),
                                   .after = in.value("after", std::string()),
                                   .limit = in.value("limit", scan_options{}.limit)};
        return json_reply({{"rows", rows_to_json(m_table.scan(options))}});
    }
    if (to.name != "transact") {
        return error_reply(404, "unknown-path");
    }
    const transact_result result = m_table.transact(parse_transaction(in));
    if (result.outcome == transact_outcome::applied) {
        return json_reply({{"applied", true}, {"version", result.version}});
    }
    return json_reply({{"applied", false}, {"present", rows_to_json(result.present)}}, 409);
}

http_reply platform::on_objects(const http_call& call, const route& to)
{
    if (call.method == "PUT") {
        m_objects.insert_or_assign(to.name, call.body);
        return json_reply(json::object());
    }
    const auto found = m_objects.find(to.name);
    if (found == m_objects.end()) {
        return error_reply(404, "unknown-object");
    }
    if (call.method == "DELETE") {
        m_objects.erase(found);
        return json_reply(json::object());
    }
    return {.body = found->second, .content_type = "application/octet-stream"};
}

http_reply platform::on_instances(const http_call& call, const route& to)
{
    if (to.verb == "reboot") {
        const json in = json::parse(call.body);
        return operation_reply(m_instances.reboot(to.name, in.at("operation_id"),
                                                  in.at("epoch").get<std::uint64_t>(), now()));
    }
    if (to.name.empty()) {
        json all = json::array();
        for (const listed_instance& each : m_instances.list(now())) {
            all.push_back(
                {{"id", each.id}, {"role", name_of(each.role)}, {"state", name_of(each.state)}});
        }
        http_reply reply = json_reply({{"instances", std::move(all)}});
        return m_faults.untagged ? reply : with_entity_tag(std::move(reply), call.if_none_match);
    }
    const auto count = m_instances.boot_count(to.name, now());
    return count ? json_reply(json{{"boot_count", *count}}) : error_reply(404, "unknown-instance");
}

http_reply platform::on_tasks(const http_call& call, const route& /*to*/)
{
    if (call.method == "POST") {
        const json in = json::parse(call.body);
        const auto action = parse_enum<task_action>(in.at("action").get<std::string>());
        if (!action) {
            return error_reply(400, "unknown-action");
        }
        const task_command command{.action = *action,
                                   .job = job_id(in.at("job")),
                                   .worker = instance_id(in.at("worker")),
                                   .processors = in.value("processors", 0.0),
                                   .memory_mb = in.value("memory_mb", std::uint64_t{0}),
                                   .accelerators = in.value("accelerators", 0U),
                                   .lease_ms = in.value("lease_ms", std::uint64_t{0})};
        return operation_reply(m_tasks.command(command, in.at("operation_id"),
                                               in.at("epoch").get<std::uint64_t>(), now()));
    }
    json all = json::array();
    for (const auto& [command, report] : m_tasks.reports(now())) {
        all.push_back({{"job", command.job.str()},
                       {"worker", command.worker.str()},
                       {"state", name_of(report.state)},
                       {"processors_used", command.processors},
                       {"memory_mb_used", command.memory_mb},
                       {"run_ms", report.run.count()},
                       {"saved_ms", report.saved.count()},
                       {"started_by", report.started_by}});
    }
    return json_reply({{"tasks", std::move(all)}});
}

http_reply platform::on_admin(const http_call& call, const route& to)
{
    if (to.name == "counts") {
        return json_reply(json(m_counts));
    }
    using setter = void (platform::*)(const json&);
    static const std::map<std::string, setter> setters{
        {"faults", &platform::set_faults},
        {"instances", &platform::set_instance},
        {"tasks", &platform::set_tasks},
    };
    const auto found = setters.find(to.name);
    if (found == setters.end()) {
        return error_reply(404, "unknown-path");
    }
    (this->*found->second)(json::parse(call.body));
    return json_reply(json::object());
}

void platform::set_faults(const json& in)
{
    m_faults = {.down = in.value("down", false),
                .slow = milliseconds(in.value("slow_ms", 0)),
                .lose_reply = in.value("lose_reply", std::uint64_t{0}),
                .lose_call = in.value("lose_call", std::uint64_t{0}),
                .only = in.value("only", std::string()),
                .effects_only = in.value("effects_only", false),
                .untagged = in.value("untagged", false)};
    if (in.contains("list_lag_ms")) {
        m_instances.lag = milliseconds(in.at("list_lag_ms").get<std::int64_t>());
        m_tasks.lag = m_instances.lag;
    }
}

void platform::set_instance(const json& in)
{
    const std::string role = in.value("role", std::string("target"));
    m_instances.set(in.at("id"), parse_enum<listed_role>(role).value_or(listed_role::target),
                    parse_enum<listed_state>(in.at("state").get<std::string>()),
                    in.value("address", std::string()), now());
}

void platform::set_tasks(const json& in)
{
    if (in.contains("run_ms")) {
        const milliseconds run_time(in.at("run_ms").get<std::int64_t>());
        if (in.contains("job")) {
            m_tasks.run_times.insert_or_assign(in.at("job").get<std::string>(), run_time);
        }
        else {
            m_tasks.default_run_time = run_time;
        }
    }
    if (in.contains("failing_worker")) {
        m_tasks.failing_workers.insert(in.at("failing_worker").get<std::string>());
    }
    if (in.contains("sound_worker")) {
        m_tasks.failing_workers.erase(in.at("sound_worker").get<std::string>());
    }
}

} // namespace plantaindoor::stand_in
