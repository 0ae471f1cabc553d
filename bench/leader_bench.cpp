// Measures the processor time of a leader's decisions without a network, by size of its fleet:
// placement rounds, answers to starts, workers' reports, and progress to persist.
#include "arguments.hpp"

#include "plantaindoor/fleet/machine_planner.hpp"
#include "plantaindoor/job/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::job;

namespace {

constexpr milliseconds plan_period{6};
constexpr milliseconds poll_period{100};
constexpr milliseconds persist_period{30};
constexpr milliseconds machine_plan_period{100};
constexpr milliseconds run_time{800};
constexpr std::size_t services = 5;
constexpr std::uint32_t tasks_per_step = 8;
constexpr std::int64_t task_cpu_millis = 6200;
constexpr std::int64_t worker_cpu_millis = 64000;

/// The processor time that this thread has used.
nanoseconds processor_time()
{
    timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + nanoseconds(used.tv_nsec);
}

/// Sums the processor time of one kind of operation.
class operation_cost {
public:
    template<class Operation>
    auto measure(Operation operation)
    {
        const nanoseconds begin = processor_time();
        const auto add = [&] {
            m_total += processor_time() - begin;
            ++m_count;
        };
        if constexpr (std::is_void_v<decltype(operation())>) {
            operation();
            add();
        }
        else {
            auto result = operation();
            add();
            return result;
        }
    }

    [[nodiscard]] double total_seconds() const
    {
        return std::chrono::duration<double>(m_total).count();
    }
    [[nodiscard]] double mean_us() const
    {
        return m_count == 0 ? 0 : total_seconds() * 1e6 / double(m_count);
    }

private:
    nanoseconds m_total{0};
    std::uint64_t m_count = 0;
};

/// Workers that run every task for run_time, and one leader's scheduler and machine planner.
class simulated_shard {
public:
    simulated_shard(std::size_t workers, double starts_per_second, bool interference,
                    std::size_t backlog)
        : m_interference(interference),
          m_scheduler({.former_services_known = true}, m_now),
          m_planner({}),
          m_jobs_per_second(starts_per_second / (2 * tasks_per_step))
    {
        std::vector<queue_policy> queues;
        std::vector<fleet::pool_settings> pools;
        for (std::size_t service = 0; service < services; ++service) {
            queues.push_back({.name = service_name(service),
                              .service = service_id(service_name(service)),
                              .max_attempts = 3,
                              .stretch = 1.6,
                              .target_latency = milliseconds(600)});
            pools.push_back({.id = service_id(service_name(service))});
        }
        m_scheduler.set_queues(queues);
        m_planner.set_pools(pools);
        for (std::size_t number = 0; number < workers; ++number) {
            add_worker(number);
        }
        m_scheduler.note_live_workers({}, list_extent::complete, m_now);
        m_planner.note_machine_list(m_machines, m_now, list_extent::complete);
        for (std::size_t job = 0; job < backlog; ++job) {
            submit({.count = tasks_per_step,
                    .need = {.cpu_millis = worker_cpu_millis + 1, .memory_mb = 1000},
                    .estimate = run_time});
        }
    }

    void run(seconds time)
    {
        const time_point until = m_now + time;
        while (m_now < until) {
            m_now += plan_period;
            submit_due();
            if (m_now >= m_next_poll) {
                m_next_poll = m_now + poll_period;
                report_all();
            }
            start(plan_cost.measure([this] { return m_scheduler.plan(m_now, wall_time()); }));
            if (m_now >= m_next_persist) {
                m_next_persist = m_now + persist_period;
                persist();
            }
            if (m_now >= m_next_machine_plan) {
                m_next_machine_plan = m_now + machine_plan_period;
                machine_plan_cost.measure([this] { (void)m_planner.plan(m_now, m_scheduler); });
            }
            (void)m_scheduler.take_decisions();
        }
    }

    operation_cost plan_cost;
    operation_cost start_cost;
    operation_cost report_cost;
    operation_cost persist_cost;
    operation_cost machine_plan_cost;
    std::uint64_t starts = 0;
    std::size_t open_jobs = 0;

    [[nodiscard]] learned_figures learned() const { return m_scheduler.learned(); }

private:
    struct simulated_run {
        run_name run;
        time_point ends{};
        std::string image;
    };
    struct simulated_worker {
        instance_id id;
        std::vector<simulated_run> running;
        std::vector<ended_run> ended;
        std::uint64_t sequence = 0;
    };

    static std::string service_name(std::size_t service) { return fmt::format("s{}", service); }

    void add_worker(std::size_t number)
    {
        const instance_id id(fmt::format("i-{:08x}", number));
        const service_id service(service_name(number % services));
        const std::string machine = fmt::format("m-{:05x}", number);
        m_scheduler.note_worker_listed(
            {.id = id,
             .service = service,
             .address = fmt::format("10.0.{}.{}:80", number / 200, number % 200),
             .machine = machine,
             .capacity = {.cpu_millis = worker_cpu_millis, .memory_mb = 1 << 18}},
            m_now);
        m_machines.push_back({.machine = machine, .pool = service, .worker = id});
        m_workers[id].id = id;
    }

    void submit_due()
    {
        m_due += m_jobs_per_second * std::chrono::duration<double>(plan_period).count();
        for (; m_due >= 1; m_due -= 1) {
            submit({.count = tasks_per_step,
                    .need = {.cpu_millis = task_cpu_millis, .memory_mb = 1000},
                    .estimate = run_time});
        }
    }

    /// Submits a job of two such steps.
    void submit(const step_spec& step)
    {
        auto spec = std::make_shared<job_spec>();
        spec->steps = {step, step};
        spec->steps[1].depends_on = {0};
        ++m_jobs;
        if (m_interference) {
            // Services are assigned by the remainder too, so the divisors are coprime.
            spec->steps[0].image = spec->steps[1].image = fmt::format("k{}", m_jobs % 4);
        }
        m_scheduler.submit(
            job_id(fmt::format("{:016x}", m_jobs)),
            {.queue = service_name(m_jobs % services), .spec = std::move(spec), .at = m_now});
    }

    void start(const orders& given)
    {
        for (const start_order& order : given.starts) {
            auto& running = m_workers[order.worker].running;
            const std::string& image = order.spec->steps[order.run.task.step].image;
            const bool slowed =
                image == "k0" && std::any_of(running.begin(), running.end(),
                                             [](const auto& each) { return each.image == "k1"; });
            running.push_back({order.run, m_now + run_time * (slowed ? 2 : 1), image});
            start_cost.measure([&] {
                m_scheduler.note_start(order.worker, order.run, order_answer::accepted, m_now);
            });
            ++starts;
        }
    }

    void report_all()
    {
        for (auto& entry : m_workers) {
            simulated_worker& worker = entry.second;
            const poll_order poll = m_scheduler.next_poll(worker.id, m_now);
            std::erase_if(worker.ended,
                          [&](const ended_run& end) { return end.sequence <= poll.acknowledged; });
            std::erase_if(worker.running, [&worker, this](const simulated_run& each) {
                if (each.ends > m_now) {
                    return false;
                }
                worker.ended.push_back({.sequence = ++worker.sequence,
                                        .run = each.run,
                                        .end_reason = run_end_reason::done});
                return true;
            });
            worker_report report{.worker_clock = milliseconds(1), .ended = {worker.ended}};
            for (const simulated_run& each : worker.running) {
                report.running.push_back({.run = each.run, .percent = 100});
            }
            report_cost.measure([&] {
                m_scheduler.note_report(worker.id, report, m_now - milliseconds(2), m_now);
            });
        }
    }

    void persist()
    {
        open_jobs = std::max(open_jobs, m_scheduler.open_count());
        persist_cost.measure([this] {
            for (const job_id& id : m_scheduler.begin_persist()) {
                const job_record* const job = m_scheduler.find(id);
                if (job != nullptr && !job->progress().empty() && is_terminal(job->state())) {
                    m_completed.push_back(id);
                }
            }
            m_scheduler.note_persisted();
        });
        for (const job_id& id : std::exchange(m_completed, {})) {
            m_scheduler.remove_job(id);
        }
    }

    bool m_interference = false;
    time_point m_now{seconds(1000)};
    scheduler m_scheduler;
    fleet::machine_planner m_planner;
    std::vector<fleet::machine_info> m_machines;
    std::map<instance_id, simulated_worker> m_workers;
    std::vector<job_id> m_completed;
    double m_jobs_per_second = 0;
    double m_due = 0;
    std::uint64_t m_jobs = 0;
    time_point m_next_poll{};
    time_point m_next_persist{};
    time_point m_next_machine_plan{};
};

void print_row(std::size_t workers, double starts_per_second, seconds time, bool interference,
               std::size_t backlog)
{
    simulated_shard shard(workers, starts_per_second, interference, backlog);
    shard.run(time);
    const double run_seconds = std::chrono::duration<double>(time).count();
    const double per_start =
        (shard.plan_cost.total_seconds() + shard.start_cost.total_seconds() +
         shard.report_cost.total_seconds() + shard.persist_cost.total_seconds()) *
        1e6 / std::max<double>(1, double(shard.starts));
    std::cout << fmt::format(
        "| {} | {:.0f} | {} | {:.0f} | {:.2f} | {:.1f} | {:.0f} | {:.0f} | {:.1f} | {:.1f}% | {} "
        "|\n",
        workers, double(shard.starts) / run_seconds, shard.open_jobs, shard.plan_cost.mean_us(),
        shard.start_cost.mean_us(), shard.report_cost.mean_us(), shard.persist_cost.mean_us(),
        shard.machine_plan_cost.mean_us(), per_start,
        (per_start * double(shard.starts) / 1e6 + shard.machine_plan_cost.total_seconds()) * 100 /
            run_seconds,
        shard.learned().interfering_pairs);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("leader_bench", "Processor time of a leader's decisions\n");
    options.add_options()("seconds", "simulated time of each row",
                          cxxopts::value<int>()->default_value("5"));
    options.add_options()("backlog", "jobs that wait all the time, as no worker is large enough",
                          cxxopts::value<std::size_t>()->default_value("0"));
    options.add_options()("interference",
                          "tasks of one of four images take twice as long beside another image");
    const auto arguments = bench::parse_or_exit(options, argc, argv);
    const seconds time(arguments["seconds"].as<int>());
    const bool interference = arguments.count("interference") > 0;
    const auto backlog = arguments["backlog"].as<std::size_t>();
    std::cout << "| workers | starts/s | open jobs, most | round us | start us | report us | "
                 "persist us | machine plan us | per start us | of a core | pairs known |\n"
                 "|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const std::size_t workers : {130, 350, 1100, 1700}) {
        for (const double starts_per_worker : {0.0, 3.0, 6.0}) {
            print_row(workers, starts_per_worker * double(workers), time, interference, backlog);
        }
    }
    return 0;
}
