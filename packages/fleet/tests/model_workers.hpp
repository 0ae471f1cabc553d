// A model of the platform's workers in virtual time: they run tasks under leases and fencing, list
// ends until these are acknowledged, and every start is judged against what must hold.
#pragma once

#include "fakes/virtual_loop.hpp"
#include "plantaindoor/fleet/gateways.hpp"
#include "plantaindoor/job/spec.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::fleet::testing {

/// What happens to orders on their way to a worker.
enum class path_trouble {
    none,
    silent,       ///< nothing arrives
    lost_answer,  ///< carried out, and not answered
    carried_late, ///< carried out 2 to 12 s later, and not answered
};

/// What a job's tasks do, and what has been seen of them.
struct watched_job {
    std::shared_ptr<const job::job_spec> spec;
    milliseconds run_time{1000};
    /// Tasks with these indices fail in every run.
    std::set<std::uint32_t> hopeless;
    std::uint32_t max_attempts = 3;
    /// When a caller was told that it is cancelled.
    std::optional<time_point> cancelled;
};

class model_workers {
public:
    model_workers(fakes::virtual_loop& loop, std::mt19937_64& random)
        : m_loop(loop), m_random(random)
    {
    }

    /// Begins a life of a worker.
    void begin(const job::worker_listing& listing);
    /// Ends a life with all that runs there.
    void end(const instance_id& id);
    void watch(const job_id& id, watched_job polled_worker)
    {
        m_jobs[id] = std::move(polled_worker);
    }
    watched_job& job(const job_id& id) { return m_jobs.at(id); }
    /// Trouble between an entry and a worker.
    void set_trouble(const std::string& entry, const instance_id& worker, path_trouble trouble)
    {
        m_troubles[{entry, worker}] = trouble;
    }
    void clear_troubles() { m_troubles.clear(); }

    /// What has been broken so far, in words.
    [[nodiscard]] const std::vector<std::string>& broken() const { return m_broken; }
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t starts() const { return m_starts; }

    /// Whether an order arrives seconds after it was sent.
    enum class arrival { prompt, late };
    /// Carries out an order that has arrived.
    job::order_answer start(const job::start_order& order, fencing_token token, arrival when);
    job::order_answer stop(const job::stop_order& order, fencing_token token);
    poll_result poll(const instance_id& id, const job::poll_order& order, fencing_token token);
    /// Calls once a worker has an end to list, or the wait is over.
    void wait_for_end(const instance_id& id, nanoseconds wait, std::function<void()> done);

    [[nodiscard]] path_trouble trouble(const std::string& entry, const instance_id& worker) const;
    [[nodiscard]] fakes::virtual_loop& loop() { return m_loop; }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }

private:
    struct active_run {
        timer_id finish = timer_id::none;
        job::resources footprint;
    };
    struct life {
        job::worker_listing listing;
        double clock_rate = 1;
        time_point clock_start{};
        fencing_token token = 0;
        std::map<job::run_name, active_run> running;
        std::map<job::task_name, std::uint32_t> highest_ended;
        std::vector<job::ended_run> ended;
        std::uint64_t sequence = 0;
        milliseconds lease{0};
        timer_id lapse = timer_id::none;
        std::vector<std::function<void()>> waiting;
        job::resources used;
    };
    struct task_history {
        std::uint32_t running = 0;
        std::set<std::uint32_t> noted_failures;
        bool ever_done = false;
        /// It has ended as done, and that end may still be noted.
        bool done = false;
        bool done_noted = false;
    };

    [[nodiscard]] milliseconds clock_of(const life& worker) const;
    void extend(life& worker, milliseconds deadline);
    void schedule_lapse(life& worker);
    void end_run(life& worker, const job::run_name& name, job::run_end_reason end_reason);
    /// Ends that weren't noted before the lease lapsed, or the life was over, no longer count.
    void void_ends(const life& worker);
    void note(const life& worker, const job::ended_run& end);
    void judge_start(const life& worker, const job::start_order& order, arrival when);
    void break_rule(const std::string& what, const job::run_name& run);
    /// Notes an event of a task, to explain a broken rule.
    void remember(const job::run_name& run, const std::string& event);

    fakes::virtual_loop& m_loop;
    std::mt19937_64& m_random;
    std::map<instance_id, life> m_lives;
    std::map<job_id, watched_job> m_jobs;
    std::map<job::task_name, task_history> m_tasks;
    std::map<std::pair<std::string, instance_id>, path_trouble> m_troubles;
    std::map<job::task_name, std::string> m_events;
    std::vector<std::string> m_broken;
    std::size_t m_starts = 0;
};

/// One entry's way to the workers.
class entry_workers final : public worker_gateway {
public:
    entry_workers(model_workers& workers, event_loop& entry_loop, std::string entry)
        : m_workers(workers), m_entry_loop(entry_loop), m_entry(std::move(entry))
    {
    }

    void start(const worker_address& to, const job::start_order& order, fencing_token token,
               order_callback done) override;
    void stop(const worker_address& to, const job::stop_order& order, fencing_token token,
              order_callback done) override;
    void throttle(const worker_address& to, const job::throttle_order& order, fencing_token token,
                  order_callback done) override;
    void poll(const worker_address& to, const job::poll_order& order, fencing_token token,
              poll_callback done) override;

private:
    void deliver(const instance_id& worker,
                 std::function<job::order_answer(model_workers::arrival)> carry_out,
                 order_callback done);
    void answer(nanoseconds delay, order_callback done, job::order_answer given);

    model_workers& m_workers;
    event_loop& m_entry_loop;
    std::string m_entry;
};

} // namespace plantaindoor::fleet::testing
