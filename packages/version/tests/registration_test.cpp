#include "plantaindoor/version/codec.hpp"
#include "plantaindoor/version/registration.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::version;

TEST_CASE("a registration decodes to what was encoded", "[registration]")
{
    const registration row{.entry = entry_id("e1"),
                           .incarnation = 77,
                           .zone = availability_zone_id("a"),
                           .peer_address = "127.0.0.1",
                           .peer_port = 9000,
                           .applied = 12,
                           .busy = {instance_id("w1")},
                           .lease_until = wall_time(milliseconds(5000))};
    CHECK(decode_registration(encode(row)) == row);
    CHECK(registration_key(row) == "entry/e1@77");
    CHECK_THROWS_AS(decode_registration("{}"), decode_error);
}
