// Workers that run tasks of several kinds, some of which slow each other down, for the tests of
// what is learned from the pace of runs.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/neighbours.hpp"
#include "plantaindoor/policy/peer_pace.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace plantaindoor::policy {

struct simulated_run {
    kind_key kind = 0;
    step_key step = 0;
    run_key run = 0;
    double log_estimate = 0;
    double work = 0;
    double done = 0;
    time_point started{};
    time_point marked{};
    double marked_done = 0;
};

struct simulated_worker {
    worker_key key = 0;
    double slow_down = 1;
    std::vector<simulated_run> runs;
    recent_presences ended;
};

/// Advances in steps of 100 ms. Each second of a run, and its end, is a sample of its pace.
class simulated_pool {
public:
    using sample_handler =
        std::function<void(const simulated_worker&, const simulated_run&, const pace_sample&,
                           const std::vector<neighbour>& beside)>;

    simulated_pool(std::size_t count, std::uint64_t seed) : workers(count), random(seed)
    {
        for (std::size_t number = 0; number < count; ++number) {
            workers[number].key = 1000 + number;
        }
    }

    /// Starts a step of tasks on the workers that `choose` returns, as long as there is room.
    void start_step(kind_key kind, std::size_t tasks,
                    const std::function<simulated_worker*(kind_key)>& choose)
    {
        const step_key step = ++m_last_step;
        const double estimate = 1.0;
        const double mean = estimate * spread(estimate_error);
        for (std::size_t index = 0; index < tasks; ++index) {
            if (simulated_worker* const worker = choose(kind)) {
                worker->runs.push_back({.kind = kind,
                                        .step = step,
                                        .run = ++m_last_run,
                                        .log_estimate = std::log(estimate),
                                        .work = mean * spread(task_difference),
                                        .started = now,
                                        .marked = now});
            }
        }
    }

    simulated_worker* any_with_room()
    {
        simulated_worker& worker = workers[random() % workers.size()];
        return worker.runs.size() < slots ? &worker : nullptr;
    }

    void advance(const sample_handler& on_sample)
    {
        constexpr milliseconds tick{100};
        now += tick;
        for (simulated_worker& worker : workers) {
            for (simulated_run& run : worker.runs) {
                const double factor = slow_down_of(worker, run);
                run.done += 0.1 / (run.work * factor);
                m_slow_down_sum += factor;
                ++m_slow_down_count;
            }
            for (simulated_run& run : worker.runs) {
                const double part = std::min(run.done, 1.0) - run.marked_done;
                if (part >= 0.08 && (run.done >= 1 || now - run.marked >= seconds(1))) {
                    const double taken = std::chrono::duration<double>(now - run.marked).count();
                    on_sample(worker, run,
                              {.kind = run.kind,
                               .step = run.step,
                               .run = run.run,
                               .worker = worker.key,
                               .log_time = std::log(taken / part) - run.log_estimate},
                              neighbours_of(worker, run));
                    run.marked = now;
                    run.marked_done = run.done;
                }
            }
            for (const simulated_run& run : worker.runs) {
                if (run.done >= 1) {
                    worker.ended.add({run.kind, run.started, now});
                }
            }
            std::erase_if(worker.runs, [](const simulated_run& each) { return each.done >= 1; });
        }
    }

    /// Mean slow-down of all runs, by time, since the last call.
    double take_mean_slow_down()
    {
        const double mean = m_slow_down_sum / double(std::max<std::uint64_t>(m_slow_down_count, 1));
        m_slow_down_sum = 0;
        m_slow_down_count = 0;
        return mean;
    }

    std::vector<simulated_worker> workers;
    std::mt19937_64 random;
    time_point now{seconds(1000)};
    std::size_t slots = 6;
    /// Part by which estimates are off, and by which the tasks of a step differ.
    double estimate_error = 0.9;
    double task_difference = 0.3;
    /// Slow-down of the first kind by the second.
    std::map<std::pair<kind_key, kind_key>, double> slow_downs;

private:
    double spread(double part)
    {
        return std::uniform_real_distribution<double>(1 - part, 1 + part)(random);
    }

    std::vector<neighbour> neighbours_of(const simulated_worker& worker,
                                         const simulated_run& run) const
    {
        std::vector<neighbour> beside;
        const time_point middle = run.marked + (now - run.marked) / 2;
        for (const simulated_run& other : worker.runs) {
            if (other.run != run.run && other.started <= middle) {
                add_neighbour(beside, {.kind = other.kind});
            }
        }
        worker.ended.collect(beside, middle);
        return beside;
    }

    double slow_down_of(const simulated_worker& worker, const simulated_run& run) const
    {
        double factor = 1;
        for (const simulated_run& other : worker.runs) {
            const auto found = slow_downs.find({run.kind, other.kind});
            factor = std::max(
                factor, found == slow_downs.end() || other.run == run.run ? 1.0 : found->second);
        }
        return factor * worker.slow_down;
    }

    step_key m_last_step = 0;
    run_key m_last_run = 0;
    double m_slow_down_sum = 0;
    std::uint64_t m_slow_down_count = 0;
};

} // namespace plantaindoor::policy
