// The row that tells a successor which machines have an order that may still be carried out.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/row_store.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::fleet {

/// The machines that a row lists; none if it is malformed. Thread-safe.
[[nodiscard]] std::set<std::string> parse_machines(std::string_view text);
[[nodiscard]] std::string to_text(const std::set<std::string>& machines);

struct recent_orders_options {
    row_address at;
    /// Condition of every write.
    row_condition claim;
    milliseconds commit_timeout{1500};
    /// How long a machine stays in the row after its order.
    milliseconds retention{3300};
    /// Shortest pause before a write that only removes machines.
    milliseconds removal_interval{500};
};

/// Keeps the row of one shard's leader. Loop thread only.
class recent_orders {
public:
    using callback = std::function<void(bool listed)>;

    /// The store must outlive this object.
    recent_orders(row_store& store, recent_orders_options options);
    recent_orders(const recent_orders&) = delete;
    recent_orders& operator=(const recent_orders&) = delete;
    ~recent_orders();

    /// Adds machines that are about to get an order. `done` runs once, when the row lists them or
    /// it isn't known to; not after destruction.
    void add(const std::vector<std::string>& machines, time_point now, callback done);
    /// The order to the machine has been carried out or refused, and a successor can see that from
    /// the list of machines.
    void remove(const std::string& machine) { m_ordered.erase(machine); }
    /// Removes from the row the machines that needn't be listed any more. To be called
    /// periodically.
    void tick(time_point now);

private:
    void expire(time_point now);
    void write(std::vector<row_condition> conditions, time_point now, callback done);
    void note_result(const std::set<std::string>& written, const commit_result& result);

    row_store& m_store;
    recent_orders_options m_options;
    std::shared_ptr<bool> m_alive;
    std::map<std::string, time_point> m_ordered;
    /// What the row lists, and its version; no version if another write may have changed it.
    std::set<std::string> m_listed;
    std::optional<row_version> m_version;
    std::size_t m_writes_pending = 0;
    time_point m_last_write{};
};

} // namespace plantaindoor::fleet
