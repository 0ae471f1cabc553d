#include "plantaindoor/fleet/quota_exchange.hpp"

#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/fleet/quota_rows.hpp"
#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part quota_log("quota");
/// Bounds, with the timeout of the call, for how long a lost watch call hides a transfer.
constexpr milliseconds watch_wait{2000};
/// Each write is read by the leaders of all other shards, so that large rows are written less
/// often. With 230 workspaces and 5 shards, a row has up to 30 KB; written every 2 s, the others'
/// rows alone would take 60 KB/s at each leader, where control may take 29 KB/s.
constexpr std::int64_t bytes_per_ms = 8;

} // namespace

quota_exchange::quota_exchange(event_loop& loop, row_store& store, job::scheduler& scheduler,
                               metrics_registry& metrics, quota_exchange_options options,
                               event on_share)
    : m_loop(loop),
      m_store(store),
      m_scheduler(scheduler),
      m_options(std::move(options)),
      m_on_share(std::move(on_share)),
      m_alive(std::make_shared<bool>(true)),
      m_division({.shard = m_options.shard, .shards = m_options.shards}),
      m_rows(metrics.counter({"quota_commits_total", "Writes of a shard's row of shares", {}})),
      m_bytes(metrics.counter({"quota_bytes_total", "Bytes of shares written", {}}))
{
    note_workspaces();
}

quota_exchange::~quota_exchange()
{
    *m_alive = false;
    m_loop.cancel(m_timer);
}

void quota_exchange::note_workspaces()
{
    if (m_options.shards == 1) {
        return;
    }
    m_active = m_scheduler.quota().has_caps();
    if (!m_active) {
        m_others.reset();
        return;
    }
    if (!std::exchange(m_began, true)) {
        m_scheduler.quota().await_shares();
        read_own();
    }
    else if (m_division.is_restored()) {
        read_others();
    }
    pass_shares();
}

void quota_exchange::read_own()
{
    const row_address at = quota_address(m_options.shard);
    m_store.read({.table = at.table, .partition = at.partition}, m_options.call_timeout,
                 [this, alive = m_alive](const std::optional<row_page>& page) {
                     if (*alive) {
                         handle_own(page);
                     }
                 });
}

void quota_exchange::handle_own(const std::optional<row_page>& page)
{
    // A snapshot from before the claim may lack what the predecessor gave after it.
    if (!page || page->version < m_options.claim.version) {
        m_timer = m_loop.call_after(m_options.retry_delay, [this] { read_own(); });
        return;
    }
    const row_address at = quota_address(m_options.shard);
    policy::quota_row own;
    for (const stored_row& row : page->rows) {
        if (row.at != at) {
            continue;
        }
        auto parsed = parse_quota_row(row.value);
        if (!parsed) {
            quota_log.error(fmt::format("shard {}: its row of shares, version {}, is malformed: no "
                                        "task of a workspace with a cap starts here",
                                        m_options.shard, row.version));
            return;
        }
        own = std::move(*parsed);
        m_version = row.version;
    }
    m_division.restore(std::move(own));
    if (m_active) {
        read_others();
    }
    pass_shares();
    m_on_share();
}

void quota_exchange::read_others()
{
    if (m_others) {
        return;
    }
    m_others = std::make_unique<table_watcher>(
        m_loop, m_store,
        table_watcher_options{.table = std::string(quota_table),
                              .partitions = all_control_partitions(m_options.shards),
                              .wait = watch_wait},
        table_watcher::event_handlers{.on_row = [this](const stored_row& row) { note_row(row); },
                                      .on_complete = [] {},
                                      .on_response = [] {},
                                      .on_failure = [] {}});
}

void quota_exchange::note_row(const stored_row& row)
{
    for (shard_number shard = 0; shard < m_options.shards; ++shard) {
        if (shard == m_options.shard || row.removed || row.at != quota_address(shard)) {
            continue;
        }
        auto parsed = parse_quota_row(row.value);
        if (!parsed) {
            quota_log.warning(fmt::format("shard {}: the row of shares of shard {}, version {}, is "
                                          "malformed and ignored",
                                          m_options.shard, shard, row.version));
            return;
        }
        if (m_others && m_others->is_complete()) {
            m_division.note_row(shard, std::move(*parsed), m_loop.now());
        }
        else {
            // Rows of the first read may be of any age.
            m_division.note_old_row(shard, std::move(*parsed));
        }
        pass_shares();
        m_on_share();
    }
}

void quota_exchange::pass_shares()
{
    for (const auto& [workspace, usage] : m_scheduler.quota().usages()) {
        m_scheduler.quota().set_share(workspace, m_division.share(workspace),
                                      m_division.usable_share(workspace, m_loop.now()));
    }
}

void quota_exchange::tick()
{
    if (!m_active || !m_division.is_restored() || m_claim_lost) {
        return;
    }
    const time_point now = m_loop.now();
    if (!m_writing && now >= m_next_write) {
        const bool may_give = !m_scheduler.has_predecessor_doubt(now);
        const bool changed =
            m_division.update(m_scheduler.quota().usages(), may_give, now, m_loop.wall_now());
        if (changed || m_unwritten || !m_division.row().requests.empty()) {
            write();
        }
    }
    // Also after a time without changes, as the others' requests expire.
    pass_shares();
}

void quota_exchange::write()
{
    const row_address at = quota_address(m_options.shard);
    policy::quota_row row = m_division.row();
    const std::size_t size = to_text(row, ++m_writes).size();
    row.interval = std::min(max_quota_interval,
                            m_options.write_interval +
                                milliseconds(static_cast<std::int64_t>(size) / bytes_per_ms));
    std::string text = to_text(row, m_writes);
    m_rows.add();
    m_bytes.add(text.size());
    m_next_write = m_loop.now() + row.interval;
    m_writing = true;
    m_unwritten = true;
    // The claim keeps out a predecessor's late write, and the version an earlier one of this
    // leader.
    row_transaction transaction{.conditions = {m_options.claim, {at, m_version}},
                                .writes = {{at, std::move(text)}}};
    m_store.commit(std::move(transaction), m_options.call_timeout,
                   [this, alive = m_alive](const commit_result& result) {
                       if (*alive) {
                           handle_commit(result);
                       }
                   });
}

void quota_exchange::handle_commit(const commit_result& result)
{
    m_writing = false;
    if (result.outcome == commit_outcome::applied) {
        m_version = result.version;
        m_unwritten = false;
        return;
    }
    m_next_write = m_loop.now() + m_options.retry_delay;
    if (result.outcome != commit_outcome::conflict) {
        quota_log.info(fmt::format("shard {}: shares not written: {}", m_options.shard,
                                   name_of(result.outcome)));
        return;
    }
    const auto version_of = [&](const row_address& at) {
        const auto found = std::find_if(result.present.begin(), result.present.end(),
                                        [&](const stored_row& row) { return row.at == at; });
        return found == result.present.end() || found->removed ? absent : found->version;
    };
    if (version_of(m_options.claim.at) != m_options.claim.version) {
        m_claim_lost = true;
        return;
    }
    // An earlier write, whose answer was lost, has been applied.
    m_version = version_of(quota_address(m_options.shard));
}

} // namespace plantaindoor::fleet
