#include "plantaindoor/fleet/peer_client.hpp"

#include <fmt/format.h>

#include <charconv>
#include <string_view>
#include <utility>

namespace plantaindoor::fleet {

namespace {

using connection::http_response;
using connection::http_result;
using connection::transport_fault;

constexpr milliseconds call_timeout{300};
/// A port without a listener refuses within a round trip; an unresponsive host takes the whole
/// timeout.
constexpr milliseconds max_refusal_time{100};

constexpr std::string_view ping_path = "/ping";
constexpr std::string_view state_path = "/state/";
constexpr std::string_view pending_path = "/pending/";

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_not_found = 404;

/// Such as "/state/3/0123456789abcdef".
std::string path_in_shard(std::string_view path, shard_number shard, const std::string& name)
{
    return fmt::format("{}{}/{}", path, shard, name);
}

/// A shard and a name in it, as in path_in_shard().
struct name_in_shard {
    shard_number shard = 0;
    std::string name;
};

std::optional<name_in_shard> parse_name_in_shard(std::string_view text)
{
    name_in_shard parsed;
    const auto [rest, error] =
        std::from_chars(text.data(), text.data() + text.size(), parsed.shard);
    if (error != std::errc{} || rest == text.data() + text.size() || *rest != '/') {
        return std::nullopt;
    }
    parsed.name = std::string(rest + 1, text.data() + text.size());
    return parsed;
}

bool is_ok(const http_result& result)
{
    return result.fault == transport_fault::none && result.response.status == status_ok;
}

} // namespace

peer_client::peer_client(event_loop& loop, connection::http_client& client, shard_number shard)
    : m_loop(loop), m_client(client), m_shard(shard)
{
}

void peer_client::set_leader(const std::string& address, const std::string& incarnation)
{
    m_leader = connection::parse_endpoint(address);
    m_incarnation = incarnation;
}

void peer_client::call(const std::string& target, connection::http_client::callback done)
{
    if (!m_leader) {
        m_loop.post([done = std::move(done)] {
            done({.fault = transport_fault::connect_failed, .response = {}});
        });
        return;
    }
    connection::http_call call{.to = *m_leader,
                               .request = {.method = "GET", .target = target},
                               .timeout = call_timeout,
                               .connect_timeout = call_timeout,
                               .hop = "entry -> entry"};
    m_client.start(std::move(call), std::move(done));
}

void peer_client::state(const job_id& id, state_callback done)
{
    call(path_in_shard(state_path, m_shard, id.str()),
         [done = std::move(done)](const http_result& result) {
             done(is_ok(result) ? job::parse_job_status(result.response.body) : std::nullopt);
         });
}

void peer_client::pending(const std::string& queue, pending_callback done)
{
    call(path_in_shard(pending_path, m_shard, queue),
         [done = std::move(done)](const http_result& result) {
             const std::string& body = result.response.body;
             std::size_t count = 0;
             const auto parsed = std::from_chars(body.data(), body.data() + body.size(), count);
             done(is_ok(result) && parsed.ec == std::errc{} ? std::optional(count) : std::nullopt);
         });
}

void peer_client::probe(liveness_callback done)
{
    call(std::string(ping_path), [this, started = m_loop.now(), incarnation = m_incarnation,
                                  done = std::move(done)](const http_result& result) {
        if (is_ok(result)) {
            done(result.response.body == incarnation ? peer_liveness::alive : peer_liveness::ended);
            return;
        }
        const bool refused = result.fault == transport_fault::connect_failed &&
                             m_loop.now() - started < max_refusal_time;
        done(refused ? peer_liveness::ended : peer_liveness::unresponsive);
    });
}

http_response handle_peer_request(const connection::http_request& request,
                                  const peer_state_source& source)
{
    const std::string_view target = request.target;
    if (target == ping_path) {
        return {.status = status_ok, .body = source.incarnation};
    }
    if (target.starts_with(state_path)) {
        const auto asked = parse_name_in_shard(target.substr(state_path.size()));
        const auto state = asked ? source.state(asked->shard, job_id(asked->name)) : std::nullopt;
        if (state) {
            return {.status = status_ok, .body = to_text(*state)};
        }
    }
    if (target.starts_with(pending_path)) {
        const auto asked = parse_name_in_shard(target.substr(pending_path.size()));
        const auto count = asked ? source.pending(asked->shard, asked->name) : std::nullopt;
        if (count) {
            return {.status = status_ok, .body = std::to_string(*count)};
        }
    }
    return {.status = status_not_found};
}

} // namespace plantaindoor::fleet
