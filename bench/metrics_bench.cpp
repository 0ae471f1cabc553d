// Measures the time to record one value in each kind of metric.
#include "plantaindoor/common/metrics.hpp"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <random>
#include <string_view>
#include <vector>

using namespace plantaindoor;

namespace {

constexpr std::size_t records = 5'000'000;
constexpr std::size_t distinct_samples = 65536;

struct measurement {
    std::string_view name;
    double ns_per_record = 0;
};

/// Compiler barrier: prevents merging of the stores of successive iterations.
void clobber_memory()
{
    asm volatile("" ::: "memory");
}

template<class Record>
measurement measure(std::string_view name, const std::vector<double>& samples, Record record)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < records; ++i) {
        record(samples[i % distinct_samples]);
        clobber_memory();
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    return {name, elapsed.count() / static_cast<double>(records)};
}

std::vector<double> make_samples()
{
    std::mt19937_64 random(20261203);
    std::lognormal_distribution latency(-7.0, 0.5);
    std::vector<double> samples(distinct_samples);
    for (double& each : samples) {
        each = latency(random);
    }
    return samples;
}

} // namespace

int main(int argc, char** argv)
{
    const bool json = argc > 1 && std::string_view(argv[1]) == "--json";
    const std::vector<double> samples = make_samples();
    metrics_registry registry;
    metric_counter& counter = registry.counter({.name = "requests_total"});
    metric_gauge& gauge = registry.gauge({.name = "queue_requests"});
    metric_summary& summary = registry.summary({.name = "request_seconds"});
    const std::vector<measurement> figures{
        measure("counter", samples, [&](double) { counter.add(); }),
        measure("gauge", samples, [&](double value) { gauge.set(value); }),
        measure("summary", samples, [&](double value) { summary.record(value); }),
    };
    std::printf(json ? "{\"unit\":\"ns\"" : "%-10s %12s\n", "metric", "ns/record");
    for (const measurement& each : figures) {
        std::printf(json ? ",\"%s\":%.2f" : "%-10s %12.2f\n", each.name.data(), each.ns_per_record);
    }
    std::printf(json ? "}\n" : "");
    return registry.text().empty() ? 1 : 0;
}
