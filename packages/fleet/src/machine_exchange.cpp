#include "plantaindoor/fleet/machine_exchange.hpp"

#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part shard_log("shard");
/// Bounds, with the timeout of the call, for how long a lost watch call hides a request.
constexpr milliseconds watch_wait{2000};

} // namespace

machine_exchange::machine_exchange(event_loop& loop, row_store& store,
                                   machine_exchange_options options, event_handlers handlers)
    : m_loop(loop),
      m_store(store),
      m_options(std::move(options)),
      m_handlers(std::move(handlers)),
      m_alive(std::make_shared<bool>(true)),
      m_ownership(m_options.shard, m_options.claim.version, m_options.layout)
{
    if (m_options.layout->count() > 1) {
        read_own();
    }
    else {
        m_ownership.restore({}, m_options.claim.version);
    }
}

machine_exchange::~machine_exchange()
{
    *m_alive = false;
}

void machine_exchange::read_own()
{
    read_own_page("", {}, std::nullopt);
}

void machine_exchange::read_own_page(const std::string& from, std::vector<stored_row> rows,
                                     std::optional<row_version> snapshot)
{
    m_store.read({.table = std::string(machine_transfer_table),
                  .partition = control_partition(m_options.shard),
                  .from = from},
                 m_options.call_timeout,
                 [this, rows = std::move(rows), snapshot,
                  alive = m_alive](const std::optional<row_page>& page) mutable {
                     if (!*alive) {
                         return;
                     }
                     if (!page || page->extent != list_extent::complete ||
                         page->version < m_options.claim.version) {
                         m_loop.call_after(m_options.retry_delay, [this, alive] {
                             if (*alive) {
                                 read_own();
                             }
                         });
                         return;
                     }
                     rows.insert(rows.end(), page->rows.begin(), page->rows.end());
                     const row_version first = snapshot.value_or(page->version);
                     if (page->more && !page->rows.empty()) {
                         read_own_page(page->rows.back().at.key + '\0', std::move(rows), first);
                     }
                     else {
                         restore(rows, first);
                     }
                 });
}

void machine_exchange::restore(const std::vector<stored_row>& rows, row_version snapshot)
{
    if (!m_ownership.restore({}, snapshot)) {
        return;
    }
    const auto is_transfer = [](const stored_row& row) {
        return transferred_machine(row.at).has_value();
    };
    for (const stored_row& row : rows) {
        note_row(row);
    }
    if (m_options.enabled || std::any_of(rows.begin(), rows.end(), is_transfer)) {
        watch();
    }
    m_handlers.on_restored();
}

void machine_exchange::watch()
{
    m_rows = std::make_unique<table_watcher>(
        m_loop, m_store,
        table_watcher_options{.table = std::string(machine_transfer_table),
                              .partitions = all_control_partitions(m_options.layout->count()),
                              .wait = watch_wait},
        table_watcher::event_handlers{.on_row = [this](const stored_row& row) { note_row(row); },
                                      .on_complete = [] {},
                                      .on_response = [] {},
                                      .on_failure = [] {}});
}

void machine_exchange::note_row(const stored_row& row)
{
    const auto machine = transferred_machine(row.at);
    if (row.removed) {
        return;
    }
    if (!machine) {
        note_request(row);
        return;
    }
    if (row.at.partition == control_partition(m_options.shard)) {
        note_own_row(row, *machine);
        return;
    }
    if (const auto receipt = parse_machine_receipt(row.value)) {
        if (receipt->giver == m_options.shard) {
            m_leaving.erase(*machine);
            m_left.insert(*machine);
        }
        return;
    }
    const auto grant = parse_machine_grant(row.value);
    if (!grant || grant->receiver != m_options.shard || m_ownership.has_received(*machine)) {
        return;
    }
    for (shard_number shard = 0; shard < m_options.layout->count(); ++shard) {
        if (row.at.partition == control_partition(shard)) {
            m_arriving[*machine] = shard;
        }
    }
}

void machine_exchange::note_own_row(const stored_row& row, const std::string& machine)
{
    const bool had_received = m_ownership.has_received(machine);
    m_ownership.note_row(row);
    if (parse_machine_grant(row.value)) {
        if (!m_left.contains(machine)) {
            m_leaving.insert(machine);
        }
        return;
    }
    if (!m_ownership.has_received(machine)) {
        return;
    }
    const bool was_arriving = m_arriving.erase(machine) > 0;
    m_receiving.erase(machine);
    if (!had_received || was_arriving) {
        // The rack only matters for machines that weren't received.
        m_handlers.on_received(machine, *m_ownership.token(machine, rack_id()));
    }
}

void machine_exchange::note_request(const stored_row& row)
{
    const auto asked = parse_machine_request(row.value);
    // An earlier leader may have served a request from before this one's claim.
    if (!asked || asked->giver != m_options.shard || row.version <= m_options.claim.version) {
        return;
    }
    for (shard_number shard = 0; shard < m_options.layout->count(); ++shard) {
        if (row.at == machine_request_address(shard) && shard != m_options.shard &&
            m_noted_requests[shard] < row.version) {
            m_noted_requests[shard] = row.version;
            m_requests[shard] = *asked;
        }
    }
}

std::map<shard_number, machine_request> machine_exchange::take_requests()
{
    return std::exchange(m_requests, {});
}

void machine_exchange::give(const std::string& machine, shard_number receiver)
{
    m_ownership.note_grant(machine);
    m_leaving.insert(machine);
    shard_log.info(
        fmt::format("shard {}: machine {} given to shard {}", m_options.shard, machine, receiver));
    write(grant_transaction(m_options.claim, m_options.shard, machine, {.receiver = receiver}));
}

void machine_exchange::receive(const std::string& machine)
{
    const auto arriving = m_arriving.find(machine);
    if (arriving != m_arriving.end() && m_receiving.insert(machine).second) {
        write(receipt_transaction(m_options.claim, m_options.shard, machine, arriving->second));
    }
}

void machine_exchange::request(const machine_request& request)
{
    // A late one asks again for what may have arrived meanwhile, which costs a machine's move.
    m_store.commit({.conditions = {m_options.claim},
                    .writes = {{machine_request_address(m_options.shard), to_text(request)}}},
                   m_options.call_timeout, [](const commit_result&) {});
}

void machine_exchange::write(const row_transaction& transaction)
{
    m_store.commit(transaction, m_options.call_timeout,
                   [this, transaction, alive = m_alive](const commit_result& result) {
                       if (*alive) {
                           handle_commit(transaction, result);
                       }
                   });
}

void machine_exchange::handle_commit(const row_transaction& transaction,
                                     const commit_result& result)
{
    const row_write& written = transaction.writes.front();
    if (result.outcome == commit_outcome::applied) {
        note_row({.at = written.at, .value = *written.value, .version = result.version});
        return;
    }
    for (const stored_row& row : result.present) {
        // An earlier attempt, whose answer was lost, has been applied.
        if (row.at == written.at && !row.removed) {
            note_row(row);
            return;
        }
    }
    if (result.outcome == commit_outcome::conflict) {
        shard_log.info(fmt::format("shard {}: the row {} isn't written: the claim is lost",
                                   m_options.shard, written.at.key));
        return;
    }
    m_loop.call_after(m_options.retry_delay, [this, transaction, alive = m_alive] {
        if (*alive) {
            write(transaction);
        }
    });
}

} // namespace plantaindoor::fleet
