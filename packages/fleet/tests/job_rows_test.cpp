#include "plantaindoor/fleet/job_rows.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

// Guards against LOST: what decides the outcome of a job was known to one process only.
TEST_CASE("the row of an accepted job holds the policy of its queue")
{
    const accepted_job accepted{.queue = "ask",
                                .policy = job::queue_policy{.name = "ask",
                                                            .service = service_id("checks"),
                                                            .priority = 2,
                                                            .max_attempts = 3,
                                                            .stretch = 1.6,
                                                            .target_latency = milliseconds(600),
                                                            .requires_ticket = true},
                                .workspace = workspace_id("t"),
                                .accepted = wall_time(milliseconds(7)),
                                .body = "{}"};
    const auto parsed = parse_accepted_job(to_text(accepted));
    REQUIRE(parsed);
    CHECK(parsed->queue == "ask");
    CHECK(parsed->workspace == workspace_id("t"));
    CHECK(parsed->accepted == accepted.accepted);
    CHECK(parsed->body == "{}");
    REQUIRE(parsed->policy);
    CHECK(parsed->policy->name == "ask");
    CHECK(parsed->policy->service == service_id("checks"));
    CHECK(parsed->policy->priority == 2);
    CHECK(parsed->policy->max_attempts == 3);
    CHECK(parsed->policy->stretch == 1.6);
    CHECK(parsed->policy->target_latency == milliseconds(600));
    CHECK(parsed->policy->requires_ticket);
}

TEST_CASE("the row of an accepted job without a policy is read")
{
    const auto parsed = parse_accepted_job(R"({"queue":"ask","accepted_ms":7,"body":"{}"})");
    REQUIRE(parsed);
    CHECK(parsed->queue == "ask");
    CHECK_FALSE(parsed->policy);
}

TEST_CASE("a row whose policy can't be read is not an accepted job")
{
    for (const char* const policy : {"7", "null", "{}", R"({"service":7})"}) {
        INFO(policy);
        CHECK_FALSE(parse_accepted_job(R"({"queue":"ask","accepted_ms":7,"body":"{}","policy":)" +
                                       std::string(policy) + "}"));
    }
}
