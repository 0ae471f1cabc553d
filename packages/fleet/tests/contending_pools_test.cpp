// Pools that together need more machines than there are. Which one gets them must not depend on
// their names, by which containers sort them.
#include "plantaindoor/fleet/machine_planner.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr std::int64_t machine_cpu = 10'000;

/// Idle machines in pools; each pool has a queue of its name. Orders are accepted at once.
class contending_pools {
public:
    explicit contending_pools(const std::map<std::string, int>& machines_by_pool)
    {
        std::vector<job::queue_policy> queues;
        std::vector<pool_settings> pools;
        std::vector<machine_info> machines;
        for (const auto& [name, count] : machines_by_pool) {
            queues.push_back({.name = name,
                              .service = service_id(name),
                              .max_attempts = 3,
                              .stretch = 3,
                              .target_latency = seconds(1)});
            pools.push_back({.id = service_id(name)});
            for (int each = 0; each < count; ++each) {
                machines.push_back(add_machine(service_id(name)));
            }
        }
        m_scheduler.set_queues(queues);
        m_scheduler.note_live_workers({}, list_extent::complete, start);
        m_planner.set_pools(pools);
        m_planner.note_machine_list(machines, start, list_extent::complete);
    }

    void submit(const std::string& pool, const job::step_spec& step)
    {
        auto spec = std::make_shared<job::job_spec>();
        spec->steps = {step};
        m_scheduler.submit(job_id("j" + std::to_string(++m_jobs)),
                           {.queue = pool, .spec = std::move(spec), .at = m_now});
    }

    /// A tenth of a second later; nothing starts meanwhile.
    void plan_round()
    {
        for (const machine_order& each : m_planner.plan(m_now, m_scheduler).orders) {
            m_scheduler.note_worker_ended(each.worker, job::worker_end::order, m_now);
            m_planner.note_answer(each, machine_answer::accepted, m_now);
            ++moved;
        }
        m_now += milliseconds(100);
    }

    /// The tasks that wait now count as waiting from now on.
    void note_waiting() { static_cast<void>(m_scheduler.plan(m_now, wall_time{})); }

    [[nodiscard]] std::uint32_t present(const std::string& pool) const
    {
        return m_planner.pools().at(service_id(pool)).present;
    }

    std::size_t moved = 0;

private:
    machine_info add_machine(const service_id& pool)
    {
        const std::string number = std::to_string(100 + m_machines++);
        const job::worker_listing listing{
            .id = instance_id("w" + number),
            .service = pool,
            .address = "10.0.0.1:" + number,
            .machine = "m" + number,
            .capacity = {.cpu_millis = machine_cpu, .memory_mb = 1000}};
        m_scheduler.note_worker_listed(listing, start);
        m_scheduler.note_report(listing.id, {.worker_clock = milliseconds(1)}, start, start);
        return {.machine = listing.machine, .pool = pool, .worker = listing.id};
    }

    job::scheduler m_scheduler{{}, start};
    machine_planner m_planner{{}};
    time_point m_now = start;
    int m_machines = 0;
    int m_jobs = 0;
};

/// All assignments of three names to three pools.
std::vector<std::vector<std::string>> permuted_names()
{
    std::vector<std::string> names{"a", "b", "c"};
    std::vector<std::vector<std::string>> all;
    do {
        all.push_back(names);
    } while (std::next_permutation(names.begin(), names.end()));
    return all;
}

constexpr job::step_spec long_running(std::uint32_t count)
{
    return {.count = count,
            .need = {.cpu_millis = 9000, .memory_mb = 100},
            .max_per_worker = 1,
            .long_running = true};
}

} // namespace

// Guards against a pool whose jobs wait without a bound as others keep what they have, and what is
// free goes to the name that sorts first.
TEST_CASE("pools that want more machines than there are get equal parts whatever their names")
{
    for (const auto& names : permuted_names()) {
        INFO(names[0] << " has nine machines, " << names[1] << " two, " << names[2] << " one");
        contending_pools pools({{names[0], 9}, {names[1], 2}, {names[2], 1}});
        for (int round = 0; round < 20; ++round) {
            for (const std::string& name : names) {
                pools.submit(name,
                             {.count = 10, .need = {.cpu_millis = 1000}, .estimate = seconds(1)});
            }
            pools.plan_round();
        }
        for (const std::string& name : names) {
            CHECK(pools.present(name) >= 3);
            CHECK(pools.present(name) <= 5);
        }
        CHECK(pools.moved <= 6);
    }
}

// Guards against a pool that keeps machines for jobs that are long too late, while another lacks
// them for jobs that could be in time.
TEST_CASE("machines go to work that can be in time before a backlog that can't")
{
    for (const auto& names : permuted_names()) {
        INFO(names[0] << " has the backlog, " << names[1] << " the work");
        contending_pools pools({{names[0], 9}, {names[1], 1}});
        pools.submit(names[0],
                     {.count = 500, .need = {.cpu_millis = 1000}, .estimate = seconds(1)});
        for (int round = 0; round < 150; ++round) {
            pools.plan_round();
        }
        for (int round = 0; round < 10; ++round) {
            pools.submit(names[1],
                         {.count = 6, .need = {.cpu_millis = 1000}, .estimate = seconds(1)});
            pools.plan_round();
        }
        CHECK(pools.present(names[1]) >= 6);
        CHECK(pools.present(names[0]) >= 1);
    }
}

// Guards against long-running tasks that wait while those of the pool that sorts first take all
// machines.
TEST_CASE("pools that long-running tasks wait in get machines in turn whatever their names")
{
    for (const auto& names : permuted_names()) {
        INFO(names[0] << " gives, the tasks of " << names[1] << " have waited longest");
        contending_pools pools({{names[0], 5}, {names[1], 0}, {names[2], 0}});
        pools.submit(names[1], long_running(4));
        pools.note_waiting();
        pools.submit(names[2], long_running(4));
        pools.note_waiting();
        pools.plan_round();
        CHECK(pools.present(names[1]) == 2);
        CHECK(pools.present(names[2]) == 2);
    }
}
