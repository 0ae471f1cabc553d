#include "plantaindoor/process/logging.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

const log_part wave("wave");

std::vector<std::string> lines_of(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

TEST_CASE("records below the level, and those without an output, are not written", "[logging]")
{
    wave.error("nobody reads this");
    CHECK_FALSE(log_part::enabled(log_level::error));
    std::ostringstream out;
    {
        const log_output output({.level = log_level::warning, .stream = &out});
        wave.info("instance w17 drained");
        wave.warning("instance w18\nfailed");
    }
    wave.error("nor this");
    const auto lines = lines_of(out.str());
    REQUIRE(lines.size() == 1);
    CHECK_THAT(lines[0], Catch::EndsWith("Z warning wave: instance w18 failed"));
}

TEST_CASE("JSON lines of several threads are whole and keep any bytes out of the frame",
          "[logging]")
{
    constexpr std::size_t threads = 4;
    constexpr std::size_t records = 200;
    std::ostringstream out;
    {
        const log_output output({.format = log_format::json, .stream = &out});
        std::vector<std::thread> writers;
        writers.reserve(threads);
        for (std::size_t i = 0; i < threads; ++i) {
            writers.emplace_back([] {
                for (std::size_t record = 0; record < records; ++record) {
                    wave.info("quote \" newline \n byte \xff");
                }
            });
        }
        for (std::thread& each : writers) {
            each.join();
        }
    }
    const auto lines = lines_of(out.str());
    REQUIRE(lines.size() == threads * records);
    for (const std::string& line : lines) {
        const auto record = nlohmann::json::parse(line);
        REQUIRE(record.at("part") == "wave");
        REQUIRE(record.at("level") == "info");
        REQUIRE(record.at("message") == "quote \" newline \n byte \xef\xbf\xbd");
    }
}
