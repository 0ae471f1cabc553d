#include "plantaindoor/fleet/leader_elector.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part leader_log("duty");

/// A transaction takes about 0.7 s while the store is slow.
constexpr milliseconds commit_timeout{1500};
/// Delay after a claim that failed; doubles with each further one.
constexpr milliseconds first_claim_retry_delay{100};
constexpr milliseconds max_claim_retry_delay{800};
/// A task started by a predecessor runs at most this long unless this leader extends it.
constexpr milliseconds max_predecessor_run{15000};
/// Attempt numbers per generation, so that a leader's attempts stay below its successor's.
constexpr std::uint32_t attempts_per_generation = 1000;

} // namespace

leader_elector::leader_elector(const session_context& context, leader_elector_options options,
                               session_shard shard, std::shared_ptr<const fleet_config> config,
                               event_handlers handlers)
    : m_context(context),
      m_options(std::move(options)),
      m_shard(std::move(shard)),
      m_handlers(std::move(handlers)),
      m_alive(std::make_shared<bool>(true)),
      m_config(std::move(config)),
      m_leadership(m_options.tracking, m_options.incarnation)
{
}

leader_elector::~leader_elector()
{
    *m_alive = false;
}

void leader_elector::apply(std::shared_ptr<const fleet_config> config)
{
    m_config = std::move(config);
    if (m_session) {
        m_session->apply(m_config);
    }
}

void leader_elector::add_wave(const wave_request& request, time_point first_seen)
{
    m_waves.push_back({request, first_seen});
    if (m_session) {
        m_session->add_wave(request, first_seen);
    }
}

void leader_elector::note_incarnation_ended(const std::string& incarnation)
{
    m_leadership.note_leader_ended(incarnation, m_context.loop.now());
}

void leader_elector::note_rows_complete()
{
    if (!m_leadership.is_claim_known()) {
        m_leadership.note_claim(std::nullopt, absent, m_context.loop.now());
    }
}

void leader_elector::note_store_reachable()
{
    m_leadership.note_store_reachable(m_context.loop.now());
}

void leader_elector::note_store_unreachable()
{
    m_leadership.note_store_unreachable();
}

void leader_elector::note_row(const stored_row& row)
{
    const time_point now = m_context.loop.now();
    if (row.at == leader_renewal_address(m_shard.number)) {
        m_leadership.note_renewal(now);
        return;
    }
    if (row.at != leader_claim_address(m_shard.number)) {
        return;
    }
    clear_failed_claims();
    m_leadership.note_claim(row.removed ? std::nullopt : parse_leader_claim(row.value), row.version,
                            now);
    const auto& claim = m_leadership.claim();
    if (claim) {
        leader_log.info(fmt::format("shard {}: leader {} generation {}{}, version {}",
                                    m_shard.number, claim->entry, claim->generation,
                                    claim->released ? ", released" : "", row.version));
    }
    const bool other = claim && !claim->released && !m_leadership.is_leader();
    m_handlers.on_other_leader(other ? claim : std::nullopt);
    if (m_session && !m_leadership.is_leader()) {
        end_session("this entry is no longer the leader");
    }
}

bool leader_elector::check(milliseconds extra_delay, time_point earliest)
{
    const time_point now = m_context.loop.now();
    if (m_resigning || m_claiming || m_session || now < m_next_claim) {
        return false;
    }
    if (m_leadership.is_leader() && is_used_up(m_leadership.version())) {
        try_claim();
        return true;
    }
    if (m_leadership.is_leader()) {
        // An earlier attempt to claim was applied after all. Its send time is no longer available,
        // so the session starts with an expired lease.
        m_claiming = true;
        confirm_claim(m_context.clock() - m_options.tracking.lease);
    }
    else if (now >= earliest && m_leadership.may_claim(now, extra_delay)) {
        try_claim();
        return true;
    }
    return false;
}

void leader_elector::try_claim()
{
    m_claiming = true;
    const auto& previous = m_leadership.claim();
    const leader_claim claim{.entry = m_options.name,
                             .peer_address = m_options.peer_address,
                             .incarnation = m_options.incarnation,
                             .generation = previous ? previous->generation + 1 : 0,
                             .earlier = previous ? claims_until(*previous, m_leadership.version())
                                                 : std::vector<row_version>()};
    leader_log.info(fmt::format("shard {}: claiming leadership as generation {}, after version {}",
                                m_shard.number, claim.generation, m_leadership.version()));
    row_transaction transaction;
    transaction.conditions.push_back(
        {leader_claim_address(m_shard.number), m_leadership.version()});
    transaction.writes.push_back({leader_claim_address(m_shard.number), to_text(claim)});
    transaction.writes.push_back(
        {leader_sequence_address(m_shard.number), m_options.incarnation + " 0"});
    const time_point sent = m_context.clock();
    m_context.store.commit(std::move(transaction), commit_timeout,
                           [this, sent, alive = m_alive](const commit_result& result) {
                               if (!*alive) {
                                   return;
                               }
                               if (result.outcome == commit_outcome::conflict ||
                                   result.outcome == commit_outcome::refused) {
                                   m_claiming = false;
                                   note_failed_claim();
                                   for (const stored_row& row : result.present) {
                                       note_row(row);
                                   }
                                   return;
                               }
                               confirm_claim(sent);
                           });
}

void leader_elector::note_failed_claim()
{
    const auto delay = std::min(first_claim_retry_delay * (1U << std::min(m_failed_claims, 8U)),
                                max_claim_retry_delay);
    ++m_failed_claims;
    // The delay of the tracking differs between entries, so that they don't retry at the same time.
    m_next_claim = m_context.loop.now() + delay + m_options.tracking.delay;
}

void leader_elector::clear_failed_claims()
{
    m_failed_claims = 0;
    m_next_claim = {};
}

void leader_elector::note_claim_accepted()
{
    m_next_claim = std::min(m_next_claim, m_context.loop.now() + m_options.tracking.delay);
}

void leader_elector::confirm_claim(time_point sent)
{
    m_context.store.read(
        {.table = std::string(leader_table), .partition = control_partition(m_shard.number)},
        commit_timeout, [this, sent, alive = m_alive](const std::optional<row_page>& page) {
            if (*alive) {
                handle_confirmation(sent, page);
            }
        });
}

void leader_elector::handle_confirmation(time_point sent, const std::optional<row_page>& page)
{
    m_claiming = false;
    if (!page) {
        note_failed_claim();
        return;
    }
    for (const stored_row& row : page->rows) {
        if (row.at == leader_claim_address(m_shard.number)) {
            const auto claim = parse_leader_claim(row.value);
            m_leadership.note_claim(claim, row.version, m_context.loop.now());
            clear_failed_claims();
            if (m_leadership.is_leader() && !m_session && !m_resigning &&
                !is_used_up(row.version)) {
                begin_session(*claim, row.version, sent);
            }
        }
    }
}

void leader_elector::begin_session(const leader_claim& claim, row_version claim_version,
                                   time_point sent)
{
    session_options options{
        .entry = m_options.name,
        .shard = m_shard,
        .claim = claim,
        .claim_row = {leader_claim_address(m_shard.number), claim_version},
        // Written in the claim's transaction; the progress writer reads later
        // versions back after a conflict.
        .sequence_row = {leader_sequence_address(m_shard.number), claim_version},
        .lease = m_options.tracking.lease,
        .scheduling = m_options.scheduling,
        .planning = m_options.planning,
        .state_retention = m_options.state_retention,
        .machine_transfers = m_options.machine_transfers,
        .claimed_at = sent};
    m_session_claim = claim_version;
    options.scheduling.attempt_base = claim.generation * attempts_per_generation;
    options.scheduling.predecessor_grace = m_options.tracking.lease;
    options.scheduling.shard_count = m_shard.layout->count();
    options.scheduling.former_services_known =
        m_context.loop.now() - m_options.first_config_at > max_predecessor_run;
    options.scheduling.shard = m_shard.number;
    m_handlers.on_other_leader(std::nullopt);
    m_session = std::make_unique<leader_session>(
        m_context, std::move(options), m_config, [this, alive = m_alive] {
            m_context.loop.post([this, alive] {
                if (*alive && m_session) {
                    end_session("the claim is no longer valid");
                }
            });
        });
    for (const received_wave& wave : m_waves) {
        m_session->add_wave(wave.request, wave.first_seen);
    }
    m_handlers.on_session(m_session.get());
}

void leader_elector::end_session(std::string_view reason)
{
    leader_log.info(fmt::format("shard {}: leader session ended: {}", m_shard.number, reason));
    m_handlers.on_session(nullptr);
    m_session.reset();
}

void leader_elector::resign(event done)
{
    m_resigning = true;
    if (!m_session) {
        done();
        return;
    }
    leader_claim claim = *m_leadership.claim();
    const row_version version = m_leadership.version();
    end_session("resigned");
    claim.earlier = claims_until(claim, version);
    claim.released = true;
    row_transaction transaction;
    transaction.conditions.push_back({leader_claim_address(m_shard.number), version});
    transaction.writes.push_back({leader_claim_address(m_shard.number), to_text(claim)});
    m_context.store.commit(std::move(transaction), commit_timeout,
                           [done = std::move(done), shard = m_shard.number,
                            alive = m_alive](const commit_result& result) {
                               leader_log.info(fmt::format("shard {}: resigning leadership: {}",
                                                           shard, name_of(result.outcome)));
                               if (*alive) {
                                   done();
                               }
                           });
}

} // namespace plantaindoor::fleet
