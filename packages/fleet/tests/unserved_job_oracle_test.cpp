// Checks of the oracle itself, on workers that a test starts runs on by hand.
#include "unserved_job_oracle.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace plantaindoor;
using namespace plantaindoor::fleet;
using namespace plantaindoor::fleet::testing;

namespace {

const service_id service{"checks"};
constexpr milliseconds sample_time{100};
constexpr job::resources task_need{.cpu_millis = 1000, .memory_mb = 100};

struct oracle_fixture {
    fakes::virtual_loop loop;
    std::mt19937_64 random{1};
    model_workers workers{loop, random};
    bool completed = false;
    unserved_job_oracle oracle{workers, [this](const job_id&) { return completed; }};

    void start_worker(const std::string& id)
    {
        workers.start_worker({.id = instance_id(id),
                              .service = service,
                              .address = id,
                              .capacity = {.cpu_millis = 4000, .memory_mb = 4000}});
    }
    job_id add_job(const std::string& name, const job::step_spec& step)
    {
        job_id id(name);
        auto spec = std::make_shared<job::job_spec>();
        spec->steps = {step};
        workers.add_job(id, {.spec = std::move(spec), .workspace = {}, .run_time = seconds(60)});
        oracle.add_job(id, service, loop.now());
        return id;
    }
    void start(const job_id& id, const std::string& worker, std::uint32_t index = 0)
    {
        job::start_order order;
        order.worker = instance_id(worker);
        order.run.task.job = id;
        order.run.task.index = index;
        order.run.attempt = 1;
        order.spec = workers.job(id).spec;
        order.deadline = seconds(10);
        REQUIRE(workers.start(order, 1, model_workers::arrival::prompt) ==
                job::order_answer::accepted);
    }
    void run_for(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += sample_time) {
            loop.run_for(sample_time);
            oracle.sample(loop.now());
        }
    }
};

} // namespace

TEST_CASE_METHOD(oracle_fixture, "a job that isn't placed though there is room is found")
{
    start_worker("w1");
    const job_id id = add_job("j1", {.count = 1, .need = task_need});
    run_for(seconds(3));
    CHECK(oracle.findings().empty());
    run_for(seconds(1));
    REQUIRE(oracle.findings().size() == 1);
    CHECK(oracle.findings()[0].job == id);
    CHECK(oracle.findings()[0].step == 0);
    CHECK(oracle.findings()[0].room == "w1 4; ");
    CHECK(oracle.longest_wait(service) == milliseconds(3900));
}

TEST_CASE_METHOD(oracle_fixture, "a job with a run isn't found, until that ends")
{
    start_worker("w1");
    const job_id id = add_job("j1", {.count = 2, .need = task_need});
    start(id, "w1");
    run_for(seconds(8));
    CHECK(oracle.findings().empty());
    CHECK(oracle.ready_tasks(service) == 1);
    // The lease of the run expires after 10 s.
    run_for(seconds(8));
    CHECK(oracle.findings().size() == 1);
}

TEST_CASE_METHOD(oracle_fixture, "room for one task isn't enough")
{
    start_worker("w1");
    static_cast<void>(add_job("j1", {.count = 1, .need = {.cpu_millis = 3000, .memory_mb = 100}}));
    run_for(seconds(10));
    CHECK(oracle.findings().empty());
    CHECK(oracle.longest_wait(service) == milliseconds(9900));
    start_worker("w2");
    run_for(seconds(4));
    CHECK(oracle.findings().size() == 1);
}

TEST_CASE_METHOD(oracle_fixture, "a worker that drains has no room")
{
    start_worker("w1");
    start_worker("w2");
    static_cast<void>(add_job("j1", {.count = 1, .need = {.cpu_millis = 3000, .memory_mb = 100}}));
    workers.drain_worker(instance_id("w2"));
    run_for(seconds(10));
    CHECK(oracle.findings().empty());
}

TEST_CASE_METHOD(oracle_fixture, "ordinary jobs may wait while half of a service is in use")
{
    start_worker("w1");
    const job_id busy = add_job("j1", {.count = 2, .need = task_need});
    start(busy, "w1", 0);
    start(busy, "w1", 1);
    static_cast<void>(add_job("j2", {.count = 1, .need = task_need}));
    run_for(seconds(8));
    CHECK(oracle.findings().empty());
}

TEST_CASE_METHOD(oracle_fixture, "a long-running task is found nine seconds after its last run")
{
    start_worker("w1");
    start_worker("w2");
    const job_id id = add_job("j1", {.count = 2, .need = task_need, .long_running = true});
    start(id, "w1", 0);
    start(id, "w2", 1);
    run_for(seconds(5));
    workers.end_worker(instance_id("w2"));
    run_for(milliseconds(8900));
    CHECK(oracle.findings().empty());
    run_for(seconds(1));
    REQUIRE(oracle.findings().size() == 1);
    CHECK(oracle.findings()[0].task == std::optional(1U));
}

TEST_CASE_METHOD(oracle_fixture, "waits that overlap with a disruption don't count")
{
    start_worker("w1");
    static_cast<void>(add_job("j1", {.count = 1, .need = task_need}));
    run_for(seconds(2));
    oracle.note_disruption(loop.now());
    run_for(milliseconds(6900));
    CHECK(oracle.findings().empty());
    run_for(seconds(1));
    CHECK(oracle.findings().size() == 1);
}
