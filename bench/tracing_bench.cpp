// Measures the time to create one span with one attribute, with this project's tracer and with
// OpenTracing's in-memory tracer.
#include "plantaindoor/common/tracing.hpp"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <opentracing/mocktracer/in_memory_recorder.h>
#include <opentracing/mocktracer/tracer.h>
#include <string_view>
#include <utility>
#include <vector>

using namespace plantaindoor;

namespace {

constexpr std::size_t spans = 500'000;

class system_time final : public time_source {
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override
    {
        return std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
    }
};

struct measurement {
    std::string_view name;
    double ns_per_span = 0;
};

template<class Operation>
measurement measure(std::string_view name, Operation operation)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < spans; ++i) {
        operation();
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    return {name, elapsed.count() / static_cast<double>(spans)};
}

/// Discards all spans, so that the cost of a growing span store isn't measured.
class discarding_recorder final : public opentracing::mocktracer::Recorder {
public:
    void RecordSpan(opentracing::mocktracer::SpanData&& /*data*/) noexcept override {}
};

std::shared_ptr<opentracing::Tracer> make_opentracing_tracer()
{
    opentracing::mocktracer::MockTracerOptions options;
    options.recorder = std::make_unique<discarding_recorder>();
    return std::make_shared<opentracing::mocktracer::MockTracer>(std::move(options));
}

} // namespace

int main(int argc, char** argv)
{
    const bool json = argc > 1 && std::string_view(argv[1]) == "--json";
    const system_time time;
    tracer project_tracer(time, {.ring = 2000});
    const span parent = project_tracer.start("parent");
    const auto opentracing_tracer = make_opentracing_tracer();
    const auto opentracing_parent = opentracing_tracer->StartSpan("parent");
    const std::vector<measurement> figures{
        measure("tracer",
                [&] {
                    span hop = project_tracer.start("entry -> target", parent.context());
                    hop.set("target", "w17");
                }),
        measure("opentracing",
                [&] {
                    const auto hop = opentracing_tracer->StartSpan(
                        "entry -> target", {opentracing::ChildOf(&opentracing_parent->context())});
                    hop->SetTag("target", "w17");
                }),
    };
    std::printf(json ? "{\"unit\":\"ns\"" : "%-12s %10s\n", "tracer", "ns/span");
    for (const measurement& each : figures) {
        std::printf(json ? ",\"%s\":%.1f" : "%-12s %10.1f\n", each.name.data(), each.ns_per_span);
    }
    std::printf(json ? "}\n" : "");
    return 0;
}
