#include "plantaindoor/version/codec.hpp"
#include "plantaindoor/version/log_rows.hpp"
#include "plantaindoor/version/registration.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::version;
using nlohmann::json;

namespace {

delta every_change()
{
    const loan lent{.home = pool_id("p1"), .until = wall_time(milliseconds(7))};
    const planned_move moving{.to = pool_id("p2"), .lent = lent};
    return {
        .version = 7,
        .author = "operator:ann",
        .reason = "repair",
        .accepted = wall_time(milliseconds(1764800000000)),
        .changes = {
            put_team{{.id = team_id("t"), .max_job_processors = 1.5}},
            put_pool{{.id = pool_id("p1"), .reserve = 2, .lends = true}},
            put_service{{.id = service_id("s"),
                         .team = team_id("t"),
                         .pools = {pool_id("p1")},
                         .refusal_statuses = {429}}},
            put_instance{
                {.id = instance_id("w"), .pool = pool_id("p1"), .moving = moving, .lent = lent}},
            put_wave{{.id = wave_id("m"), .pools = {pool_id("p1")}}},
            set_rules{{{.id = rule_id("r"), .text = "{rule: r}"}}},
            set_instance_state{
                .id = instance_id("w"), .maintained = wall_time(milliseconds(9)), .moving = moving},
            move_instance{.id = instance_id("w"), .pool = pool_id("p2"), .lent = lent},
            remove_team{team_id("u")}}};
}

fleet every_item()
{
    delta all = every_change();
    all.version = 1;
    all.changes.resize(6);
    all.changes.emplace_back(put_pool{{.id = pool_id("p2")}});
    return *applied(fleet{}, all);
}

registration some_row()
{
    return {.entry = entry_id("e1"),
            .incarnation = 77,
            .zone = availability_zone_id("a"),
            .peer_address = "127.0.0.1",
            .peer_port = 9000,
            .applied = 12,
            .busy = {instance_id("w1")},
            .lease_until = wall_time(milliseconds(5000))};
}

log_record some_record()
{
    return {.append_id = "e1/7", .step = every_change()};
}

/// One kind of bytes that an entry reads from the table, the object store or a peer.
struct foreign_form {
    const char* name;
    std::string valid;
    /// Decodes and encodes again.
    std::string (*round_trip)(std::string_view bytes);
};

template<auto Decode>
std::string round_trip(std::string_view bytes)
{
    return encode(Decode(bytes));
}

const std::vector<foreign_form>& forms()
{
    static const std::vector<foreign_form> all{
        {"delta", encode(every_change()), &round_trip<&decode_delta>},
        {"fleet", encode(every_item()), &round_trip<&decode_fleet>},
        {"head", encode(log_head{.version = 3, .snapshot = 1, .oldest = 2}),
         &round_trip<&decode_log_head>},
        {"record", encode(some_record()), &round_trip<&decode_log_record>},
        {"registration", encode(some_row()), &round_trip<&decode_registration>}};
    return all;
}

/// Fails by any exception other than decode_error.
void only_decode_errors(const foreign_form& form, const std::string& bytes)
{
    try {
        form.round_trip(bytes);
    }
    catch (const decode_error&) {
    }
}

const std::vector<json>& odd_values()
{
    static const std::vector<json> values{nullptr,
                                          true,
                                          0,
                                          -1,
                                          1.5,
                                          1e300,
                                          -1e300,
                                          65536,
                                          4294967296,
                                          18446744073709551615U,
                                          -9223372036854775807 - 1,
                                          json::array(),
                                          json::object(),
                                          json::array({json::array({1})})};
    return values;
}

} // namespace

TEST_CASE("any bytes decode or give a decode error", "[codec]")
{
    for (const foreign_form& form : forms()) {
        REQUIRE(rc::check(std::string(form.name) + " of random bytes",
                          [&](const std::string& bytes) { only_decode_errors(form, bytes); }));
        REQUIRE(rc::check(std::string(form.name) + " with some bytes changed or cut", [&] {
            std::string bytes = form.valid;
            const auto edits = *rc::gen::inRange(1, 6);
            for (int edit = 0; edit < edits; ++edit) {
                const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                bytes[at] = *rc::gen::oneOf(rc::gen::arbitrary<char>(),
                                            rc::gen::elementOf(std::string("{}[]\",:-019eE.")));
            }
            bytes.resize(*rc::gen::oneOf(rc::gen::just(bytes.size()),
                                         rc::gen::inRange<std::size_t>(0, bytes.size())));
            only_decode_errors(form, bytes);
        }));
    }
}

TEST_CASE("a value of another type or out of range is refused, never altered", "[codec]")
{
    for (const foreign_form& form : forms()) {
        const auto body = form.valid.find('\n') + 1;
        const json valid = json::parse(form.valid.substr(body));
        const json leaves = valid.flatten();
        for (const auto& [path, leaf] : leaves.items()) {
            for (json::json_pointer at(path); !at.empty(); at.pop_back()) {
                for (const json& odd : odd_values()) {
                    json changed = valid;
                    changed[at] = odd;
                    INFO(form.name << " " << at.to_string() << " = " << odd.dump());
                    try {
                        const std::string again =
                            form.round_trip(form.valid.substr(0, body) + changed.dump());
                        CHECK(json::parse(again.substr(body)) == changed);
                    }
                    catch (const decode_error&) {
                    }
                }
            }
        }
    }
}

TEST_CASE("deeply nested bytes give a decode error", "[codec]")
{
    constexpr std::size_t depth = 1'000'000;
    for (const foreign_form& form : forms()) {
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        CHECK_THROWS_AS(form.round_trip(nested), decode_error);
        CHECK_THROWS_AS(form.round_trip("{\"version\":" + nested + "}"), decode_error);
        CHECK_THROWS_AS(form.round_trip("e1/1\n" + nested), decode_error);
    }
}
