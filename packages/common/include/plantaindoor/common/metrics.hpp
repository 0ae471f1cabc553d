// Counters, gauges and latency summaries, printed for /metrics in Prometheus's text format.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaindoor {

/// Grows only. Not synchronised.
class metric_counter {
public:
    void add(std::uint64_t count = 1) noexcept { m_value += count; }
    [[nodiscard]] std::uint64_t value() const noexcept { return m_value; }

private:
    std::uint64_t m_value = 0;
};

/// A figure that goes up and down. Not synchronised.
class metric_gauge {
public:
    void set(double value) noexcept { m_value = value; }
    void add(double difference) noexcept { m_value += difference; }
    [[nodiscard]] double value() const noexcept { return m_value; }

private:
    double m_value = 0;
};

/// Count and sum since the start, and quantiles (0.5, 0.9, 0.99, 0.999) of the last whole window,
/// exact up to 1,000 samples and estimated past that, in bounded memory; of the present window
/// while no other has samples. Not synchronised.
class metric_summary {
public:
    struct quantile {
        double probability = 0;
        double value = 0;
    };

    metric_summary();
    metric_summary(const metric_summary&) = delete;
    metric_summary& operator=(const metric_summary&) = delete;
    ~metric_summary();

    /// Records one sample.
    void record(double value);
    /// Records a duration, in seconds.
    void record(nanoseconds duration) { record(std::chrono::duration<double>(duration).count()); }

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;
    /// Empty when there are no samples.
    [[nodiscard]] std::vector<quantile> quantiles() const;
    /// Ends the present window, and begins another.
    void end_window();

private:
    struct accumulators;
    std::unique_ptr<accumulators> m_accumulators;
};

/// Names one time series.
struct metric_options {
    /// Without the prefix "plantaindoor_": "requests_total", "request_seconds".
    std::string name;
    std::string help;
    std::vector<std::pair<std::string, std::string>> labels;
};

/// A metric's name is registered as another kind.
class metric_kind_error : public error {
public:
    metric_kind_error(const std::string& name, const std::string& kind)
        : error("metric-kind", "metric \"" + name + "\" is already a " + kind,
                {{"name", name}, {"kind", kind}})
    {
    }
};

/// Owns a process's metrics. Look a metric up once and keep the reference, which stays valid as
/// long as the registry. Loop thread only.
class metrics_registry {
public:
    metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    ~metrics_registry();

    /// The metric of this name and labels, made when it is new. Throws metric_kind_error, and
    /// invalid_value_error for a name or label name that Prometheus doesn't take.
    metric_counter& counter(const metric_options& options);
    metric_gauge& gauge(const metric_options& options);
    metric_summary& summary(const metric_options& options);

    /// Ends every summary's window once the window's length has passed. Call with each reading.
    void advance(time_point now);
    /// The text of /metrics.
    [[nodiscard]] std::string text() const;

    static constexpr seconds window{10};

private:
    struct family;

    template<class Metric>
    Metric& find(const metric_options& options);

    std::map<std::string, family> m_families;
    time_point m_window_start{};
};

} // namespace plantaindoor
