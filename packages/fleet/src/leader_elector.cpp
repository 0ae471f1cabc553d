#include "plantaindoor/fleet/leader_elector.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part duty_log("duty");

constexpr milliseconds tick_period{50};
constexpr milliseconds feed_wait{1000};
/// A transaction takes some 0.7 s while the store is slow.
constexpr milliseconds commit_timeout{1500};
/// Tasks that an earlier holder has started don't run for longer without this one's leave.
constexpr milliseconds longest_earlier_run{15000};
/// Attempts of one holder stay below those of the next.
constexpr std::uint32_t attempts_per_generation = 1000;

} // namespace

duty_holder::duty_holder(const session_context& context, duty_holder_options options,
                         observers told)
    : m_context(context),
      m_options(std::move(options)),
      m_observers(std::move(told)),
      m_alive(std::make_shared<bool>(true)),
      m_duty(m_options.duty, m_options.incarnation)
{
    follow();
    tick();
}

duty_holder::~duty_holder()
{
    *m_alive = false;
    m_context.loop.cancel(m_tick_timer);
}

void duty_holder::apply(std::shared_ptr<const fleet_config> config)
{
    if (!m_config) {
        m_config_since = m_context.loop.now();
    }
    m_config = std::move(config);
    if (m_session) {
        m_session->apply(m_config);
    }
}

void duty_holder::add_wave(const wave_request& request, time_point seen)
{
    m_waves.push_back({request, seen});
    if (m_session) {
        m_session->add_wave(request, seen);
    }
}

void duty_holder::note_ended(const std::string& incarnation)
{
    m_duty.note_holder_gone(incarnation, m_context.loop.now());
}

void duty_holder::follow()
{
    m_rows = std::make_unique<table_follower>(
        m_context.loop, m_context.store,
        follower_options{.table = std::string(duty_table),
                         .partitions = {std::string(control_partition)},
                         .wait = feed_wait},
        table_follower::observers{.on_row = [this](const stored_row& row) { take_row(row); },
                                  .on_complete =
                                      [this] {
                                          if (!m_duty.known()) {
                                              m_duty.note_claim(std::nullopt, absent,
                                                                m_context.loop.now());
                                          }
                                      },
                                  .on_alive =
                                      [this] {
                                          m_duty.note_store(m_context.loop.now());
                                          if (!std::exchange(m_store_answers, true)) {
                                              duty_log.info("the store answers");
                                          }
                                          m_observers.on_store();
                                      },
                                  .on_failure =
                                      [this] {
                                          m_duty.note_store_lost();
                                          if (std::exchange(m_store_answers, false)) {
                                              duty_log.warning("the store doesn't answer");
                                          }
                                      }});
}

void duty_holder::take_row(const stored_row& row)
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
    m_observers.on_other_holder(other ? claim : std::nullopt);
    if (m_session && !m_duty.holds()) {
        end_session("another entry has it");
    }
}

void duty_holder::tick()
{
    m_tick_timer = m_context.loop.call_after(tick_period, [this] {
        check();
        tick();
    });
}

void duty_holder::check()
{
    if (m_retiring || m_taking || m_session || !m_config) {
        return;
    }
    if (m_duty.holds()) {
        // An earlier try to take it was applied after all.
        m_taking = true;
        confirm(m_context.clock() - m_options.duty.lease);
    }
    else if (m_duty.may_take(m_context.loop.now())) {
        take();
    }
}

void duty_holder::take()
{
    m_taking = true;
    const auto& old = m_duty.claim();
    const duty_claim claim{.entry = m_options.name,
                           .peer_address = m_options.peer_address,
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
                               confirm(sent);
                           });
}

void duty_holder::confirm(time_point sent)
{
    m_context.store.read(
        {.table = std::string(duty_table), .partition = std::string(control_partition)},
        commit_timeout, [this, sent, alive = m_alive](const std::optional<row_page>& page) {
            if (*alive) {
                take_confirmation(sent, page);
            }
        });
}

void duty_holder::take_confirmation(time_point sent, const std::optional<row_page>& page)
{
    m_taking = false;
    if (!page) {
        return;
    }
    for (const stored_row& row : page->rows) {
        if (row.at == duty_claim_address()) {
            const auto claim = parse_duty_claim(row.value);
            m_duty.note_claim(claim, row.version, m_context.loop.now());
            if (m_duty.holds() && !m_session && !m_retiring) {
                begin_session(*claim, row.version, sent);
            }
        }
    }
}

void duty_holder::begin_session(const duty_claim& claim, row_version claim_version, time_point sent)
{
    session_options options{.entry = m_options.name,
                            .claim = claim,
                            .claim_row = {duty_claim_address(), claim_version},
                            // Written with the claim; the keeper reads a later one back.
                            .chain_row = {duty_chain_address(), claim_version},
                            .lease = m_options.duty.lease,
                            .scheduling = m_options.scheduling,
                            .planning = m_options.planning,
                            .kept_state = m_options.kept_state,
                            .taken = sent};
    options.scheduling.attempt_base = claim.generation * attempts_per_generation;
    options.scheduling.predecessor_grace = m_options.duty.lease;
    options.scheduling.former_services_known =
        m_context.loop.now() - m_config_since > longest_earlier_run;
    m_observers.on_other_holder(std::nullopt);
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
    m_observers.on_session(m_session.get());
}

void duty_holder::end_session(std::string_view reason)
{
    duty_log.info(fmt::format("the duty is lost: {}", reason));
    m_observers.on_session(nullptr);
    m_session.reset();
}

void duty_holder::retire(event done)
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
