#include "plantaindoor/common/metrics.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace plantaindoor;

namespace {

/// Draws latencies of three shapes: even, long-tailed, and of two kinds of answer.
double draw(int shape, std::mt19937_64& random)
{
    if (shape == 0) {
        return std::uniform_real_distribution(1.0, 2.0)(random);
    }
    if (shape == 1) {
        return std::lognormal_distribution(0.0, 1.0)(random);
    }
    return std::bernoulli_distribution(0.8)(random) ? std::normal_distribution(1.0, 0.1)(random)
                                                    : std::normal_distribution(5.0, 0.5)(random);
}

/// The share of samples below a value.
double rank_of(const std::vector<double>& sorted, double value)
{
    const auto below = std::ranges::lower_bound(sorted, value) - sorted.begin();
    return static_cast<double>(below) / static_cast<double>(sorted.size());
}

} // namespace

TEST_CASE("estimated quantiles rank where the sorted samples put them", "[metrics]")
{
    // A tenth of the share above the quantile, at most 1%, and not finer than two samples.
    const auto shape = GENERATE(0, 1, 2);
    const std::size_t count = GENERATE(5000, 50000);
    std::mt19937_64 random(20261203);
    metric_summary summary;
    std::vector<double> samples;
    for (std::size_t i = 0; i < count; ++i) {
        samples.push_back(draw(shape, random));
        summary.record(samples.back());
    }
    std::ranges::sort(samples);
    const auto quantiles = summary.quantiles();
    REQUIRE(quantiles.size() == 4);
    for (const auto& [probability, value] : quantiles) {
        INFO(count << " of shape " << shape << " quantile " << probability << " value " << value);
        const double margin =
            std::max(std::min(0.01, (1 - probability) / 10), 2.0 / static_cast<double>(count));
        CHECK(std::abs(rank_of(samples, value) - probability) <= margin);
    }
    CHECK(summary.count() == count);
}

TEST_CASE("quantiles of up to 1,000 samples are exact, in any order", "[metrics]")
{
    const int count = GENERATE(1, 2, 3, 9, 10, 11, 100, 999, 1000);
    const bool descending = GENERATE(false, true);
    metric_summary summary;
    for (int i = 1; i <= count; ++i) {
        summary.record(descending ? count + 1 - i : i);
    }
    const auto quantiles = summary.quantiles();
    REQUIRE(quantiles.size() == 4);
    for (const auto& [probability, value] : quantiles) {
        INFO(count << " samples, quantile " << probability);
        CHECK(value == std::ceil(probability * count));
    }
}

TEST_CASE("quantiles are those of the last whole window, totals those since the start", "[metrics]")
{
    metrics_registry registry;
    metric_summary& summary = registry.summary({.name = "request_seconds"});
    const time_point start{seconds(100)};
    registry.advance(start);
    for (int i = 0; i < 100; ++i) {
        summary.record(milliseconds(1000));
    }
    registry.advance(start + seconds(9));
    CHECK(summary.quantiles()[0].value == Approx(1.0));
    registry.advance(start + seconds(10));
    for (int i = 0; i < 100; ++i) {
        summary.record(milliseconds(3000));
    }
    CHECK(summary.quantiles()[0].value == Approx(1.0));
    registry.advance(start + seconds(20));
    CHECK(summary.quantiles()[0].value == Approx(3.0));
    registry.advance(start + seconds(30));
    CHECK(summary.quantiles().empty());
    CHECK(summary.count() == 200);
    CHECK(summary.sum() == Approx(400.0));
}

TEST_CASE("the text is what Prometheus reads", "[metrics]")
{
    metrics_registry registry;
    const metric_options answered{.name = "requests_total",
                                  .help = "Requests by outcome.",
                                  .labels = {{"outcome", "a\"b\\c\n"}}};
    registry.counter(answered).add(3);
    registry.counter(answered).add();
    registry.gauge({.name = "queue_requests", .help = "Waiting."}).set(2.5);
    registry.summary({.name = "request_seconds", .help = "Time."});
    CHECK(registry.text() == "# HELP plantaindoor_queue_requests Waiting.\n"
                             "# TYPE plantaindoor_queue_requests gauge\n"
                             "plantaindoor_queue_requests 2.5\n"
                             "# HELP plantaindoor_request_seconds Time.\n"
                             "# TYPE plantaindoor_request_seconds summary\n"
                             "plantaindoor_request_seconds_sum 0\n"
                             "plantaindoor_request_seconds_count 0\n"
                             "# HELP plantaindoor_requests_total Requests by outcome.\n"
                             "# TYPE plantaindoor_requests_total counter\n"
                             "plantaindoor_requests_total{outcome=\"a\\\"b\\\\c\\n\"} 4\n");
    CHECK_THROWS_AS(registry.gauge({.name = "requests_total"}), metric_kind_error);
    CHECK_THROWS_AS(registry.gauge({.name = "9 lives"}), invalid_value_error);
}
