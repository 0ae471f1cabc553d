#include "plantaindoor/policy/crash_isolation.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <string>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

const time_point start{std::chrono::hours(1)};
const service_id checks{"checks"};

waiting_suspect suspect(const std::string& job)
{
    return {.job = job_id(job), .service = checks};
}

/// Workers without runs.
isolation_pool empty_pool(std::size_t workers)
{
    isolation_pool pool{.workers = workers};
    for (std::size_t each = 0; each < workers; ++each) {
        pool.hosts.push_back({.worker = instance_id("w" + std::to_string(each)), .has_room = true});
    }
    return pool;
}

/// Chooses for all suspects in a round, as the scheduler does; returns the jobs started on each
/// worker.
std::map<instance_id, std::set<job_id>> place(crash_isolation& subject,
                                              const std::vector<waiting_suspect>& waiting,
                                              isolation_pool pool, time_point now)
{
    std::map<instance_id, std::set<job_id>> started;
    const std::size_t kept = pool.kept;
    for (const waiting_suspect& each : subject.begin_round(waiting, now)) {
        pool.kept = kept + started.size();
        const isolation_choice choice = subject.choose(each, pool);
        if (choice.start) {
            started[*choice.worker].insert(each.job);
            subject.note_started(each, *choice.worker);
        }
    }
    static_cast<void>(subject.end_round());
    return started;
}

std::vector<waiting_suspect> suspects(std::size_t count)
{
    std::vector<waiting_suspect> waiting;
    for (std::size_t each = 0; each < count; ++each) {
        waiting.push_back(suspect("j" + std::to_string(each)));
    }
    return waiting;
}

} // namespace

// Guards against a bound on isolated workers in a pool with room.
TEST_CASE("Each suspect starts on a worker of its own while there are enough")
{
    crash_isolation subject;
    CHECK(place(subject, suspects(12), empty_pool(12), start).size() == 12);
}

// Guards against isolation that takes the workers from tasks that aren't suspected.
TEST_CASE("Few workers are isolated in a full pool and while other tasks wait")
{
    const auto isolated = [](bool full, bool others_wait) {
        crash_isolation subject;
        isolation_pool pool = empty_pool(20);
        pool.full = full;
        pool.others_wait = others_wait;
        std::vector<waiting_suspect> waiting;
        for (int each = 0; each < 40; ++each) {
            waiting.push_back(suspect("j" + std::to_string(each)));
        }
        return place(subject, waiting, pool, start).size();
    };
    CHECK(isolated(false, false) == 20);
    CHECK(isolated(false, true) == 10);
    CHECK(isolated(true, false) == 5);
    CHECK(isolated(true, true) == 2);
}

// Guards against suspects that are lost with a culprit beside them, and then wait for another turn.
TEST_CASE("Suspects start on workers of their own, however few there are and long they wait")
{
    for (const milliseconds wait : {milliseconds(0), milliseconds(600), milliseconds(3000)}) {
        crash_isolation subject;
        const auto waiting = suspects(30);
        place(subject, waiting, isolation_pool{}, start);
        const auto started = place(subject, waiting, empty_pool(3), start + wait);
        CHECK(started.size() == 3);
        for (const auto& [worker, jobs] : started) {
            CHECK(jobs.size() == 1);
        }
    }
}

// Guards against a suspect that waits for an empty worker where none becomes empty.
TEST_CASE("The longer a suspect waits, the more neighbours it may have")
{
    const auto wait_for = [](isolation_host host, bool full = false) -> milliseconds {
        crash_isolation subject;
        host.worker = instance_id("w0");
        host.has_room = true;
        const isolation_pool pool{.hosts = {host}, .workers = 1, .full = full};
        for (milliseconds waited{0}; waited < seconds(5); waited += milliseconds(100)) {
            if (!place(subject, {suspect("j")}, pool, start + waited).empty()) {
                return waited;
            }
        }
        return milliseconds::max();
    };
    CHECK(wait_for({}) == milliseconds(0));
    CHECK(wait_for({.other_runs = 3, .youngest_age = seconds(3)}) == settled_neighbour_wait);
    CHECK(wait_for({.other_runs = 3, .youngest_age = milliseconds(200)}) == overdue_wait);
    CHECK(wait_for({.other_runs = 3, .youngest_age = milliseconds(200), .has_isolated = true}) ==
          last_resort_wait);
    CHECK(wait_for({.other_runs = 3, .youngest_age = milliseconds(100)}) == milliseconds::max());
    CHECK(wait_for({.other_runs = 3, .youngest_age = milliseconds(200)}, true) ==
          milliseconds::max());
    CHECK(wait_for({.other_runs = 1,
                    .youngest_age = seconds(2),
                    .has_isolated = true,
                    .has_last_start = true}) == milliseconds::max());
}

TEST_CASE("A worker with tasks of others is reserved for a suspect that finds no better one")
{
    crash_isolation subject;
    isolation_pool pool = empty_pool(2);
    pool.hosts[0].other_runs = 3;
    pool.hosts[1].other_runs = 1;
    const waiting_suspect waiting = suspect("j");
    static_cast<void>(subject.begin_round({waiting}, start));
    const isolation_choice choice = subject.choose(waiting, pool);
    CHECK_FALSE(choice.start);
    CHECK(choice.worker == instance_id("w1"));
    CHECK(subject.is_reserved(instance_id("w1")));
    static_cast<void>(subject.begin_round({waiting}, start));
    CHECK_FALSE(subject.is_reserved(instance_id("w1")));
}

TEST_CASE("A wait is reported once, and overdue suspects choose first")
{
    crash_isolation subject;
    const waiting_suspect first = suspect("first");
    const waiting_suspect second = suspect("second");
    const isolation_pool none;
    const auto round = [&](std::vector<waiting_suspect> waiting, milliseconds at) {
        auto order = subject.begin_round(std::move(waiting), start + at);
        for (const waiting_suspect& each : order) {
            static_cast<void>(subject.choose(each, none));
        }
        return order;
    };
    round({second}, milliseconds(0));
    CHECK(subject.end_round().empty());
    round({first, second}, reported_wait);
    const auto reported = subject.end_round();
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].job == second.job);
    CHECK(reported[0].position == 2);
    CHECK(reported[0].count == 2);
    CHECK(reported[0].reason == isolation_wait::no_free_worker);
    CHECK(round({first, second}, overdue_wait).front().job == second.job);
    CHECK(subject.end_round().empty());
    CHECK(subject.position_of(second.job)->position == 1);
    round({first}, overdue_wait);
    CHECK_FALSE(subject.position_of(second.job));
}

TEST_CASE("A culprit explains its crashes until its job is forgotten")
{
    crash_isolation subject;
    subject.note_culprit(job_id("bad"), {instance_id("w1"), instance_id("w2")});
    CHECK(subject.is_explained(instance_id("w1")));
    CHECK_FALSE(subject.is_explained(instance_id("w3")));
    subject.forget(job_id("bad"));
    CHECK_FALSE(subject.is_explained(instance_id("w2")));
}

// Guards against a crash that is held against the wrong one of two suspects.
TEST_CASE("No two suspects start together, whatever waits")
{
    std::mt19937 random(20261204);
    for (int round = 0; round < 500; ++round) {
        crash_isolation subject;
        std::vector<waiting_suspect> waiting;
        for (std::size_t left = 1 + random() % 40; left > 0; --left) {
            waiting.push_back(suspect("j" + std::to_string(left)));
        }
        isolation_pool pool = empty_pool(1 + random() % 20);
        pool.full = random() % 3 == 0;
        pool.others_wait = random() % 3 == 0;
        const isolation_pool none;
        place(subject, waiting, none, start);
        const auto started = place(subject, waiting, pool, start + milliseconds(random() % 3000));
        for (const auto& [worker, jobs] : started) {
            CHECK(jobs.size() == 1);
        }
        if (!pool.full && !pool.others_wait) {
            CHECK(started.size() == std::min(pool.workers, waiting.size()));
        }
    }
}
