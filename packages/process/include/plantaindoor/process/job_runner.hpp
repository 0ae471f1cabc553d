// Runs the jobs of the pools whose duty this entry holds: reads what was submitted and reported,
// lets placement decide, writes rows under the duty's guard and sends commands to workers.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/journal.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/process/job_book.hpp"
#include "plantaindoor/process/job_exchange.hpp"
#include "plantaindoor/process/job_metrics.hpp"
#include "plantaindoor/process/job_scheduler.hpp"
#include "plantaindoor/process/learned_sizes.hpp"
#include "plantaindoor/version/change_log.hpp"
#include "plantaindoor/version/planned_changes.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::process {

struct job_runner_options {
    event_loop& loop;
    table& rows;
    task_control& tasks;
    version::change_log& log;
    journal_sink& journal;
    job_metrics& metrics;
    job_exchange& exchange;
    entry_id self;
    /// Between readings of the inbox: the most that a submission waits for its placement.
    milliseconds interval{200};
    /// Between readings of the workers' reports, while there are runs.
    milliseconds report_interval{500};
    /// Between rounds of placement where nothing changed.
    milliseconds round_interval{1000};
    /// Most rows in one reading.
    std::size_t page = 1000;
    /// The pools whose duty is held here.
    std::function<std::vector<pool_id>()> held;
    /// The duty's guard; nothing where this entry doesn't hold it.
    std::function<std::optional<row_condition>(const pool_id&)> guard_of;
    /// Called when a write showed that the duty was lost.
    std::function<void(const pool_id&)> drop;
    /// Instances that the platform doesn't list; nothing while that is not known.
    std::function<std::optional<version::lost_instances>()> lost;
    /// Share of a pool's slots that interactive requests ask for; empty: none.
    std::function<double(const pool_id&)> interactive_load;
    /// `pool` and `holding` are set for each book.
    job_book::options book;
    job_scheduler::options placement;
};

/// Everything in the options must outlive it. Loop thread only.
class job_runner {
public:
    explicit job_runner(job_runner_options how);
    job_runner(const job_runner&) = delete;
    job_runner& operator=(const job_runner&) = delete;
    ~job_runner();

    /// Begins the rounds. Precondition: called once.
    void start();
    void stop();

    /// Ends the instance's runs, checkpointed where they can be, and calls back once none can be
    /// alive there. Never calls back where the duty is lost before.
    void checkpoint(const version::outage& drain, std::function<void()> done);

    /// Of the pools held here.
    [[nodiscard]] job_counts counts() const;

private:
    /// One pool's jobs while its duty is held.
    struct holding {
        explicit holding(job_book::options how, const job_scheduler::options& placement)
            : book(std::move(how)), scheduler(placement)
        {
        }

        job_book book;
        job_scheduler scheduler;
        learned_sizes learned;
        row_condition guard;
        bool loaded = false;
        time_point next_round{};
        time_point next_figures{};
        bool quarantining = false;
        /// What the last quarantine was refused with.
        std::string last_refusal;
    };

    /// A drain that waits for its instance's runs to end.
    struct awaited_vacancy {
        pool_id pool;
        version::outage drain;
        std::function<void()> done;
    };

    void tick();
    void follow_duties();
    [[nodiscard]] job_book::options book_options(const pool_id& pool,
                                                 const row_condition& guard) const;
    void open(const pool_id& pool, const row_condition& guard);
    void load(const std::string& after);
    void on_live(const read_result& rows);
    void read_inbox(const std::string& after);
    void on_inbox(const read_result& rows);
    void read_reports();
    void on_reports(const std::optional<std::vector<task_report>>& reports);
    void step_all();
    void step(const pool_id& pool, holding& subject);
    void decide(const pool_id& pool, holding& subject);
    void quarantine(const pool_id& pool, holding& subject, const quarantine_worker& what);
    void on_quarantined(const pool_id& pool, holding& subject, const quarantine_worker& what,
                        const version::append_result& result);
    void publish_figures(const pool_id& pool, holding& subject);
    void take_ended(holding& subject);
    void write(const pool_id& pool, holding& subject);
    void on_written(const pool_id& pool, const row_condition& guard, const transact_result& result);
    void send(const pool_id& pool, holding& subject);
    void answer_drains();
    /// The holding, if it is still the one with this guard.
    [[nodiscard]] holding* find(const pool_id& pool, const row_condition& guard);
    template<class Action>
    [[nodiscard]] auto while_alive(Action run) const;

    job_runner_options m_options;
    std::map<pool_id, std::unique_ptr<holding>> m_held;
    std::vector<awaited_vacancy> m_drains;
    /// The pools that the loading under way is for.
    std::map<pool_id, row_condition> m_loading;
    bool m_reading_inbox = false;
    bool m_reading_reports = false;
    time_point m_next_reports{};
    timer_id m_timer = timer_id::none;
    bool m_stopped = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantaindoor::process
