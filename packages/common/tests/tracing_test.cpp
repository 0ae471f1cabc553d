#include "plantaindoor/common/scope_guard.hpp"
#include "plantaindoor/common/tracing.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <string>
#include <unistd.h>

using namespace plantaindoor;

namespace {

class manual_time final : public time_source {
public:
    [[nodiscard]] time_point now() const override { return time_point(elapsed); }
    [[nodiscard]] wall_time wall_now() const override
    {
        return wall_time(std::chrono::duration_cast<milliseconds>(elapsed));
    }

    nanoseconds elapsed{milliseconds(5000)};
};

} // namespace

TEST_CASE("hops of one request are one trace, each below the one before", "[tracing]")
{
    manual_time time;
    tracer entry(time, {.seed = 1});
    tracer peer(time, {.seed = 2});
    {
        span caller = entry.start("caller -> entry");
        span target = entry.start("entry -> target", caller.context());
        target.set("target", "w1\xff");
        const auto sent = format_traceparent(target.context());
        const span remote =
            peer.start("entry -> peer", std::get<trace_context>(parse_traceparent(sent)));
        time.elapsed += milliseconds(3);
        target.end();
        target.set("late", "ignored");
        time.elapsed += milliseconds(1);
    }
    const auto spans = nlohmann::json::parse(entry.json());
    REQUIRE(spans.size() == 2);
    CHECK(spans[0]["name"] == "entry -> target");
    CHECK(spans[0]["duration_ns"] == 3'000'000);
    CHECK(spans[0]["start_ms"] == 5000);
    CHECK(spans[0]["attributes"] == nlohmann::json{{"target", "w1\xef\xbf\xbd"}});
    CHECK(spans[0]["parent_id"] == spans[1]["span_id"]);
    CHECK(spans[0]["trace_id"] == spans[1]["trace_id"]);
    CHECK_FALSE(spans[1].contains("parent_id"));
    CHECK(spans[1]["duration_ns"] == 4'000'000);
    const auto remote = nlohmann::json::parse(peer.json());
    REQUIRE(remote.size() == 1);
    CHECK(remote[0]["parent_id"] == spans[0]["span_id"]);
    CHECK(remote[0]["trace_id"] == spans[0]["trace_id"]);
}

TEST_CASE("the ring keeps the newest, oldest first; one trace can be asked for", "[tracing]")
{
    manual_time time;
    tracer kept(time, {.ring = 3});
    trace_context last;
    for (int i = 0; i < 8; ++i) {
        span each = kept.start("hop");
        each.set("number", std::to_string(i));
        last = each.context();
    }
    const auto spans = nlohmann::json::parse(kept.json());
    REQUIRE(spans.size() == 3);
    for (int i = 0; i < 3; ++i) {
        CHECK(spans[i]["attributes"]["number"] == std::to_string(5 + i));
    }
    CHECK(kept.dropped() == 5);
    CHECK(nlohmann::json::parse(kept.json(last.trace)).size() == 1);
    CHECK_THROWS_AS(tracer(time, {.ring = 0}), invalid_value_error);
}

TEST_CASE("spans that are moved from, not sampled or owned by no tracer are kept nowhere",
          "[tracing]")
{
    manual_time time;
    tracer kept(time, {});
    {
        span nothing;
        nothing.set("a", "b");
        const span unsampled = kept.start("hop", {.trace = {1, 2}, .span = 3, .sampled = false});
        CHECK_FALSE(unsampled.context().sampled);
        span first = kept.start("moved");
        nothing = std::move(first);
    }
    const auto spans = nlohmann::json::parse(kept.json());
    REQUIRE(spans.size() == 1);
    CHECK(spans[0]["name"] == "moved");
}

TEST_CASE("spans are appended to the file, a JSON object a line", "[tracing]")
{
    const auto file = std::filesystem::temp_directory_path() /
                      ("tracing_test." + std::to_string(getpid()) + ".jsonl");
    const scope_guard cleanup([&] { std::filesystem::remove(file); });
    manual_time time;
    tracer kept(time, {.file = file});
    kept.start("first").end();
    kept.start("second").end();
    std::ifstream in(file);
    std::set<std::string> names;
    for (std::string line; std::getline(in, line);) {
        names.insert(nlohmann::json::parse(line).at("name"));
    }
    CHECK(names == std::set<std::string>{"first", "second"});
    CHECK_THROWS_AS(tracer(time, {.file = "/nonexistent/spans.jsonl"}), trace_file_error);
}
