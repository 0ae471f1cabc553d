#include "plantaindoor/request/dispatcher.hpp"

#include "fakes/uniform_fleet.hpp"
#include "plantaindoor/request/admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace plantaindoor;
using namespace plantaindoor::request;
using version::priority;

namespace {

caller_request ask(priority level, time_point now, milliseconds allowed = seconds{60})
{
    return {.service = service_id("s0"),
            .team = team_id("team"),
            .priority = level,
            .arrived = now,
            .deadline = now + allowed};
}

std::vector<target_grant> grants(const std::vector<dispatch_action>& actions)
{
    std::vector<target_grant> result;
    for (const dispatch_action& each : actions) {
        if (const auto* grant = std::get_if<target_grant>(&each)) {
            result.push_back(*grant);
        }
    }
    return result;
}

std::vector<std::string> refusals(const std::vector<dispatch_action>& actions)
{
    std::vector<std::string> result;
    for (const dispatch_action& each : actions) {
        if (const auto* refused = std::get_if<ticket_refusal>(&each)) {
            result.emplace_back(refused->why->type());
        }
    }
    return result;
}

/// One entry alone, one target with one slot.
struct single_slot {
    single_slot() : subject({.self = entry_id("e0"), .starvation_limit = milliseconds{170}})
    {
        subject.update(fakes::uniform_fleet({.instances_per_pool = 1, .slots = 1}), now);
    }

    target_grant only_grant()
    {
        const auto granted = grants(subject.advance(now));
        REQUIRE(granted.size() == 1);
        return granted.front();
    }

    dispatcher subject;
    time_point now{};
};

} // namespace

TEST_CASE("urgent goes first, interactive before background", "[dispatcher]")
{
    single_slot one;
    const tried_targets none;
    const auto running = one.subject.submit(ask(priority::background, one.now), none, one.now);
    CHECK(one.only_grant().ticket == running);
    const auto background = one.subject.submit(ask(priority::background, one.now), none, one.now);
    const auto interactive = one.subject.submit(ask(priority::interactive, one.now), none, one.now);
    const auto urgent = one.subject.submit(ask(priority::urgent, one.now), none, one.now);
    ticket_id last = running;
    for (const ticket_id expected : {urgent, interactive, background}) {
        one.now += milliseconds{10};
        one.subject.release(last, attempt_result::answered, one.now);
        last = one.only_grant().ticket;
        CHECK(last == expected);
    }
}

TEST_CASE("a starved class gets a slot only if no higher request is late by it", "[dispatcher]")
{
    const bool tight = GENERATE(false, true);
    single_slot one;
    const tried_targets none;
    auto last = one.subject.submit(ask(priority::interactive, one.now), none, one.now);
    one.only_grant();
    one.now += milliseconds{50};
    const auto background = one.subject.submit(ask(priority::background, one.now), none, one.now);
    one.now += milliseconds{50};
    one.subject.release(last, attempt_result::answered, one.now);
    last = one.subject.submit(ask(priority::interactive, one.now), none, one.now);
    one.only_grant();
    // Admitted with room for one before it: 200 ms until its turn, 150 ms at most for itself.
    const milliseconds allowed{tight ? 355 : 1000};
    const auto interactive =
        one.subject.submit(ask(priority::interactive, one.now, allowed), none, one.now);
    one.now += milliseconds{tight ? 160 : 130};
    one.subject.release(last, attempt_result::answered, one.now);
    CHECK(one.only_grant().ticket == (tight ? interactive : background));
}

TEST_CASE("waiting requests are refused at once when the plan leaves no target", "[dispatcher]")
{
    single_slot one;
    const tried_targets none;
    one.subject.submit(ask(priority::urgent, one.now), none, one.now);
    one.only_grant();
    one.subject.submit(ask(priority::urgent, one.now), none, one.now);
    one.subject.set_leaving({instance_id("p0-w00")});
    CHECK(refusals(one.subject.advance(one.now)) == std::vector<std::string>{"no-target"});
    CHECK_THROWS_AS(one.subject.submit(ask(priority::urgent, one.now), none, one.now),
                    no_target_refusal);
    CHECK(one.subject.busy_targets() == std::vector{instance_id("p0-w00")});
}

TEST_CASE("a waiting request is refused as soon as it can't finish in time", "[dispatcher]")
{
    single_slot one;
    const tried_targets none;
    const auto first = one.subject.submit(ask(priority::urgent, one.now), none, one.now);
    one.only_grant();
    one.now += milliseconds{100};
    one.subject.release(first, attempt_result::answered, one.now);
    one.subject.submit(ask(priority::urgent, one.now), none, one.now);
    one.only_grant();
    one.subject.submit(ask(priority::urgent, one.now, milliseconds{300}), none, one.now);
    CHECK(one.subject.advance(one.now).empty());
    // The slot stays taken; 100 ms before the deadline there is no time left for the request.
    one.now += milliseconds{200};
    CHECK(one.subject.next_advance() <= one.now + nanoseconds{1});
    one.now += nanoseconds{1};
    CHECK(refusals(one.subject.advance(one.now)) ==
          std::vector<std::string>{"deadline-unreachable"});
}

TEST_CASE("a service that was slow is tried with one request at a time", "[dispatcher]")
{
    single_slot one;
    const tried_targets none;
    auto last = one.subject.submit(ask(priority::interactive, one.now), none, one.now);
    one.only_grant();
    one.now += seconds{9};
    one.subject.release(last, attempt_result::answered, one.now);
    for (int i = 0; i < 60; ++i) {
        last = one.subject.submit(ask(priority::interactive, one.now, seconds{1}), none, one.now);
        CHECK(one.only_grant().ticket == last);
        one.now += milliseconds{10};
        one.subject.release(last, attempt_result::answered, one.now);
    }
    // Fast again: requests may wait for one another.
    one.subject.submit(ask(priority::interactive, one.now, seconds{1}), none, one.now);
    one.only_grant();
    CHECK_NOTHROW(
        one.subject.submit(ask(priority::interactive, one.now, seconds{1}), none, one.now));
}

TEST_CASE("a slot stays taken while its target may still run what was given up", "[dispatcher]")
{
    single_slot one;
    const tried_targets none;
    const auto given_up = one.subject.submit(ask(priority::urgent, one.now), none, one.now);
    one.only_grant();
    one.subject.hold(given_up, attempt_result::timed_out, one.now);
    const auto next = one.subject.submit(ask(priority::urgent, one.now), none, one.now);
    CHECK(one.subject.advance(one.now).empty());
    CHECK(one.subject.busy_targets() == std::vector{instance_id("p0-w00")});
    one.now += milliseconds{10};
    one.subject.release(given_up, attempt_result::timed_out, one.now);
    CHECK(one.only_grant().ticket == next);
}

TEST_CASE("a target is judged when its attempt is given up, once", "[dispatcher]")
{
    dispatcher subject({.self = entry_id("e0")});
    time_point now{};
    subject.update(fakes::uniform_fleet({.instances_per_pool = 2, .slots = 4}), now);
    const instance_id hung("p0-w00");
    const tried_targets elsewhere{.instances = {instance_id("p0-w01")}};
    std::vector<ticket_id> held;
    for (int i = 0; i < 3; ++i) {
        CHECK(subject.ejected_targets().empty());
        held.push_back(subject.submit(ask(priority::urgent, now), elsewhere, now));
        REQUIRE(grants(subject.advance(now)).size() == 1);
        subject.hold(held.back(), attempt_result::timed_out, now);
    }
    CHECK(subject.ejected_targets() == std::vector{hung});
    CHECK(subject.ejections() == std::vector<service_ejections>{
                                     {.service = service_id("s0"), .ejected = 1, .ejections = 1}});
    for (const ticket_id each : held) {
        subject.release(each, attempt_result::timed_out, now);
    }
    // One probe ends the ejection, so the releases were not three more failures.
    now += seconds{2};
    auto probe_request = ask(priority::urgent, now);
    probe_request.idempotent = true;
    const auto probe = subject.submit(probe_request, {}, now);
    CHECK(grants(subject.advance(now)).front().target == hung);
    subject.release(probe, attempt_result::answered, now);
    CHECK(subject.ejected_targets().empty());
    CHECK(subject.ejections() == std::vector<service_ejections>{
                                     {.service = service_id("s0"), .ejected = 0, .ejections = 1}});
}

TEST_CASE("a retry goes to another target and rack, or is refused", "[dispatcher]")
{
    dispatcher subject({.self = entry_id("e0")});
    const time_point now{};
    subject.update(fakes::uniform_fleet({.instances_per_pool = 5}), now);
    // Four share the first rack.
    subject.submit(ask(priority::urgent, now),
                   {.instances = {instance_id("p0-w00")}, .racks = {rack_id("p0-r0")}}, now);
    CHECK(grants(subject.advance(now)).front().target == instance_id("p0-w04"));
    const tried_targets all{.instances = {instance_id("p0-w00"), instance_id("p0-w01"),
                                          instance_id("p0-w02"), instance_id("p0-w03"),
                                          instance_id("p0-w04")}};
    CHECK_THROWS_AS(subject.submit(ask(priority::urgent, now), all, now), no_target_refusal);
}

TEST_CASE("every ticket is granted or refused once, and slots are never exceeded",
          "[dispatcher][property]")
{
    REQUIRE(rc::check("dispatcher keeps its promises", [] {
        const auto steps = *rc::gen::resize(
            300, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 30U)));
        auto fleet = fakes::uniform_fleet({.instances_per_pool = 4, .slots = 2});
        dispatcher subject({.self = entry_id("e0"), .max_waiting = 12});
        time_point now{};
        subject.update(fleet, now);
        std::set<ticket_id> waiting;
        std::map<ticket_id, instance_id> running;
        std::map<ticket_id, instance_id> held;
        std::set<instance_id> leaving;
        for (const std::uint32_t step : steps) {
            now += milliseconds{(step >> 20U) % 50};
            switch (step % 10) {
            case 0:
            case 1:
            case 2:
            case 3:
                try {
                    const auto level = static_cast<priority>((step >> 4U) % 3);
                    const milliseconds allowed{1 + (step >> 6U) % 400};
                    waiting.insert(subject.submit(ask(level, now, allowed), {}, now));
                }
                catch (const refusal&) {
                    // The answer of this one.
                }
                break;
            case 4:
                leaving = {instance_id(fakes::numbered("p0-w0", (step >> 5U) % 4))};
                subject.set_leaving(leaving);
                break;
            case 5:
                if (!waiting.empty()) {
                    subject.cancel(*waiting.begin());
                    waiting.erase(waiting.begin());
                }
                break;
            case 6:
                if (!running.empty()) {
                    subject.hold(running.begin()->first, attempt_result::timed_out, now);
                    held.insert(running.extract(running.begin()));
                }
                break;
            case 7:
                if (!held.empty()) {
                    subject.release(held.begin()->first, attempt_result::timed_out, now);
                    held.erase(held.begin());
                }
                break;
            default:
                if (!running.empty()) {
                    const auto result = static_cast<attempt_result>((step >> 8U) % 6);
                    subject.release(running.begin()->first, result, now);
                    running.erase(running.begin());
                }
            }
            for (const dispatch_action& action : subject.advance(now)) {
                if (const auto* grant = std::get_if<target_grant>(&action)) {
                    RC_ASSERT(waiting.erase(grant->ticket) == 1U);
                    RC_ASSERT(!leaving.contains(grant->target));
                    running.emplace(grant->ticket, grant->target);
                    const auto there = [grant](const auto& item) {
                        return item.second == grant->target;
                    };
                    RC_ASSERT(std::ranges::count_if(running, there) +
                                  std::ranges::count_if(held, there) <=
                              2);
                    RC_ASSERT(subject.in_progress(grant->target) <= 2U);
                }
                else {
                    RC_ASSERT(waiting.erase(std::get<ticket_refusal>(action).ticket) == 1U);
                }
            }
            std::set<instance_id> busy;
            for (const auto& [ticket, target] : running) {
                busy.insert(target);
            }
            for (const auto& [ticket, target] : held) {
                busy.insert(target);
            }
            RC_ASSERT(subject.busy_targets() == std::vector(busy.begin(), busy.end()));
        }
        running.merge(held);
        // With all slots free again and time passing, nothing waits forever.
        for (const auto& [ticket, target] : running) {
            subject.release(ticket, attempt_result::answered, now);
        }
        for (int i = 0; i < 100 && !waiting.empty(); ++i) {
            now += milliseconds{20};
            for (const dispatch_action& action : subject.advance(now)) {
                const auto* grant = std::get_if<target_grant>(&action);
                const ticket_id ticket =
                    grant ? grant->ticket : std::get<ticket_refusal>(action).ticket;
                RC_ASSERT(waiting.erase(ticket) == 1U);
                if (grant != nullptr) {
                    subject.release(ticket, attempt_result::answered, now);
                }
            }
        }
        RC_ASSERT(waiting.empty());
    }));
}
