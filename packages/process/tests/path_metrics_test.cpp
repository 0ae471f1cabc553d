#include "plantaindoor/process/path_metrics.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::process;

TEST_CASE("claims are counted by what callers were told", "[path-metrics]")
{
    metrics_registry registry;
    path_metrics subject(registry);
    subject.read_claims({.granted = 1, .refused = 5, .unknown = 2}, 7);
    subject.read_claims({.granted = 4, .replayed = 3, .refused = 5, .unknown = 2}, 6);
    const std::string text = registry.text();
    for (const char* const line :
         {"claims_total{verdict=\"granted\"} 4\n", "claims_total{verdict=\"replayed\"} 3\n",
          "claims_total{verdict=\"refused\"} 3\n", "claims_total{verdict=\"unknown\"} 2\n",
          "claims_unsettled 6\n"}) {
        CHECK_THAT(text, Catch::Contains(line));
    }
}

TEST_CASE("ejections go on counting when their service comes anew", "[path-metrics]")
{
    metrics_registry registry;
    path_metrics subject(registry);
    const service_id spell("spell");
    subject.read_ejections({{.service = spell, .ejected = 2, .ejections = 5}});
    subject.read_ejections({});
    CHECK_THAT(registry.text(), Catch::Contains("ejected_targets{service=\"spell\"} 0\n"));
    subject.read_ejections({{.service = spell, .ejected = 1, .ejections = 1}});
    CHECK_THAT(registry.text(), Catch::Contains("ejected_targets{service=\"spell\"} 1\n"));
    CHECK_THAT(registry.text(), Catch::Contains("ejections_total{service=\"spell\"} 6\n"));
}

TEST_CASE("services without end have series with an end", "[path-metrics]")
{
    metrics_registry registry;
    path_metrics subject(registry);
    for (std::size_t i = 0; i < path_metrics::most_services + 50; ++i) {
        const service_id service("s" + std::to_string(i));
        subject.read_ejections({{.service = service, .ejected = 1, .ejections = 1}});
    }
    const std::string text = registry.text();
    // Each service has two series, and so have the others together.
    const std::size_t series = 2 * (path_metrics::most_services + 1);
    std::size_t found = 0;
    for (auto at = text.find("{service="); at != std::string::npos;
         at = text.find("{service=", at + 1)) {
        ++found;
    }
    CHECK(found == series);
    CHECK_THAT(text, Catch::Contains("ejections_total{service=\"(other)\"} 50\n"));
    CHECK_THAT(text, Catch::Contains("ejected_targets{service=\"(other)\"} 1\n"));
}
