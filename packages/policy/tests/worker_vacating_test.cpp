// Which short runs are stopped so that a worker's machine can be moved.
#include "plantaindoor/policy/worker_vacating.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

constexpr milliseconds stop_time{1000};
const time_point now{std::chrono::hours(1)};
const vacating_deadline in_two_seconds(now + seconds(2), stop_time);

short_run run_of(milliseconds age, milliseconds estimate)
{
    return {.use = {.cpu_millis = 2000}, .age = age, .estimate = estimate};
}

} // namespace

// Guards against work that is thrown away though it would have ended in time.
TEST_CASE("vacating a worker stops only the runs that would end too late")
{
    const auto plan = in_two_seconds.vacate(
        {run_of(seconds(3), seconds(4)), run_of(seconds(3), seconds(9))}, now);
    CHECK_FALSE(plan.in_time);
    CHECK(plan.stops == std::vector<std::size_t>{1});
    CHECK(plan.cost == Approx(6));
    CHECK(plan.wait == seconds(6));
    CHECK(in_two_seconds.vacate({}, now).in_time);
}

// Guards against a stop that is requested before it has to be.
TEST_CASE("a worker's runs are stopped no earlier than a stop takes before the deadline")
{
    CHECK_FALSE(in_two_seconds.may_stop(now + milliseconds(900)));
    CHECK(in_two_seconds.may_stop(now + seconds(1)));
}

// Guards against a run that is always about to end and holds up the move for ever.
TEST_CASE("a run that goes on beyond the deadline is stopped whatever is left of it")
{
    const std::vector<short_run> runs{run_of(milliseconds(3950), seconds(4))};
    CHECK(in_two_seconds.vacate(runs, now).in_time);
    const auto overdue = in_two_seconds.vacate(runs, now + milliseconds(2100));
    CHECK_FALSE(overdue.in_time);
    CHECK(overdue.stops.size() == 1);
}

// Guards against another worker being chosen while the runs of one are being stopped.
TEST_CASE("a worker whose runs are being stopped is vacated in time at no cost")
{
    short_run stopping = run_of(seconds(5), seconds(20));
    stopping.stopping = true;
    const auto plan = in_two_seconds.vacate({stopping}, now + milliseconds(2100));
    CHECK(plan.in_time);
    CHECK(plan.stops.empty());
    CHECK(plan.wait == stop_time);
}
