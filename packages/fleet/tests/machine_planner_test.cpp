#include "plantaindoor/fleet/machine_planner.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

const service_id checks{"checks"};
const service_id reserve{"reserve"};
constexpr time_point start{std::chrono::hours(1)};

machine_info machine_up(const std::string& name, const service_id& pool, const std::string& worker)
{
    return {.machine = name, .pool = pool, .worker = instance_id(worker)};
}

job::worker_listing listing_of(const std::string& machine, const std::string& worker)
{
    return {.id = instance_id(worker),
            .service = checks,
            .address = "10.0.0.1:80",
            .machine = machine,
            .capacity = {.cpu_millis = 1000, .memory_mb = 1000}};
}

/// A scheduler with these workers listed, each with a report.
job::scheduler scheduler_with(const std::vector<job::worker_listing>& workers)
{
    job::scheduler scheduler({}, start);
    for (const job::worker_listing& each : workers) {
        scheduler.note_worker_listed(each, start);
        scheduler.note_report(each.id,
                              {.worker_clock = milliseconds(1), .started_at = each.started_at},
                              start, start);
    }
    return scheduler;
}

job::worker_listing at_address(job::worker_listing listing, const std::string& address)
{
    listing.address = address;
    return listing;
}

job::worker_listing in_pool(job::worker_listing listing, const service_id& pool)
{
    listing.service = pool;
    return listing;
}

/// Submits a job of one step to the queue "q".
void submit(job::scheduler& scheduler, const std::string& id, time_point at,
            const job::step_spec& step)
{
    auto spec = std::make_shared<job::job_spec>();
    spec->steps = {step};
    scheduler.submit(job_id(id), {.queue = "q", .spec = std::move(spec), .at = at});
}

std::vector<std::string> machines_of(const machine_orders& planned)
{
    std::vector<std::string> names;
    for (const machine_order& order : planned.orders) {
        names.push_back(order.machine);
    }
    return names;
}

} // namespace

TEST_CASE("a late listing of a worker that maintenance has ended doesn't free a slot of the wave")
{
    job::scheduler scheduler =
        scheduler_with({listing_of("m1", "w1"), at_address(listing_of("m2", "w2"), "10.0.0.2:80")});
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2")},
                              start, list_extent::complete);
    planner.note_wave(
        {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(20), .max_down = 1}, start, {});

    const auto first = planner.plan(start, scheduler);
    REQUIRE(first.orders.size() == 1);
    planner.note_answer(first.orders[0], machine_answer::accepted, start);
    planner.note_worker(listing_of(first.orders[0].machine, first.orders[0].worker.str()));

    CHECK(planner.plan(start + milliseconds(100), scheduler).orders.empty());

    planner.note_worker(listing_of(first.orders[0].machine, "w3"));
    const auto second = planner.plan(start + milliseconds(2100), scheduler);
    REQUIRE(second.orders.size() == 1);
    CHECK(second.orders[0].machine != first.orders[0].machine);
}

// Guards against a machine that stays out of use for ever since its worker has kept its id.
TEST_CASE("a worker that starts again under its id after maintenance is the machine's next worker")
{
    constexpr wall_time first_start{milliseconds(1'700'000'000'000)};
    auto listing = listing_of("m1", "w1");
    listing.started_at = first_start;
    job::scheduler scheduler = scheduler_with({listing});
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1")}, start, list_extent::complete);
    planner.note_wave({.number = 1, .machines = {"m1"}, .deadline = seconds(20), .max_down = 1},
                      start, {});
    const auto first = planner.plan(start, scheduler);
    REQUIRE(first.orders.size() == 1);
    const auto orders_of_next_wave = [&] {
        planner.note_wave({.number = 2, .machines = {"m1"}, .deadline = seconds(20), .max_down = 1},
                          start + seconds(3), {});
        return planner.plan(start + seconds(4), scheduler).orders.size();
    };
    const auto start_again = [&] {
        auto next = listing;
        next.started_at = first_start + seconds(30);
        scheduler.note_worker_listed(next, start + seconds(2));
        scheduler.note_report(next.id,
                              {.worker_clock = milliseconds(1), .started_at = next.started_at},
                              start + seconds(2), start + seconds(2));
        planner.note_worker(next);
    };

    SECTION("the same incarnation listed late is not")
    {
        planner.note_answer(first.orders[0], machine_answer::accepted, start);
        planner.note_worker(listing);
        planner.note_machine_list({machine_up("m1", checks, "w1")}, start + seconds(2),
                                  list_extent::complete);
        CHECK(orders_of_next_wave() == 0);
    }
    SECTION("the order is answered before")
    {
        planner.note_answer(first.orders[0], machine_answer::accepted, start);
        start_again();
        planner.note_machine_list({machine_up("m1", checks, "w1")}, start + seconds(2),
                                  list_extent::complete);
        CHECK(orders_of_next_wave() == 1);
    }
    SECTION("the order is answered after it")
    {
        start_again();
        planner.note_answer(first.orders[0], machine_answer::accepted, start + seconds(2));
        planner.note_machine_list({machine_up("m1", checks, "w1")},
                                  start + seconds(2) + milliseconds(1), list_extent::complete);
        CHECK(orders_of_next_wave() == 1);
    }
}

// Guards against a worker that stays cordoned for ever since it started again under its id while it
// was being ended.
TEST_CASE("a worker that starts again around an order for its machine is uncordoned")
{
    const instance_id id("w1");
    auto listing = listing_of("m1", "w1");
    listing.started_at = wall_time{milliseconds(1'700'000'000'000)};
    job::scheduler scheduler = scheduler_with({listing});
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1")}, start, list_extent::complete);
    planner.note_wave({.number = 1, .machines = {"m1"}, .deadline = seconds(20), .max_down = 1},
                      start, {});
    const auto first = planner.plan(start, scheduler);
    REQUIRE(first.orders.size() == 1);
    REQUIRE(first.cordons.size() == 1);
    scheduler.cordon_worker(id, true);
    auto next = listing;
    next.started_at = *listing.started_at + seconds(30);
    const job::worker_report report{.worker_clock = milliseconds(1), .started_at = next.started_at};

    SECTION("its row is read before the answer")
    {
        scheduler.note_worker_listed(next, start + seconds(2));
        planner.note_worker(next);
        planner.note_answer(first.orders[0], machine_answer::accepted, start + seconds(2));
        planner.note_machine_list({machine_up("m1", checks, "w1")}, start + seconds(3),
                                  list_extent::complete);
    }
    SECTION("it answers before the order is answered, and its row is read after")
    {
        scheduler.note_report(id, report, start + seconds(1), start + seconds(1));
        planner.note_answer(first.orders[0], machine_answer::accepted, start + seconds(2));
        planner.note_worker(next);
    }
    for (const cordon_change& each : planner.plan(start + seconds(4), scheduler).cordons) {
        scheduler.cordon_worker(each.worker, each.cordoned);
    }
    CHECK_FALSE(scheduler.workers().at(id).cordoned);
}

TEST_CASE("a machine list read while an order is in flight doesn't free a slot of the wave")
{
    // Persisting the order in a slow store takes longer than reading the list.
    job::scheduler scheduler =
        scheduler_with({listing_of("m1", "w1"), at_address(listing_of("m2", "w2"), "10.0.0.2:80")});
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    const std::vector listed{machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2")};
    planner.note_machine_list(listed, start, list_extent::complete);
    planner.note_wave(
        {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(20), .max_down = 1}, start, {});
    const auto first = planner.plan(start, scheduler);
    REQUIRE(first.orders.size() == 1);

    planner.note_machine_list(listed, start + milliseconds(100), list_extent::complete);
    CHECK(planner.plan(start + milliseconds(600), scheduler).orders.empty());

    planner.note_answer(first.orders[0], machine_answer::accepted, start + milliseconds(700));
    CHECK(planner.plan(start + milliseconds(800), scheduler).orders.empty());
}

TEST_CASE(
    "an answer that arrives after the machine's next worker was listed doesn't remove that worker")
{
    job::scheduler scheduler = scheduler_with({listing_of("m1", "w1")});
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1")}, start, list_extent::complete);
    planner.note_wave({.number = 1, .machines = {"m1"}, .deadline = seconds(20), .max_down = 1},
                      start, {});
    const auto planned = planner.plan(start, scheduler);
    REQUIRE(planned.orders.size() == 1);

    planner.note_worker(listing_of("m1", "w2"));
    planner.note_answer(planned.orders[0], machine_answer::accepted, start + seconds(3));
    CHECK(planner.waves().at(1).completed());

    planner.note_wave({.number = 2, .machines = {"m1"}, .deadline = seconds(20), .max_down = 1},
                      start, {});
    scheduler.note_worker_ended(instance_id("w1"), job::worker_end::order, start);
    scheduler.note_worker_listed(listing_of("m1", "w2"), start);
    scheduler.note_report(instance_id("w2"), {.worker_clock = milliseconds(1)}, start, start);
    planner.note_machine_list({machine_up("m1", checks, "w2")}, start + milliseconds(3500),
                              list_extent::complete);
    CHECK(machines_of(planner.plan(start + seconds(4), scheduler)) ==
          std::vector<std::string>{"m1"});
}

TEST_CASE(
    "a wave is completed only when each machine that is still listed has begun its maintenance")
{
    job::scheduler scheduler =
        scheduler_with({listing_of("m1", "w1"), at_address(listing_of("m2", "w2"), "10.0.0.2:80")});
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2")},
                              start, list_extent::complete);
    planner.note_wave(
        {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(20), .max_down = 2}, start, {});
    const auto planned = planner.plan(start, scheduler);
    REQUIRE(planned.orders.size() == 2);

    planner.note_answer(planned.orders[0], machine_answer::accepted, start);
    planner.note_answer(planned.orders[1], machine_answer::unanswered, start);
    CHECK_FALSE(planner.waves().at(1).completed());

    SECTION("the list shows that the unanswered order was executed")
    {
        auto listed = machine_up(planned.orders[1].machine, checks, "");
        listed.state = machine_state::maintenance;
        planner.note_machine_list({listed}, start + milliseconds(500), list_extent::complete);
        CHECK(planner.waves().at(1).completed());
    }
    SECTION("the machine is no longer listed")
    {
        planner.note_machine_list({machine_up(planned.orders[0].machine, checks, "w9")},
                                  start + milliseconds(500), list_extent::complete);
        CHECK(planner.waves().at(1).completed());
    }
    SECTION("otherwise the order is repeated")
    {
        const auto again = planner.plan(start + milliseconds(500), scheduler);
        CHECK(machines_of(again) == std::vector{planned.orders[1].machine});
    }
}

TEST_CASE("a machine that a previous leader sent an order to gets no order until its block ends")
{
    job::scheduler scheduler = scheduler_with({listing_of("m1", "w1")});
    machine_planner planner({});
    planner.expect_order(
        "m1", {.blocked_until = start + seconds(3), .possible_until = start + seconds(13)});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1")}, start, list_extent::complete);
    planner.note_wave({.number = 1, .machines = {"m1"}, .deadline = seconds(20)}, start, {});
    CHECK(planner.plan(start + milliseconds(2900), scheduler).orders.empty());
    CHECK(planner.plan(start + milliseconds(3000), scheduler).orders.size() == 1);
}

// Guards against LIMIT: an order whose answer was lost is carried out seconds later, beside those
// of the next leader.
TEST_CASE("a machine that a previous leader may still take down counts for its wave")
{
    job::scheduler scheduler =
        scheduler_with({listing_of("m1", "w1"), at_address(listing_of("m2", "w2"), "10.0.0.2:80")});
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    const std::vector listed{machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2")};
    planner.note_machine_list(listed, start, list_extent::complete);
    planner.expect_order(
        "m2", {.blocked_until = start + seconds(3), .possible_until = start + seconds(13)});
    const auto add_wave = [&](const std::set<std::string>& started) {
        planner.note_wave(
            {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(60), .max_down = 1}, start,
            started);
    };
    const auto orders_at = [&](milliseconds after) {
        return machines_of(planner.plan(start + after, scheduler));
    };

    SECTION("it is the first to get an order, whose answer shows that none is outstanding")
    {
        add_wave({});
        CHECK(orders_at(milliseconds(2900)).empty());
        const auto own = planner.plan(start + seconds(3), scheduler);
        REQUIRE(machines_of(own) == std::vector<std::string>{"m2"});
        planner.note_answer(own.orders[0], machine_answer::accepted, start + seconds(3));
        planner.note_worker(listing_of("m2", "w3"));
        CHECK(orders_at(seconds(6)) == std::vector<std::string>{"m1"});
    }
    SECTION("several of them get no more orders than the wave allows")
    {
        planner.expect_order(
            "m1", {.blocked_until = start + seconds(3), .possible_until = start + seconds(13)});
        add_wave({});
        CHECK(orders_at(seconds(3)).size() == 1);
        CHECK(orders_at(seconds(4)).empty());
    }
    SECTION("it is busy: no other machine is taken down while the order may be carried out")
    {
        scheduler.note_worker_ended(instance_id("w2"), job::worker_end::other_address, start);
        scheduler.note_worker_listed(at_address(listing_of("m2", "w2"), "10.0.0.2:80"), start);
        add_wave({});
        CHECK(orders_at(seconds(12)).empty());
        CHECK(orders_at(seconds(13)) == std::vector<std::string>{"m1"});
    }
    SECTION("the list shows that the order has been carried out")
    {
        add_wave({});
        auto down = listed;
        down[1].state = machine_state::maintenance;
        down[1].worker = instance_id();
        planner.note_machine_list(down, start + seconds(1), list_extent::complete);
        CHECK(orders_at(seconds(2)).empty());
        down[1] = machine_up("m2", checks, "w3");
        planner.note_machine_list(down, start + milliseconds(2500), list_extent::complete);
        CHECK(orders_at(milliseconds(2600)) == std::vector<std::string>{"m1"});
    }
    SECTION("the previous leader had an answer: the order isn't outstanding for long")
    {
        add_wave({"m2"});
        CHECK(orders_at(milliseconds(2900)).empty());
        CHECK(orders_at(seconds(3)) == std::vector<std::string>{"m1"});
    }
}

TEST_CASE("a machine whose worker hasn't answered the new leader gets no order")
{
    // Tasks that the previous leader started may be running there.
    job::scheduler scheduler({}, start);
    scheduler.note_worker_listed(listing_of("m1", "w1"), start);
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list(
        {machine_up("m1", checks, "w1"), machine_up("m2", checks, "unlisted")}, start,
        list_extent::complete);
    planner.note_wave(
        {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(1), .max_down = 2}, start, {});
    CHECK(planner.plan(start + milliseconds(900), scheduler).orders.empty());

    scheduler.note_report(instance_id("w1"), {.worker_clock = milliseconds(1)}, start, start);
    CHECK(machines_of(planner.plan(start + milliseconds(1000), scheduler)) ==
          std::vector<std::string>{"m1"});
}

TEST_CASE("a pool with a growing queue receives machines from a standby pool first")
{
    job::scheduler scheduler({}, start);
    scheduler.set_queues({{.name = "q", .service = checks, .max_attempts = 3, .stretch = 2}});
    machine_planner planner({});
    planner.set_pools({{.id = checks}, {.id = reserve, .standby = true}});
    planner.note_machine_list({machine_up("m1", checks, "w1"), machine_up("m2", reserve, ""),
                               machine_up("m3", reserve, "")},
                              start, list_extent::complete);
    scheduler.note_worker_listed(listing_of("m1", "w1"), start);
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back(
        {.count = 60, .need = {.cpu_millis = 100}, .estimate = milliseconds(1000)});
    scheduler.submit(job_id("0123456789abcdef"), {.queue = "q", .spec = spec, .at = start});

    const auto planned = planner.plan(start, scheduler);
    auto names = machines_of(planned);
    std::sort(names.begin(), names.end());
    CHECK(names == std::vector<std::string>{"m2", "m3"});
    for (const machine_order& order : planned.orders) {
        CHECK(order.pool == checks);
    }
}

namespace {

constexpr std::int64_t machine_cpu = 16000;
const service_id orders{"orders"};

/// Two pools of identical machines, m0 to m5 in `checks` and m6 to m11 in `orders`.
struct two_pools {
    job::scheduler scheduler{{}, start};
    machine_planner planner{{}};
    std::uint32_t jobs = 0;

    two_pools()
    {
        scheduler.set_queues({{.name = "checks", .service = checks, .max_attempts = 3},
                              {.name = "orders", .service = orders, .max_attempts = 3}});
        planner.set_pools({{.id = checks}, {.id = orders}});
        std::vector<machine_info> machines;
        for (int number = 0; number < 12; ++number) {
            const std::string name = "m" + std::to_string(number);
            const std::string worker = "w" + std::to_string(number);
            const service_id pool = number < 6 ? checks : orders;
            machines.push_back(machine_up(name, pool, worker));
            job::worker_listing listing = listing_of(name, worker);
            listing.service = pool;
            listing.address = "10.0.0." + std::to_string(number) + ":80";
            listing.capacity = {.cpu_millis = machine_cpu, .memory_mb = 64000};
            scheduler.note_worker_listed(listing, start);
            scheduler.note_report(listing.id, {.worker_clock = milliseconds(1)}, start, start);
        }
        planner.note_machine_list(machines, start, list_extent::complete);
    }

    void submit(const std::string& queue, std::uint32_t tasks, std::int64_t cpu,
                milliseconds estimate, std::uint32_t steps, time_point now)
    {
        auto spec = std::make_shared<job::job_spec>();
        for (std::uint32_t step = 0; step < steps; ++step) {
            job::step_spec each{
                .count = tasks, .need = {.cpu_millis = cpu, .memory_mb = 1}, .estimate = estimate};
            if (step > 0) {
                each.depends_on = {step - 1};
            }
            spec->steps.push_back(each);
        }
        scheduler.submit(job_id("job" + std::to_string(++jobs)),
                         {.queue = queue, .spec = spec, .at = now});
    }

    /// Runs the planner and then the scheduler once; cordons are applied in between.
    machine_orders plan_round(time_point now)
    {
        machine_orders planned = planner.plan(now, scheduler);
        for (const cordon_change& each : planned.cordons) {
            scheduler.cordon_worker(each.worker, each.cordoned);
        }
        static_cast<void>(scheduler.plan(now, wall_time{}));
        return planned;
    }
};

} // namespace

TEST_CASE("load: one large job moves no more machines to its pool than its tasks can use")
{
    two_pools pools;
    static_cast<void>(pools.plan_round(start));
    pools.submit("checks", 8, 2500, milliseconds(1700), 2, start + milliseconds(100));
    CHECK(pools.plan_round(start + milliseconds(100)).orders.empty());
    CHECK(pools.plan_round(start + milliseconds(200)).orders.empty());
}

TEST_CASE(
    "load: a burst beyond its pool's capacity moves the machines that another pool doesn't use")
{
    two_pools pools;
    static_cast<void>(pools.plan_round(start));
    std::size_t moved = 0;
    for (int tenth = 1; tenth <= 10; ++tenth) {
        const time_point now = start + milliseconds(100 * tenth);
        for (int each = 0; each < 3; ++each) {
            pools.submit("checks", 6, 1100, milliseconds(1000), 2, now);
        }
        moved += pools.plan_round(now).orders.size();
    }
    CHECK(moved >= 4);
    CHECK(moved <= 5); // The other pool keeps one machine.
}

TEST_CASE("load: a burst takes all machines that another pool's load doesn't need")
{
    two_pools pools;
    static_cast<void>(pools.plan_round(start));
    // Three of the six machines of `orders` are used.
    pools.submit("orders", 3, 14000, milliseconds(5000), 1, start);
    static_cast<void>(pools.plan_round(start));
    std::size_t moved = 0;
    for (int tenth = 1; tenth <= 10; ++tenth) {
        const time_point now = start + milliseconds(100 * tenth);
        for (int each = 0; each < 3; ++each) {
            pools.submit("checks", 6, 1100, milliseconds(1000), 2, now);
        }
        moved += pools.plan_round(now).orders.size();
    }
    CHECK(moved == 3);
}

TEST_CASE("load: a machine that is still being drained stays when its pool needs it again")
{
    two_pools pools;
    static_cast<void>(pools.plan_round(start));
    // A task runs on every machine of `orders`, so none can be moved at once.
    for (int number = 0; number < 6; ++number) {
        pools.submit("orders", 1, 9000, milliseconds(1000), 1, start);
    }
    static_cast<void>(pools.plan_round(start));
    for (int each = 0; each < 30; ++each) {
        pools.submit("checks", 8, 2000, milliseconds(1000), 1, start + milliseconds(100));
    }
    static_cast<void>(pools.plan_round(start + milliseconds(600)));
    const auto count_cordoned = [&pools] {
        return std::count_if(pools.scheduler.workers().begin(), pools.scheduler.workers().end(),
                             [](const auto& each) {
                                 return each.second.listing.service == orders &&
                                        each.second.cordoned;
                             });
    };
    CHECK(count_cordoned() > 0);
    for (int each = 0; each < 30; ++each) {
        pools.submit("orders", 8, 2000, milliseconds(1000), 1, start + milliseconds(700));
    }
    CHECK(pools.plan_round(start + milliseconds(1200)).orders.empty());
    CHECK(count_cordoned() == 0);
}

TEST_CASE("a wave leaves enough machines for the tasks of a long-running step")
{
    const std::vector<job::worker_listing> listed{
        listing_of("m1", "w1"), at_address(listing_of("m2", "w2"), "10.0.0.2:80"),
        at_address(listing_of("m3", "w3"), "10.0.0.3:80")};
    job::scheduler scheduler = scheduler_with(listed);
    scheduler.set_queues({{.name = "q", .service = checks, .max_attempts = 3}});
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back({.count = 2,
                           .need = {.cpu_millis = 100, .memory_mb = 1},
                           .max_per_worker = 1,
                           .long_running = true,
                           .max_unavailable = 1});
    scheduler.submit(job_id("j"), {.queue = "q", .spec = spec, .at = start});
    REQUIRE(scheduler.plan(start, wall_time{}).starts.size() == 2);

    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2"),
                               machine_up("m3", checks, "w3")},
                              start, list_extent::complete);
    planner.note_wave(
        {.number = 1, .machines = {"m1", "m2", "m3"}, .deadline = seconds(1), .max_down = 3}, start,
        {});
    const auto planned = planner.plan(start + milliseconds(10), scheduler);
    // If all three were cordoned, a task evicted from one would have no worker to run on, and the
    // other tasks of its step couldn't be evicted until it runs again.
    for (const cordon_change& each : planned.cordons) {
        CHECK(scheduler.workers().at(each.worker).long_running_runs == 0);
    }
    CHECK(planned.cordons.size() == 1);
}

TEST_CASE("load: workers of a failed rack are reported as ended once the machine list shows it")
{
    // Without the list, a crashed worker is detected only when its whole lease of 5 s has expired.
    job::scheduler scheduler =
        scheduler_with({listing_of("m1", "w1"), at_address(listing_of("m2", "w2"), "10.0.0.2:80")});
    const auto asked = start + milliseconds(500);
    auto down = machine_up("m1", checks, "");
    down.state = machine_state::down;
    const auto other = machine_up("m2", checks, "w2");

    CHECK(ended_workers({down, other}, asked, scheduler) ==
          std::map{std::pair(instance_id("w1"), job::worker_end::machine_down)});

    SECTION("a worker that has answered since then is alive")
    {
        scheduler.note_report(instance_id("w1"), {.worker_clock = milliseconds(9)}, asked, asked);
        CHECK(ended_workers({down, other}, asked, scheduler).empty());
    }
    SECTION("a worker that has accepted a start since then is alive")
    {
        auto spec = std::make_shared<job::job_spec>();
        spec->steps.push_back({.need = {.cpu_millis = 100}});
        scheduler.set_queues({{.name = "q", .service = checks}});
        scheduler.submit(job_id("j"), {.queue = "q", .spec = spec, .at = start});
        scheduler.note_report(instance_id("w1"), {.worker_clock = milliseconds(9)}, start, start);
        const auto starts = scheduler.plan(start, wall_time{}).starts;
        REQUIRE(starts.size() == 1);
        scheduler.note_start(starts[0].worker, starts[0].run, job::order_answer::accepted, asked);
        REQUIRE(starts[0].worker == instance_id("w1"));
        CHECK(ended_workers({down, other}, asked, scheduler).empty());
    }
    SECTION("an earlier worker of a machine that is still listed has ended, so that no job is in "
            "doubt for it")
    {
        CHECK(ended_workers({machine_up("m1", checks, "w9"), other}, asked, scheduler) ==
              std::map{std::pair(instance_id("w1"), job::worker_end::successor)});
    }
    SECTION("a worker of a machine that is up and listed without a worker may be alive")
    {
        CHECK(ended_workers({machine_up("m1", checks, ""), other}, asked, scheduler).empty());
    }
    SECTION("a worker whose machine isn't listed may be alive")
    {
        CHECK(ended_workers({other}, asked, scheduler).empty());
    }
}

TEST_CASE("a task that fits beside no long-running task gets a machine from another pool")
{
    // Each of the two workers of the pool has 800 of its 1,000 left, together more than enough.
    const std::vector workers{listing_of("m1", "w1"),
                              at_address(listing_of("m2", "w2"), "10.0.0.2:80"),
                              in_pool(at_address(listing_of("m3", "w3"), "10.0.0.3:80"), reserve),
                              in_pool(at_address(listing_of("m4", "w4"), "10.0.0.4:80"), reserve)};
    job::scheduler scheduler = scheduler_with(workers);
    scheduler.set_queues({{.name = "q", .service = checks, .max_attempts = 3}});
    scheduler.note_live_workers({}, list_extent::complete, start);
    submit(scheduler, "lasting", start,
           {.count = 2, .need = {.cpu_millis = 200}, .max_per_worker = 1, .long_running = true});
    REQUIRE(scheduler.plan(start, wall_time()).starts.size() == 2);
    submit(scheduler, "wide", start,
           {.count = 1, .need = {.cpu_millis = 900}, .estimate = seconds(1)});
    REQUIRE(scheduler.plan(start, wall_time()).starts.empty());

    machine_planner planner({});
    planner.set_pools({{.id = checks}, {.id = reserve}});
    planner.note_machine_list({machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2"),
                               machine_up("m3", reserve, "w3"), machine_up("m4", reserve, "w4")},
                              start, list_extent::complete);
    const auto planned = planner.plan(start, scheduler);
    REQUIRE(planned.orders.size() == 1);
    CHECK(planned.orders[0].action == machine_action::move);
    CHECK(planned.orders[0].pool == checks);
}

// Guards against a pool that gets no machines since one row, of another writer, seems to have more
// capacity than all of them, or none.
TEST_CASE("load: a worker that has never answered doesn't change how many machines a pool gets")
{
    two_pools pools;
    job::worker_listing odd = at_address(listing_of("", "odd"), "10.0.9.9:80");
    odd.capacity.cpu_millis = GENERATE(std::int64_t{1'000'000'000'000}, std::int64_t{0});
    pools.scheduler.note_worker_listed(odd, start);
    static_cast<void>(pools.plan_round(start));
    std::size_t moved = 0;
    for (int tenth = 1; tenth <= 10; ++tenth) {
        const time_point now = start + milliseconds(100 * tenth);
        for (int each = 0; each < 3; ++each) {
            pools.submit("checks", 6, 1100, milliseconds(1000), 2, now);
        }
        moved += pools.plan_round(now).orders.size();
    }
    CHECK(moved >= 4);
    CHECK(moved <= 5);
}

// Guards against wide tasks that wait since a worker that never answers seems to have room for all.
TEST_CASE("a worker that has never answered takes no machine from tasks that fit nowhere else")
{
    std::vector<job::worker_listing> workers;
    std::vector<machine_info> machines;
    for (int number = 1; number <= 6; ++number) {
        const std::string digit = std::to_string(number);
        const service_id pool = number <= 2 ? checks : reserve;
        workers.push_back(in_pool(
            at_address(listing_of("m" + digit, "w" + digit), "10.0.0." + digit + ":80"), pool));
        machines.push_back(machine_up("m" + digit, pool, "w" + digit));
    }
    job::scheduler scheduler = scheduler_with(workers);
    job::worker_listing odd = at_address(listing_of("", "odd"), "10.0.9.9:80");
    odd.capacity = {.cpu_millis = 1'000'000'000'000, .memory_mb = 1'000'000'000'000};
    scheduler.note_worker_listed(odd, start);
    scheduler.set_queues({{.name = "q", .service = checks, .max_attempts = 3}});
    scheduler.note_live_workers({}, list_extent::complete, start);
    submit(scheduler, "lasting", start,
           {.count = 2, .need = {.cpu_millis = 200}, .max_per_worker = 1, .long_running = true});
    REQUIRE(scheduler.plan(start, wall_time()).starts.size() == 2);
    submit(scheduler, "wide", start,
           {.count = 2, .need = {.cpu_millis = 900}, .estimate = milliseconds(1)});
    REQUIRE(scheduler.plan(start, wall_time()).starts.empty());

    machine_planner planner({});
    planner.set_pools({{.id = checks}, {.id = reserve}});
    planner.note_machine_list(machines, start, list_extent::complete);
    CHECK(planner.plan(start, scheduler).orders.size() == 2);
}

// Guards against a wave that is reported as completed without the maintenance of a machine whose
// entry couldn't be read.
TEST_CASE("a machine that a partial list lacks stays in its wave")
{
    const auto orders_after = [](list_extent extent) {
        job::scheduler scheduler = scheduler_with(
            {listing_of("m1", "w1"), at_address(listing_of("m2", "w2"), "10.0.0.2:80")});
        machine_planner planner({});
        planner.set_pools({{.id = checks}});
        planner.note_machine_list({machine_up("m1", checks, "w1"), machine_up("m2", checks, "w2")},
                                  start, list_extent::complete);
        planner.note_wave(
            {.number = 1, .machines = {"m1", "m2"}, .deadline = seconds(20), .max_down = 2}, start,
            {});
        planner.note_machine_list({machine_up("m1", checks, "w1")}, start + milliseconds(1),
                                  extent);
        return planner.plan(start + milliseconds(2), scheduler).orders.size();
    };
    CHECK(orders_after(list_extent::partial) == 2);
    CHECK(orders_after(list_extent::complete) == 1);
}

// Guards against a further order in each round: a machine of a standby pool has no worker that
// could have answered, and is still one of its new pool while it is moved.
TEST_CASE("a machine from a standby pool counts for its new pool while it is moved")
{
    job::scheduler scheduler = scheduler_with({listing_of("m1", "w1")});
    scheduler.set_queues({{.name = "q", .service = checks, .max_attempts = 3}});
    scheduler.note_live_workers({}, list_extent::complete, start);
    machine_planner planner({});
    planner.set_pools({{.id = checks}, {.id = reserve, .standby = true}});
    const std::vector<machine_info> machines{
        machine_up("m1", checks, "w1"), machine_up("m2", reserve, ""),
        machine_up("m3", reserve, ""), machine_up("m4", reserve, "")};
    planner.note_machine_list(machines, start, list_extent::complete);
    CHECK(planner.plan(start, scheduler).orders.empty());
    const time_point later = start + seconds(20);
    submit(scheduler, "j", later,
           {.count = 1,
            .need = {.cpu_millis = 100, .memory_mb = 1},
            .max_per_worker = 1,
            .long_running = true});
    const auto first = planner.plan(later, scheduler).orders;
    REQUIRE(first.size() == 1);
    CHECK(planner.plan(later + milliseconds(100), scheduler).orders.empty());
    planner.note_answer(first[0], machine_answer::accepted, later + milliseconds(150));
    for (int tenth = 2; tenth < 20; ++tenth) {
        CHECK(planner.plan(later + milliseconds(100 * tenth), scheduler).orders.empty());
    }
}

// Guards against a demand beyond the range of the type it is counted in: a pool with more work than
// all machines could do in years counted as one with little.
TEST_CASE("a pool never wants fewer machines for more work")
{
    job::scheduler scheduler = scheduler_with({listing_of("m1", "w1")});
    scheduler.set_queues({{.name = "q", .service = checks}});
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1")}, start, list_extent::complete);
    const job::step_spec large{.count = job::max_tasks_per_step,
                               .need = {.cpu_millis = 5'000'000, .memory_mb = 1},
                               .estimate = std::chrono::days(4)};
    std::uint32_t wanted = 0;
    for (int each = 0; each < 100; ++each) {
        INFO(each << " jobs");
        submit(scheduler, "j" + std::to_string(each), start, large);
        static_cast<void>(planner.plan(start + milliseconds(100 * each), scheduler));
        const std::uint32_t now_wanted = planner.pools().at(checks).wanted;
        CHECK(now_wanted >= wanted);
        wanted = now_wanted;
    }
    CHECK(wanted == std::numeric_limits<std::uint32_t>::max());
}

// Guards against MIXED: a machine that a predecessor's order for one wave had brought down counted
// as maintained in another wave, for which its order hadn't been sent.
TEST_CASE("maintenance for one of two waves doesn't count for the other")
{
    job::scheduler scheduler = scheduler_with({listing_of("m1", "w1")});
    scheduler.set_queues({{.name = "q", .service = checks}});
    submit(scheduler, "j", start, {.need = {.cpu_millis = 100}}); // Keeps the worker busy.
    const auto starts = scheduler.plan(start, wall_time{}).starts;
    REQUIRE(starts.size() == 1);
    scheduler.note_start(starts[0].worker, starts[0].run, job::order_answer::accepted, start);
    machine_planner planner({});
    planner.set_pools({{.id = checks}});
    planner.note_machine_list({machine_up("m1", checks, "w1")}, start, list_extent::complete);
    const bool second_wave = GENERATE(false, true);
    for (const std::uint64_t number : {1, 2}) {
        if (number == 1 || second_wave) {
            planner.note_wave(
                {.number = number, .machines = {"m1"}, .deadline = seconds(1), .max_down = 1},
                start, {});
        }
    }
    REQUIRE(planner.plan(start + milliseconds(100), scheduler).orders.empty());

    machine_info maintained = machine_up("m1", checks, "");
    maintained.state = machine_state::maintenance;
    planner.note_machine_list({maintained}, start + milliseconds(200), list_extent::complete);
    std::size_t started = 0;
    for (const auto& [number, wave] : planner.waves()) {
        started += wave.started.size();
    }
    CHECK(started == (second_wave ? 0 : 1));
}
