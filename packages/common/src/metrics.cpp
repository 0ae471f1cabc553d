#include "plantaindoor/common/metrics.hpp"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <fmt/format.h>
#include <span>

namespace plantaindoor {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> probabilities{0.5, 0.9, 0.99, 0.999};
/// Every second one is reported; those between them bring the estimates nearer.
constexpr std::array<double, 8> estimated{0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999};
/// The estimate needs many samples before it is near; up to this many are kept instead.
constexpr std::size_t exact_samples = 1000;
constexpr std::string_view prefix = "plantaindoor_";

using totals = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
using window_estimate =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

window_estimate empty_window()
{
    return window_estimate(acc::extended_p_square_probabilities = estimated);
}

bool is_metric_name(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    };
    return !name.empty() && (name[0] < '0' || name[0] > '9') && std::ranges::all_of(name, allowed);
}

void require_name(const std::string& where, const std::string& name)
{
    if (!is_metric_name(name)) {
        throw invalid_value_error(where, "\"" + name + "\"", "lower-case letters, digits and '_'");
    }
}

std::string escaped(std::string_view text, bool quotes)
{
    std::string out;
    for (const char c : text) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '\\' || (quotes && c == '"')) {
            out += '\\';
        }
        out += c;
    }
    return out;
}

/// The least of the sorted samples that is not below the given share of them.
double exact_quantile(std::span<const double> sorted, double probability)
{
    const double rank = std::ceil(probability * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

/// The labels as Prometheus writes them, without the braces.
std::string label_text(const metric_options& options)
{
    std::string text;
    for (const auto& [name, value] : options.labels) {
        require_name("label of metric " + options.name, name);
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escaped(value, true));
    }
    return text;
}

std::string braced(const std::string& labels)
{
    return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

} // namespace

struct metric_summary::accumulators {
    totals total;
    window_estimate present = empty_window();
    /// The first samples of the present window.
    std::vector<double> first;
    /// Quantiles of the last window that had samples.
    std::vector<quantile> last;
};

metric_summary::metric_summary() : m_accumulators(std::make_unique<accumulators>()) {}
metric_summary::~metric_summary() = default;

void metric_summary::record(double value)
{
    m_accumulators->total(value);
    m_accumulators->present(value);
    if (m_accumulators->first.size() < exact_samples) {
        m_accumulators->first.push_back(value);
    }
}

std::uint64_t metric_summary::count() const
{
    return acc::count(m_accumulators->total);
}

double metric_summary::sum() const
{
    return acc::sum(m_accumulators->total);
}

std::vector<metric_summary::quantile> metric_summary::quantiles() const
{
    if (!m_accumulators->last.empty() || acc::count(m_accumulators->present) == 0) {
        return m_accumulators->last;
    }
    std::vector<double> first = m_accumulators->first;
    std::ranges::sort(first);
    const bool exact = acc::count(m_accumulators->present) <= exact_samples;
    const auto estimated_values = acc::extended_p_square(m_accumulators->present);
    const std::vector<double> estimates(estimated_values.begin(), estimated_values.end());
    std::vector<quantile> all;
    for (std::size_t i = 0; i < probabilities.size(); ++i) {
        const double probability = probabilities.at(i);
        all.push_back({.probability = probability,
                       .value = exact ? exact_quantile(first, probability) : estimates[2 * i + 1]});
    }
    return all;
}

void metric_summary::end_window()
{
    m_accumulators->last.clear();
    m_accumulators->last = quantiles();
    m_accumulators->present = empty_window();
    m_accumulators->first.clear();
}

struct metrics_registry::family {
    std::string kind;
    std::string help;
    // By label text; pointers, since references to a metric must stay valid.
    std::map<std::string, std::unique_ptr<metric_counter>> counters;
    std::map<std::string, std::unique_ptr<metric_gauge>> gauges;
    std::map<std::string, std::unique_ptr<metric_summary>> summaries;

    auto& of(const metric_counter*) { return counters; }
    auto& of(const metric_gauge*) { return gauges; }
    auto& of(const metric_summary*) { return summaries; }
};

namespace {

constexpr std::string_view kind_of(const metric_counter*)
{
    return "counter";
}

constexpr std::string_view kind_of(const metric_gauge*)
{
    return "gauge";
}

constexpr std::string_view kind_of(const metric_summary*)
{
    return "summary";
}

void print_summary(std::string& out, const std::string& name, const std::string& labels,
                   const metric_summary& summary)
{
    const std::string separator = labels.empty() ? "" : ",";
    for (const auto& [probability, value] : summary.quantiles()) {
        out += fmt::format("{}{{{}{}quantile=\"{}\"}} {}\n", name, labels, separator, probability,
                           value);
    }
    out += fmt::format("{}_sum{} {}\n", name, braced(labels), summary.sum());
    out += fmt::format("{}_count{} {}\n", name, braced(labels), summary.count());
}

} // namespace

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

template<class Metric>
Metric& metrics_registry::find(const metric_options& options)
{
    constexpr const Metric* tag = nullptr;
    require_name("metric", options.name);
    const std::string labels = label_text(options);
    family& group = m_families[options.name];
    if (group.kind.empty()) {
        group.kind = kind_of(tag);
        group.help = options.help;
    }
    if (group.kind != kind_of(tag)) {
        throw metric_kind_error(options.name, group.kind);
    }
    auto& metric = group.of(tag)[labels];
    if (!metric) {
        metric = std::make_unique<Metric>();
    }
    return *metric;
}

metric_counter& metrics_registry::counter(const metric_options& options)
{
    return find<metric_counter>(options);
}

metric_gauge& metrics_registry::gauge(const metric_options& options)
{
    return find<metric_gauge>(options);
}

metric_summary& metrics_registry::summary(const metric_options& options)
{
    return find<metric_summary>(options);
}

void metrics_registry::advance(time_point now)
{
    if (now - m_window_start < window) {
        return;
    }
    m_window_start = now;
    for (auto& [name, group] : m_families) {
        for (auto& [labels, summary] : group.summaries) {
            summary->end_window();
        }
    }
}

std::string metrics_registry::text() const
{
    std::string out;
    for (const auto& [short_name, group] : m_families) {
        const std::string name = fmt::format("{}{}", prefix, short_name);
        out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, escaped(group.help, false), name,
                           group.kind);
        for (const auto& [labels, counter] : group.counters) {
            out += fmt::format("{}{} {}\n", name, braced(labels), counter->value());
        }
        for (const auto& [labels, gauge] : group.gauges) {
            out += fmt::format("{}{} {}\n", name, braced(labels), gauge->value());
        }
        for (const auto& [labels, summary] : group.summaries) {
            print_summary(out, name, labels, *summary);
        }
    }
    return out;
}

} // namespace plantaindoor
