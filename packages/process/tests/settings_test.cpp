#include "plantaindoor/common/scope_guard.hpp"
#include "plantaindoor/process/claim_sweeper.hpp"
#include "plantaindoor/process/pool_duty.hpp"
#include "plantaindoor/process/settings.hpp"
#include "plantaindoor/process/wave_planner.hpp"
#include "plantaindoor/request/attempt_tracker.hpp"
#include "plantaindoor/request/claim_batcher.hpp"
#include "plantaindoor/request/dispatcher.hpp"
#include "plantaindoor/request/retry_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string_view>
#include <unistd.h>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

using namespace std::string_view_literals;

constexpr auto yaml_signs = "ab:-[]{}&*!|>'\"%@`#?, \n\t\0\x80"sv;

/// The least that a file must hold, in six lines.
const std::string short_text =
    "cluster: c\nentry: e\navailability_zone: a\nregion: r\n"
    "listen: {callers: '10.0.0.1:0', operators: '[::1]:0', peers: '10.0.0.1:0'}\n"
    "platform: {address: '10.0.0.9:1'}\n";

std::filesystem::path example_file()
{
    return PLANTAINDOOR_EXAMPLE_SETTINGS;
}

std::string example_text()
{
    std::ifstream in(example_file());
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::vector<settings_fault> faults_of(const std::string& text)
{
    try {
        (void)parse_settings(text, "f.yaml");
        return {};
    }
    catch (const settings_error& failure) {
        return failure.faults();
    }
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("the example file is read", "[settings]")
{
    const settings read = load_settings(example_file());
    CHECK(read.entry == entry_id("e1"));
    CHECK(read.listen.callers == endpoint{"127.0.0.1", 8080});
    CHECK(read.timings.renew == milliseconds(1000));
    CHECK(read.limits.queue_bytes == 16777216);
    CHECK(read.traces.file.empty());
}

TEST_CASE("a short file takes the defaults", "[settings]")
{
    const settings read = parse_settings(short_text, "f.yaml");
    CHECK(read.timings.lease == milliseconds(6000));
    CHECK(read.logs.format == log_format::human);
    CHECK(read.listen.operators.loopback());
}

TEST_CASE("all faults are reported at once, each with its place", "[settings]")
{
    const std::string text = "cluster: c\n"
                             "entry: 'e 1'\n"
                             "availability_zone: a\n"
                             "listen:\n"
                             "  callers: localhost:80\n"
                             "  operators: 10.0.0.1:81\n"
                             "  peers: 10.0.0.1:81\n"
                             "platform: {address: '10.0.0.1:0'}\n"
                             "peers: [10.0.0.2:1, nonsense]\n"
                             "limits: 5\n"
                             "timings: {lease_ms: 1000, renew_ms: 600, lease_ms: 1s}\n"
                             "logs: {level: loud}\n"
                             "colour: red\n";
    const auto name = "a name of 1 to 64 letters, digits, '-', '_' or '.'";
    const auto address = [](const std::string& least) {
        return "a numeric address and a port from " + least + " to 65535, as in 10.0.0.1:8080";
    };
    const std::vector<settings_fault> expected{
        {"f.yaml", 2, "entry", "e 1", name},
        {"f.yaml", 0, "region", "", name},
        {"f.yaml", 5, "listen.callers", "localhost:80", address("0")},
        {"f.yaml", 8, "platform.address", "10.0.0.1:0", address("1")},
        {"f.yaml", 9, "peers[1]", "nonsense", address("1")},
        {"f.yaml", 12, "logs.level", "loud", "debug|info|warning|error"},
        {"f.yaml", 7, "listen.peers", "10.0.0.1:81", "another port than the other listeners"},
        {"f.yaml", 6, "listen.operators", "10.0.0.1:81",
         "a loopback address, as no operator_token_file is set"},
        {"f.yaml", 11, "timings.renew_ms", "600", "at most half of timings.lease_ms"},
        {"f.yaml", 10, "limits", "5", "a map"},
        {"f.yaml", 11, "timings.lease_ms", "lease_ms", "the key once only"},
        {"f.yaml", 13, "colour", "colour", "no such key"},
    };
    const auto faults = faults_of(text);
    REQUIRE(faults.size() == expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
        INFO(expected[i].path << " but " << faults[i].path << " line " << faults[i].line << " \""
                              << faults[i].value << "\" " << faults[i].expected);
        CHECK(faults[i] == expected[i]);
    }
}

TEST_CASE("a short file's defaults are the duties' own", "[settings]")
{
    const wave_settings read = parse_settings(short_text, "f.yaml").waves;
    const wave_planner::options planner;
    const pool_duty::timing times;
    CHECK(read.save == wave_saving::balanced);
    CHECK(read.one_at_a_time == planner.one_at_a_time);
    CHECK(read.loans_per_pool == planner.max_loans_per_pool);
    CHECK(read.loan_term == times.loan_term);
    CHECK(read.most_failed == times.max_failed_in_wave);
    CHECK(read.return_timeout == times.return_timeout);
    CHECK(read.lost_after == times.lost_after);
}

TEST_CASE("waves are set as a deployment wants them", "[settings]")
{
    const std::string text = short_text;
    const wave_settings read =
        parse_settings(text + "waves: {save: moves, one_at_a_time: rack, loans_per_pool: 0,\n"
                              "  loan_term_ms: 60000, most_failed: 0, return_timeout_ms: 10000,\n"
                              "  lost_after_ms: 86400000}\n",
                       "f.yaml")
            .waves;
    CHECK(read.save == wave_saving::moves);
    CHECK(read.one_at_a_time == version::failure_domain::rack);
    CHECK(read.loans_per_pool == 0);
    CHECK(read.loan_term == milliseconds(60000));
    CHECK(read.most_failed == 0);
    CHECK(read.return_timeout == milliseconds(10000));
    CHECK(read.lost_after == milliseconds(86400000));
    const auto faults = faults_of(text + "waves: {save: money, lost_after_ms: 9999}\n");
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].expected == "balanced|buffer|moves");
    CHECK(faults[1].path == "waves.lost_after_ms");
}

TEST_CASE("a short file's defaults are the request path's own", "[settings]")
{
    const settings read = parse_settings(short_text, "f.yaml");
    const request::attempt_options attempts;
    const request::retry_budget_options retries;
    const request::claim_options claims;
    const claim_sweeper_options sweep;
    CHECK(read.limits.queue_requests_per_service ==
          request::dispatcher_options{}.max_waiting_per_service);
    CHECK(read.attempts.most == attempts.max_attempts);
    CHECK(read.attempts.connect_timeout == attempts.connect_timeout);
    CHECK(read.attempts.later_share_percent == attempts.later_share_percent);
    CHECK(read.attempts.retry_burst == retries.burst);
    CHECK(read.attempts.retries_per_thousand == retries.per_thousand_successes);
    CHECK(read.claims.queue == claims.max_waiting);
    CHECK(read.claims.group_rows == claims.max_group);
    CHECK(read.claims.transactions_per_second == claims.transactions_per_second);
    CHECK(read.claims.shared_transactions_per_second == claims.shared_transactions_per_second);
    CHECK(read.claims.rows_per_second == claims.rows_per_second);
    CHECK(read.claims.answer_bytes == claims.max_answer_bytes);
    CHECK(read.claims.lifetime == sweep.lifetime);
    CHECK(read.claims.sweep_rows == sweep.page_rows);
    CHECK(read.claims.sweep_period == sweep.page_period);
}

TEST_CASE("faulty settings of the request path are reported together", "[settings]")
{
    const std::string text =
        short_text + "limits: {queue_requests_per_service: 0}\n"
                     "attempts: {most: 11, connect_timeout_ms: 0, later_share_percent: 91,\n"
                     "  retry_burst: -1, retries_per_thousand: 1001, more: 1}\n"
                     "claims: {wait_ms: 0, queue: 0, group_rows: 1001,\n"
                     "  transactions_per_second: 31, shared_transactions_per_second: 30,\n"
                     "  rows_per_second: 0, answer_bytes: 1048577, lifetime_ms: 1000,\n"
                     "  sweep_rows: 0, sweep_period_ms: 9}\n";
    std::set<std::string> paths;
    for (const settings_fault& each : faults_of(text)) {
        paths.insert(each.path + " " + std::to_string(each.line));
    }
    const std::set<std::string> expected{"limits.queue_requests_per_service 7",
                                         "attempts.most 8",
                                         "attempts.connect_timeout_ms 8",
                                         "attempts.later_share_percent 8",
                                         "attempts.retry_burst 9",
                                         "attempts.retries_per_thousand 9",
                                         "attempts.more 9",
                                         "claims.wait_ms 10",
                                         "claims.queue 10",
                                         "claims.group_rows 10",
                                         "claims.transactions_per_second 11",
                                         "claims.rows_per_second 12",
                                         "claims.answer_bytes 12",
                                         "claims.lifetime_ms 12",
                                         "claims.sweep_rows 13",
                                         "claims.sweep_period_ms 13"};
    CHECK(paths == expected);
}

TEST_CASE("a file or token that can't be read is a settings fault", "[settings]")
{
    CHECK_THROWS_AS(load_settings("/nonexistent/settings.yaml"), settings_error);
    const auto file = std::filesystem::temp_directory_path() /
                      ("settings_test." + std::to_string(getpid()) + ".yaml");
    const scope_guard cleanup([&] { std::filesystem::remove(file); });
    const std::string text =
        replaced(example_text(), "platform:", "operator_token_file: /nonexistent/token\nplatform:");
    std::ofstream(file) << replaced(text, "127.0.0.1:8081", "10.0.0.1:8081");
    CHECK_THROWS_WITH(load_settings(file), Catch::Contains("operator_token_file") &&
                                               !Catch::Contains("listen.operators"));
}

TEST_CASE("numbers outside their bounds are faults", "[settings]")
{
    const auto value = GENERATE("-1", "0", "1e6", "99999999999999999999", "''", "0x10", "[]", "~");
    const auto faults = faults_of(
        replaced(example_text(), "queue_requests: 1000", std::string("queue_requests: ") + value));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "limits.queue_requests");
}

TEST_CASE("damaged text gives settings or a settings error, nothing else", "[settings]")
{
    const std::string example = example_text();
    const auto only_typed_errors = [](const std::string& text) {
        try {
            (void)parse_settings(text, "f.yaml");
        }
        catch (const settings_error& failure) {
            RC_ASSERT(!failure.faults().empty());
        }
    };
    REQUIRE(rc::check("random bytes", [&](const std::string& text) { only_typed_errors(text); }));
    REQUIRE(rc::check("YAML's own signs", [&] {
        only_typed_errors(
            *rc::gen::container<std::string>(rc::gen::elementOf(std::string(yaml_signs))));
    }));
    REQUIRE(rc::check("the example with some bytes changed", [&] {
        std::string text = example;
        const auto edits = *rc::gen::inRange(1, 6);
        for (int i = 0; i < edits; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::arbitrary<char>();
        }
        only_typed_errors(text);
    }));
}
