#include "plantaindoor/fleet/operator_watcher.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <chrono>
#include <utility>
#include <variant>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part config_log("config");

/// Bounds, with the timeout of the call, for how long a lost watch call hides a new version.
constexpr milliseconds watch_wait{1000};

} // namespace

operator_watcher::operator_watcher(event_loop& loop, row_store& store, const platform_codec& codec,
                                   metrics_registry& metrics, event_handlers handlers,
                                   std::function<time_point()> clock)
    : m_loop(loop),
      m_codec(codec),
      m_handlers(std::move(handlers)),
      m_version(metrics.gauge({"configuration_version", "Configuration in force here", {}})),
      m_view_age(metrics.gauge({"configuration_view_age_seconds",
                                "Time since which a new configuration may not have been received",
                                {}})),
      m_rows(loop, store,
             table_watcher_options{
                 .table = codec.operator_table, .wait = watch_wait, .clock = std::move(clock)},
             table_watcher::event_handlers{
                 .on_row = [this](const stored_row& row) { handle_row(row); },
                 .on_complete = [this] { m_handlers.on_read(m_rows.last_answered_request()); },
                 .on_response =
                     [this] {
                         m_handlers.on_response();
                         m_handlers.on_read(m_rows.last_answered_request());
                     },
                 .on_failure = [] {}})
{
}

void operator_watcher::refresh_gauges()
{
    m_view_age.set(std::chrono::duration<double>(view_age()).count());
}

milliseconds operator_watcher::view_age() const
{
    return m_config
               ? std::chrono::duration_cast<milliseconds>(m_loop.now() - m_rows.current_as_of())
               : milliseconds(0);
}

void operator_watcher::handle_row(const stored_row& row)
{
    if (row.removed) {
        return;
    }
    operator_row parsed = m_codec.parse_operator_row(row);
    if (const auto* const wave = std::get_if<wave_request>(&parsed)) {
        config_log.info(fmt::format("wave {} requested: {} machines, at most {} down at once",
                                    wave->number, wave->machines.size(), wave->max_down));
        m_handlers.on_wave(*wave);
    }
    else if (auto* const config = std::get_if<fleet_config>(&parsed)) {
        apply(std::move(*config));
    }
    else {
        config_log.warning(
            fmt::format("operator row {} ignored: it is invalid or has no content", row.at.key));
    }
}

void operator_watcher::apply(fleet_config config)
{
    if (m_config && config.version <= m_config->version) {
        return;
    }
    config_log.info(
        fmt::format("configuration version {} applied: {} routes, {} pools, {} workspaces with {} "
                    "keys; the view was {} ms old",
                    config.version, config.routes.size(), config.pools.size(),
                    config.workspaces.size(), config.keys.size(), view_age().count()));
    if (m_config) {
        add_former_services(*m_config, config);
    }
    m_version.set(static_cast<double>(config.version));
    m_config = std::make_shared<const fleet_config>(std::move(config));
    m_handlers.on_config(m_config);
}

} // namespace plantaindoor::fleet
