// Gives machines to other shards and receives theirs, by rows in the store.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/machine_ownership.hpp"
#include "plantaindoor/fleet/machine_transfer_rows.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

struct machine_exchange_options {
    row_condition claim;
    shard_number shard = 0;
    std::shared_ptr<const shard_layout> layout;
    /// Whether machines are given and asked for. What was given earlier is observed in any case.
    bool enabled = false;
    milliseconds call_timeout{1500};
    milliseconds retry_delay{200};
};

/// One leader's part in the transfers of machines. Decides nothing itself. Does nothing if there is
/// one shard. Loop thread only.
class machine_exchange {
public:
    struct event_handlers {
        /// The shard's rows have been read: from now on the ownership is known.
        std::function<void()> on_restored;
        /// The leader owns one machine more.
        std::function<void(const std::string& machine, fencing_token token)> on_received;
    };

    /// Store and loop must outlive the exchange.
    machine_exchange(event_loop& loop, row_store& store, machine_exchange_options options,
                     event_handlers handlers);
    machine_exchange(const machine_exchange&) = delete;
    machine_exchange& operator=(const machine_exchange&) = delete;
    ~machine_exchange();

    [[nodiscard]] bool is_enabled() const noexcept { return m_options.enabled; }
    [[nodiscard]] const machine_ownership& ownership() const noexcept { return m_ownership; }
    /// Machines that were given to this shard and that it hasn't received yet, with their givers.
    [[nodiscard]] const std::map<std::string, shard_number>& arriving() const noexcept
    {
        return m_arriving;
    }
    /// Machines that this shard has given away and that aren't known to have been received.
    [[nodiscard]] const std::set<std::string>& leaving() const noexcept { return m_leaving; }

    /// Gives a machine away, which is no longer owned from now on.
    void give(const std::string& machine, shard_number receiver);
    /// Receives an arriving machine; on_received follows. Does nothing if that has begun.
    void receive(const std::string& machine);
    /// Replaces this shard's request.
    void request(const machine_request& request);
    /// Returns the unserved requests to this shard, each of them once, by the shard that asks.
    [[nodiscard]] std::map<shard_number, machine_request> take_requests();

private:
    void read_own();
    void read_own_page(const std::string& from, std::vector<stored_row> rows,
                       std::optional<row_version> snapshot);
    void restore(const std::vector<stored_row>& rows, row_version snapshot);
    void watch();
    void note_row(const stored_row& row);
    void note_own_row(const stored_row& row, const std::string& machine);
    void note_request(const stored_row& row);
    /// Sends the transaction until it is applied or the claim is lost.
    void write(const row_transaction& transaction);
    void handle_commit(const row_transaction& transaction, const commit_result& result);

    event_loop& m_loop;
    row_store& m_store;
    machine_exchange_options m_options;
    event_handlers m_handlers;
    std::shared_ptr<bool> m_alive;
    machine_ownership m_ownership;
    std::map<std::string, shard_number> m_arriving;
    std::set<std::string> m_leaving;
    /// Machines that the other shards have received from this one.
    std::set<std::string> m_left;
    /// Arriving machines whose row is being written.
    std::set<std::string> m_receiving;
    std::map<shard_number, machine_request> m_requests;
    /// The version of the latest request of each shard.
    std::map<shard_number, row_version> m_noted_requests;
    std::unique_ptr<table_watcher> m_rows;
};

} // namespace plantaindoor::fleet
