// Jobs that are cancelled before they are accepted.
#include "fleet_simulation.hpp"
#include "plantaindoor/fleet/job_request_handler.hpp"
#include "plantaindoor/fleet/job_rows.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

const job_id cancelled_id{"00000000000000aa"};
constexpr milliseconds caller_patience{600};
/// After which the store has executed all late writes, and no request is being tried any more.
constexpr seconds settling_time{20};

/// An entry that leads no shard and answers callers.
struct request_entry {
    entry_store store;
    connection::http_client client;
    job_writer writer;
    job_request_handler handler;

    request_entry(fakes::virtual_loop& loop, memory_rows& rows, std::mt19937_64& random)
        : store(loop, loop, rows, random),
          client(loop),
          writer(loop, store, {}),
          handler(loop, store, client, writer)
    {
        handler.set_layout(std::make_shared<const shard_layout>());
    }
};

struct withdrawn_job_fixture {
    fakes::virtual_loop loop;
    memory_rows rows{loop};
    std::mt19937_64 random{7};
    request_entry first{loop, rows, random};
    request_entry second{loop, rows, random};
    std::optional<job_write_outcome> submitted;
    std::optional<cancel_outcome> cancelled;
    bool caller_gone = false;

    void submit(request_entry& at)
    {
        at.handler.submit(
            cancelled_id, {.queue = "q", .accepted = loop.wall_now(), .body = "{}"},
            {.deadline = loop.now() + seconds(4), .caller_gone = [this] { return caller_gone; }},
            [this](job_write_outcome outcome) { submitted = outcome; });
    }

    void cancel(request_entry& at)
    {
        at.handler.cancel("q", cancelled_id, loop.now() + seconds(4),
                          [this](cancel_outcome outcome) { cancelled = outcome; });
    }

    std::optional<state_answer> state(request_entry& at)
    {
        std::optional<state_answer> answer;
        at.handler.state("q", cancelled_id, [&](const state_answer& found) { answer = found; });
        loop.run_for(seconds(2));
        return answer;
    }

    /// Whether a leader would run the job.
    [[nodiscard]] bool runs() const
    {
        const stored_row* const accepted = rows.find(accepted_address(0, cancelled_id));
        return accepted != nullptr && parse_accepted_job(accepted->value) &&
               rows.find(cancelled_address(0, cancelled_id)) == nullptr;
    }
};

} // namespace

// Guards against UNASKED: the cancellation of a job without rows was answered with "no such job",
// and a retry or a late write of its submission was accepted afterwards.
TEST_CASE("a job whose cancellation was acknowledged isn't accepted afterwards")
{
    withdrawn_job_fixture fixture;
    const auto fault = GENERATE(store_fault::late, store_fault::lost_answer, store_fault::refusing,
                                store_fault::unresponsive, store_fault::refusing_part);
    INFO("fault " << static_cast<int>(fault));
    fixture.first.store.set_fault(fault);
    fixture.submit(fixture.first);
    fixture.loop.run_for(caller_patience);
    fixture.cancel(fixture.second);
    fixture.loop.run_for(seconds(1));
    REQUIRE(fixture.cancelled);
    CHECK((fixture.cancelled == cancel_outcome::no_such_job ||
           fixture.cancelled == cancel_outcome::cancelled));
    fixture.first.store.set_fault(store_fault::none);
    fixture.loop.run_for(settling_time);
    CHECK_FALSE(fixture.runs());

    const auto found = fixture.state(fixture.second);
    REQUIRE(found);
    CHECK(found->available);
    CHECK(found->state.has_value() == (fixture.cancelled == cancel_outcome::cancelled));
}

TEST_CASE("a submission that arrives after its cancellation is rejected, at any entry")
{
    withdrawn_job_fixture fixture;
    fixture.cancel(fixture.first);
    fixture.loop.run_for(seconds(1));
    REQUIRE(fixture.cancelled == cancel_outcome::no_such_job);
    for (request_entry* const at : {&fixture.first, &fixture.second}) {
        fixture.submit(*at);
        fixture.loop.run_for(seconds(1));
        CHECK(fixture.submitted == job_write_outcome::withdrawn);
    }
    CHECK_FALSE(fixture.runs());
    fixture.cancel(fixture.second);
    fixture.loop.run_for(seconds(1));
    CHECK(fixture.cancelled == cancel_outcome::no_such_job);
}

// Guards against both requests in one transaction, of which the store would keep the later write.
TEST_CASE("a submission and its cancellation that wait at one entry cancel the job")
{
    withdrawn_job_fixture fixture;
    fixture.first.store.set_fault(store_fault::refusing_commits);
    fixture.submit(fixture.first);
    fixture.cancel(fixture.first);
    fixture.loop.run_for(seconds(1));
    CHECK_FALSE(fixture.cancelled);
    fixture.first.store.set_fault(store_fault::none);
    fixture.loop.run_for(settling_time);
    CHECK(fixture.submitted == job_write_outcome::persisted);
    CHECK(fixture.cancelled == cancel_outcome::cancelled);
    CHECK_FALSE(fixture.runs());
}

// Guards against a job that is accepted though nobody waits for it any more.
TEST_CASE("a submission isn't tried again once its caller has left")
{
    withdrawn_job_fixture fixture;
    fixture.first.store.set_fault(store_fault::refusing);
    fixture.submit(fixture.first);
    fixture.loop.run_for(caller_patience);
    REQUIRE_FALSE(fixture.submitted);
    fixture.caller_gone = true;
    fixture.first.store.set_fault(store_fault::none);
    fixture.loop.run_for(seconds(1));
    CHECK(fixture.submitted == job_write_outcome::not_persisted);
    CHECK_FALSE(fixture.runs());
}

TEST_CASE("the row of a withdrawn job is removed once no late request can arrive")
{
    fleet_simulation world(1);
    world.run_for(seconds(2));
    std::optional<job_write_outcome> outcome;
    world.entry(0).writer().withdraw(0, cancelled_id, time_point::max(),
                                     [&](job_write_outcome result) { outcome = result; });
    world.run_for(fleet_simulation::state_retention_time - seconds(1));
    REQUIRE(outcome == job_write_outcome::persisted);
    CHECK(world.rows().find(accepted_address(0, cancelled_id)) != nullptr);
    world.run_for(seconds(3));
    CHECK(world.rows().find(accepted_address(0, cancelled_id)) == nullptr);
}

// Guards against rows without a bound.
TEST_CASE("beyond a number of withdrawn jobs the rows of the oldest are removed")
{
    withdrawn_job_fixture fixture;
    withdrawn_jobs subject(fixture.loop, fixture.first.store,
                           {.retention = std::chrono::hours(1), .max_rows = 2});
    for (const char* const id : {"a", "b", "c"}) {
        const row_address at = accepted_address(0, job_id(id));
        fixture.rows.put(at, std::string(withdrawn_row_value));
        subject.note_row(*fixture.rows.find(at));
    }
    subject.tick();
    fixture.loop.run_for(seconds(1));
    CHECK(fixture.rows.find(accepted_address(0, job_id("a"))) == nullptr);
    CHECK(fixture.rows.find(accepted_address(0, job_id("b"))) != nullptr);
}
