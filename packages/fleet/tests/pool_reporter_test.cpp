#include "plantaindoor/fleet/pool_reporter.hpp"

#include "plantaindoor/process/logging.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>
#include <string>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

std::size_t count_lines(const std::string& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

// Guards against a pool that lacks machines for most of a day, of which the log tells only what it
// lacked at first.
TEST_CASE("figures of a pool that lacks machines are logged as they change, and regularly")
{
    metrics_registry metrics;
    pool_reporter reporter(metrics, 1);
    time_point now{seconds(100)};
    const auto lines_after = [&](pool_figures figures, milliseconds passed) {
        std::ostringstream out;
        {
            const process::log_output output({.stream = &out});
            now += passed;
            reporter.report({{service_id("checks"), figures}}, now);
        }
        return out.str();
    };
    CHECK(lines_after({.wanted = 4, .present = 4}, milliseconds(100)).empty());
    CHECK(lines_after({.wanted = 20, .present = 4}, milliseconds(100))
              .find("pool checks lacks machines: 20 wanted, 4 present, 0 leaving") !=
          std::string::npos);
    CHECK(lines_after({.wanted = 24, .present = 4}, milliseconds(100)).empty());
    CHECK(count_lines(lines_after({.wanted = 25, .present = 4}, milliseconds(100))) == 1);
    CHECK(count_lines(lines_after({.wanted = 25, .present = 3}, milliseconds(100))) == 1);
    CHECK(lines_after({.wanted = 25, .present = 3}, milliseconds(1900)).empty());
    CHECK(count_lines(lines_after({.wanted = 25, .present = 3}, milliseconds(100))) == 1);
    CHECK(lines_after({.wanted = 3, .present = 3}, milliseconds(100))
              .find("pool checks no longer lacks machines: 3 wanted, 3 present, 0 leaving") !=
          std::string::npos);
    CHECK(lines_after({.wanted = 3, .present = 9}, seconds(9)).empty());
}
