#include "plantaindoor/request/admission.hpp"

#include "naive_admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;
using namespace plantaindoor::request;
using version::priority;

namespace {

const service_id spell("spell");

caller_request ask(priority level, milliseconds allowed, time_point now)
{
    return {.service = spell,
            .team = team_id("exams"),
            .priority = level,
            .arrived = now,
            .deadline = now + allowed,
            .body_bytes = 10};
}

version::fleet fleet_with_quota(std::uint32_t in_progress, std::uint32_t per_second)
{
    version::fleet fleet;
    fleet.teams[team_id("exams")] = {.id = team_id("exams"),
                                     .max_in_progress = in_progress,
                                     .max_requests_per_second = per_second};
    fleet.services[spell] = {.id = spell, .team = team_id("exams")};
    return fleet;
}

/// Name of the refusal, or "" where the request was taken.
template<class Admission>
std::string enqueue(Admission& subject, ticket_id ticket, const caller_request& request,
                    bool is_retry, service_capacity capacity, time_point now,
                    std::vector<ticket_id>& evicted)
{
    try {
        for (const auto& each : subject.enqueue(ticket, request, is_retry, capacity, now)) {
            evicted.push_back(each.ticket);
        }
        return {};
    }
    catch (const refusal& refused) {
        return std::string(refused.type()) + " " + std::to_string(refused.retry_after().count());
    }
}

std::vector<ticket_id> tickets(const std::vector<ticket_refusal>& refusals)
{
    std::vector<ticket_id> result;
    for (const ticket_refusal& each : refusals) {
        result.push_back(each.ticket);
    }
    return result;
}

} // namespace

TEST_CASE("admission decides as the naive one does", "[admission][differential]")
{
    REQUIRE(rc::check("admission equals the naive admission", [] {
        const auto steps = *rc::gen::resize(
            400, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 30U)));
        const admission_options options{.max_waiting_per_service = 6,
                                        .max_waiting = 9,
                                        .max_waiting_bytes = 160,
                                        .starvation_limit = milliseconds{300}};
        admission subject(options);
        naive::admission plain(options);
        const version::fleet fleet = fleet_with_quota(9, 12);
        subject.update(fleet);
        plain.update(fleet);
        time_point now{};
        std::uint64_t last = 0;
        service_capacity capacity{.slots = 3};
        for (const std::uint32_t step : steps) {
            now += milliseconds{(step >> 8U) % 40};
            const service_id service((step >> 4U) % 4 == 0 ? "essay" : "spell");
            switch (step % 8) {
            case 0:
            case 1:
            case 2:
            case 3: {
                caller_request request = ask(static_cast<priority>((step >> 14U) % 3),
                                             milliseconds{(step >> 16U) % 700}, now);
                request.service = service;
                request.body_bytes = (step >> 20U) % 40;
                const bool is_retry = (step >> 6U) % 4 == 0;
                const ticket_id ticket{++last};
                std::vector<ticket_id> evicted;
                std::vector<ticket_id> expected;
                RC_ASSERT(enqueue(subject, ticket, request, is_retry, capacity, now, evicted) ==
                          enqueue(plain, ticket, request, is_retry, capacity, now, expected));
                RC_ASSERT(evicted == expected);
                break;
            }
            case 4:
            case 5: {
                const auto order = subject.order(service, capacity, now);
                RC_ASSERT(order == plain.order(service, capacity, now));
                if (!order.empty()) {
                    const ticket_id head = *subject.waiting(service, order.front()).begin();
                    RC_ASSERT(head == plain.head(service, order.front()));
                    subject.granted(head, now);
                    plain.granted(head, now);
                    capacity.in_use = std::min(capacity.in_use + 1, capacity.slots);
                }
                break;
            }
            case 6: {
                const auto ticket = plain.any_granted();
                if (ticket) {
                    const nanoseconds held = milliseconds{(step >> 12U) % 200};
                    subject.finished(*ticket, held);
                    plain.finished(*ticket, held);
                    capacity.in_use -= capacity.in_use > 0 ? 1 : 0;
                }
                break;
            }
            default:
                RC_ASSERT(tickets(subject.expire(service, capacity, now)) ==
                          tickets(plain.expire(service, capacity, now)));
            }
            RC_ASSERT(subject.waiting_of(service) == plain.waiting_of(service));
        }
    }));
}

TEST_CASE("a request that can't finish in time is refused with the time to come back",
          "[admission]")
{
    admission subject({});
    subject.update(fleet_with_quota(0, 0));
    const time_point now{};
    const service_capacity one{.slots = 1, .in_use = 1};
    subject.enqueue(ticket_id{1}, ask(priority::urgent, seconds{1}, now), false, {.slots = 1}, now);
    subject.granted(ticket_id{1}, now);
    subject.finished(ticket_id{1}, milliseconds{100});
    for (std::uint64_t i = 2; i <= 5; ++i) {
        subject.enqueue(ticket_id{i}, ask(priority::interactive, seconds{1}, now), false, one, now);
    }
    // Four wait for 100 ms each, its own turn takes 100 ms and the deviation is 50 ms.
    std::vector<ticket_id> evicted;
    CHECK(enqueue(subject, ticket_id{6}, ask(priority::interactive, milliseconds{600}, now), false,
                  one, now, evicted) == "deadline-unreachable 50");
    CHECK(enqueue(subject, ticket_id{6}, ask(priority::interactive, milliseconds{650}, now), false,
                  one, now, evicted)
              .empty());
    CHECK(enqueue(subject, ticket_id{7}, ask(priority::urgent, milliseconds{350}, now), false, one,
                  now, evicted)
              .empty());
}

TEST_CASE("a slow service that became idle is tried again", "[admission]")
{
    admission subject({});
    subject.update(fleet_with_quota(0, 0));
    const time_point now{};
    subject.enqueue(ticket_id{1}, ask(priority::urgent, seconds{9}, now), false, {.slots = 1}, now);
    subject.granted(ticket_id{1}, now);
    subject.finished(ticket_id{1}, seconds{9});
    CHECK_NOTHROW(subject.enqueue(ticket_id{2}, ask(priority::interactive, seconds{1}, now), false,
                                  {.slots = 1}, now));
    CHECK_THROWS_AS(subject.enqueue(ticket_id{3}, ask(priority::interactive, seconds{1}, now),
                                    false, {.slots = 1}, now),
                    deadline_refusal);
}
