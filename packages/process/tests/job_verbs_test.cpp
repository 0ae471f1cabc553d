#include "plantaindoor/process/job_verbs.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

const wall_time noon{std::chrono::sys_days(std::chrono::year(2026) / 12 / 3) +
                     std::chrono::hours(12)};

std::string refusal_of(const std::string& text)
{
    version::fleet whole;
    whole.pools[pool_id("p")] = {.id = pool_id("p")};
    whole.teams[team_id("t")] = {
        .id = team_id("t"), .max_job_processors = 6, .max_job_accelerators = 1};
    whole.instances[instance_id("w")] = {.id = instance_id("w"),
                                         .pool = pool_id("p"),
                                         .processors = 8,
                                         .memory_mb = 1000,
                                         .accelerators = 2};
    try {
        for (const job_spec& each : parse_jobs("{id: a, " + text + "}", "jobs.yaml")) {
            check_job(each, whole, noon);
        }
        return "";
    }
    catch (const error& refused) {
        return std::string(refused.type());
    }
}

job stopping_job(const std::string& kind, std::uint32_t run)
{
    return {.spec = {.id = job_id("a"),
                     .pool = pool_id("p"),
                     .team = team_id("t"),
                     .work_class = version::priority::urgent,
                     .kind = kind,
                     .declared = {.processors = 1.5, .memory_mb = 7, .accelerators = 1},
                     .deadline = noon,
                     .checkpoints = false},
            .submitted = noon,
            .state = job_state::stopping,
            .run = run,
            .worker = instance_id("w"),
            .placed = noon,
            .pace = job_pace::throttled,
            .saved = milliseconds(5),
            .failures = 2,
            .cancel_asked = true,
            .save = true,
            .reason = "r"};
}

} // namespace

TEST_CASE("a job that can never run is refused with its type")
{
    CHECK(refusal_of("pool: p, team: t, processors: 6, memory_mb: 1000, accelerators: 1").empty());
    CHECK(refusal_of("pool: p, team: t, processors: 6.5") == "job-over-quota");
    CHECK(refusal_of("pool: p, team: t, processors: 8.5") == "job-too-large");
    CHECK(refusal_of("pool: p, team: t, memory_mb: 1001") == "job-too-large");
    CHECK(refusal_of("pool: p, team: t, accelerators: 2") == "job-over-quota");
    CHECK(refusal_of("pool: p, team: t, accelerators: 3") == "job-too-large");
    CHECK(refusal_of("pool: q, team: t") == "unknown-pool");
    CHECK(refusal_of("pool: p, team: u") == "unknown-team");
    CHECK(refusal_of("pool: p, team: t, deadline: '2026-12-03T12:00:00Z'") == "deadline-passed");
    CHECK(refusal_of("pool: p, team: t, deadline: '2026-12-03T12:00:01Z'").empty());
}

TEST_CASE("a faulty file of jobs is refused with every fault")
{
    const char* const file = "jobs:\n"
                             "  - {id: 'a/b', pool: p, team: t}\n"
                             "  - {id: c, pool: p, team: t, deadline: soon, class: loud}\n"
                             "  - {id: c, pool: p, team: t, processors: -1, moon: full}\n";
    try {
        static_cast<void>(parse_jobs(file, "jobs.yaml"));
        FAIL("accepted");
    }
    catch (const document_error& refused) {
        std::vector<std::string> places;
        for (const document_fault& each : refused.faults()) {
            places.push_back(each.path);
        }
        CHECK(places == std::vector<std::string>{"jobs[0].id", "jobs[1].class", "jobs[1].deadline",
                                                 "jobs[2].processors", "jobs[2].moon", "jobs"});
    }
}

TEST_CASE("a deadline is a time of day in UTC, and nothing else")
{
    const auto deadline = [](const std::string& text) {
        return refusal_of("pool: p, team: t, deadline: '" + text + "'");
    };
    for (const char* const wrong :
         {"2027-13-01T00:00:00Z", "2027-02-30T00:00:00Z", "2027-01-01T24:00:00Z",
          "2027-01-01T00:60:00Z", "2027-01-01T00:00:00", "2027-01-01T00:00:00Zx", "2027-01-01"}) {
        CAPTURE(wrong);
        CHECK(deadline(wrong) == "invalid-document");
    }
    CHECK(deadline("2027-01-01T06:30:00Z").empty());
}

TEST_CASE("rows of jobs are read as they were written, and damaged ones are no rows")
{
    REQUIRE(rc::check("damage", [] {
        const auto kind = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        const auto run = *rc::gen::arbitrary<std::uint32_t>();
        const job row = stopping_job(kind, run);
        const std::string text = encode(row);
        RC_ASSERT(decode_job(text) == row);
        const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
        RC_ASSERT(!decode_job(text.substr(0, length)));
    }));
    const job_cancel wanted{.pool = pool_id("p"),
                            .team = team_id("t"),
                            .work_class = version::priority::urgent,
                            .asked = noon,
                            .reason = "r"};
    CHECK(decode_job_cancel(encode(wanted)) == wanted);
}
