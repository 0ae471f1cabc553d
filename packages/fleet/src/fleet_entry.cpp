#include "plantaindoor/fleet/fleet_entry.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <utility>
#include <variant>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part config_log("config");
constexpr process::log_part duty_log("duty");

constexpr milliseconds tick_period{50};
constexpr milliseconds probe_period{400};
constexpr milliseconds probe_again{60};
/// One refusal may come from a path that is cut.
constexpr std::uint32_t refusals_of_ended = 2;
/// Bounds how long a connection that has gone silent hides a new configuration.
constexpr milliseconds operator_wait{1500};
/// An entry that hasn't heard of the store for so long sends callers elsewhere.
constexpr milliseconds store_silence{3000};
constexpr std::uint16_t status_too_large = 413;

} // namespace

fleet_entry::fleet_entry(const session_context& context, connection::http_client& client,
                         fleet_entry_options options)
    : m_context(context),
      m_options(std::move(options)),
      m_alive(std::make_shared<bool>(true)),
      m_peers(context.loop, client),
      m_intake(context.loop, context.store, {}),
      m_desk(context.loop, context.store, m_intake, m_peers),
      m_duty(context, m_options.duty,
             {.on_session = [this](control_session* session) { m_desk.set_session(session); },
              .on_other_holder =
                  [this](const std::optional<duty_claim>& claim) { set_other_holder(claim); },
              .on_store = [this] { m_store_answered = m_context.loop.now(); }})
{
    listen();
    follow_operator();
    tick();
}

fleet_entry::~fleet_entry()
{
    *m_alive = false;
    m_context.loop.cancel(m_tick_timer);
    m_desk.set_session(nullptr);
}

void fleet_entry::listen()
{
    const auto ready_session = [this]() -> control_session* {
        control_session* const session = m_duty.session();
        return session != nullptr && session->ready() ? session : nullptr;
    };
    peer_answers answers{
        .incarnation = m_options.duty.incarnation,
        .state = [ready_session](const job_id& id) -> std::optional<job::job_state> {
            control_session* const session = ready_session();
            return session == nullptr ? std::nullopt : session->state_of(id);
        },
        .pending = [ready_session](const std::string& queue) -> std::optional<std::size_t> {
            control_session* const session = ready_session();
            return session == nullptr ? std::nullopt : std::optional(session->pending(queue));
        }};
    m_peer_server = std::make_unique<connection::http_server>(
        m_context.loop,
        connection::http_server_options{
            .listen = m_options.peers,
            .on_request =
                [answers = std::move(answers)](const connection::http_request& request,
                                               const connection::http_responder& respond) {
                    respond(answer_peer(request, answers));
                },
            .on_overflow = [] { return connection::http_response{.status = status_too_large}; }});
}

bool fleet_entry::ready() const
{
    return m_config != nullptr && !m_retiring &&
           m_context.loop.now() - m_store_answered < store_silence;
}

void fleet_entry::follow_operator()
{
    m_operator_rows = std::make_unique<table_follower>(
        m_context.loop, m_context.store,
        follower_options{.table = m_context.forms.operator_table, .wait = operator_wait},
        table_follower::observers{
            .on_row = [this](const stored_row& row) { take_operator_row(row); },
            .on_complete = [] {},
            .on_alive = [this] { m_store_answered = m_context.loop.now(); },
            .on_failure = [] {}});
}

void fleet_entry::take_operator_row(const stored_row& row)
{
    if (row.removed) {
        return;
    }
    operator_row read = m_context.forms.parse_operator_row(row);
    if (const auto* const wave = std::get_if<wave_request>(&read)) {
        config_log.info(fmt::format("wave {} over {} machines, at most {} down", wave->number,
                                    wave->machines.size(), wave->most_down));
        m_duty.add_wave(*wave, m_context.loop.now());
        return;
    }
    auto* const config = std::get_if<fleet_config>(&read);
    if (config == nullptr) {
        config_log.warning(fmt::format("row {} of operators can't be read", row.at.key));
        return;
    }
    if (m_config && config->version <= m_config->version) {
        return;
    }
    config_log.info(fmt::format("version {} in force: {} routes, {} pools", config->version,
                                config->routes.size(), config->pools.size()));
    if (m_config) {
        carry_former_services(*m_config, *config);
    }
    m_config = std::make_shared<const fleet_config>(std::move(*config));
    m_duty.apply(m_config);
}

void fleet_entry::set_other_holder(const std::optional<duty_claim>& claim)
{
    m_peers.set_holder(claim ? claim->peer_address : "", claim ? claim->incarnation : "");
    m_refused_probes = 0;
}

void fleet_entry::tick()
{
    m_tick_timer = m_context.loop.call_after(tick_period, [this] {
        const time_point now = m_context.loop.now();
        if (m_peers.has_holder() && !m_retiring && now >= m_next_probe) {
            m_next_probe = now + probe_period;
            probe_holder();
        }
        tick();
    });
}

void fleet_entry::probe_holder()
{
    const auto& claim = m_duty.tracker().claim();
    const std::string incarnation = claim ? claim->incarnation : "";
    m_peers.probe([this, incarnation, alive = m_alive](peer_life life) {
        if (!*alive) {
            return;
        }
        if (life != peer_life::ended) {
            m_refused_probes = 0;
            return;
        }
        m_next_probe = m_context.loop.now() + probe_again;
        if (++m_refused_probes >= refusals_of_ended) {
            duty_log.info("the holder's process has ended");
            m_duty.note_ended(incarnation);
        }
    });
}

void fleet_entry::retire(event done)
{
    m_retiring = true;
    m_duty.retire(std::move(done));
}

} // namespace plantaindoor::fleet
