// Long-running tasks of a shard whose workers leave while another shard has room for the tasks.
#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

/// How long a long-running task may be without a run while the deployment has room for it.
constexpr milliseconds longest_allowed_wait{6000};
constexpr milliseconds sample_time{100};
constexpr milliseconds drain_time{5000};

model_job long_running_job()
{
    auto spec = std::make_shared<job::job_spec>();
    spec->steps.push_back(
        {.count = 1, .need = {.cpu_millis = 500, .memory_mb = 100}, .long_running = true});
    return {.spec = std::move(spec)};
}

/// Two workers for each of two shards, or four for a single one, and a long-running task of
/// shard 0.
class two_rack_fleet {
public:
    two_rack_fleet(std::uint64_t seed, shard_number shards,
                   fleet_simulation::machine_transfers transfers)
        : m_world(seed, fleet_simulation::machine_list::answers, shards, {}, transfers)
    {
        m_world.run_for(seconds(2));
        do {
            m_task.job = m_world.submit(long_running_job());
        } while (m_world.shard_of(m_task.job) != 0);
        m_world.run_for(seconds(2));
    }

    [[nodiscard]] std::optional<instance_id> worker()
    {
        return m_world.workers().worker_of(m_task);
    }

    /// The worker that runs the task announces that it leaves.
    void retire_worker()
    {
        for (std::size_t each = 0; each < fleet_simulation::worker_count; ++each) {
            if (m_world.worker_id(each) == worker()) {
                m_world.retire_worker(each, drain_time);
            }
        }
    }

    void run_for(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += sample_time) {
            m_world.run_for(sample_time);
            m_wait = worker() ? milliseconds(0) : m_wait + sample_time;
            m_longest_wait = std::max(m_longest_wait, m_wait);
        }
    }

    [[nodiscard]] milliseconds longest_wait() const { return m_longest_wait; }
    [[nodiscard]] fleet_simulation& world() { return m_world; }

private:
    fleet_simulation m_world;
    job::task_name m_task;
    milliseconds m_wait{0};
    milliseconds m_longest_wait{0};
};

/// Two of the four workers leave; each runs the task when it announces that.
void check_departures(shard_number shards, fleet_simulation::machine_transfers transfers =
                                               fleet_simulation::machine_transfers::disabled)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed << ", " << shards << " shards");
        two_rack_fleet fleet(seed, shards, transfers);
        REQUIRE(fleet.worker());
        fleet.retire_worker();
        fleet.run_for(seconds(8));
        REQUIRE(fleet.worker());
        fleet.retire_worker();
        fleet.run_for(seconds(30));
        CHECK(fleet.worker());
        CHECK(fleet.longest_wait() < longest_allowed_wait);
        CHECK(fleet.world().workers().violations().empty());
    }
}

} // namespace

// Guards against a long-running task that stays without a run though its shard has workers left.
TEST_CASE("a long-running task runs on while the workers that run it leave")
{
    check_departures(1);
}

// Guards against a long-running task that waits for ever for a worker of its own shard, which has
// lost all of them, while another shard has room for it.
TEST_CASE("a long-running task runs on when all workers of its shard leave", "[.][two_shards]")
{
    check_departures(2);
}

// Guards against the same where the shards give each other machines.
TEST_CASE("a long-running task runs on in a machine of another shard")
{
    check_departures(2, fleet_simulation::machine_transfers::enabled);
}
