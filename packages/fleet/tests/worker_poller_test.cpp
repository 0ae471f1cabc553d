// Answers that arrive after their worker has started again under its id.
#include "plantaindoor/fleet/worker_poller.hpp"

#include "fakes/virtual_loop.hpp"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

const instance_id w1{"w1"};
constexpr wall_time first_start{milliseconds(1'700'000'000'000)};
constexpr wall_time second_start = first_start + seconds(30);

/// Keeps every order until the test answers it.
class held_workers final : public worker_gateway {
public:
    void start(const worker_address& /*to*/, const job::start_order& order, fencing_token /*token*/,
               order_callback done) override
    {
        starts.emplace_back(order, std::move(done));
    }
    void stop(const worker_address& /*to*/, const job::stop_order& order, fencing_token /*token*/,
              order_callback done) override
    {
        stops.emplace_back(order, std::move(done));
    }
    void throttle(const worker_address& /*to*/, const job::throttle_order& /*order*/,
                  fencing_token /*token*/, order_callback /*done*/) override
    {
    }
    void poll(const worker_address& /*to*/, const job::poll_order& /*order*/, fencing_token token,
              poll_callback done) override
    {
        last_poll_token = token;
        polls.push_back(std::move(done));
    }

    std::vector<std::pair<job::start_order, order_callback>> starts;
    std::vector<std::pair<job::stop_order, order_callback>> stops;
    std::vector<poll_callback> polls;
    fencing_token last_poll_token = 0;
};

/// A worker that has answered its first poll, and a task that was ordered there.
struct poller_fixture {
    fakes::virtual_loop loop;
    held_workers workers;
    job::scheduler scheduler{{.predecessor_grace = milliseconds(0)}, time_point{}};
    metrics_registry metrics;
    std::size_t stale_tokens = 0;
    /// Time for which the process was suspended.
    milliseconds suspended{0};
    leader_lease lease{[this] { return loop.now() + suspended; },
                       {.leader = "e1", .token = 7},
                       loop.now() + seconds(3600)};
    worker_poller subject{loop,    workers, scheduler, lease,
                          metrics, {},      [] {},     [this] { ++stale_tokens; }};

    poller_fixture()
    {
        loop.run_for(seconds(60));
        scheduler.set_queues({{.name = "q", .service = service_id("s"), .max_attempts = 3}});
        list(first_start);
        subject.refresh();
        answer_poll(first_start);
        auto spec = std::make_shared<job::job_spec>();
        spec->steps.push_back({.count = 1, .need = {.cpu_millis = 100, .memory_mb = 1}});
        scheduler.submit(job_id("j"), {.queue = "q", .spec = spec, .at = loop.now()});
        plan();
        REQUIRE(workers.starts.size() == 1);
    }

    void list(wall_time started_at)
    {
        scheduler.note_worker_listed({.id = w1,
                                      .service = service_id("s"),
                                      .address = "10.0.0.1:80",
                                      .machine = "m1",
                                      .capacity = {.cpu_millis = 1000, .memory_mb = 1000},
                                      .started_at = started_at},
                                     loop.now());
    }

    void plan()
    {
        loop.run_for(milliseconds(10));
        subject.send(scheduler.plan(loop.now(), wall_time{}));
    }

    /// Answers the poll in flight, or the next one.
    void answer_poll(wall_time started_at, std::vector<job::reported_run> running = {})
    {
        while (workers.polls.empty()) {
            REQUIRE(loop.run_one(loop.now() + seconds(5)));
        }
        loop.run_for(milliseconds(5));
        std::exchange(workers.polls, {})
            .front()({.answer = job::order_answer::accepted,
                      .report = {.worker_clock = milliseconds(1000),
                                 .started_at = started_at,
                                 .running = std::move(running)}});
    }

    [[nodiscard]] const job::worker_record& worker() const { return scheduler.workers().at(w1); }
};

} // namespace

// Guards against TWICE and against a worker that is taken for ended: the order was sent to the
// earlier incarnation, and the later one may still get it.
TEST_CASE("an answer to a start that was ordered before a restart leaves the start in doubt")
{
    poller_fixture fixture;
    const auto answer = fixture.workers.starts[0].second;
    const job::run_name run = fixture.workers.starts[0].first.run;
    fixture.answer_poll(second_start);
    for (const auto each : {job::order_answer::accepted, job::order_answer::no_capacity,
                            job::order_answer::other_instance, job::order_answer::unreachable}) {
        DYNAMIC_SECTION(name_of(each))
        {
            answer(each);
            REQUIRE(fixture.worker().runs.contains(run));
            CHECK(fixture.worker().runs.at(run).phase == job::run_phase::unconfirmed);
            fixture.plan();
            CHECK(fixture.workers.starts.size() == 1);
        }
    }
    SECTION("a higher token ends the leadership all the same")
    {
        answer(job::order_answer::stale_token);
        CHECK(fixture.stale_tokens == 1);
    }
}

// Guards against a late start after its job's cancellation: the later incarnation hasn't heard of
// the stop that the earlier one has accepted.
TEST_CASE("an accepted stop that was sent before a restart is sent again")
{
    poller_fixture fixture;
    fixture.workers.starts[0].second(job::order_answer::unanswered);
    fixture.scheduler.cancel(job_id("j"), fixture.loop.now());
    fixture.plan();
    REQUIRE(fixture.workers.stops.size() == 1);
    fixture.answer_poll(second_start);
    fixture.workers.stops[0].second(job::order_answer::accepted);
    fixture.plan();
    CHECK(fixture.workers.stops.size() == 2);
    fixture.workers.stops[0].second(job::order_answer::other_instance);
    CHECK(fixture.scheduler.workers().contains(w1));
}

// Guards against a later incarnation at another address that is taken for ended, since its earlier
// address belongs to another worker now.
TEST_CASE("an answer to a poll that was sent before a restart doesn't count for the later worker")
{
    poller_fixture fixture;
    while (fixture.workers.polls.empty()) {
        REQUIRE(fixture.loop.run_one(fixture.loop.now() + seconds(5)));
    }
    const auto poll = std::exchange(fixture.workers.polls, {}).front();
    fixture.list(second_start);
    SECTION("the address belongs to another instance")
    {
        poll({.answer = job::order_answer::other_instance, .report = {}});
    }
    SECTION("no answer")
    {
        poll({.answer = job::order_answer::unreachable, .report = {}});
    }
    REQUIRE(fixture.scheduler.workers().contains(w1));
    CHECK(fixture.worker().missed_polls == 0);
    fixture.answer_poll(second_start);
    CHECK(fixture.worker().token_acknowledged);
}

// Guards against TWICE: a leader that was suspended extended leases of runs, or started tasks,
// after its successor had taken over.
TEST_CASE("nothing is sent to a worker after the lease has expired")
{
    poller_fixture fixture;
    const job::run_name run = fixture.workers.starts[0].first.run;
    fixture.workers.starts[0].second(job::order_answer::accepted);
    fixture.answer_poll(first_start, {{.run = run, .percent = 100}});
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back({.count = 1, .need = {.cpu_millis = 100, .memory_mb = 1}});
    fixture.scheduler.submit(job_id("k"), {.queue = "q", .spec = spec, .at = fixture.loop.now()});
    fixture.suspended = seconds(7200);

    // The poll that was due before.
    fixture.loop.run_for(seconds(1));
    CHECK(fixture.workers.polls.empty());
    fixture.plan();
    CHECK(fixture.workers.starts.size() == 1);

    // Nobody has taken over, and the lease is renewed.
    fixture.lease.extend(fixture.loop.now() + fixture.suspended + seconds(3600));
    fixture.subject.refresh();
    CHECK(fixture.workers.polls.size() == 1);
    fixture.plan();
    REQUIRE(fixture.workers.starts.size() == 2);
    CHECK(fixture.workers.starts[1].first.run.task.job == job_id("k"));
}

// Guards against a leader that resigns because the new owner of a machine has polled its worker.
TEST_CASE("the refusal of a poll to a worker that was given away doesn't end the leadership")
{
    poller_fixture fixture;
    while (fixture.workers.polls.empty()) {
        REQUIRE(fixture.loop.run_one(fixture.loop.now() + seconds(5)));
    }
    const auto poll = std::exchange(fixture.workers.polls, {}).front();
    fixture.scheduler.note_worker_ended(w1, job::worker_end::order, fixture.loop.now());
    fixture.subject.forget(w1);
    poll({.answer = job::order_answer::stale_token, .report = {}});
    CHECK(fixture.stale_tokens == 0);
    fixture.loop.run_for(seconds(5));
    CHECK(fixture.workers.polls.empty());
}

// Guards against orders that the worker of a received machine refuses, as it knows the token of
// its former owner.
TEST_CASE("the worker of a received machine is polled with the machine's token")
{
    poller_fixture fixture;
    CHECK(fixture.workers.last_poll_token == 7);
    fixture.lease.raise_token("m1", 9);
    fixture.lease.raise_token("m2", 11);
    fixture.answer_poll(first_start);
    while (fixture.workers.polls.empty()) {
        REQUIRE(fixture.loop.run_one(fixture.loop.now() + seconds(5)));
    }
    CHECK(fixture.workers.last_poll_token == 9);
}
