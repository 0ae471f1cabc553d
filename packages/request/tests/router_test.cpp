#include "plantaindoor/request/router.hpp"

#include "fakes/uniform_fleet.hpp"
#include "naive_router.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace plantaindoor;
using namespace plantaindoor::request;

namespace {

const tried_targets nothing_tried;

/// A router and its naive counterpart, fed with the same events.
class paired_routers {
public:
    explicit paired_routers(const version::fleet& fleet)
        : m_router({.zone = availability_zone_id("z0"), .seed = 7},
                   make_fixed_shares({.self = entry_id("e0")})),
          m_plain(availability_zone_id("z0"), &m_leaving),
          m_fleet(fleet)
    {
        m_router.set_entries({entry_id("e0"), entry_id("e1"), entry_id("e2")}, m_now);
        update();
    }

    void pass(milliseconds time) { m_now += time; }

    void choose(const route_query& query)
    {
        const auto chosen = m_router.choose(query, m_now);
        if (!chosen) {
            RC_ASSERT(!m_plain.has_choice(query));
            return;
        }
        const instance_id id = m_router.target(*chosen).id;
        RC_ASSERT(m_plain.allowed(id, query, m_now, milliseconds{10000}));
        naive::target& target = m_plain.targets.at(id);
        target.probing = target.ejected;
        ++target.in_progress;
        m_running.push_back({*chosen, id, query.service, target.plan.state_version});
    }

    void release(attempt_result result, nanoseconds duration)
    {
        if (!m_running.empty()) {
            const running done = m_running.front();
            end_attempt(result, duration);
            free_slot(done);
        }
    }

    /// Ends an attempt and keeps its slot.
    void hold(attempt_result result, nanoseconds duration)
    {
        if (!m_running.empty()) {
            m_held.push_back(m_running.front());
            end_attempt(result, duration);
        }
    }

    void free_held()
    {
        if (!m_held.empty()) {
            free_slot(m_held.front());
            m_held.pop_front();
        }
    }
    void set_state(std::size_t number, version::instance_state state)
    {
        auto item = m_fleet.instances.begin();
        std::advance(item, number % m_fleet.instances.size());
        ++m_fleet.version;
        item->second.state = state;
        item->second.state_version = m_fleet.version;
        update();
    }

    void toggle_leaving(std::size_t number)
    {
        auto item = m_fleet.instances.begin();
        std::advance(item, number % m_fleet.instances.size());
        if (m_leaving.erase(item->first) == 0) {
            m_leaving.insert(item->first);
        }
        m_router.set_leaving(m_leaving);
        m_plain.restore_budgets();
    }

    void compare(const route_query& query) const
    {
        RC_ASSERT(m_router.ejected_targets() == m_plain.ejected());
        const service_capacity capacity = m_router.capacity(query.service);
        const service_capacity expected = m_plain.capacity(query.service);
        RC_ASSERT(capacity.slots == expected.slots);
        RC_ASSERT(capacity.in_use == expected.in_use);
        RC_ASSERT(m_router.has_untried(query.service, *query.tried) ==
                  m_plain.has_untried(query.service, *query.tried));
    }

    std::vector<instance_id> ids() const
    {
        std::vector<instance_id> result;
        for (const auto& [id, instance] : m_fleet.instances) {
            result.push_back(id);
        }
        return result;
    }

private:
    struct running {
        target_index index = 0;
        instance_id target;
        service_id service;
        version::version_number version = 0;
    };

    void end_attempt(attempt_result result, nanoseconds duration)
    {
        const running done = m_running.front();
        m_running.pop_front();
        double slowness = 1;
        if (result == attempt_result::answered) {
            slowness = m_usual[done.service].times_usual(duration);
            m_usual[done.service].add(duration);
        }
        m_router.end_attempt(done.index, done.service, result, duration, m_now);
        m_plain.end_attempt(done.target, {result, slowness}, m_now,
                            m_router.target(done.index).probe_due);
    }

    void free_slot(const running& done)
    {
        m_router.free_slot(done.index);
        m_plain.free_slot(done.target);
    }

    void update()
    {
        m_router.update(m_fleet, m_now);
        m_plain.update(m_fleet);
        for (auto& [id, target] : m_plain.targets) {
            target.share = m_router.target(*m_router.find(id)).share;
        }
    }

    std::set<instance_id> m_leaving;
    router m_router;
    naive::router m_plain;
    version::fleet m_fleet;
    std::deque<running> m_running;
    std::deque<running> m_held;
    std::map<service_id, usual_duration> m_usual;
    time_point m_now{};
};

version::fleet small_fleet(std::uint32_t kind)
{
    const version::failure_domain survive = static_cast<version::failure_domain>(kind % 3);
    return *fakes::uniform_fleet({.pools = 2,
                                  .instances_per_pool = 6,
                                  .instances_per_rack = 2,
                                  .budget = {.minimum = 1 + kind % 2, .survive = survive},
                                  .shared_pool = true});
}

attempt_result result_of(std::uint32_t step, bool failing)
{
    if (failing) {
        return attempt_result::failed;
    }
    return (step >> 10U) % 8 == 0 ? static_cast<attempt_result>((step >> 13U) % 6)
                                  : attempt_result::answered;
}

void release(router& subject, target_index target, const service_id& service, attempt_result result,
             milliseconds duration, time_point now)
{
    subject.free_slot(target);
    subject.end_attempt(target, service, result, duration, now);
}

router make_router(const version::fleet& fleet, std::uint64_t seed = 3)
{
    router result({.zone = availability_zone_id("z0"), .seed = seed},
                  make_fixed_shares({.self = entry_id("e0")}));
    result.update(fleet, time_point{});
    return result;
}

} // namespace

TEST_CASE("the router chooses as the naive one allows", "[router][differential]")
{
    REQUIRE(rc::check("router agrees with the naive router", [] {
        const auto kind = *rc::gen::inRange(0U, 6U);
        const auto steps = *rc::gen::resize(
            500, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 30U)));
        paired_routers pair(small_fleet(kind));
        const std::vector<instance_id> ids = pair.ids();
        for (const std::uint32_t step : steps) {
            pair.pass(milliseconds{(step >> 18U) % 200});
            tried_targets tried;
            if ((step >> 9U) % 3 == 0) {
                tried.instances = {ids[(step >> 12U) % ids.size()],
                                   ids[(step >> 16U) % ids.size()]};
                tried.racks = {rack_id(fakes::numbered("p0-r", (step >> 20U) % 3)),
                               rack_id("p1-r0")};
            }
            const route_query query{.service = service_id((step >> 6U) % 2 == 0 ? "s0" : "s1"),
                                    .idempotent = (step >> 7U) % 2 == 0,
                                    .tried = &tried};
            switch (step % 16) {
            case 0:
                pair.set_state(step >> 8U, static_cast<version::instance_state>((step >> 20U) % 3));
                break;
            case 1:
                pair.set_state(step >> 8U, version::instance_state::admitted);
                break;
            case 2:
                pair.toggle_leaving(step >> 8U);
                break;
            case 3:
                pair.hold(result_of(step, (step >> 24U) % 2 == 0),
                          milliseconds{1 + (step >> 11U) % 20});
                break;
            case 5:
                pair.free_held();
                break;
            default:
                if (step % 2 == 0) {
                    pair.choose(query);
                }
                else {
                    // Runs of failures make ejections likely.
                    pair.release(result_of(step, (step >> 24U) % 2 == 0),
                                 milliseconds{1 + (step >> 11U) % 20});
                }
            }
            pair.compare(query);
        }
    }));
}

TEST_CASE("a target that fails everything is ejected after three attempts and probed", "[router]")
{
    const auto fleet = fakes::uniform_fleet({.instances_per_pool = 10});
    router subject = make_router(*fleet);
    const instance_id bad("p0-w03");
    const route_query query{
        .service = service_id("s0"), .idempotent = true, .tried = &nothing_tried};
    time_point now{};
    std::size_t sent_to_bad = 0;
    for (int i = 0; i < 2000; ++i) {
        now += milliseconds{1};
        const auto chosen = subject.choose(query, now);
        REQUIRE(chosen);
        const bool is_bad = subject.target(*chosen).id == bad;
        sent_to_bad += is_bad ? 1 : 0;
        release(subject, *chosen, query.service,
                is_bad ? attempt_result::failed : attempt_result::answered,
                is_bad ? milliseconds{1} : milliseconds{20}, now);
        if (sent_to_bad == 3) {
            CHECK(subject.ejected_targets() == std::vector{bad});
        }
    }
    CHECK(sent_to_bad <= 4);
    // Healed: one probe brings it back.
    now += seconds{10};
    const auto probe = subject.choose(query, now);
    REQUIRE(probe);
    CHECK(subject.target(*probe).id == bad);
    release(subject, *probe, query.service, attempt_result::answered, milliseconds{20}, now);
    CHECK(subject.ejected_targets().empty());
}

TEST_CASE("a slow target is ejected after few answers", "[router]")
{
    const auto fleet = fakes::uniform_fleet({.instances_per_pool = 10});
    router subject = make_router(*fleet);
    const instance_id slow("p0-w06");
    const route_query query{.service = service_id("s0"), .tried = &nothing_tried};
    time_point now{};
    std::size_t sent_to_slow = 0;
    for (int i = 0; i < 900 && subject.ejected_targets().empty(); ++i) {
        const auto chosen = subject.choose(query, now);
        const bool is_slow = subject.target(*chosen).id == slow;
        sent_to_slow += is_slow ? 1 : 0;
        release(subject, *chosen, query.service, attempt_result::answered,
                milliseconds{is_slow ? 200 : 20}, now);
    }
    CHECK(subject.ejected_targets() == std::vector{slow});
    CHECK(sent_to_slow <= 4);
}

TEST_CASE("the loss of a zone leaves a usable set that is not stampeded", "[router]")
{
    const auto fleet = fakes::uniform_fleet({.instances_per_pool = 12, .budget = {.minimum = 9}});
    router subject = make_router(*fleet);
    const route_query query{.service = service_id("s0"), .tried = &nothing_tried};
    time_point now{};
    std::size_t failed = 0;
    std::deque<target_index> running;
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds{1};
        const auto chosen = subject.choose(query, now);
        REQUIRE(chosen);
        CHECK(subject.target(*chosen).in_progress <= 8);
        running.push_back(*chosen);
        if (running.size() < 40) {
            continue;
        }
        const target_index done = running.front();
        running.pop_front();
        const bool lost = subject.target(done).zone == availability_zone_id("z1");
        failed += lost ? 1 : 0;
        release(subject, done, query.service,
                lost ? attempt_result::unreachable : attempt_result::answered, milliseconds{20},
                now);
    }
    // Three of the four may be ejected, the fourth is needed for the budget and is avoided.
    CHECK(subject.ejected_targets().size() == 3);
    CHECK(failed <= 40);
}

TEST_CASE("when everything fails the set stays whole enough to be used", "[router]")
{
    const auto fleet = fakes::uniform_fleet({.instances_per_pool = 12, .budget = {.minimum = 0}});
    router subject = make_router(*fleet);
    const route_query query{.service = service_id("s0"), .tried = &nothing_tried};
    time_point now{};
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds{1};
        const auto chosen = subject.choose(query, now);
        REQUIRE(chosen);
        release(subject, *chosen, query.service, attempt_result::failed, milliseconds{1}, now);
    }
    CHECK(subject.ejected_targets().size() == 6);
    CHECK(subject.capacity(query.service).slots == 6 * 8);
}
