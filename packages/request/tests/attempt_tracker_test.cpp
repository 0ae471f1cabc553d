#include "plantaindoor/request/answer_time.hpp"
#include "plantaindoor/request/attempt_tracker.hpp"

#include "naive_attempts.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;
using namespace plantaindoor::request;
using naive::event_kind;

namespace {

constexpr time_point begin{seconds(100)};
constexpr std::uint16_t declared_refusal = 429;
const service_id checks("checks");

attempt_subject subject_of(bool idempotent, milliseconds time = milliseconds(1000))
{
    return {
        .idempotent = idempotent, .deadline = begin + time, .refusal_statuses = {declared_refusal}};
}

tried_target target(int number)
{
    return {.instance = instance_id(std::to_string(number)), .rack = rack_id("r")};
}

/// Feeds one event to the tracker under test.
class driver {
public:
    driver(attempt_subject subject, attempt_options options, retry_budget& budget)
        : tracker(std::move(subject), options, budget)
    {
    }

    attempt_action feed(const naive::event& event)
    {
        const time_point at = event.at;
        switch (event.kind) {
        case event_kind::start:
            return tracker.start(at);
        case event_kind::chosen:
            return tracker.target_chosen(target(m_next++), at);
        case event_kind::no_target:
            return tracker.no_target(std::make_shared<no_target_refusal>(checks, milliseconds(5)));
        case event_kind::may_send:
            may_run = tracker.may_send(at);
            return {};
        case event_kind::failed:
            return tracker.failed(attempt_failure::connect_failed, at);
        case event_kind::answered:
            return tracker.answered(200, at);
        case event_kind::refused_by_target:
            return tracker.answered(declared_refusal, at);
        case event_kind::caller_gone:
            return tracker.caller_gone();
        case event_kind::stopped:
            return tracker.entry_stopped();
        }
        return {};
    }

    attempt_tracker tracker;
    bool may_run = false;

private:
    int m_next = 0;
};

milliseconds any_time()
{
    return milliseconds(*rc::gen::element(100, 1000));
}

std::vector<naive::event> any_history()
{
    const auto kinds = *rc::gen::container<std::vector<event_kind>>(
        rc::gen::weightedElement<event_kind>({{1, event_kind::start},
                                              {24, event_kind::chosen},
                                              {1, event_kind::no_target},
                                              {24, event_kind::may_send},
                                              {18, event_kind::failed},
                                              {2, event_kind::answered},
                                              {6, event_kind::refused_by_target},
                                              {1, event_kind::caller_gone},
                                              {1, event_kind::stopped}}));
    std::vector<naive::event> history{{.kind = event_kind::start, .at = begin}};
    time_point at = begin;
    for (const event_kind kind : kinds) {
        at += milliseconds(*rc::gen::inRange(0, 60));
        history.push_back({.kind = kind, .at = at});
    }
    return history;
}

} // namespace

TEST_CASE("attempts follow the naive policy for every history", "[attempts]")
{
    REQUIRE(rc::check("same step and truth as the naive policy", [] {
        const auto subject = subject_of(*rc::gen::arbitrary<bool>(), any_time());
        const attempt_options options{.max_attempts = *rc::gen::inRange(1U, 5U)};
        const auto retries = *rc::gen::inRange(0U, 4U);
        retry_budget budget({.burst = retries, .per_thousand_successes = 0});
        driver under_test(subject, options, budget);
        const auto history = any_history();
        std::vector<naive::event> so_far;
        for (const naive::event& event : history) {
            so_far.push_back(event);
            const attempt_action action = under_test.feed(event);
            const auto expected = naive::replay(subject, options, retries, so_far);
            RC_ASSERT(action.step == expected.step);
            RC_ASSERT(under_test.tracker.truth() == expected.truth);
            if (action.step == attempt_step::refuse) {
                RC_ASSERT(action.why != nullptr);
                RC_ASSERT(action.why->told() == expected.truth);
            }
        }
    }));
}

TEST_CASE("a counting target judges what callers are told", "[attempts]")
{
    REQUIRE(rc::check("at most one run, and no false not-run", [] {
        const bool idempotent = *rc::gen::arbitrary<bool>();
        const auto subject = subject_of(idempotent, any_time());
        retry_budget budget;
        driver under_test(subject, {.max_attempts = 4}, budget);
        int possible_runs = 0;
        int told = 0;
        for (const naive::event& event : any_history()) {
            const attempt_action action = under_test.feed(event);
            if (event.kind == event_kind::may_send && under_test.may_run) {
                RC_ASSERT(event.at < subject.deadline);
                // The target decides whether it runs what it receives.
                possible_runs += 1;
            }
            if (event.kind == event_kind::refused_by_target &&
                (action.step == attempt_step::choose_target ||
                 action.step == attempt_step::refuse)) {
                possible_runs -= 1;
            }
            if (action.step == attempt_step::answer || action.step == attempt_step::refuse) {
                told += 1;
            }
            if (action.why && action.why->told() == outcome::not_run) {
                RC_ASSERT(possible_runs == 0);
            }
            if (action.why && action.why->told() == outcome::unknown) {
                RC_ASSERT(possible_runs > 0);
            }
        }
        RC_ASSERT(told <= 1);
        RC_ASSERT(idempotent || possible_runs <= 1);
    }));
}

TEST_CASE("a connection that may still bring an answer is closed", "[attempts]")
{
    retry_budget budget;
    attempt_tracker tracker(subject_of(true), {}, budget);
    tracker.start(begin);
    tracker.target_chosen(target(1), begin);
    REQUIRE(tracker.may_send(begin));
    const auto again = tracker.failed(attempt_failure::timed_out, begin + milliseconds(500));
    CHECK(again.step == attempt_step::choose_target);
    CHECK(again.close_connection);
    CHECK(tracker.tried() == std::vector{target(1)});

    tracker.target_chosen(target(2), begin + milliseconds(500));
    REQUIRE(tracker.may_send(begin + milliseconds(500)));
    const auto late = tracker.failed(attempt_failure::timed_out, begin + milliseconds(1000));
    CHECK(late.step == attempt_step::refuse);
    CHECK(late.close_connection);
    CHECK(late.why->status() == 504);
    CHECK(tracker.answered(200, begin + milliseconds(1001)).step == attempt_step::wait);
}

TEST_CASE("what was sent for a caller who has gone goes on, and nothing follows it", "[attempts]")
{
    retry_budget budget;
    attempt_tracker sent(subject_of(true), {}, budget);
    sent.start(begin);
    sent.target_chosen(target(1), begin);
    REQUIRE(sent.may_send(begin));
    const auto gone = sent.caller_gone();
    CHECK(gone.step == attempt_step::wait);
    CHECK_FALSE(gone.close_connection);
    const auto lost = sent.failed(attempt_failure::broken, begin + milliseconds(10));
    CHECK(lost.step == attempt_step::refuse);
    CHECK(lost.why->told() == outcome::unknown);

    attempt_tracker connecting(subject_of(true), {}, budget);
    connecting.start(begin);
    connecting.target_chosen(target(1), begin);
    const auto dropped = connecting.caller_gone();
    CHECK(dropped.step == attempt_step::refuse);
    CHECK(dropped.close_connection);
    CHECK(dropped.why->told() == outcome::not_run);
    CHECK_FALSE(connecting.may_send(begin));
}

TEST_CASE("times of an attempt leave room for the next one", "[attempts]")
{
    retry_budget budget;
    attempt_tracker repeatable(subject_of(true), {.max_attempts = 2}, budget);
    repeatable.start(begin);
    CHECK(repeatable.target_chosen(target(1), begin).answer_by == begin + milliseconds(500));
    CHECK(repeatable.failed(attempt_failure::connect_failed, begin + milliseconds(100)).step ==
          attempt_step::choose_target);
    CHECK(repeatable.target_chosen(target(2), begin + milliseconds(100)).answer_by ==
          begin + milliseconds(1000));

    auto slow_service = subject_of(true);
    slow_service.usual_answer = milliseconds(200);
    attempt_tracker patient(slow_service, {}, budget);
    patient.start(begin);
    CHECK(patient.target_chosen(target(1), begin).answer_by == begin + milliseconds(1000));

    attempt_tracker once(subject_of(false), {}, budget);
    once.start(begin);
    const auto send = once.target_chosen(target(1), begin);
    CHECK(send.answer_by == begin + milliseconds(1000));
    CHECK(send.connect_by == begin + milliseconds(500));
}

TEST_CASE("retries are a share of successes", "[attempts]")
{
    retry_budget budget({.burst = 2, .per_thousand_successes = 100});
    CHECK(budget.try_take());
    CHECK(budget.try_take());
    CHECK_FALSE(budget.try_take());
    for (int success = 0; success < 10; ++success) {
        CHECK_FALSE(budget.try_take());
        budget.record_success();
    }
    CHECK(budget.try_take());
    CHECK_FALSE(budget.try_take());
}

TEST_CASE("attempts that run out of time make the service count as slow", "[attempts]")
{
    answer_time time;
    for (int answer = 0; answer < 100; ++answer) {
        time.add(milliseconds(100));
    }
    CHECK(time.mean() > milliseconds(99));
    for (int timeout = 0; timeout < 5; ++timeout) {
        time.add(milliseconds(1000));
    }
    CHECK(time.mean() * 3 > milliseconds(1000));
}
