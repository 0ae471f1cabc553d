// Departures of workers beside restarts, waves, caps and other jobs.
#include "contended_pool.hpp"
#include "incarnation_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

step_spec one_per_worker(std::uint32_t count)
{
    return {.count = count,
            .need = {.cpu_millis = 9600, .memory_mb = 34000},
            .max_per_worker = 1,
            .long_running = true};
}

job_id run_on_each(contended_pool& pool, std::uint32_t tasks)
{
    pool.announces_remaining = true;
    for (std::uint32_t each = 0; each < tasks; ++each) {
        pool.add_worker();
    }
    const job_id job = pool.submit(one_per_worker(tasks), "serving");
    pool.advance(milliseconds(500));
    pool.longest_wait.clear();
    return job;
}

} // namespace

// Guards against a task that is stopped for a place which a later job then takes, though its worker
// would have stayed for seconds.
TEST_CASE("the room kept for a task that leaves isn't given to a job submitted after its stop")
{
    contended_pool pool;
    const job_id job = run_on_each(pool, 4);
    pool.add_worker();
    pool.drain(pool.workers_of(job).front());
    pool.advance(contended_pool::tick);
    // The stop is under way.
    REQUIRE(pool.ended.empty());
    static_cast<void>(pool.submit(one_per_worker(1), "serving"));
    pool.advance(seconds(3));
    CHECK(pool.workers_of(job).size() == 4);
}
