#include "plantaindoor/job/predecessor_doubt.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr time_point detected = start + seconds(1);
constexpr time_point lease_bound = start + seconds(8);
const service_id checks{"checks"};
const service_id essays{"essays"};
const instance_id w1{"w1"};
const instance_id w2{"w2"};

struct doubt_fixture {
    predecessor_doubt subject{
        {.detected = detected, .lease_bound = lease_bound, .former_services_known = true}};
    predecessor_doubt::worker_records workers;
    const queue_policy queue{.name = "q", .service = checks};

    worker_record& add(const instance_id& id, const service_id& service = checks)
    {
        worker_record& added = workers[id];
        added.listing = {.id = id, .service = service};
        added.listed = true;
        return added;
    }
    void note_live(const std::map<instance_id, service_id>& live, time_point now,
                   list_extent extent = list_extent::complete)
    {
        subject.note_live_workers(live, extent, workers, now);
    }
    void report_all(const instance_id& id)
    {
        workers.at(id).predecessor_runs_known = true;
        subject.note_runs_known(id);
    }
};

} // namespace

// Guards against TWICE: tasks placed before it is known which workers may run them.
TEST_CASE("every queue is in doubt until live workers are reported or all leases have expired")
{
    doubt_fixture fixture;
    fixture.add(w1);
    fixture.note_live({}, start, list_extent::partial);
    CHECK(fixture.subject.concerns(fixture.queue, start));
    CHECK(fixture.subject.concerns(fixture.queue, lease_bound - milliseconds(1)));
    CHECK_FALSE(fixture.subject.exists(lease_bound));
}

// Guards against TWICE: tasks placed while one of several workers hasn't reported yet.
TEST_CASE("the doubt ends when all workers of a service have reported")
{
    doubt_fixture fixture;
    fixture.add(w1);
    fixture.note_live({{w2, checks}}, start);
    fixture.report_all(w1);
    CHECK(fixture.subject.concerns(fixture.queue, start));
    fixture.add(w2);
    fixture.report_all(w2);
    CHECK_FALSE(fixture.subject.exists(start));
    fixture.note_live({{w1, checks}, {w2, checks}}, start);
    CHECK_FALSE(fixture.subject.exists(start));
}

// Guards against tasks that wait for a worker of a service that never ran them, and against TWICE
// where a queue has changed its service.
TEST_CASE("a worker concerns the queues whose tasks its service runs or has run")
{
    doubt_fixture fixture;
    fixture.note_live({{w1, essays}}, start);
    CHECK(fixture.subject.exists(start));
    CHECK_FALSE(fixture.subject.concerns(fixture.queue, start));
    CHECK(fixture.subject.concerns({.name = "q", .service = checks, .former_services = {essays}},
                                   start));

    predecessor_doubt unknown_services({.detected = detected, .lease_bound = lease_bound});
    unknown_services.note_live_workers({{w1, essays}}, list_extent::complete, {}, start);
    CHECK(unknown_services.concerns(fixture.queue, start));
}

// Guards against TWICE on workers that a replaced leader discovers before it detects that, and
// against tasks that wait for workers that start later.
TEST_CASE("only workers that start before the predecessor detects its replacement are in doubt")
{
    doubt_fixture fixture;
    fixture.note_live({}, start);
    CHECK_FALSE(fixture.subject.exists(start));
    fixture.note_live({{w1, checks}}, detected - milliseconds(1));
    CHECK(fixture.subject.exists(detected));
    fixture.report_all(fixture.add(w1).listing.id);
    fixture.note_live({{w1, checks}, {w2, checks}}, detected);
    CHECK_FALSE(fixture.subject.exists(detected));
}

// Guards against tasks that wait for a row without a machine or for a worker that has ended.
TEST_CASE("a worker that doesn't exist is not in doubt")
{
    doubt_fixture fixture;
    worker_record& listed = fixture.add(w1);
    fixture.note_live({{w2, checks}}, start);
    fixture.note_live({}, detected);
    CHECK(fixture.subject.exists(detected));
    listed.lists_without_machine = 2;
    fixture.note_live({{w1, checks}}, detected);
    CHECK(fixture.subject.exists(detected));
    fixture.note_live({}, detected, list_extent::partial);
    CHECK(fixture.subject.exists(detected));
    fixture.note_live({}, detected);
    CHECK_FALSE(fixture.subject.exists(detected));
}

// Guards against TWICE: a worker that lists its ends in parts may have done tasks long ago.
TEST_CASE("a worker with ends that it couldn't list yet is in doubt after its leases expired")
{
    doubt_fixture fixture;
    worker_record& worker = fixture.add(w1);
    worker.token_acknowledged = true;
    worker.has_unlisted_ends = true;
    fixture.add(w2, essays);
    fixture.note_live({}, start);
    fixture.subject.drop_lapsed(fixture.workers, lease_bound);
    CHECK(fixture.subject.concerns(fixture.queue, lease_bound));
    CHECK_FALSE(fixture.subject.concerns({.name = "other", .service = essays}, lease_bound));

    worker.missed_polls = 1;
    worker.lease_bound = lease_bound + seconds(1);
    fixture.subject.drop_lapsed(fixture.workers, lease_bound + seconds(1));
    CHECK(fixture.subject.exists(lease_bound + seconds(1)));
    fixture.subject.drop_lapsed(fixture.workers, lease_bound + seconds(2));
    CHECK_FALSE(fixture.subject.exists(lease_bound + seconds(2)));
}
