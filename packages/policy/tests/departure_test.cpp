#include "plantaindoor/policy/departure.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

constexpr milliseconds stop_time{900};
constexpr time_point announced{seconds(100)};

} // namespace

// Guards against runs that end with their worker instead of by a stop.
TEST_CASE("A run is stopped early enough to end before its worker leaves")
{
    departure leaving(announced);
    leaving.note_remaining(seconds(5), announced + milliseconds(200));
    CHECK(leaving.last_stop(stop_time) < announced + milliseconds(5200) - stop_time);
    CHECK(leaving.last_stop(stop_time) > announced + milliseconds(3000));
}

// Guards against an old row of a worker that is read late, and seems to postpone its end.
TEST_CASE("The earliest end that a worker has told holds")
{
    departure leaving(announced);
    leaving.note_remaining(seconds(5), announced);
    const time_point first = leaving.last_stop(stop_time);
    leaving.note_remaining(seconds(5), announced + seconds(1));
    CHECK(leaving.last_stop(stop_time) == first);
    leaving.note_remaining(milliseconds(0), announced + seconds(2));
    CHECK(leaving.last_stop(stop_time) < announced + seconds(2));
}

// Guards against runs that go on to the unknown end of a worker that doesn't answer.
TEST_CASE("A worker that doesn't tell how long it stays isn't waited for")
{
    CHECK(departure(announced).last_stop(stop_time) <= announced + seconds(2));
}
