#include "plantaindoor/job/spec.hpp"
#include "plantaindoor/job/task_name.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

job_spec sequential_steps(std::vector<int> estimates_ms)
{
    job_spec spec;
    for (std::uint32_t step = 0; step < estimates_ms.size(); ++step) {
        step_spec each{.estimate = milliseconds(estimates_ms[step])};
        if (step > 0) {
            each.depends_on = {step - 1};
        }
        spec.steps.push_back(each);
    }
    return spec;
}

} // namespace

TEST_CASE("a step that depends on itself or a later step is rejected")
{
    job_spec spec = sequential_steps({1, 2});
    CHECK_NOTHROW(check_spec(spec));
    spec.steps[0].depends_on = {1};
    CHECK_THROWS_AS(check_spec(spec), spec_error);
    spec.steps[0].depends_on = {0};
    CHECK_THROWS_AS(check_spec(spec), spec_error);
}

TEST_CASE("a specification that exceeds a limit is rejected")
{
    job_spec spec = sequential_steps({1});
    SECTION("payload")
    {
        spec.payload = std::string(max_payload_bytes, 'x');
        CHECK_NOTHROW(check_spec(spec));
        spec.payload += 'x';
        CHECK_THROWS_AS(check_spec(spec), spec_error);
    }
    SECTION("tasks")
    {
        spec.steps[0].count = 0;
        CHECK_THROWS_AS(check_spec(spec), spec_error);
        spec.steps[0].count = max_tasks_per_step + 1;
        CHECK_THROWS_AS(check_spec(spec), spec_error);
    }
    SECTION("steps")
    {
        spec.steps.clear();
        CHECK_THROWS_AS(check_spec(spec), spec_error);
        spec.steps.resize(max_steps + 1);
        CHECK_THROWS_AS(check_spec(spec), spec_error);
    }
    SECTION("negative resources")
    {
        spec.steps[0].need.cpu_millis = -1;
        CHECK_THROWS_AS(check_spec(spec), spec_error);
    }
}

// Guards against jobs whose bookkeeping alone exceeds the memory and the time of a process.
TEST_CASE("a new job with more tasks or work than any fleet could do is rejected")
{
    job_spec spec = sequential_steps({1});
    SECTION("tasks of all steps")
    {
        spec = sequential_steps(std::vector<int>(max_tasks_per_job / max_tasks_per_step, 1));
        for (step_spec& step : spec.steps) {
            step.count = max_tasks_per_step;
        }
        CHECK_NOTHROW(check_size(spec));
        spec.steps.emplace_back();
        CHECK_THROWS_AS(check_size(spec), spec_error);
    }
    SECTION("work")
    {
        spec.steps[0].need.cpu_millis = 1000 * max_core_days / 100;
        spec.steps[0].estimate = std::chrono::days(100);
        CHECK_NOTHROW(check_size(spec));
        spec.steps[0].count = 2;
        CHECK_THROWS_AS(check_size(spec), spec_error);
        spec.steps[0].long_running = true;
        CHECK_NOTHROW(check_size(spec));
    }
}

TEST_CASE("the critical path is the longest chain of dependent steps")
{
    job_spec spec = sequential_steps({100, 200, 300});
    CHECK(critical_path_length(spec) == milliseconds(600));
    spec.steps.push_back({.estimate = milliseconds(900), .depends_on = {0}});
    CHECK(critical_path_length(spec) == milliseconds(1000));
    CHECK(critical_paths(spec)[1] == milliseconds(500));
}

TEST_CASE("a task name is parsed from its text, and malformed text is rejected")
{
    const task_name name{job_id("0123456789abcdef"), 3, 1, 17};
    CHECK(to_string(name) == "0123456789abcdef.3.1.17");
    CHECK(parse_task_name(to_string(name)) == name);
    for (const char* const bad : {"", "a", "a.1.2", "a.1.2.3.4", "a.1.2.x", ".1.2.3", "a.1.2.-3"}) {
        CHECK_FALSE(parse_task_name(bad));
    }
}
