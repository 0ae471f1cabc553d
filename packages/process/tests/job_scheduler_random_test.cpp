// Random pools, rounds and ends of runs against a plainly written count of what is left.
#include "job_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace plantaindoor;
using namespace plantaindoor::process;
using version::instance_state;
using version::priority;

namespace {

struct left_over {
    double processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;
};

bool fits(const left_over& left, const job_size& size)
{
    return size.processors <= left.processors && left.slots > 0 &&
           static_cast<std::int64_t>(size.memory_mb) <= left.memory_mb &&
           size.accelerators <= left.accelerators;
}

left_over capacity_of(const version::instance& each)
{
    return {each.processors, static_cast<std::int64_t>(each.memory_mb), each.accelerators,
            each.slots};
}

bool holds_worker(const job& row)
{
    return row.state == job_state::placed || row.state == job_state::stopping;
}

/// Counted anew over all jobs for each worker.
std::map<instance_id, left_over> naive_room(const job_world& world)
{
    std::map<instance_id, left_over> room;
    for (const auto& [id, each] : world.whole.instances) {
        if (each.state != instance_state::admitted || each.moving) {
            continue;
        }
        left_over& left = room[id] = capacity_of(each);
        for (const auto& [name, row] : world.jobs) {
            if (holds_worker(row) && row.worker == id) {
                left.processors -= row.spec.declared.processors;
                left.memory_mb -= static_cast<std::int64_t>(row.spec.declared.memory_mb);
                left.accelerators -= row.spec.declared.accelerators;
                --left.slots;
            }
        }
    }
    return room;
}

team_usage naive_usage(const job_world& world, const team_id& team)
{
    const auto elsewhere = world.used_elsewhere.find(team);
    team_usage used = elsewhere == world.used_elsewhere.end() ? team_usage{} : elsewhere->second;
    for (const auto& [name, row] : world.jobs) {
        if (holds_worker(row) && row.spec.team == team) {
            used.processors += row.spec.declared.processors;
            used.accelerators += row.spec.declared.accelerators;
        }
    }
    return used;
}

bool within_quota(const version::team& quota, const team_usage& used)
{
    return (quota.max_job_processors == 0 || used.processors <= quota.max_job_processors) &&
           (quota.max_job_accelerators == 0 || used.accelerators <= quota.max_job_accelerators);
}

bool never_fits(const job_world& world, const job_size& size)
{
    for (const auto& [id, each] : world.whole.instances) {
        if (each.processors > 0 && fits(capacity_of(each), size)) {
            return false;
        }
    }
    return true;
}

bool never_runnable(const job_world& world, const job& row)
{
    const version::team& quota = world.whole.teams.at(row.spec.team);
    const team_usage alone{row.spec.declared.processors, row.spec.declared.accelerators};
    return never_fits(world, row.spec.declared) || !within_quota(quota, alone) ||
           (row.run == 0 && row.spec.deadline && *row.spec.deadline <= row.submitted);
}

job_world random_world()
{
    // Patience beyond the run: workers that are kept for aged jobs have a test of their own.
    job_world world(static_cast<std::size_t>(*rc::gen::inRange(1, 8)),
                    {.max_starts = 1000,
                     .patience = std::chrono::hours(100),
                     .interactive_patience = std::chrono::hours(100)});
    for (auto& [id, each] : world.whole.instances) {
        each.processors = *rc::gen::inRange(0, 9);
        each.memory_mb = static_cast<std::uint64_t>(*rc::gen::inRange(0, 9));
        each.accelerators = static_cast<std::uint32_t>(*rc::gen::inRange(0, 3));
        each.slots = static_cast<std::uint32_t>(*rc::gen::inRange(1, 5));
        each.rack = rack_id(*rc::gen::element<std::string>("r1", "r2"));
    }
    world.whole.teams[team_id("q")] = {
        .id = team_id("q"), .max_job_processors = 5, .max_job_accelerators = 1};
    world.used_elsewhere[team_id("q")].processors = *rc::gen::inRange(0, 4);
    return world;
}

void add_random_jobs(job_world& world, int round)
{
    for (int n = *rc::gen::inRange(0, 8); n > 0; --n) {
        const job_size size{.processors = static_cast<double>(*rc::gen::inRange(0, 10)),
                            .memory_mb = static_cast<std::uint64_t>(*rc::gen::inRange(0, 8)),
                            .accelerators = static_cast<std::uint32_t>(
                                *rc::gen::weightedElement<int>({{4, 0}, {1, 1}, {1, 2}})),
                            .run_time = seconds(*rc::gen::inRange(0, 100))};
        job& row = world.add("j" + std::to_string(round) + "-" + std::to_string(n),
                             static_cast<priority>(*rc::gen::inRange(0, 3)), size);
        row.spec.team = team_id(*rc::gen::element<std::string>("t", "q"));
        row.spec.kind = *rc::gen::element<std::string>("k", "l");
        row.spec.checkpoints = *rc::gen::arbitrary<bool>();
        if (*rc::gen::inRange(0, 8) == 0) {
            row.spec.deadline = row.submitted - seconds(1);
        }
    }
}

/// Ends some runs, lets some workers go and come.
void disturb(job_world& world)
{
    std::vector<job_id> ended;
    for (const auto& [id, row] : world.jobs) {
        const bool stopped = row.state == job_state::stopping;
        if (is_over(row.state) ||
            ((stopped || row.state == job_state::placed) && *rc::gen::inRange(0, 3) == 0)) {
            ended.push_back(id);
        }
    }
    for (const job_id& id : ended) {
        world.jobs.erase(id);
    }
    for (auto& [id, each] : world.whole.instances) {
        if (*rc::gen::inRange(0, 10) == 0) {
            each.state = *rc::gen::element(instance_state::admitted, instance_state::failed);
        }
    }
    world.now += seconds(*rc::gen::inRange(0, 20));
}

void check_refusals(const job_world& before, const std::vector<job_decision>& decisions)
{
    std::set<job_id> refused;
    for (const refuse_job& each : only<refuse_job>(decisions)) {
        refused.insert(each.job);
    }
    for (const auto& [id, row] : before.jobs) {
        if (row.state == job_state::waiting) {
            RC_ASSERT(refused.contains(id) == never_runnable(before, row));
        }
    }
}

/// What waits after the round would have fitted neither its quota nor any worker, whatever started.
void check_nothing_left_out(const job_world& after)
{
    const auto room = naive_room(after);
    for (const auto& [id, row] : after.jobs) {
        if (row.state != job_state::waiting) {
            continue;
        }
        team_usage used = naive_usage(after, row.spec.team);
        used.processors += row.spec.declared.processors;
        used.accelerators += row.spec.declared.accelerators;
        const version::team& quota = after.whole.teams.at(row.spec.team);
        const bool quota_processors =
            quota.max_job_processors == 0 || used.processors <= quota.max_job_processors;
        const bool quota_accelerators = row.spec.declared.accelerators == 0 ||
                                        quota.max_job_accelerators == 0 ||
                                        used.accelerators <= quota.max_job_accelerators;
        if (!quota_processors || !quota_accelerators) {
            continue;
        }
        for (const auto& [worker, left] : room) {
            RC_ASSERT(!after.takes_jobs(worker) || !fits(left, row.spec.declared));
        }
    }
}

/// Starts are told in order of class, and each fits what the ones before left.
void check_starts(const job_world& before, const std::vector<job_decision>& decisions)
{
    job_world so_far = before;
    priority last = priority::urgent;
    for (const start_job& each : only<start_job>(decisions)) {
        const job& row = before.jobs.at(each.job);
        RC_ASSERT(row.state == job_state::waiting);
        RC_ASSERT(row.spec.work_class >= last);
        last = row.spec.work_class;
        const auto room = naive_room(so_far);
        RC_ASSERT(room.contains(each.worker));
        RC_ASSERT(fits(room.at(each.worker), row.spec.declared));
        job& started = so_far.jobs.at(each.job);
        started.state = job_state::placed;
        started.worker = each.worker;
        const version::team& quota = so_far.whole.teams.at(row.spec.team);
        const team_usage used = naive_usage(so_far, row.spec.team);
        RC_ASSERT(quota.max_job_processors == 0 || used.processors <= quota.max_job_processors);
        RC_ASSERT(row.spec.declared.accelerators == 0 || quota.max_job_accelerators == 0 ||
                  used.accelerators <= quota.max_job_accelerators);
    }
}

/// Only jobs that may be moved give way, each once, and only while an urgent one waits.
void check_vacated(const job_world& after, const std::vector<job_decision>& decisions)
{
    std::set<job_id> leaving;
    for (const vacate_job& each : only<vacate_job>(decisions)) {
        const job& row = after.jobs.at(each.job);
        RC_ASSERT(leaving.insert(each.job).second);
        RC_ASSERT(row.spec.checkpoints);
        RC_ASSERT(row.spec.work_class != priority::urgent);
    }
    RC_ASSERT(leaving.empty() || std::ranges::any_of(after.jobs, [](const auto& entry) {
                  return entry.second.state == job_state::waiting &&
                         entry.second.spec.work_class == priority::urgent;
              }));
}

} // namespace

TEST_CASE("random rounds never break capacity, quota, class or refusal", "[job_scheduler]")
{
    REQUIRE(rc::check([] {
        job_world world = random_world();
        for (int round = 0; round < 12; ++round) {
            add_random_jobs(world, round);
            const job_world before = world;
            const auto decisions = world.step();
            check_refusals(before, decisions);
            check_starts(before, decisions);
            check_vacated(world, decisions);
            if (only<vacate_job>(decisions).empty() && !world.anything_stopping()) {
                check_nothing_left_out(world);
            }
            RC_ASSERT(world.decide().empty() || !only<vacate_job>(decisions).empty());
            disturb(world);
        }
    }));
}

TEST_CASE("the same view and memory give the same decisions", "[job_scheduler]")
{
    REQUIRE(rc::check([] {
        job_world world = random_world();
        add_random_jobs(world, 0);
        job_world other = world;
        world.step();
        other.step();
        for (const auto& [id, row] : world.jobs) {
            RC_ASSERT(row == other.jobs.at(id));
        }
    }));
}

TEST_CASE("every job that can run ends at last, whatever keeps arriving", "[job_scheduler]")
{
    REQUIRE(rc::check([] {
        job_world world(3, {.patience = seconds(30)});
        world.add("large", priority::background, {.processors = 8, .run_time = seconds(10)});
        for (int second = 0; second < 200; ++second) {
            const int arrivals = *rc::gen::inRange(0, 8);
            for (int n = 0; n < arrivals; ++n) {
                world.add("s" + std::to_string(second) + "-" + std::to_string(n),
                          priority::background,
                          {.processors = static_cast<double>(*rc::gen::inRange(1, 5)),
                           .run_time = seconds(*rc::gen::inRange(1, 20))});
            }
            world.step();
            if (!world.place_of("large").empty()) {
                return;
            }
            world.now += seconds(1);
            std::erase_if(world.jobs, [&](const auto& entry) {
                const job& row = entry.second;
                return row.state == job_state::placed &&
                       world.now >= row.placed + row.spec.declared.run_time;
            });
        }
        RC_FAIL("the large job was starved");
    }));
}
