// Watches the operator's rows: the configuration in force and the maintenance waves.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/fleet/fleet_config.hpp"
#include "plantaindoor/fleet/platform_codec.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/table_watcher.hpp"

#include <functional>
#include <memory>

namespace plantaindoor::fleet {

/// Applies each newer configuration version, and never an older one. A new version is in force
/// within 2 s of its commit even if the pending watch call is lost. Loop thread only.
class operator_watcher {
public:
    using config_callback = std::function<void(const std::shared_ptr<const fleet_config>&)>;
    using wave_callback = std::function<void(const wave_request&)>;
    using event = std::function<void()>;

    struct event_handlers {
        /// A newer configuration is in force.
        config_callback on_config;
        wave_callback on_wave;
        /// The store has answered.
        event on_response;
        /// All that the store acknowledged before `sent` has been applied.
        std::function<void(time_point sent)> on_read = [](time_point) {};
    };

    /// Starts reading at once. All arguments passed by reference must outlive the watcher.
    /// `clock` is that of on_read; the event loop's where there is none.
    operator_watcher(event_loop& loop, row_store& store, const platform_codec& codec,
                     metrics_registry& metrics, event_handlers handlers,
                     std::function<time_point()> clock = {});
    operator_watcher(const operator_watcher&) = delete;
    operator_watcher& operator=(const operator_watcher&) = delete;
    ~operator_watcher() = default;

    /// Returns null until the first configuration has been read.
    [[nodiscard]] std::shared_ptr<const fleet_config> config() const noexcept { return m_config; }
    /// Updates the metrics that change with time.
    void refresh_gauges();

private:
    void handle_row(const stored_row& row);
    void apply(fleet_config config);
    /// Time since which a newer configuration may not have been received; 0 before the first one.
    [[nodiscard]] milliseconds view_age() const;

    event_loop& m_loop;
    const platform_codec& m_codec;
    event_handlers m_handlers;
    metric_gauge& m_version;
    metric_gauge& m_view_age;
    std::shared_ptr<const fleet_config> m_config;
    table_watcher m_rows;
};

} // namespace plantaindoor::fleet
