// The shards as one entry takes part in them: reads the layout or creates it, watches the rows of
// all leaders, and runs an election for each shard.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/fleet/leader_elector.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

/// The row with the layout, in a table that no entry watches once it knows the layout.
[[nodiscard]] row_address shard_layout_address();

struct shard_set_options {
    leader_elector_options election;
    shard_layout_options division;
    /// Upper bound of a random delay added to election.tracking.delay, drawn for each shard, so
    /// that entries don't claim the same shard at the same time.
    milliseconds max_claim_delay{120};
    /// Delays claims by an entry that leads other shards, for each of them, so that the shards
    /// spread over the entries.
    milliseconds delay_per_shard_led{300};
};

/// Loop thread only.
class shard_set {
public:
    using event = std::function<void()>;

    struct event_handlers {
        /// Runs once, before the other handlers.
        std::function<void(const std::shared_ptr<const shard_layout>&)> on_layout;
        std::function<void(shard_number, leader_session*)> on_session;
        std::function<void(shard_number, const std::optional<leader_claim>&)> on_other_leader;
        /// The store has responded.
        event on_store;
    };

    /// Everything in the context must outlive the set. `random` returns evenly distributed numbers.
    shard_set(const session_context& context, shard_set_options options,
              const std::function<std::uint64_t()>& random, event_handlers handlers);
    shard_set(const shard_set&) = delete;
    shard_set& operator=(const shard_set&) = delete;
    ~shard_set();

    /// The layout is created, and leadership claimed, only once there is a configuration.
    void apply(std::shared_ptr<const fleet_config> config);
    void add_wave(const wave_request& request, time_point first_seen);
    /// Resigns all leaderships and never claims one again.
    void resign(const event& done);

    /// Null until the layout is known.
    [[nodiscard]] const std::shared_ptr<const shard_layout>& layout() const { return m_layout; }
    /// Null until the layout and a configuration are known. Requires that the shard exists.
    [[nodiscard]] leader_elector* elector(shard_number shard)
    {
        return shard < m_electors.size() ? m_electors[shard].get() : nullptr;
    }

private:
    void read_layout();
    void note_layout(const stored_row& row);
    /// Creates the layout if no other entry has done so for a while.
    void check_layout();
    void create_layout();
    void persist_layout(const shard_layout& layout);
    void handle_layout_commit(const commit_result& result);
    void begin_elections();
    void watch_leaders();
    void note_leader_row(const stored_row& row);
    void note_store(bool reachable);
    void check_elections();
    /// The number of other shards that this entry leads or may have claimed.
    [[nodiscard]] std::int64_t engaged_in_others(shard_number shard) const;
    void tick();

    session_context m_context;
    shard_set_options m_options;
    event_handlers m_handlers;
    std::shared_ptr<bool> m_alive;
    std::vector<milliseconds> m_claim_delays;
    milliseconds m_create_delay{0};
    std::shared_ptr<const fleet_config> m_config;
    std::vector<received_wave> m_waves;
    std::shared_ptr<const shard_layout> m_layout;
    std::unique_ptr<table_watcher> m_layout_row;
    /// When the layout was found to be missing.
    std::optional<time_point> m_layout_missing_since;
    bool m_creating_layout = false;
    std::vector<std::unique_ptr<leader_elector>> m_electors;
    /// All shards, in an order that differs between entries.
    std::vector<shard_number> m_claim_order;
    time_point m_last_claim{};
    std::unique_ptr<table_watcher> m_leader_rows;
    timer_id m_tick_timer = timer_id::none;
    bool m_resigning = false;
    bool m_store_reachable = false;
    time_point m_last_response{};
};

} // namespace plantaindoor::fleet
