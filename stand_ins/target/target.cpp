#include "target.hpp"

#include "plantaindoor/common/hash.hpp"
#include "plantaindoor/common/scope_guard.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace plantaindoor::stand_in {

using nlohmann::json;

namespace {

constexpr milliseconds trickle_interval{10};
constexpr milliseconds chunk_interval{50};

struct head_options {
    int status = 200;
    std::string request_id;
    /// The value of Content-Length.
    std::size_t length = 0;
    bool retry_after = false;
};

std::string head_of(const head_options& options)
{
    std::string head = "HTTP/1.1 " + std::to_string(options.status) +
                       " Reason\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(options.length) + "\r\n";
    if (!options.request_id.empty()) {
        head += "Plantaindoor-Request-Id: " + options.request_id + "\r\n";
    }
    return head + (options.retry_after ? "Retry-After: 1\r\n\r\n" : "\r\n");
}

bool send_json(connection& peer, int status, const std::string& body)
{
    return peer.send(head_of({.status = status, .length = body.size()}) + body);
}

bool send_refusal(connection& peer, const http_request& request)
{
    const std::string body = R"({"type":"no-slot"})";
    return peer.send(head_of({.status = 503,
                              .request_id = request.header("plantaindoor-request-id"),
                              .length = body.size(),
                              .retry_after = true}) +
                     body);
}

bool send_endless(connection& peer, const std::string& request_id)
{
    bool open = peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "Plantaindoor-Request-Id: " +
                          request_id + "\r\n\r\n");
    while (open) {
        std::this_thread::sleep_for(chunk_interval);
        open = peer.send("4\r\nmore\r\n");
    }
    return false;
}

bool send_slowly(connection& peer, std::string_view bytes)
{
    for (; !bytes.empty(); bytes.remove_prefix(1)) {
        if (!peer.send(bytes.substr(0, 1))) {
            return false;
        }
        std::this_thread::sleep_for(trickle_interval);
    }
    return true;
}

} // namespace

target::target(const target_options& options) : m_options(options) {}

void target::serve(int descriptor)
{
    connection peer(descriptor);
    {
        const std::lock_guard lock(m_mutex);
        m_connections.insert(&peer);
    }
    const scope_guard unregister([&] {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(&peer);
    });
    for (auto request = peer.receive(); request; request = peer.receive()) {
        if (!handle(peer, *request)) {
            return;
        }
    }
}

milliseconds target::consume_reboot_request()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_requested_downtime, milliseconds(0));
}

bool target::handle(connection& peer, const http_request& request)
{
    if (!request.path.starts_with("/admin/")) {
        return run(peer, request);
    }
    try {
        return handle_admin(peer, request);
    }
    catch (const json::exception& fault) {
        return send_json(peer, 400, json{{"type", "bad-request"}, {"detail", fault.what()}}.dump());
    }
}

bool target::handle_admin(connection& peer, const http_request& request)
{
    if (request.path == "/admin/runs") {
        return send_json(peer, 200, runs_json());
    }
    if (request.path == "/admin/faults") {
        set_fault(request.body);
        return send_json(peer, 200, "{}");
    }
    if (request.path == "/admin/reboot") {
        reboot(request.body, peer);
        return send_json(peer, 200, "{}");
    }
    return send_json(peer, 404, R"({"type":"unknown-path"})");
}

bool target::run(connection& peer, const http_request& request)
{
    std::uint64_t boot = 0;
    target_fault fault = target_fault::none;
    answer content;
    {
        std::unique_lock lock(m_mutex);
        if (m_in_progress >= m_options.slots || m_fault == target_fault::refuse) {
            ++m_refused;
            lock.unlock();
            return send_refusal(peer, request);
        }
        ++m_in_progress;
        boot = m_boot;
        const auto rebooted = [&] { return m_boot != boot; };
        m_state_changed.wait(lock, [&] { return rebooted() || m_fault != target_fault::freeze; });
        if (rebooted()) {
            return false;
        }
        fault = m_fault;
        content = make_answer(request, ++m_runs[request.header("plantaindoor-request-id")]);
        if (const std::string key = request.header("idempotency-key"); !key.empty()) {
            ++m_runs_by_key[key];
        }
        const milliseconds extra = fault == target_fault::slow ? m_slow : milliseconds(0);
        const milliseconds service_time =
            fault == target_fault::fail_all ? milliseconds(0) : m_options.service_time + extra;
        if (service_time > milliseconds(0) &&
            m_state_changed.wait_for(lock, service_time, rebooted)) {
            return false;
        }
    }
    const bool keep_open = send_answer(peer, fault, content);
    return finish(boot) && keep_open;
}

bool target::finish(std::uint64_t boot)
{
    const std::lock_guard lock(m_mutex);
    if (boot != m_boot) {
        return false;
    }
    --m_in_progress;
    ++m_finished;
    return true;
}

target::answer target::make_answer(const http_request& request, std::uint64_t runs)
{
    const std::string id = request.header("plantaindoor-request-id");
    if (m_fault == target_fault::fail_all) {
        return {.status = 500, .request_id = id, .body = R"({"type":"failed"})"};
    }
    const json body{{"target", m_options.id},
                    {"request_id", id},
                    {"method", request.method},
                    {"path", request.path},
                    {"runs", runs},
                    {"body_bytes", request.body.size()},
                    {"body_hash", std::to_string(hash64(request.body))},
                    {"traceparent", request.header("traceparent")}};
    answer fresh{.request_id = id,
                 .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
    const answer previous = std::exchange(m_previous, fresh);
    return m_fault == target_fault::swap ? previous : fresh;
}

bool target::send_answer(connection& peer, target_fault fault, const answer& content)
{
    const std::string& body = content.body;
    const auto head = [&](std::size_t length) {
        return head_of(
            {.status = content.status, .request_id = content.request_id, .length = length});
    };
    switch (fault) {
    case target_fault::reset:
        peer.reset_on_close();
        return false;
    case target_fault::truncate:
        peer.send(head(body.size()) + body.substr(0, body.size() / 2));
        return false;
    case target_fault::wrong_length:
        return peer.send(head(body.size() / 2) + body);
    case target_fault::over_long:
        return peer.send(head(m_over_long_bytes)) && peer.send(std::string(m_over_long_bytes, 'x'));
    case target_fault::never_end:
        return send_endless(peer, content.request_id);
    case target_fault::trickle:
        return peer.send(head(body.size())) && send_slowly(peer, body);
    default:
        return peer.send(head(body.size()) + body);
    }
}

std::string target::runs_json()
{
    const std::lock_guard lock(m_mutex);
    return json{{"target", m_options.id},
                {"boot", m_boot},
                {"runs", m_runs},
                {"runs_by_key", m_runs_by_key},
                {"in_progress", m_in_progress},
                {"finished", m_finished},
                {"cut", m_interrupted},
                {"refused", m_refused}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

void target::set_fault(const std::string& body)
{
    const json in = json::parse(body);
    const std::lock_guard lock(m_mutex);
    m_fault = parse_enum<target_fault>(in.value("mode", std::string("none")))
                  .value_or(target_fault::none);
    m_options.service_time = milliseconds(in.value("service_ms", m_options.service_time.count()));
    m_slow = milliseconds(in.value("slow_ms", m_slow.count()));
    m_over_long_bytes = in.value("over_long_bytes", m_over_long_bytes);
    m_options.slots = in.value("slots", m_options.slots);
    m_state_changed.notify_all();
}

void target::reboot(const std::string& body, const connection& requester)
{
    const json in = json::parse(body.empty() ? "{}" : body);
    const std::lock_guard lock(m_mutex);
    m_interrupted += std::exchange(m_in_progress, 0);
    ++m_boot;
    m_requested_downtime = std::max(milliseconds(1), milliseconds(in.value("down_ms", 0)));
    for (connection* each : m_connections) {
        if (each != &requester) {
            each->shut_down();
        }
    }
    m_state_changed.notify_all();
}

} // namespace plantaindoor::stand_in
