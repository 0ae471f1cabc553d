#include "plantaindoor/fleet/shard_set.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part shard_log("shard");
constexpr process::log_part leader_log("duty");

constexpr std::string_view layout_table = "shards";
constexpr std::string_view layout_key = "layout";

constexpr milliseconds tick_period{50};
constexpr milliseconds watch_wait{1000};
/// With several leaders, their renewals are read in batches.
constexpr milliseconds shared_watch_batch_delay{100};
constexpr milliseconds commit_timeout{1500};
constexpr milliseconds create_retry_delay{500};
/// A failed call shows that the store is unreachable only if no call was answered for this long: it
/// may refuse a part of the calls.
constexpr milliseconds max_response_gap{700};
/// Nothing is claimed on a view of the leaders' rows that is older than this: an entry that was
/// frozen hasn't seen their renewals. A watch call is renewed each watch_wait.
constexpr milliseconds max_leader_view_age{1300};

} // namespace

row_address shard_layout_address()
{
    // Beside the claim of the first shard, on whose absence the creation is conditioned.
    return {std::string(layout_table), control_partition(0), std::string(layout_key)};
}

shard_set::shard_set(const session_context& context, shard_set_options options,
                     const std::function<std::uint64_t()>& random, event_handlers handlers)
    : m_context(context),
      m_options(std::move(options)),
      m_handlers(std::move(handlers)),
      m_alive(std::make_shared<bool>(true))
{
    const auto spread = static_cast<std::uint64_t>(m_options.max_claim_delay.count()) + 1;
    const auto random_delay = [&] {
        return m_options.election.tracking.delay +
               milliseconds(static_cast<std::int64_t>(random() % spread));
    };
    m_create_delay = random_delay();
    for (shard_number shard = 0; shard < m_options.division.max_shards; ++shard) {
        m_claim_delays.push_back(random_delay());
    }
    read_layout();
    tick();
}

shard_set::~shard_set()
{
    *m_alive = false;
    m_context.loop.cancel(m_tick_timer);
}

void shard_set::apply(std::shared_ptr<const fleet_config> config)
{
    if (!m_config) {
        m_options.election.first_config_at = m_context.loop.now();
    }
    m_config = std::move(config);
    for (const auto& elector : m_electors) {
        elector->apply(m_config);
    }
    begin_elections();
}

void shard_set::add_wave(const wave_request& request, time_point first_seen)
{
    m_waves.push_back({request, first_seen});
    for (const auto& elector : m_electors) {
        elector->add_wave(request, first_seen);
    }
}

void shard_set::read_layout()
{
    const row_address at = shard_layout_address();
    m_layout_row = std::make_unique<table_watcher>(
        m_context.loop, m_context.store,
        table_watcher_options{.table = at.table, .partitions = {at.partition}},
        table_watcher::event_handlers{.on_row = [this](const stored_row& row) { note_layout(row); },
                                      .on_complete =
                                          [this] {
                                              if (!m_layout) {
                                                  m_layout_missing_since = m_context.loop.now();
                                              }
                                          },
                                      .on_response = [this] { note_store(true); },
                                      .on_failure = [this] { note_store(false); }});
}

void shard_set::note_layout(const stored_row& row)
{
    if (m_layout || row.removed || row.at != shard_layout_address()) {
        return;
    }
    auto layout = parse_shard_layout(row.value);
    if (!layout) {
        shard_log.error("the layout of the shards is malformed");
        return;
    }
    shard_log.info(fmt::format("control is divided into {} shards", layout->count()));
    m_layout = std::make_shared<const shard_layout>(std::move(*layout));
    m_context.loop.post([this, alive = m_alive] {
        if (*alive) {
            m_layout_row.reset();
        }
    });
    m_handlers.on_layout(m_layout);
    begin_elections();
}

void shard_set::check_layout()
{
    if (m_layout || m_creating_layout || m_resigning || !m_config || !m_layout_missing_since ||
        m_context.loop.now() < *m_layout_missing_since + m_create_delay) {
        return;
    }
    create_layout();
}

void shard_set::create_layout()
{
    m_creating_layout = true;
    m_context.machines.list([this, alive = m_alive](const std::optional<machine_list>& machines) {
        if (!*alive) {
            return;
        }
        if (!machines) {
            shard_log.warning("can't divide control: the list of machines is unavailable");
            m_layout_missing_since = m_context.loop.now() + create_retry_delay;
            m_creating_layout = false;
            return;
        }
        persist_layout(shard_layout::divide(machines->machines, *m_config, m_options.division));
    });
}

void shard_set::persist_layout(const shard_layout& layout)
{
    shard_log.info(fmt::format("proposing {} shards", layout.count()));
    row_transaction transaction;
    transaction.conditions.push_back({shard_layout_address(), absent});
    if (layout.count() > 1) {
        // The rows of a release that had a single leader are those of a single shard.
        transaction.conditions.push_back({leader_claim_address(0), absent});
    }
    transaction.writes.push_back({shard_layout_address(), to_text(layout)});
    m_context.store.commit(std::move(transaction), commit_timeout,
                           [this, alive = m_alive](const commit_result& result) {
                               if (*alive) {
                                   handle_layout_commit(result);
                               }
                           });
}

void shard_set::handle_layout_commit(const commit_result& result)
{
    m_creating_layout = false;
    // The row itself arrives through the watcher, whoever wrote it.
    m_layout_missing_since = m_context.loop.now() + create_retry_delay;
    const auto has = [&](const row_address& at) {
        return std::any_of(result.present.begin(), result.present.end(), [&](const auto& row) {
            return row.at == at && row.version != absent && !row.removed;
        });
    };
    if (result.outcome == commit_outcome::conflict && !m_layout && has(leader_claim_address(0)) &&
        !has(shard_layout_address())) {
        m_creating_layout = true;
        persist_layout(shard_layout());
    }
}

void shard_set::begin_elections()
{
    if (!m_layout || !m_config || !m_electors.empty()) {
        return;
    }
    for (shard_number shard = 0; shard < m_layout->count(); ++shard) {
        leader_elector_options options = m_options.election;
        options.tracking.delay = m_claim_delays[shard % m_claim_delays.size()];
        m_electors.push_back(std::make_unique<leader_elector>(
            m_context, std::move(options), session_shard{.number = shard, .layout = m_layout},
            m_config,
            leader_elector::event_handlers{
                .on_session =
                    [this, shard](leader_session* session) {
                        m_handlers.on_session(shard, session);
                    },
                .on_other_leader =
                    [this, shard](const std::optional<leader_claim>& claim) {
                        m_handlers.on_other_leader(shard, claim);
                    }}));
        for (const received_wave& wave : m_waves) {
            m_electors.back()->add_wave(wave.request, wave.first_seen);
        }
    }
    m_claim_order.resize(m_electors.size());
    std::iota(m_claim_order.begin(), m_claim_order.end(), shard_number{0});
    std::stable_sort(m_claim_order.begin(), m_claim_order.end(),
                     [this](shard_number left, shard_number right) {
                         return m_claim_delays[left % m_claim_delays.size()] <
                                m_claim_delays[right % m_claim_delays.size()];
                     });
    watch_leaders();
}

void shard_set::watch_leaders()
{
    m_leader_rows = std::make_unique<table_watcher>(
        m_context.loop, m_context.store,
        table_watcher_options{.table = std::string(leader_table),
                              .partitions = all_control_partitions(m_layout->count()),
                              .wait = watch_wait,
                              .batch_delay = m_layout->count() > 1 ? shared_watch_batch_delay
                                                                   : milliseconds(0)},
        table_watcher::event_handlers{
            .on_row = [this](const stored_row& row) { note_leader_row(row); },
            .on_complete =
                [this] {
                    for (const auto& elector : m_electors) {
                        elector->note_rows_complete();
                    }
                },
            .on_response = [this] { note_store(true); },
            .on_failure = [this] { note_store(false); }});
}

void shard_set::note_leader_row(const stored_row& row)
{
    for (const auto& elector : m_electors) {
        elector->note_row(row);
        if (is_leader_claim(row.at)) {
            elector->note_claim_accepted();
        }
    }
}

void shard_set::note_store(bool reachable)
{
    const time_point now = m_context.loop.now();
    if (reachable) {
        m_last_response = now;
    }
    else if (now - m_last_response < max_response_gap) {
        return;
    }
    if (std::exchange(m_store_reachable, reachable) != reachable) {
        if (reachable) {
            leader_log.info("the store is reachable");
        }
        else {
            leader_log.warning("the store is unreachable");
        }
    }
    for (const auto& elector : m_electors) {
        reachable ? elector->note_store_reachable() : elector->note_store_unreachable();
    }
    if (reachable) {
        m_handlers.on_store();
    }
}

void shard_set::check_elections()
{
    if (!m_leader_rows ||
        m_context.loop.now() - m_leader_rows->current_as_of() > max_leader_view_age) {
        return;
    }
    const time_point now = m_context.loop.now();
    for (const shard_number shard : m_claim_order) {
        const milliseconds pause = m_options.delay_per_shard_led * engaged_in_others(shard);
        // A shard may have been vacant for long, so the pause also follows the entry's last claim.
        if (m_electors[shard]->check(pause, m_last_claim + pause)) {
            m_last_claim = now;
        }
    }
}

std::int64_t shard_set::engaged_in_others(shard_number shard) const
{
    const auto engaged = std::count_if(m_electors.begin(), m_electors.end(),
                                       [](const auto& each) { return each->is_engaged(); });
    return engaged - (m_electors[shard]->is_engaged() ? 1 : 0);
}

void shard_set::tick()
{
    m_tick_timer = m_context.loop.call_after(tick_period, [this] {
        check_layout();
        check_elections();
        tick();
    });
}

void shard_set::resign(const event& done)
{
    m_resigning = true;
    if (m_electors.empty()) {
        done();
        return;
    }
    const auto remaining = std::make_shared<std::size_t>(m_electors.size());
    for (const auto& elector : m_electors) {
        elector->resign([remaining, done] {
            if (--*remaining == 0) {
                done();
            }
        });
    }
}

} // namespace plantaindoor::fleet
