#include "plantaindoor/process/fleet_verbs.hpp"

#include "fakes/delayed_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/operator_api.hpp"
#include "plantaindoor/process/table_journal.hpp"
#include "plantaindoor/version/table_change_log.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <array>
#include <optional>
#include <string>

using namespace plantaindoor;
using namespace plantaindoor::process;
using nlohmann::json;

namespace {

constexpr std::string_view fleet_text = R"(
teams: [{id: exams}]
pools: [{id: checks}, {id: spare, lends: true}]
services:
  - {id: spell, team: exams, pools: [checks], budget: {minimum: 1}}
instances:
  - {id: w1, pool: checks, zone: a, rack: r1, address: 127.0.0.1, port: 9001}
  - {id: w2, pool: checks, zone: b, rack: r2, address: 127.0.0.1, port: 9002}
)";

class silent_platform final : public instance_list, public instance_control {
public:
    void list(list_callback) override {}
    void reboot(const instance_id&, const operation_guard&, operation_callback) override {}
    void boot_count(const instance_id&, std::function<void(std::optional<std::uint64_t>)>) override
    {
    }
};

/// The operators' routes of one entry over a real log.
class operator_side {
public:
    operator_side()
    {
        add_operator_routes(
            {.router = router, .log = log, .rows = rows, .status = [] { return entry_status{}; }});
        add_fleet_verbs(
            {.router = router, .log = log, .time = loop, .duties = duties, .journal = journal});
        log.start();
        REQUIRE(post("/v1/apply", std::string(fleet_text)).status == 200);
    }

    connection::http_response post(const std::string& target, const std::string& body,
                                   const std::string& author = "ann")
    {
        std::optional<connection::http_response> got;
        router.handle({.method = "POST",
                       .target = target,
                       .headers = {{"Plantaindoor-Operator", author}},
                       .body = body},
                      [&](connection::http_response answer) { got = std::move(answer); });
        loop.run_for(seconds(10));
        REQUIRE(got.has_value());
        return *got;
    }

    fakes::virtual_loop loop;
    fakes::memory_table table_rows;
    fakes::delayed_table rows{loop, table_rows, {}, 1};
    version::table_change_log log{loop, rows, {.author_id = "e1"}};
    silent_platform platform;
    table_journal journal{{.loop = loop, .rows = rows, .self = entry_id("e1")}};
    connection::operator_router router{""};
    membership_reader reader{loop, rows, platform};
    duty_runner duties{{.loop = loop,
                        .rows = rows,
                        .log = log,
                        .reader = reader,
                        .control = platform,
                        .journal = journal,
                        .self = entry_id("e1")}};
};

constexpr std::array<const char*, 9> verb_paths{
    "/v1/instances/w1/drain", "/v1/instances/w1/undrain", "/v1/instances/w1/move",
    "/v1/instances/w1/lend",  "/v1/instances/w1/return",  "/v1/waves",
    "/v1/waves/m1/pause",     "/v1/waves/m1/resume",      "/v1/waves/m1/abort"};

/// An answer is a new version or a typed refusal of the request.
void check_answer(const connection::http_response& answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    RC_ASSERT(body.is_object());
    RC_ASSERT(answer.status == 200 || body.contains("type"));
    RC_ASSERT(answer.status < 500);
}

rc::Gen<std::string> any_body()
{
    const auto names =
        rc::gen::element<std::string>("pool", "minutes", "id", "pools", "max_parallel", "reason");
    const auto values = rc::gen::element<std::string>(
        "null", "-1", "1e300", "18446744073709551615", "\"checks\"", "\"m1\"", "\"\\u0000\"", "[]",
        "{}", "[1]", "[\"checks\"]", "[[[[]]]]", "true", "5");
    return rc::gen::map(rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
                            rc::gen::pair(names, values)),
                        [](const auto& members) {
                            std::string text = "{";
                            for (const auto& [name, value] : members) {
                                text += (text.size() == 1 ? "\"" : ",\"") + name + "\":" + value;
                            }
                            return text + "}";
                        });
}

} // namespace

TEST_CASE("any body of a verb is taken or refused by type", "[fleet_verbs]")
{
    operator_side side;
    REQUIRE(rc::check("members of odd types", [&] {
        check_answer(side.post(*rc::gen::elementOf(verb_paths), *any_body()));
    }));
    REQUIRE(rc::check("random bytes", [&](const std::string& body) {
        check_answer(side.post(*rc::gen::elementOf(verb_paths), body));
    }));
}

TEST_CASE("a deeply nested body is refused", "[fleet_verbs]")
{
    operator_side side;
    constexpr std::size_t depth = 400'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    for (const char* const path : verb_paths) {
        INFO(path);
        CHECK(side.post(path, R"({"id":)" + nested + "}").status == 400);
    }
}

TEST_CASE("text that is not UTF-8 is refused and the entry goes on", "[fleet_verbs]")
{
    operator_side side;
    const auto before = side.log.current()->version;
    CHECK(side.post("/v1/instances/w1/drain", "{}", "ann\xff").status == 400);
    std::string odd(fleet_text);
    odd.replace(odd.find("zone: a"), 7, "zone: \"a\xff\"");
    CHECK(side.post("/v1/apply", odd).status == 400);
    std::string moved(fleet_text);
    moved.replace(moved.find("zone: a"), 7, "zone: c");
    CHECK(side.post("/v1/apply?reason=%ff", moved).status == 400);
    CHECK(side.log.current()->version == before);
    CHECK(side.post("/v1/instances/w1/drain", "{}").status == 200);
}
