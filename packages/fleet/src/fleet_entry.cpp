#include "plantaindoor/fleet/fleet_entry.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part leader_log("duty");
constexpr process::log_part loop_log("loop");

constexpr milliseconds tick_interval{50};
/// A longer delay of the event loop is logged: answers wait that long in the process.
constexpr milliseconds logged_loop_delay{500};
constexpr milliseconds reprobe_delay{60};
/// Refused probes after which the leader's process counts as ended. A single one may be caused by
/// an interrupted network path.
constexpr std::uint32_t min_refused_probes = 2;
/// An entry without a response of the store for this time reports that it isn't ready, so that the
/// platform sends callers to other entries.
constexpr milliseconds max_store_response_age{3000};
constexpr std::uint16_t status_too_large = 413;

} // namespace

fleet_entry::fleet_entry(const session_context& context, connection::http_client& client,
                         fleet_entry_options options, const std::function<std::uint64_t()>& random)
    : m_context(context),
      m_options(std::move(options)),
      m_alive(std::make_shared<bool>(true)),
      m_writer(context.loop, context.store, {}),
      m_jobs(context.loop, context.store, client, m_writer),
      m_shards(
          context, m_options.shards, random,
          {.on_layout = [this](const auto& layout) { set_layout(layout); },
           .on_session = [this](shard_number shard,
                                leader_session* session) { m_jobs.set_session(shard, session); },
           .on_other_leader =
               [this](shard_number shard, const std::optional<leader_claim>& claim) {
                   set_other_leader(shard, claim);
               },
           .on_store = [this] { m_last_store_response = m_context.loop.now(); }}),
      m_loop_delay(context.metrics.summary(
          {"event_loop_delay_seconds", "How late the event loop runs its timers", {}})),
      m_key_freshness(m_options.keys),
      m_operator_rows(
          context.loop, context.store, m_context.codec, context.metrics,
          {.on_config = [this](const auto& config) { m_shards.apply(config); },
           .on_wave =
               [this](const wave_request& wave) { m_shards.add_wave(wave, m_context.loop.now()); },
           .on_response = [this] { m_last_store_response = m_context.loop.now(); },
           .on_read = [this](time_point sent) { m_key_freshness.note_read(sent); }},
          m_context.clock)
{
    listen();
    tick();
}

fleet_entry::~fleet_entry()
{
    *m_alive = false;
    m_context.loop.cancel(m_tick_timer);
}

void fleet_entry::listen()
{
    peer_state_source source{
        .incarnation = m_options.shards.election.incarnation,
        .state = [this](shard_number shard, const job_id& id) -> std::optional<job::job_status> {
            leader_session* const session = m_jobs.ready_session(shard);
            return session == nullptr ? std::nullopt : session->state_of(id);
        },
        .pending = [this](shard_number shard,
                          const std::string& queue) -> std::optional<std::size_t> {
            leader_session* const session = m_jobs.ready_session(shard);
            return session == nullptr ? std::nullopt : std::optional(session->pending(queue));
        }};
    m_peer_server = std::make_unique<connection::http_server>(
        m_context.loop,
        connection::http_server_options{
            .listen = m_options.peers,
            .on_request =
                [source = std::move(source)](const connection::http_request& request,
                                             const connection::http_responder& respond) {
                    respond(handle_peer_request(request, source));
                },
            .on_overflow = [] { return connection::http_response{.status = status_too_large}; }});
}

void fleet_entry::set_layout(const std::shared_ptr<const shard_layout>& layout)
{
    m_jobs.set_layout(layout);
    m_probes.resize(layout->count());
}

bool fleet_entry::is_ready() const
{
    return config() != nullptr && m_shards.layout() != nullptr && !m_resigning &&
           m_context.loop.now() - m_last_store_response < max_store_response_age;
}

void fleet_entry::set_other_leader(shard_number shard, const std::optional<leader_claim>& claim)
{
    m_jobs.leader_of(shard).set_leader(claim ? claim->peer_address : "",
                                       claim ? claim->incarnation : "");
    m_probes[shard].refused = 0;
}

void fleet_entry::record_delays(time_point now)
{
    const auto delay = std::chrono::duration_cast<milliseconds>(now - m_tick_due);
    m_loop_delay.record(delay);
    if (delay >= logged_loop_delay) {
        loop_log.warning(fmt::format("the event loop is {} ms late", delay.count()));
    }
    m_operator_rows.refresh_gauges();
}

void fleet_entry::tick()
{
    m_tick_due = m_context.loop.now() + tick_interval;
    m_tick_timer = m_context.loop.call_after(tick_interval, [this] {
        const time_point now = m_context.loop.now();
        record_delays(now);
        for (shard_number shard = 0; shard < m_probes.size() && !m_resigning; ++shard) {
            if (m_jobs.leader_of(shard).has_leader() && now >= m_probes[shard].next) {
                m_probes[shard].next = now + m_options.probe_interval;
                probe_leader(shard);
            }
        }
        tick();
    });
}

void fleet_entry::probe_leader(shard_number shard)
{
    leader_elector* const elector = m_shards.elector(shard);
    if (elector == nullptr) {
        return;
    }
    const auto& claim = elector->tracker().claim();
    const std::string incarnation = claim ? claim->incarnation : "";
    m_jobs.leader_of(shard).probe(
        [this, shard, elector, incarnation, alive = m_alive](peer_liveness liveness) {
            if (!*alive) {
                return;
            }
            leader_probe& probe = m_probes[shard];
            if (liveness != peer_liveness::ended) {
                probe.refused = 0;
                return;
            }
            probe.next = m_context.loop.now() + reprobe_delay;
            if (++probe.refused >= min_refused_probes) {
                leader_log.info(fmt::format("shard {}: the leader's process has ended", shard));
                elector->note_incarnation_ended(incarnation);
            }
        });
}

void fleet_entry::resign(const resign_callback& done)
{
    m_resigning = true;
    m_shards.resign(done);
}

} // namespace plantaindoor::fleet
