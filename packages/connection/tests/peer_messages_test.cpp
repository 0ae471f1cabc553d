#include "peer_messages.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace plantaindoor;
using namespace plantaindoor::connection;

namespace {

constexpr milliseconds longest_age{std::chrono::hours(24)};

std::string bytes_of(const peer_message& message)
{
    return to_wire(message, "test").SerializeAsString();
}

peer_message any_message()
{
    const auto number = [] { return *rc::gen::arbitrary<std::uint64_t>(); };
    peer_message message{.entry = entry_id("e1"),
                         .incarnation = number(),
                         .version = number(),
                         .version_before = number(),
                         .records = *rc::gen::arbitrary<std::vector<std::string>>(),
                         .snapshot = *rc::gen::arbitrary<std::string>(),
                         .serving = *rc::gen::arbitrary<bool>()};
    const auto age = *rc::gen::arbitrary<std::int64_t>();
    message.head_age = milliseconds(age);
    message.heard = {{entry_id("e2"), milliseconds(age)}};
    message.demand = {{.entry = entry_id("e2"),
                       .incarnation = number(),
                       .sequence = number(),
                       .zone = availability_zone_id("a"),
                       .services = {{.service = service_id("s"),
                                     .in_progress = *rc::gen::arbitrary<std::uint32_t>(),
                                     .waiting = *rc::gen::arbitrary<std::uint32_t>()}}}};
    return message;
}

bool in_range(milliseconds age)
{
    return age >= milliseconds(0) && age <= longest_age;
}

/// Reads bytes as the channel does, and judges what comes out.
void read_and_judge(const std::string& bytes)
{
    peer::exchange_message wire;
    if (!wire.ParseFromString(bytes)) {
        return;
    }
    const peer_message message = from_wire(wire);
    RC_ASSERT(!message.head_age || in_range(*message.head_age));
    for (const peer_heard& each : message.heard) {
        RC_ASSERT(in_range(each.age));
    }
    const std::string again = bytes_of(message);
    RC_ASSERT(wire.ParseFromString(again));
    RC_ASSERT(bytes_of(from_wire(wire)) == again);
}

} // namespace

TEST_CASE("any bytes are refused or give a message within bounds", "[peers]")
{
    REQUIRE(rc::check("random bytes", [](const std::string& bytes) { read_and_judge(bytes); }));
    REQUIRE(rc::check("a message of any figures", [] { read_and_judge(bytes_of(any_message())); }));
    REQUIRE(rc::check("a message with some bytes changed or cut", [] {
        std::string bytes = bytes_of(any_message());
        const auto edits = *rc::gen::inRange(1, 6);
        for (int edit = 0; edit < edits; ++edit) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        bytes.resize(*rc::gen::oneOf(rc::gen::just(bytes.size()),
                                     rc::gen::inRange<std::size_t>(0, bytes.size())));
        read_and_judge(bytes);
    }));
}
