#include "plantaindoor/process/peer_group.hpp"

#include "plantaindoor/version/codec.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

using connection::endpoint;
using connection::exchange_outcome;
using connection::peer_message;

namespace {

/// A report heard longer ago than this is not passed on.
constexpr seconds report_life{3};

connection::peer_channel_options
channel_options(const peer_group_options& options,
                std::function<peer_message(const peer_message&)> on_exchange)
{
    return {.cluster = options.cluster,
            .self = options.self,
            .incarnation = options.incarnation,
            .listen = options.listen,
            .timeout = options.timeout,
            .on_exchange = std::move(on_exchange)};
}

peer_status status_of(const peer_message& answer, time_point asked)
{
    peer_status status{.entry = answer.entry,
                       .serving = answer.serving,
                       .version = answer.version,
                       .asked = asked,
                       .head_age = answer.head_age};
    for (const connection::peer_heard& each : answer.heard) {
        status.heard.push_back({each.entry, each.age});
    }
    return status;
}

} // namespace

peer_group::peer_group(event_loop& loop, version::table_change_log& log, membership& members,
                       peer_group_options options)
    : m_loop(loop),
      m_log(log),
      m_members(members),
      m_options(std::move(options)),
      m_policy(m_options.policy),
      m_channel(loop, channel_options(m_options, [this](const peer_message& request) {
                    return answer(request);
                }))
{
    refresh_peers();
}

peer_group::~peer_group()
{
    m_loop.cancel(m_timer);
}

void peer_group::start()
{
    m_log.subscribe([this, alive = std::weak_ptr<bool>(m_alive)](const version::fleet_ptr& newest) {
        if (!alive.expired()) {
            m_policy.on_version(newest->version);
            begin_due();
        }
    });
    m_policy.on_version(m_log.current()->version);
    tick();
}

void peer_group::set_registered(const std::vector<version::registration>& rows)
{
    m_registered.clear();
    for (const version::registration& each : rows) {
        if (each.entry != m_options.self && each.peer_port != 0) {
            m_registered.push_back({each.peer_address, each.peer_port});
        }
    }
    refresh_peers();
}

void peer_group::refresh_peers()
{
    std::set<endpoint> all(m_registered.begin(), m_registered.end());
    all.insert(m_options.known_peers.begin(), m_options.known_peers.end());
    for (const endpoint& each : m_refused) {
        all.erase(each);
    }
    const std::vector<endpoint> peers(all.begin(), all.end());
    m_policy.set_peers(peers);
    m_channel.keep_only(peers);
}

void peer_group::tick()
{
    begin_due();
    m_timer = m_loop.call_after(m_options.tick, [this] { tick(); });
}

void peer_group::begin_due()
{
    for (const endpoint& each : m_policy.begin_due(m_loop.now())) {
        begin(each);
    }
}

void peer_group::begin(const endpoint& peer)
{
    peer_message message = status();
    if (const auto known = m_policy.known_version(peer)) {
        if (m_policy.known_behind(peer)) {
            add_versions(message, *known, peer.str());
        }
        else {
            add_unasked_versions(message, *known);
        }
    }
    add_reports(message);
    const auto hop = std::make_shared<span>(
        m_options.spans == nullptr ? span() : m_options.spans->start("entry -> peer"));
    hop->set("to", peer.str());
    m_channel.exchange(peer, message,
                       [this, peer, hop, asked = m_loop.now()](exchange_outcome outcome,
                                                               const peer_message& answered) {
                           hop->set("outcome", std::string(name_of(outcome)));
                           hop->end();
                           on_answer(peer, asked, outcome, answered);
                       });
}

void peer_group::on_answer(const endpoint& peer, time_point asked, exchange_outcome outcome,
                           const peer_message& answered)
{
    switch (outcome) {
    case exchange_outcome::answered:
        take(answered);
        m_policy.on_reply(peer, answered.version_before, answered.version);
        m_members.on_peer(status_of(answered, asked));
        break;
    case exchange_outcome::unreachable:
        m_policy.on_failure(peer, m_loop.now());
        break;
    case exchange_outcome::wrong_cluster:
    case exchange_outcome::self:
        m_refused.insert(peer);
        refresh_peers();
        break;
    }
    begin_due();
}

peer_message peer_group::answer(const peer_message& request)
{
    const version::version_number before = m_log.current()->version;
    take(request);
    peer_message message = status();
    message.version_before = before;
    add_versions(message, request.version, request.entry.str());
    add_reports(message);
    return message;
}

void peer_group::take(const peer_message& message)
{
    take_records(message);
    for (const request::demand_report& each : message.demand) {
        if (each.entry == m_options.self) {
            continue;
        }
        heard_report& held = m_reports[each.entry];
        if (held.report.incarnation != each.incarnation || held.report.sequence < each.sequence) {
            held = {each, m_loop.now()};
            m_options.on_demand(each);
        }
    }
}

void peer_group::take_records(const peer_message& message)
{
    try {
        if (!message.snapshot.empty()) {
            m_log.receive(version::decode_fleet(message.snapshot));
        }
        std::vector<version::log_record> records;
        for (const std::string& each : message.records) {
            records.push_back(version::decode_log_record(each));
        }
        m_log.receive(std::move(records), message.version);
    }
    catch (const version::decode_error&) {
        // What a peer of another release can't say is read from the table.
        return;
    }
}

peer_message peer_group::status()
{
    const time_point now = m_loop.now();
    peer_message message{.entry = m_options.self,
                         .incarnation = m_options.incarnation,
                         .version = m_log.current()->version,
                         .serving = m_members.may_serve(now) == serving_state::serving};
    if (const auto as_of = m_members.current_as_of()) {
        message.head_age = std::chrono::ceil<milliseconds>(now - *as_of);
    }
    for (const heard_entry& each : m_members.heard(now, m_options.max_heard)) {
        message.heard.push_back({each.entry, each.age});
    }
    return message;
}

void peer_group::add_versions(peer_message& message, version::version_number receiver,
                              const std::string& receiver_name)
{
    const version::fleet_ptr current = m_log.current();
    if (receiver >= current->version) {
        return;
    }
    std::size_t bytes = 0;
    for (const auto& each : m_log.follower().records_after(receiver, m_options.max_records)) {
        message.records.push_back(version::encode(each));
        bytes += message.records.back().size();
    }
    if (bytes > m_options.max_unasked_bytes && !take_large_send()) {
        message.records.clear();
        return;
    }
    if (message.records.empty()) {
        add_snapshot(message, receiver_name);
    }
}

void peer_group::add_snapshot(peer_message& message, const std::string& receiver_name)
{
    const time_point now = m_loop.now();
    std::erase_if(m_snapshots_sent,
                  [&](const auto& each) { return now - each.second >= m_options.snapshot_period; });
    if (!m_snapshots_sent.contains(receiver_name) && take_large_send()) {
        m_snapshots_sent.emplace(receiver_name, now);
        message.snapshot = version::encode(*m_log.current());
    }
}

bool peer_group::take_large_send()
{
    if (m_loop.now() - m_large_since >= m_options.large_period) {
        m_large_since = m_loop.now();
        m_large_sent = 0;
    }
    return m_large_sent++ < m_options.max_large_sends;
}

/// What a peer last said may be older than the version: then most have got it from others, so that
/// sending a large one to each would cost its size for each pair of entries.
void peer_group::add_unasked_versions(peer_message& message, version::version_number receiver)
{
    const version::version_number current = m_log.current()->version;
    const bool known_large = m_large_until == current && receiver <= m_large_after;
    if (receiver >= current || known_large) {
        return;
    }
    std::size_t bytes = 0;
    for (const auto& each : m_log.follower().records_after(receiver, m_options.max_records)) {
        message.records.push_back(version::encode(each));
        bytes += message.records.back().size();
        if (bytes > m_options.max_unasked_bytes) {
            message.records.clear();
            m_large_after = receiver;
            m_large_until = current;
            return;
        }
    }
}

void peer_group::add_reports(peer_message& message)
{
    message.demand.push_back({.entry = m_options.self,
                              .incarnation = m_options.incarnation,
                              .sequence = ++m_sequence,
                              .zone = m_options.zone,
                              .services = m_options.demand()});
    if (m_policy.asks_all()) {
        return;
    }
    std::vector<const heard_report*> fresh;
    for (const auto& [entry, held] : m_reports) {
        if (m_loop.now() - held.when <= report_life) {
            fresh.push_back(&held);
        }
    }
    std::ranges::sort(fresh, std::greater{}, &heard_report::when);
    fresh.resize(std::min(fresh.size(), m_options.max_reports));
    for (const heard_report* each : fresh) {
        message.demand.push_back(each->report);
    }
}

} // namespace plantaindoor::process
