#include "plantaindoor/fleet/fleet_entry.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <utility>
#include <variant>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part entry_log("entry");
constexpr process::log_part config_log("config");
constexpr process::log_part duty_log("duty");

constexpr milliseconds tick_period{50};
constexpr milliseconds probe_period{400};
constexpr milliseconds probe_again{60};
/// One refusal may come from a path that is cut.
constexpr std::uint32_t refusals_of_ended = 2;
constexpr milliseconds duty_wait{1000};
constexpr milliseconds operator_wait{10000};
constexpr milliseconds commit_timeout{700};
/// Attempts of one holder stay below those of the next.
constexpr std::uint32_t attempts_per_generation = 1000;
/// Between the machine orders of two holders, beyond the platform's lease on a machine of 3 s.
constexpr milliseconds machine_handover{3300};
/// An entry that hasn't heard of the store for so long sends callers elsewhere.
constexpr milliseconds store_silence{3000};

} // namespace

fleet_entry::fleet_entry(const session_context& context, connection::http_client& client,
                         fleet_entry_options options)
    : m_context(context),
      m_options(std::move(options)),
      m_alive(std::make_shared<bool>(true)),
      m_duty(m_options.duty, m_options.incarnation),
      m_peers(context.loop, client),
      m_intake(context.loop, context.store, {}),
      m_desk(context.loop, context.store, m_intake, m_peers)
{
    peer_answers answers{.incarnation = m_options.incarnation,
                         .state = [this](const job_id& id) -> std::optional<job::job_state> {
                             return m_session && m_session->ready() ? m_session->state_of(id)
                                                                    : std::nullopt;
                         },
                         .pending = [this](const std::string& queue) -> std::optional<std::size_t> {
                             return m_session && m_session->ready()
                                        ? std::optional(m_session->pending(queue))
                                        : std::nullopt;
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
            .on_overflow = [] { return connection::http_response{.status = 413}; }});
    follow_operator();
    follow_duty();
    tick();
}

fleet_entry::~fleet_entry()
{
    *m_alive = false;
    m_context.loop.cancel(m_tick_timer);
    m_desk.set_session(nullptr);
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

void fleet_entry::follow_duty()
{
    m_duty_rows = std::make_unique<table_follower>(
        m_context.loop, m_context.store,
        follower_options{.table = std::string(duty_table),
                         .partitions = {std::string(control_partition)},
                         .wait = duty_wait},
        table_follower::observers{.on_row = [this](const stored_row& row) { take_duty_row(row); },
                                  .on_complete =
                                      [this] {
                                          if (!m_duty.known()) {
                                              m_duty.note_claim(std::nullopt, absent,
                                                                m_context.loop.now());
                                          }
                                      },
                                  .on_alive =
                                      [this] {
                                          m_store_answered = m_context.loop.now();
                                          m_duty.note_store(m_store_answered);
                                          if (!std::exchange(m_store_answers, true)) {
                                              entry_log.info("the store answers");
                                          }
                                      },
                                  .on_failure =
                                      [this] {
                                          m_duty.note_store_lost();
                                          if (std::exchange(m_store_answers, false)) {
                                              entry_log.warning("the store doesn't answer");
                                          }
                                      }});
}

void fleet_entry::take_operator_row(const stored_row& row)
{
    if (row.removed) {
        return;
    }
    operator_row read = m_context.forms.parse_operator_row(row);
    if (auto* const wave = std::get_if<wave_request>(&read)) {
        config_log.info(fmt::format("wave {} over {} machines, at most {} down", wave->number,
                                    wave->machines.size(), wave->most_down));
        m_waves.push_back({std::move(*wave), m_context.loop.now()});
        if (m_session) {
            m_session->add_wave(m_waves.back().request, m_waves.back().seen);
        }
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
    m_config = std::make_shared<const fleet_config>(std::move(*config));
    if (m_session) {
        m_session->apply(m_config);
    }
}

void fleet_entry::take_duty_row(const stored_row& row)
{
    const time_point now = m_context.loop.now();
    if (row.at == duty_renewal_address()) {
        m_duty.note_renewal(now);
        return;
    }
    if (row.at != duty_claim_address()) {
        return;
    }
    m_duty.note_claim(row.removed ? std::nullopt : parse_duty_claim(row.value), row.version, now);
    const auto& claim = m_duty.claim();
    if (claim) {
        duty_log.info(fmt::format("holder {} generation {}{}, version {}", claim->entry,
                                  claim->generation, claim->released ? ", released" : "",
                                  row.version));
    }
    const bool other = claim && !claim->released && !m_duty.holds();
    m_peers.set_holder(other ? claim->peer_address : "", other ? claim->incarnation : "");
    m_refused_probes = 0;
    if (m_session && !m_duty.holds()) {
        end_session("another entry has it");
    }
}

void fleet_entry::tick()
{
    m_tick_timer = m_context.loop.call_after(tick_period, [this] {
        check_duty();
        tick();
    });
}

void fleet_entry::check_duty()
{
    const time_point now = m_context.loop.now();
    if (m_retiring || m_taking || m_session) {
        return;
    }
    if (m_config && m_duty.holds()) {
        // An earlier try to take it was applied after all.
        m_taking = true;
        confirm_duty(m_context.clock() - m_options.duty.lease);
        return;
    }
    if (m_config && m_duty.may_take(now)) {
        take_duty();
        return;
    }
    if (m_peers.has_holder() && now >= m_next_probe) {
        m_next_probe = now + probe_period;
        probe_holder();
    }
}

void fleet_entry::probe_holder()
{
    const std::string incarnation = m_duty.claim() ? m_duty.claim()->incarnation : "";
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
            m_duty.note_holder_gone(incarnation, m_context.loop.now());
        }
    });
}

void fleet_entry::take_duty()
{
    m_taking = true;
    const auto& old = m_duty.claim();
    const duty_claim claim{.entry = m_options.name,
                           .peer_address = m_options.peers.str(),
                           .incarnation = m_options.incarnation,
                           .generation = old ? old->generation + 1 : 0};
    duty_log.info(fmt::format("taking the duty as generation {}, after version {}",
                              claim.generation, m_duty.version()));
    row_transaction transaction;
    transaction.conditions.push_back({duty_claim_address(), m_duty.version()});
    transaction.writes.push_back({duty_claim_address(), to_text(claim)});
    transaction.writes.push_back({duty_chain_address(), m_options.incarnation + " 0"});
    const time_point sent = m_context.clock();
    m_context.store.commit(std::move(transaction), commit_timeout,
                           [this, sent, alive = m_alive](const commit_result& result) {
                               if (!*alive) {
                                   return;
                               }
                               if (result.outcome == commit_outcome::conflict ||
                                   result.outcome == commit_outcome::refused) {
                                   m_taking = false;
                                   return;
                               }
                               confirm_duty(sent);
                           });
}

void fleet_entry::confirm_duty(time_point sent)
{
    m_context.store.read(
        {.table = std::string(duty_table), .partition = std::string(control_partition)},
        commit_timeout, [this, sent, alive = m_alive](const std::optional<row_page>& page) {
            if (!*alive) {
                return;
            }
            m_taking = false;
            if (!page) {
                return;
            }
            std::optional<duty_claim> claim;
            row_version claim_version = absent;
            for (const stored_row& row : page->rows) {
                if (row.at == duty_claim_address()) {
                    claim = parse_duty_claim(row.value);
                    claim_version = row.version;
                }
            }
            m_duty.note_claim(claim, claim_version, m_context.loop.now());
            if (m_duty.holds() && !m_session && !m_retiring) {
                begin_session(*claim, claim_version, sent);
            }
        });
}

void fleet_entry::begin_session(const duty_claim& claim, row_version claim_version, time_point sent)
{
    session_options options{.entry = m_options.name,
                            .claim = claim,
                            .claim_row = {duty_claim_address(), claim_version},
                            // Written with the claim; the keeper reads a later one back.
                            .chain_row = {duty_chain_address(), claim_version},
                            .lease = m_options.duty.lease,
                            .scheduling = m_options.scheduling,
                            .planning = m_options.planning,
                            .taken = sent};
    options.scheduling.attempt_base = claim.generation * attempts_per_generation;
    options.scheduling.predecessor_grace = m_options.duty.lease;
    if (claim.generation > 0) {
        options.planning.first_order = m_context.loop.now() + machine_handover;
    }
    m_peers.set_holder("", "");
    m_session = std::make_unique<control_session>(
        m_context, std::move(options), m_config, [this, alive = m_alive] {
            m_context.loop.post([this, alive] {
                if (*alive && m_session) {
                    end_session("the claim no longer stands");
                }
            });
        });
    for (const seen_wave& wave : m_waves) {
        m_session->add_wave(wave.request, wave.seen);
    }
    m_desk.set_session(m_session.get());
}

void fleet_entry::end_session(std::string_view reason)
{
    duty_log.info(fmt::format("the duty is lost: {}", reason));
    m_desk.set_session(nullptr);
    m_session.reset();
}

void fleet_entry::retire(event done)
{
    m_retiring = true;
    if (!m_session) {
        done();
        return;
    }
    duty_claim claim = *m_duty.claim();
    const row_version version = m_duty.version();
    end_session("handed over");
    claim.released = true;
    row_transaction transaction;
    transaction.conditions.push_back({duty_claim_address(), version});
    transaction.writes.push_back({duty_claim_address(), to_text(claim)});
    m_context.store.commit(
        std::move(transaction), commit_timeout,
        [done = std::move(done), alive = m_alive](const commit_result& result) {
            duty_log.info(fmt::format("handing the duty over: {}", name_of(result.outcome)));
            if (*alive) {
                done();
            }
        });
}

} // namespace plantaindoor::fleet
